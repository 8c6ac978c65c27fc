"""Tests that a nested call gets the rank of the request for which it is made."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.lineage import add_parent, remove_parent
from jacinthsail.internal.model.lineage import LineageState
from jacinthsail.internal.queries.lineage import arrival_rank, find_parent, new_parent

STEADY = settings(derandomize=True, deadline=None, max_examples=100)


def lineage(*parents):
    state = LineageState(running={}, next_ticket=1)
    for name, rank in parents:
        add_parent(state, new_parent(name, state["next_ticket"], rank, False))
    return state


class LineageTest(unittest.TestCase):
    def test_nested_call_has_the_rank_of_its_request(self):
        """Otherwise a nested call of a filing is shed as early as those of lookups."""
        state = lineage(("filing", 1), ("lookup", 5))
        self.assertEqual(arrival_rank(find_parent(state, "filing"), 3), 0)
        self.assertEqual(arrival_rank(find_parent(state, "lookup"), 3), 4)

    def test_request_of_a_caller_has_the_rank_of_its_route(self):
        """A lookup mistaken for a nested call would overtake the queued filings."""
        for name in ("", "unknown"):
            with self.subTest(name=name):
                self.assertEqual(arrival_rank(find_parent(lineage(("filing", 1)), name), 2), 5)

    @STEADY
    @given(st.lists(st.tuples(st.sampled_from("abcd"), st.booleans())))
    def test_only_running_requests_are_parents(self, events):
        """Otherwise calls would inherit the rank of a request that has ended."""
        state = lineage()
        running = {}
        for name, ends_first in events:
            earlier = running.get(name)
            if earlier is not None and ends_first:
                remove_parent(state, earlier)
                del running[name]
            parent = new_parent(name, state["next_ticket"], 1, False)
            add_parent(state, parent)
            if earlier is not None:
                remove_parent(state, earlier)
            running[name] = parent
        self.assertEqual(state["running"], running)
