"""Tests which nodes read the store, whom the others follow, and how copies are merged."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.adapters.store_follower import update_for_followers
from jacinthsail.internal.commands.store_copy import distrust_copy, record_copied, record_items
from jacinthsail.internal.commands.store_sources import (
    add_source,
    record_report,
    record_source_lost,
    set_followers,
    update_order,
)
from jacinthsail.internal.model.store import (
    PublishedItem,
    StoreDelta,
    StoreDifference,
    StoreSnapshot,
)
from jacinthsail.internal.model.store_sources import StoreRole
from jacinthsail.internal.queries.store_copy import (
    MAX_REMOVALS,
    MAX_REVISION_STEP,
    changes_since,
    contradicts_copy,
    follows,
    is_newer,
    is_plausible,
    items_to_apply,
    new_store_copy,
)
from jacinthsail.internal.queries.store_reading import new_read_state
from jacinthsail.internal.queries.store_sources import (
    MAX_SOURCES,
    SOURCE_SILENCE_S,
    SOURCE_TRIAL_S,
    SOURCES_CHECK_INTERVAL_S,
    SOURCES_PER_NODE,
    decide_role,
    new_store_sources,
    preferred_sources,
    source_changes,
)
from tests.common.fleets import LOCATION, fleet, target

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)

# Changes must be in force within this time after the store acknowledged them.
APPLY_WITHIN_S = 2.0

HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 25))


class StoreSourcesTest(unittest.TestCase):
    def setUp(self):
        self.reading = new_read_state()
        self.state = new_store_sources()
        update_order(self.state, fleet(*(target(host, host) for host in HOSTS)))
        self.own = self.state["order"][-1]

    def preferred(self, now):
        return preferred_sources(self.state, self.reading, self.own, now)

    def follow_preferred(self, now, is_current=True):
        for host in self.preferred(now):
            if host not in self.state["sources"]:
                add_source(self.state, host, now)
            record_report(self.state, host, is_current, now)

    def test_all_nodes_of_a_domain_agree_on_few_readers(self):
        """If each node read the store, the calls would grow with the fleet."""
        chosen = set()
        for host in HOSTS:
            chosen.add(preferred_sources(self.state, self.reading, host, 0.0))
        self.assertEqual(chosen, {self.state["order"][:SOURCES_PER_NODE]})

    def test_second_source_is_the_reader_of_the_next_domain_of_the_region(self):
        """Two readers in each domain would double the calls to the store."""
        others = [target(f"o{n}", f"10.1.0.{n}", failure_domain="baguio") for n in range(1, 9)]
        targets = [target(host, host) for host in HOSTS] + others
        update_order(self.state, fleet(*targets))
        own, neighbour = self.preferred(0.0)
        self.assertIn(own, HOSTS)
        self.assertNotIn(neighbour, HOSTS)

    def test_domain_that_is_cut_off_finds_both_sources_in_itself(self):
        """A domain that reaches the store but no other domain would depend on one reader."""
        update_order(
            self.state,
            fleet(
                *(target(host, host) for host in HOSTS),
                target("o1", "10.1.0.1", failure_domain="baguio"),
            ),
        )
        self.follow_preferred(0.0)
        record_source_lost(self.state, "10.1.0.1", 1.0)
        self.assertEqual(len(self.preferred(1.0)), SOURCES_PER_NODE)
        self.assertLessEqual(set(self.preferred(1.0)), set(HOSTS))

    def test_targets_of_other_regions_are_no_readers(self):
        """Reports would cross the link between regions once per node."""
        far = target("x", "10.1.0.1", failure_domain="davao", region="mindanao")
        update_order(self.state, fleet(far))
        self.assertEqual(self.state["order"], (LOCATION.host,))

    def test_lone_node_reads_the_store(self):
        """A node without peers would never learn of a change."""
        update_order(self.state, fleet())
        self.assertIs(
            decide_role(self.state, self.reading, LOCATION.host, 0.0, 0.0), StoreRole.READER
        )

    def test_lost_reader_is_replaced_by_the_next_one(self):
        """A change would arrive through one reader only, and not at all if that one failed too."""
        self.follow_preferred(0.0)
        first, second, third = self.state["order"][:3]
        record_source_lost(self.state, first, 1.0)
        self.assertEqual(self.preferred(1.0), (second, third))

    def test_silent_reader_is_replaced(self):
        """A frozen reader keeps its connection open and sends nothing."""
        self.follow_preferred(0.0)
        now = SOURCE_SILENCE_S + 0.1
        self.assertEqual(
            set(source_changes(self.state, self.reading, self.own, now).replace),
            set(self.state["order"][:2]),
        )

    def test_reader_that_the_store_turns_away_gets_a_substitute(self):
        """The store may refuse some nodes and serve others."""
        self.follow_preferred(0.0, is_current=False)
        now = SOURCE_TRIAL_S + 0.1
        changes = source_changes(self.state, self.reading, self.own, now)
        self.assertEqual(changes.follow, self.state["order"][2:4])
        self.assertEqual(changes.unfollow, ())

    def test_outage_of_the_store_recruits_few_readers(self):
        """All nodes of the domain would call the store again and again while it is down."""
        now = 0.0
        for _ in range(40):
            self.follow_preferred(now, is_current=False)
            now += SOURCE_TRIAL_S
        self.assertLessEqual(len(self.state["sources"]), MAX_SOURCES)

    def test_node_without_a_working_source_reads_the_store(self):
        """A node that is cut off from its peers would follow nobody."""
        self.follow_preferred(0.0)
        for now, role in (
            (1.0, StoreRole.FOLLOWER),
            (SOURCE_SILENCE_S + 0.1, StoreRole.FALLBACK),
        ):
            with self.subTest(now=now):
                self.assertIs(decide_role(self.state, self.reading, self.own, 0.0, now), role)

    def test_node_waits_longer_if_its_sources_cannot_read_either(self):
        """In an outage of the store all nodes would call it."""
        self.follow_preferred(0.0)
        for jitter, now, role in (
            (0.0, 3.0, StoreRole.FOLLOWER),
            (1.0, 4.7, StoreRole.FOLLOWER),
            (1.0, 5.0, StoreRole.FALLBACK),
        ):
            self.follow_preferred(now, is_current=False)
            self.assertIs(decide_role(self.state, self.reading, self.own, jitter, now), role)

    def test_change_arrives_in_time_while_no_other_node_responds(self):
        """With all its sources cut off, and the next ones as well, a node would learn too late."""
        self.follow_preferred(0.0)
        lost_at = SOURCE_SILENCE_S + SOURCES_CHECK_INTERVAL_S
        for host in self.state["order"][:2]:
            record_source_lost(self.state, host, lost_at)
        for host in self.preferred(lost_at):
            add_source(self.state, host, lost_at)
        # Replies of the store take up to 0.1 s.
        latest = APPLY_WITHIN_S - SOURCES_CHECK_INTERVAL_S - 0.1
        self.state["working_at"] = SOURCE_SILENCE_S
        self.assertIs(
            decide_role(self.state, self.reading, self.own, 1.0, latest), StoreRole.FALLBACK
        )

    def test_working_substitute_is_kept_while_a_lost_reader_is_tried_again(self):
        """No change would arrive until the trial of the lost reader has failed again."""
        self.follow_preferred(0.0)
        first, second = self.state["order"][:2]
        for host in (first, second):
            record_source_lost(self.state, host, 1.0)
        self.follow_preferred(1.0)
        substitutes = self.state["order"][2:4]
        for host in substitutes:
            record_report(self.state, host, True, 3.0)
        for host in (first, second):
            add_source(self.state, host, 3.0)
        changes = source_changes(self.state, self.reading, self.own, 3.1)
        self.assertEqual(changes.unfollow, ())
        for host in (first, second):
            record_report(self.state, host, True, 3.2)
        changes = source_changes(self.state, self.reading, self.own, 3.3)
        self.assertEqual(changes.unfollow, substitutes)

    def test_followed_node_reads_the_store(self):
        """A node recruited by another one would have nothing to report."""
        self.follow_preferred(0.0)
        set_followers(self.state, 1)
        self.assertIs(decide_role(self.state, self.reading, self.own, 0.0, 0.1), StoreRole.READER)


def item(key, revision, body=b"x"):
    return PublishedItem(key, revision, body)


def apply(copy, update):
    """Apply an update as a node does; ignore it if it is not newer or leaves a gap."""
    if not is_newer(copy, update) or not follows(update, copy):
        return
    items = items_to_apply(update, copy)
    record_items(copy, items)
    record_copied(update, copy)


class StoreCopyTest(unittest.TestCase):
    def copy(self, *updates):
        copy = new_store_copy()
        for update in updates:
            apply(copy, update)
        return copy

    def test_lagging_source_does_not_revive_a_removed_target(self):
        """A target that has left would be used again after a report of a slower reader."""
        copy = self.copy(StoreSnapshot((item("a", 3),), 5), StoreDelta((item("a", 8, None),), 5, 9))
        apply(copy, StoreDelta((item("a", 7),), 5, 8))
        apply(copy, StoreSnapshot((item("a", 7),), 7))
        self.assertEqual(copy["items"], {})
        self.assertEqual(copy["revision"], 9)

    def test_update_that_leaves_a_gap_is_refused(self):
        """The changes in the gap would never be learned."""
        copy = self.copy(StoreSnapshot((), 5))
        self.assertFalse(follows(StoreDelta((), 6, 9), copy))

    def test_follower_of_two_readers_learns_of_an_item_on_a_later_page(self):
        """The item was newer than the snapshot of one reader, which did not report it again."""
        snapshot = StoreSnapshot((item("a", 3), item("z", 8, b"new")), 5)
        reader = self.copy(snapshot)
        follower = self.copy(StoreSnapshot((item("a", 3), item("z", 4, b"old")), 5))
        delta = StoreDelta((item("z", 8, b"new"),), 5, 9)
        report = update_for_followers(delta, items_to_apply(delta, reader), reader["revision"])
        apply(follower, report)
        self.assertEqual(follower["items"]["z"].body, b"new")
        self.assertEqual(follower["revision"], 9)

    def test_difference_of_two_snapshots_applies_only_to_the_earlier_copy(self):
        """A target that came and went between the snapshots would stay at a node that saw it."""
        difference = StoreDifference((item("b", 9),), 5, 9)
        at_start = self.copy(StoreSnapshot((item("a", 3),), 5))
        in_between = self.copy(
            StoreSnapshot((item("a", 3),), 5), StoreDelta((item("gone", 7),), 5, 7)
        )
        apply(at_start, difference)
        apply(in_between, difference)
        self.assertEqual((at_start["revision"], in_between["revision"]), (9, 7))
        apply(in_between, changes_since(at_start, 0, in_between["revision"]))
        self.assertEqual(in_between["items"], at_start["items"])

    def test_node_that_lags_behind_the_kept_removals_gets_a_snapshot(self):
        """A removal that is no longer kept would be missing in a list of changes."""
        removals = tuple(item(f"k{n}", 10 + n, None) for n in range(MAX_REMOVALS + 1))
        copy = self.copy(StoreSnapshot((), 5), StoreDelta(removals, 5, 10_000))
        self.assertIsInstance(changes_since(copy, 0, 9), StoreSnapshot)
        self.assertIsInstance(changes_since(copy, 0, 10), StoreDelta)

    def test_revision_far_beyond_the_store_is_refused(self):
        """A faulty peer could hide all later changes with one large number."""
        copy = self.copy(StoreSnapshot((), 5))
        self.assertFalse(is_plausible(copy, StoreDelta((), 5, 6 + MAX_REVISION_STEP)))
        self.assertFalse(is_plausible(copy, StoreDelta((item("a", 2**62),), 5, 6)))
        self.assertTrue(is_plausible(copy, StoreDelta((item("a", 6),), 5, 6)))

    def test_snapshot_of_the_store_replaces_a_copy_with_a_false_revision(self):
        """A faulty node could keep a node that starts from ever learning a change."""
        copy = self.copy(StoreSnapshot((item("a", 2**62), item("b", 3)), 2**62))
        snapshot = StoreSnapshot((item("a", 4), item("c", 5)), 6)
        self.assertTrue(contradicts_copy(snapshot, (0, copy["revision"])))
        distrust_copy(copy)
        apply(copy, snapshot)
        self.assertEqual(copy["items"], {"a": item("a", 4), "c": item("c", 5)})

    def test_report_that_arrives_while_a_snapshot_is_read_stays_in_force(self):
        """A removed target would be used again, because the snapshot is older than the report."""
        copy = self.copy(StoreSnapshot((item("a", 3),), 5))
        known = copy["revision"]
        apply(copy, StoreDelta((item("a", 7, None),), 5, 8))
        snapshot = StoreSnapshot((item("a", 3),), 6)
        self.assertFalse(contradicts_copy(snapshot, (0, known)))
        apply(copy, snapshot)
        self.assertEqual((copy["items"], copy["revision"]), ({}, 8))

    @DETERMINISTIC
    @given(
        st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=20),
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 3)), max_size=40),
    )
    def test_every_node_ends_at_the_newest_revision(self, writes, steps):
        """Lost, repeated and reordered reports must not leave a node with an older copy."""
        history = []
        for revision, (key, is_removal) in enumerate(writes, 1):
            history.append(item(key, revision, None if is_removal else b"%d" % revision))
        nodes = [new_store_copy() for _ in range(3)]
        for copy in nodes:
            apply(copy, StoreSnapshot((), 0))
        for number, action in steps:
            copy = nodes[number]
            known = copy["revision"]
            if action == 0:
                newest = min(len(history), known + 3)
                apply(copy, StoreDelta(tuple(history[known:newest]), known, newest))
                continue
            # With actions 2 and 3 the report is late: it stems from before the peer's last read.
            peer = nodes[(number + action) % 3]
            apply(copy, changes_since(peer, 0, max(0, known - action)))
        for copy in nodes:
            known = copy["revision"]
            apply(copy, StoreDelta(tuple(history[known:]), known, len(history)))
        newest = {}
        for change in history:
            newest[change.key] = change
        expected = {key: one for key, one in newest.items() if one.body is not None}
        for copy in nodes:
            self.assertEqual(copy["items"], expected)
