"""Compares the kinds of limiter under the same load; see ``docs/decisions.md``."""

import unittest

from jacinthsail.testing.measure_limiters import SLOTS, after_slowdown, compare

ADAPTIVE = ("aimd", "gradient")


class LimitersComparedTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.results = compare()

    def test_queue_at_the_target_shrinks_the_limit(self):
        """Calls that queue at the target wait without regard to importance."""
        fixed = self.results["fixed"]["4 of 40 slots"]
        for kind in ADAPTIVE:
            result = self.results[kind]["4 of 40 slots"]
            with self.subTest(kind=kind):
                self.assertLess(result.last_limit, SLOTS // 2)
                self.assertLess(result.mean_latency_s, 0.6 * fixed.mean_latency_s)
                self.assertLess(result.wasted_share, fixed.wasted_share)

    def test_fivefold_slower_target_does_not_collapse_the_limit(self):
        """A slow target with free slots needs more calls in flight, not fewer."""
        for kind in ADAPTIVE:
            result = self.results[kind]["five times slower"]
            with self.subTest(kind=kind):
                self.assertGreaterEqual(result.lowest_limit, SLOTS // 4)
                self.assertGreater(result.last_limit, 0.9 * SLOTS)

    def test_limit_recovers_after_the_trigger(self):
        """A limit that stays low after a fault has ended prolongs the overload."""
        for kind in ADAPTIVE:
            for phase in ("2 s later", "fast again"):
                with self.subTest(kind=kind, phase=phase):
                    self.assertGreater(self.results[kind][phase].last_limit, 0.9 * SLOTS)

    def test_gradient_regains_lost_slots_within_two_seconds(self):
        """Goodput must be back at 95% of its earlier level 2 s after the trigger has ended."""
        gradient = self.results["gradient"]["2 s later"]
        fixed = self.results["fixed"]["2 s later"]
        self.assertGreaterEqual(gradient.goodput_share, 0.95 * fixed.goodput_share)

    def test_gradient_uses_the_target(self):
        """The limit must not waste the capacity that it protects."""
        for phase in ("cold start", "4 of 40 slots", "five times slower", "fast again"):
            with self.subTest(phase=phase):
                self.assertGreater(self.results["gradient"][phase].goodput_share, 0.85)

    def test_few_slots_recover_after_a_short_slowdown(self):
        """Comparisons that last longer than the slowdown keep the limit low after it has ended."""
        _, later = after_slowdown(slots=4, service_s=0.04, seed=3)
        self.assertGreaterEqual(later.goodput_share, 0.9)

    def test_few_slots_recover_from_a_limit_of_one(self):
        """At a limit of 1, a window of 10 calls takes 10 rounds, longer than the slowdown."""
        for seed in (4, 14, 45):
            with self.subTest(seed=seed):
                _, later = after_slowdown(slots=4, service_s=0.04, seed=seed)
                self.assertGreaterEqual(later.goodput_share, 0.9)

    def test_few_slots_stay_in_use_after_a_slowdown(self):
        """A needless check of the baseline would take slots away once the target is fast again."""
        for seed in range(12):
            with self.subTest(seed=seed):
                _, later = after_slowdown(slots=4, service_s=0.04, seed=seed)
                self.assertEqual(later.lowest_limit, 4)
