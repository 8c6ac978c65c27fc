"""Tests how store snapshots and deltas are applied, and how outages of the store are handled."""

import unittest
from random import Random

from jacinthsail.internal.commands.fleet import record_entry_version, record_store_served
from jacinthsail.internal.commands.store_copy import record_copied, record_items
from jacinthsail.internal.commands.store_reading import (
    apply_changes,
    record_response,
    remove_unconfirmed_targets,
)
from jacinthsail.internal.model.fleet import EntryVersion
from jacinthsail.internal.model.store import (
    HistoryCompacted,
    ManifestPublished,
    PublishedItem,
    ReadChanges,
    ReadSnapshot,
    StoreDelta,
    StoreSnapshot,
    StoreUnavailable,
    TargetPublished,
    TargetRemoved,
)
from jacinthsail.internal.model.store_sources import StoreRole
from jacinthsail.internal.queries.fleet_view import (
    MAX_REMOVED_VERSIONS,
    new_fleet,
    removals_confirmed_at,
)
from jacinthsail.internal.queries.store_copy import items_to_apply, new_store_copy
from jacinthsail.internal.queries.store_reading import (
    MAX_FALLBACK_RETRY_DELAY_S,
    MAX_WATCH_WAIT_S,
    WATCH_PAUSE_S,
    is_read_current,
    new_read_state,
    next_read,
    read_delay_s,
)
from jacinthsail.internal.queries.store_sources import SOURCES_CHECK_INTERVAL_S
from tests.common.fleets import LOCATION, manifest, target

# Changes must be in force within this time after the store acknowledged them.
APPLY_WITHIN_S = 2.0


def item(name, revision, body=b"x"):
    return PublishedItem(name, revision, body)


def published(entry, started_at_ms=1, sequence=1):
    return TargetPublished(entry, EntryVersion(started_at_ms, sequence))


class StoreReadingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = new_fleet(LOCATION)
        self.reading = new_read_state()
        self.copy = new_store_copy()
        self.published = {}
        self.apply(StoreSnapshot((item("a", 5),), 5), 0.0, published(target("a")))

    def apply(self, response, now, *changes):
        """Apply a response of the store, whose items decode to the changes."""
        record_response(response, self.reading, self.fleet, now)
        if not isinstance(response, StoreSnapshot | StoreDelta):
            return
        for change, published in zip(changes, response.items, strict=True):
            self.published[published] = change
        items = items_to_apply(response, self.copy)
        decoded = [self.published.get(one, TargetRemoved(one.key)) for one in items]
        record_items(self.copy, items)
        record_copied(response, self.copy)
        apply_changes(decoded, self.fleet, now)

    def test_deltas_follow_the_snapshot(self):
        """A gap between the snapshot and the watch would hide a target removed in between."""
        self.assertEqual(next_read(self.reading, self.copy), ReadChanges(5, MAX_WATCH_WAIT_S))
        self.apply(HistoryCompacted(), 1.0)
        self.assertEqual(next_read(self.reading, self.copy), ReadSnapshot())

    def test_recovered_store_is_read_in_time(self):
        """A watch lost in an outage could last longer than changes may take to be in force."""
        longest_s = 0.0
        for _ in range(20):
            self.apply(StoreUnavailable("silent"), 1.0)
            read = next_read(self.reading, self.copy)
            self.assertEqual(read, ReadChanges(5, 0.0))
            longest_s = max(longest_s, read_delay_s(self.reading, StoreRole.READER, Random(1), 1.0))
        self.assertLess(longest_s + MAX_WATCH_WAIT_S, APPLY_WITHIN_S)

    def test_long_outage_does_not_end_the_process(self):
        """After 1,025 failed reads the delay overflowed, and all nodes ended at about that time."""
        self.reading["failures"] = 100_000
        for role in StoreRole:
            with self.subTest(role=role):
                delay_s = read_delay_s(self.reading, role, Random(1), 1.0)
                self.assertLessEqual(delay_s, MAX_FALLBACK_RETRY_DELAY_S)

    def test_node_that_becomes_a_reader_reads_at_once(self):
        """Its followers, whose readers were lost, would wait for the pause between two reads."""
        for now, expected_s in ((0.1, WATCH_PAUSE_S - 0.1), (WATCH_PAUSE_S + 0.1, 0.0)):
            with self.subTest(now=now):
                delay_s = read_delay_s(self.reading, StoreRole.READER, Random(1), now)
                self.assertAlmostEqual(delay_s, expected_s)

    def test_stale_read_is_noticed_in_time(self):
        """A reader that is cut off from the store would be followed until its watch timed out."""
        self.assertTrue(is_read_current(self.reading, MAX_WATCH_WAIT_S + WATCH_PAUSE_S))
        latest_s = APPLY_WITHIN_S - 2 * SOURCES_CHECK_INTERVAL_S
        self.assertFalse(is_read_current(self.reading, latest_s))

    def test_outage_costs_few_calls_of_nodes_that_read_for_themselves_only(self):
        """Hundreds of nodes would call a store that is down several times a second each."""
        random = Random(1)
        for _ in range(20):
            self.apply(StoreUnavailable("silent"), 1.0)
            self.assertGreaterEqual(
                read_delay_s(self.reading, StoreRole.FALLBACK, random, 1.0), 2.0
            )

    def test_versions_never_go_back(self):
        """A stale response would restore a route that was removed."""
        self.apply(StoreDelta((item("m", 6),), 5, 6), 1.0, ManifestPublished(manifest(7)))
        self.apply(StoreDelta((item("m", 7),), 6, 7), 2.0, ManifestPublished(manifest(6)))
        self.assertEqual(self.fleet["manifest"].version, 7)

    def test_removed_target_is_dropped_at_once(self):
        """A removed target would still get new requests."""
        self.apply(StoreDelta((item("a", 6, None),), 5, 6), 1.0, TargetRemoved("a"))
        self.assertEqual(self.fleet["targets"], {})

    def test_target_whose_entry_expired_in_an_outage_is_kept_for_a_grace_period(self):
        """The entries of all targets of a service can expire in an outage while they serve."""
        self.apply(StoreUnavailable("silent"), 1.0)
        self.apply(StoreDelta((item("a", 6, None),), 5, 6), 9.0, TargetRemoved("a"))
        remove_unconfirmed_targets(self.fleet, 10.9)
        self.assertIn("a", self.fleet["targets"])
        remove_unconfirmed_targets(self.fleet, 11.1)
        self.assertNotIn("a", self.fleet["targets"])

    def test_removal_after_one_failed_read_is_certain(self):
        """Each failed read would keep removed targets in use for seconds, though none expired."""
        self.apply(StoreUnavailable("cut"), 1.0)
        self.apply(StoreDelta((), 5, 5), 1.1)
        self.apply(StoreDelta((item("a", 6, None),), 5, 6), 1.9, TargetRemoved("a"))
        self.assertNotIn("a", self.fleet["targets"])

    def test_removals_are_certain_within_a_fixed_time_after_an_outage(self):
        """A target removed at the end of that time would be kept for as long again."""
        self.apply(StoreUnavailable("silent"), 1.0)
        self.apply(StoreDelta((), 5, 5), 9.0)
        self.apply(StoreDelta((item("a", 6, None),), 5, 6), 10.9, TargetRemoved("a"))
        remove_unconfirmed_targets(self.fleet, 11.0)
        self.assertNotIn("a", self.fleet["targets"])

    def test_reader_that_is_cut_off_is_no_outage_while_another_node_reads(self):
        """A node would take the end of one reader's cut for the store's return."""
        for served_at in (1.0, 2.5, 4.0, 5.5):
            record_store_served(self.fleet, served_at)
        # The reader that was cut off reads again, after 5 s.
        record_store_served(self.fleet, 6.0)
        self.apply(StoreDelta((item("a", 6, None),), 5, 6), 6.1, TargetRemoved("a"))
        self.assertNotIn("a", self.fleet["targets"])

    def test_late_report_of_an_earlier_read_changes_nothing(self):
        """A report that was delayed would look like the start of a long outage."""
        record_store_served(self.fleet, 2.5)
        record_store_served(self.fleet, 1.0)
        record_store_served(self.fleet, 4.5)
        self.assertLess(removals_confirmed_at(self.fleet), 0.0)

    def write(self, revision, started_at_ms, sequence, is_draining):
        change = published(target("a", is_draining=is_draining), started_at_ms, sequence)
        update = StoreDelta((item("a", revision),), revision - 1, revision)
        self.apply(update, 1.0, change)

    def test_late_write_does_not_undo_that_a_target_is_leaving(self):
        """A target that has said that it leaves would get new requests again."""
        self.write(6, 1, 8, True)
        self.write(7, 1, 7, False)
        self.assertTrue(self.fleet["targets"]["a"].is_draining)

    def test_late_write_does_not_bring_back_a_removed_target(self):
        """Requests would be sent to a target that has ended."""
        self.write(6, 1, 8, True)
        self.apply(StoreDelta((item("a", 7, None),), 6, 7), 1.0, TargetRemoved("a"))
        self.write(8, 1, 7, False)
        self.assertEqual(self.fleet["targets"], {})

    def test_target_that_starts_again_under_its_name_is_used(self):
        """Its writes are counted anew, and would all look late."""
        self.write(6, 1, 800, True)
        self.write(7, 2, 1, False)
        self.assertFalse(self.fleet["targets"]["a"].is_draining)
        # Without the time of the start, a lower number may be that of a new start.
        self.write(8, None, 5, True)
        self.write(9, None, 1, False)
        self.assertFalse(self.fleet["targets"]["a"].is_draining)

    def test_versions_of_removed_targets_are_bounded(self):
        """The memory of a node would grow with each target that was ever replaced."""
        for number in range(MAX_REMOVED_VERSIONS + 50):
            record_entry_version(self.fleet, f"gone-{number}", EntryVersion(1, 1))
        self.assertEqual(len(self.fleet["entry_versions"]), MAX_REMOVED_VERSIONS + 1)
        self.assertIn("a", self.fleet["entry_versions"])

    def test_target_published_again_after_an_outage_stays(self):
        """A target that is published again would be dropped at the end of the grace period."""
        self.apply(StoreUnavailable("silent"), 1.0)
        self.apply(StoreDelta((item("a", 6, None),), 5, 6), 9.0, TargetRemoved("a"))
        self.apply(StoreDelta((item("a", 7),), 6, 7), 10.0, published(target("a")))
        remove_unconfirmed_targets(self.fleet, 12.0)
        self.assertIn("a", self.fleet["targets"])

    def test_snapshot_drops_targets_that_it_does_not_name(self):
        """A target removed in the compacted part of the history would never be dropped."""
        self.apply(HistoryCompacted(), 1.0)
        self.apply(StoreSnapshot((item("b", 8),), 9), 1.1, published(target("b")))
        self.assertEqual(set(self.fleet["targets"]), {"b"})
