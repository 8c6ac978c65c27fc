"""Tests how store snapshots and deltas are applied, and how outages of the store are handled."""

import unittest
from random import Random

from jacinthsail.internal.commands.store_reading import (
    apply_store_response,
    remove_unconfirmed_targets,
)
from jacinthsail.internal.model.store import (
    HistoryCompacted,
    ManifestPublished,
    ReadChanges,
    ReadSnapshot,
    StoreDelta,
    StoreSnapshot,
    StoreUnavailable,
    TargetPublished,
    TargetRemoved,
)
from jacinthsail.internal.queries.fleet_view import new_fleet
from jacinthsail.internal.queries.store_reading import (
    MAX_WATCH_WAIT_S,
    new_read_state,
    next_read,
    read_delay_s,
)
from tests.common.fleets import LOCATION, manifest, target

# Changes must be in force within this time after the store acknowledged them.
APPLY_WITHIN_S = 2.0


class StoreReadingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = new_fleet(LOCATION)
        self.reading = new_read_state()
        self.apply(StoreSnapshot((TargetPublished(target("a")),), frozenset({"a"}), 5), 0.0)

    def apply(self, response, now):
        apply_store_response(response, self.reading, self.fleet, now)

    def test_deltas_follow_the_snapshot(self):
        """A gap between the snapshot and the watch would hide a target removed in between."""
        self.assertEqual(next_read(self.reading, self.fleet), ReadChanges(5, MAX_WATCH_WAIT_S))
        self.apply(HistoryCompacted(), 1.0)
        self.assertEqual(next_read(self.reading, self.fleet), ReadSnapshot())

    def test_recovered_store_is_read_in_time(self):
        """A watch lost in an outage could last longer than changes may take to be in force."""
        longest_s = 0.0
        for _ in range(20):
            self.apply(StoreUnavailable("silent"), 1.0)
            read = next_read(self.reading, self.fleet)
            self.assertEqual(read, ReadChanges(5, 0.0))
            longest_s = max(longest_s, read_delay_s(self.reading, Random(1)))
        self.assertLess(longest_s + MAX_WATCH_WAIT_S, APPLY_WITHIN_S)

    def test_versions_never_go_back(self):
        """A stale response would restore a route that was removed."""
        self.apply(StoreDelta((ManifestPublished(manifest(7)),), 6), 1.0)
        self.apply(StoreDelta((ManifestPublished(manifest(6)),), 7), 2.0)
        self.assertEqual(self.fleet["manifest"].version, 7)

    def test_removed_target_is_dropped_at_once(self):
        """A removed target would still get new requests."""
        self.apply(StoreDelta((TargetRemoved("a"),), 6), 1.0)
        self.assertEqual(self.fleet["targets"], {})

    def test_target_whose_entry_expired_in_an_outage_is_kept_for_a_grace_period(self):
        """The entries of all targets of a service can expire in an outage while they serve."""
        self.apply(StoreUnavailable("silent"), 1.0)
        self.apply(StoreDelta((TargetRemoved("a"),), 6), 9.0)
        remove_unconfirmed_targets(self.fleet, 10.9)
        self.assertIn("a", self.fleet["targets"])
        remove_unconfirmed_targets(self.fleet, 11.1)
        self.assertNotIn("a", self.fleet["targets"])

    def test_target_published_again_after_an_outage_stays(self):
        """A target that is published again would be dropped at the end of the grace period."""
        self.apply(StoreUnavailable("silent"), 1.0)
        self.apply(StoreDelta((TargetRemoved("a"),), 6), 9.0)
        self.apply(StoreDelta((TargetPublished(target("a")),), 7), 10.0)
        remove_unconfirmed_targets(self.fleet, 12.0)
        self.assertIn("a", self.fleet["targets"])

    def test_snapshot_drops_targets_that_it_does_not_name(self):
        """A target removed in the compacted part of the history would never be dropped."""
        self.apply(HistoryCompacted(), 1.0)
        self.apply(StoreSnapshot((TargetPublished(target("b")),), frozenset({"b"}), 9), 1.1)
        self.assertEqual(set(self.fleet["targets"]), {"b"})
