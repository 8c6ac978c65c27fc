"""Guards what is read from the store, and what its outages change."""

import unittest
from random import Random

from jacinthsail.internal.commands.store_reading import apply_answer, end_lapses
from jacinthsail.internal.model.store import (
    Changes,
    HistoryGone,
    Listing,
    ManifestPublished,
    ReadChanges,
    ReadListing,
    StoreUnavailable,
    TargetPublished,
    TargetRemoved,
)
from jacinthsail.internal.queries.fleet_view import new_fleet
from jacinthsail.internal.queries.store_reading import (
    WATCH_WAIT_S,
    new_reading,
    next_read,
    pause_before_read_s,
)
from tests.common.fleets import PLACE, manifest, target

# Changes must be in force this long after the store acknowledged them.
APPLY_WITHIN_S = 2.0


class StoreReadingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = new_fleet(PLACE)
        self.reading = new_reading()
        self.apply(Listing((TargetPublished(target("a")),), frozenset({"a"}), 5), 0.0)

    def apply(self, answer, now):
        apply_answer(answer, self.reading, self.fleet, now)

    def test_changes_follow_the_listing(self):
        """A gap between the listing and the watch would hide a target that left in between."""
        self.assertEqual(next_read(self.reading, self.fleet), ReadChanges(5, WATCH_WAIT_S))
        self.apply(HistoryGone(), 1.0)
        self.assertEqual(next_read(self.reading, self.fleet), ReadListing())

    def test_store_that_returns_is_read_in_time(self):
        """A watch that was lost in an outage would outlast the time in which changes must apply."""
        longest_s = 0.0
        for _ in range(20):
            self.apply(StoreUnavailable("silent"), 1.0)
            read = next_read(self.reading, self.fleet)
            self.assertEqual(read, ReadChanges(5, 0.0))
            longest_s = max(longest_s, pause_before_read_s(self.reading, Random(1)))
        self.assertLess(longest_s + WATCH_WAIT_S, APPLY_WITHIN_S)

    def test_versions_never_go_back(self):
        """A stale answer would bring back a route that was removed."""
        self.apply(Changes((ManifestPublished(manifest(7)),), 6), 1.0)
        self.apply(Changes((ManifestPublished(manifest(6)),), 7), 2.0)
        self.assertEqual(self.fleet["manifest"].version, 7)

    def test_removed_target_is_gone_at_once(self):
        """A target that left would get new work."""
        self.apply(Changes((TargetRemoved("a"),), 6), 1.0)
        self.assertEqual(self.fleet["targets"], {})

    def test_target_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return(self):
        """All targets of a service could lapse while the store is away, though they serve."""
        self.apply(StoreUnavailable("silent"), 1.0)
        self.apply(Changes((TargetRemoved("a"),), 6), 9.0)
        end_lapses(self.fleet, 10.9)
        self.assertIn("a", self.fleet["targets"])
        end_lapses(self.fleet, 11.1)
        self.assertNotIn("a", self.fleet["targets"])

    def test_target_that_returns_after_a_lapse_stays(self):
        """A target that is back in the list would be dropped by the end of its lapse."""
        self.apply(StoreUnavailable("silent"), 1.0)
        self.apply(Changes((TargetRemoved("a"),), 6), 9.0)
        self.apply(Changes((TargetPublished(target("a")),), 7), 10.0)
        end_lapses(self.fleet, 12.0)
        self.assertIn("a", self.fleet["targets"])

    def test_listing_drops_what_it_does_not_name(self):
        """A target that left while the history was gone would stay for good."""
        self.apply(HistoryGone(), 1.0)
        self.apply(Listing((TargetPublished(target("b")),), frozenset({"b"}), 9), 1.1)
        self.assertEqual(set(self.fleet["targets"]), {"b"})
