"""Guards the selection of the reported run among several latency measurements."""

import unittest

from jacinthsail.testing.measure_latency import DIRECT, LOCAL_TARGET_PATH, median_run, spread


def run_with(added_ms):
    return {DIRECT: [0.001] * 100, LOCAL_TARGET_PATH: [0.001 + added_ms / 1000] * 100}


class SeveralRunsTest(unittest.TestCase):
    def test_median_run_is_reported(self):
        """Reporting the best run would claim a latency budget that most runs exceed."""
        runs = [run_with(5.0), run_with(0.5), run_with(2.0)]
        self.assertIs(median_run(runs), runs[2])

    def test_spread_includes_the_worst_run(self):
        """A single figure would hide the variation between runs."""
        line = spread([run_with(5.0), run_with(0.5)]).splitlines()[2]
        self.assertIn("0.500..5.000", line)
