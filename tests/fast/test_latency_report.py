"""Guards the choice among several runs of the latency measurement."""

import unittest

from jacinthsail.testing.measure_latency import DIRECT, OWN_TARGET, median_run, spread


def run_with(added_ms):
    return {DIRECT: [0.001] * 100, OWN_TARGET: [0.001 + added_ms / 1000] * 100}


class SeveralRunsTest(unittest.TestCase):
    def test_neither_the_best_nor_the_worst_run_is_shown(self):
        """The best of several runs would claim a budget that most runs exceed."""
        runs = [run_with(5.0), run_with(0.5), run_with(2.0)]
        self.assertIs(median_run(runs), runs[2])

    def test_spread_names_the_worst_run(self):
        """A single figure hides how much the runs differ."""
        line = spread([run_with(5.0), run_with(0.5)]).splitlines()[2]
        self.assertIn("0.500..5.000", line)
