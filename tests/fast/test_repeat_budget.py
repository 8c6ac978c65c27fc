"""Guards the budget of repeats at the node beside a target."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.retry_budget import record_arrival, record_demand
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.retry_budget import Repeat
from jacinthsail.internal.model.target_queue import Reject
from jacinthsail.internal.queries.retry_budget import is_within_budget
from jacinthsail.internal.queries.target_queue import decide_arrival
from tests.common.fleets import backlog, forward, repeats

STEADY = settings(derandomize=True, deadline=None, max_examples=100)

EVENTS = st.lists(
    st.tuples(
        st.floats(0.0, 0.2), st.sampled_from(tuple(Repeat)), st.integers(0, 5), st.booleans()
    ),
    max_size=400,
)


class RepeatBudgetTest(unittest.TestCase):
    @STEADY
    @given(EVENTS)
    def test_refusable_repeats_stay_within_the_budget_of_every_window(self, events):
        """Repeats during a slowdown would multiply the load that caused it."""
        state = repeats(extra=4.0)
        now = 0.0
        firsts = []
        refusable = []
        inherited = []
        for gap_s, kind, rank, multiplies in events:
            now += gap_s
            record_demand(state, kind, rank, now)
            if not is_within_budget(state, kind, rank, multiplies, now):
                continue
            record_arrival(state, kind, now)
            if kind is Repeat.NONE:
                firsts.append(now)
            elif kind is Repeat.INHERITED:
                inherited.append(now)
            else:
                refusable.append(now)
        for end in refusable:
            repeated = sum(1 for at in refusable + inherited if end - 10.0 < at <= end)
            sent = sum(1 for at in firsts if end - 21.0 < at <= end)
            calls = sum(1 for at in inherited if end - 10.0 < at <= end)
            self.assertLessEqual(repeated - calls, 0.2 * sent + 4.0)

    def test_spent_budget_refuses_new_repeats_only(self):
        """Calls of a run that was already repeated are lost work when they are refused."""
        state = repeats(extra=5.0)
        for _ in range(9):
            record_arrival(state, Repeat.INHERITED, 0.0)
        for kind, is_refused in (
            (Repeat.RUN, True),
            (Repeat.OFFER, True),
            (Repeat.INHERITED, False),
        ):
            with self.subTest(kind=kind):
                decision = decide_arrival(backlog(), state, forward(repeat=kind), 0.1)
                self.assertEqual(isinstance(decision, Reject), is_refused)
                if is_refused:
                    self.assertEqual(decision.reason, Reason.RETRIES_SPENT)

    def test_repeats_are_kept_for_important_requests_that_need_them(self):
        """While a service turns half of its requests away, lookups would use up the repeats."""
        state = repeats(extra=20.0)
        for number in range(20):
            record_demand(state, Repeat.OFFER, 0, 0.05 * number)
        self.assertFalse(is_within_budget(state, Repeat.OFFER, 5, False, 1.0))
        self.assertTrue(is_within_budget(state, Repeat.OFFER, 0, False, 1.0))

    def test_lookups_use_the_budget_that_nobody_else_needs(self):
        """A fault that hits lookups alone would fail them beside an unused budget."""
        state = repeats(extra=20.0)
        for number in range(7):
            self.assertTrue(is_within_budget(state, Repeat.RUN, 5, False, 0.1 * number))
            record_arrival(state, Repeat.RUN, 0.1 * number)

    def test_repeats_that_make_further_calls_are_few(self):
        """A run that makes four calls again would take four repeats of the service behind it."""
        state = repeats(extra=20.0)
        record_arrival(state, Repeat.RUN, 0.0)
        self.assertFalse(is_within_budget(state, Repeat.RUN, 0, True, 0.1))
        self.assertTrue(is_within_budget(state, Repeat.RUN, 0, False, 0.1))

    def test_repeats_go_on_while_a_failing_service_gets_fewer_requests(self):
        """Chains that fail early send fewer requests, and the budget would shrink with them."""
        state = repeats(extra=0.0)
        for number in range(200):
            record_arrival(state, Repeat.NONE, number * 0.05)
        self.assertTrue(is_within_budget(state, Repeat.OFFER, 0, False, 18.0))
        for _ in range(32):
            record_arrival(state, Repeat.OFFER, 18.0)
        self.assertFalse(is_within_budget(state, Repeat.OFFER, 0, False, 18.0))
