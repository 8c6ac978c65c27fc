"""Tests at-most-once execution over many event orders, with a negative control for each rule."""

import unittest

from hypothesis import HealthCheck, Phase, given, settings

from jacinthsail.internal.model.idempotency import (
    PLACEMENT_RULES,
)
from jacinthsail.testing.key_simulation import run_events
from tests.common.key_events import EVENTS, ROUNDS

ORDERS = settings(
    derandomize=True,
    deadline=None,
    max_examples=400,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)

# Long enough that new keys are above the floor that each node's first confirmation sets.
WARM_UP = (
    ("deliver-all", 0),
    ("advance", 14_000),
    ("deliver-all", 0),
    ("advance", 14_000),
    ("deliver-all", 0),
)

# Only vm-0 receives the list without the other VMs; a key created later is sent to every node.
LATE_LIST = (
    *WARM_UP,
    *(("remove", 0), ("remove", 1), ("remove", 2)),
    ("list", 0),
    ("advance", 14_000),
    ("deliver", 0, 0),
    ("advance", 14_000),
    ("deliver", 0, 0),
    ("advance", 14_000),
    ("deliver", 0, 0),
    ("new-key", 0),
    ("call-everywhere", 0, 0),
)

# The new process receives old lists one by one, so that its floor lies before its start.
RESTART = (
    *WARM_UP,
    ("new-key", 0),
    ("call-everywhere", 0, 0),
    *(("restart", 0), ("restart", 1), ("restart", 2)),
    ("advance", 500),
    ("deliver-all", 16_000),
    ("deliver-all", 3_000),
    ("call-everywhere", 0, 0),
)

# Eight keys, since one or two of them could all be owned by other VMs.
KEYS = (("new-key", 0), ("call-everywhere", 0, 0)) * 8

# vm-1 starts after the removal of vm-0, which has not learned that it was removed.
START_AFTER_REMOVAL = (
    *WARM_UP,
    ("remove", 0),
    ("restart", 1),
    ("advance", 500),
    ("deliver", 1, 0),
    ("advance", 3_000),
    ("advance", 3_000),
    ("deliver", 1, 0),
    *KEYS,
)

# vm-0 is listed and removed between two confirmations of the others that are less than the lead
# apart.
SHORT_LISTING = (
    *WARM_UP,
    ("remove", 0),
    *(("deliver", 1, 0), ("deliver", 2, 0), ("advance", 14_000)) * 2,
    ("deliver", 1, 0),
    ("deliver", 2, 0),
    ("advance", 500),
    ("list", 0),
    ("deliver", 0, 0),
    ("advance", 8_000),
    ("deliver", 0, 0),
    ("remove", 0),
    ("advance", 3_000),
    ("deliver", 1, 0),
    ("deliver", 2, 0),
    ("advance", 8_000),
    *KEYS,
)


class OrderTest(unittest.TestCase):
    @ORDERS
    @given(EVENTS)
    def test_no_key_runs_twice(self, events):
        """A key that two nodes or two processes execute is a duplicate billing claim."""
        run_events(events)

    @ORDERS
    @given(EVENTS)
    def test_no_key_runs_twice_after_warm_up(self, events):
        """Nodes that already accept timed keys reach states that new nodes do not."""
        run_events((*WARM_UP, *events))

    def test_timed_keys_run(self):
        """If every key were refused, the properties would hold but no call would be executed."""
        world = run_events((*WARM_UP, ("new-key", 0), ("call-everywhere", 0, 0)))
        self.assertEqual(sum(world.executions.values()), 1)

    def test_late_list(self):
        """A node that missed its own removal must not execute keys that another VM may now own."""
        world = run_events(LATE_LIST)
        self.assertEqual(sum(world.executions.values()), 1)

    def test_late_list_without_the_horizon(self):
        """Negative control: without the horizon an owner with an old list executes the key."""
        with self.assertRaisesRegex(AssertionError, "ran more than once"):
            run_events(LATE_LIST, PLACEMENT_RULES._replace(horizon_ms=10**12))

    def test_restart(self):
        """A new process must refuse the keys that its predecessor may have executed."""
        world = run_events(RESTART)
        self.assertEqual(sum(world.executions.values()), 1)

    def test_restart_without_the_restart_margin(self):
        """Negative control: without the restart margin, a new process executes the key again."""
        with self.assertRaisesRegex(AssertionError, "ran more than once"):
            run_events(RESTART, PLACEMENT_RULES._replace(restart_margin_ms=-(10**12)))

    def test_start_after_removal(self):
        """A node must not execute keys owned by a VM that was removed before it started."""
        self.assertGreater(sum(run_events(START_AFTER_REMOVAL).executions.values()), 0)

    def test_short_listing(self):
        """A VM that the others never saw must not execute keys that they may execute."""
        self.assertGreater(sum(run_events(SHORT_LISTING).executions.values()), 0)

    def test_short_listing_without_the_listing_rule(self):
        """Negative control: a VM that executes keys right after its listing duplicates them."""
        with self.assertRaisesRegex(AssertionError, "ran more than once"):
            run_events(SHORT_LISTING, PLACEMENT_RULES._replace(own_listing_ms=0))

    @settings(ORDERS, max_examples=1_000)
    @given(ROUNDS)
    def test_no_key_runs_twice_in_partitions(self, events):
        """An owner on one side of a partition must not execute what the other side may execute."""
        run_events((*WARM_UP, *events))

    def test_partitions_without_the_horizon(self):
        """Negative control: the search must find an event order in which the horizon is needed."""
        self.assertTrue(finds_fault(PLACEMENT_RULES._replace(horizon_ms=10**12)))

    def test_partitions_without_the_restart_margin(self):
        """Negative control: the search must find an event order in which the margin is needed."""
        self.assertTrue(finds_fault(PLACEMENT_RULES._replace(restart_margin_ms=-(10**12))))


def finds_fault(rules):
    """Return whether the search of the property test finds a duplicate execution by these rules."""

    @settings(ORDERS, max_examples=3_000, phases=[Phase.generate], report_multiple_bugs=False)
    @given(ROUNDS)
    def search(events):
        run_events((*WARM_UP, *events), rules)

    try:
        search()
    except AssertionError:
        return True
    return False
