"""Guards the rank that a nested call gets from the request that it is made for."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.lineage import add_parent, remove_parent
from jacinthsail.internal.model.lineage import LineageState, RunningParent
from jacinthsail.internal.queries.lineage import parent_of, rank_on_arrival

STEADY = settings(derandomize=True, deadline=None, max_examples=100)


def lineage(*parents):
    state = LineageState(running=[], next_ticket=1)
    for deadline, rank in parents:
        add_parent(state, RunningParent(deadline, state["next_ticket"], rank, f"r-{rank}", False))
    return state


class LineageTest(unittest.TestCase):
    def test_nested_call_has_the_rank_of_its_request(self):
        """A call made for a filing would be shed with those made for lookups."""
        state = lineage((10.0, 1), (11.0, 5))
        self.assertEqual(rank_on_arrival(parent_of(state, 5.004, 5.0), 3), 0)
        self.assertEqual(rank_on_arrival(parent_of(state, 5.996, 5.0), 3), 4)

    def test_request_of_a_caller_has_the_rank_of_its_route(self):
        """A lookup that is taken for a nested call would go before the filings that wait."""
        self.assertEqual(rank_on_arrival(parent_of(lineage((10.0, 1)), 7.0, 5.0), 2), 5)

    def test_request_without_a_stated_time_has_no_parent(self):
        """Any request at the target could be taken for its parent."""
        self.assertIsNone(parent_of(lineage((10.0, 1)), None, 10.0))

    @STEADY
    @given(st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 5), st.booleans())))
    def test_only_running_requests_are_parents(self, parents):
        """A request that has ended would keep giving its rank to others."""
        state = lineage(*((deadline, rank) for deadline, rank, _ in parents))
        running = list(state["running"])
        for parent, (_, _, ends) in zip(
            sorted(running, key=lambda one: one.ticket), parents, strict=True
        ):
            if ends:
                remove_parent(state, parent)
                running.remove(parent)
        self.assertEqual(state["running"], sorted(running))
        for parent in running:
            self.assertEqual(parent_of(state, parent.deadline, 0.0).deadline, parent.deadline)
