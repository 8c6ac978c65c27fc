"""Tests the retry budget that a node keeps for its local target."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.retry_budget import record_attempt, record_retry_demand
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.retry_budget import RetryKind
from jacinthsail.internal.model.target_queue import RejectRequest
from jacinthsail.internal.queries.retry_budget import is_within_retry_budget
from jacinthsail.internal.queries.target_queue import decide_arrival
from tests.common.fleets import forwarded, retry_budget, target_queue

STEADY = settings(derandomize=True, deadline=None, max_examples=100)

EVENTS = st.lists(
    st.tuples(
        st.floats(0.0, 0.2), st.sampled_from(tuple(RetryKind)), st.integers(0, 5), st.booleans()
    ),
    max_size=400,
)


class TargetRetryBudgetTest(unittest.TestCase):
    @STEADY
    @given(EVENTS)
    def test_refusable_retries_stay_within_the_budget_of_every_window(self, events):
        """Retries during a slowdown would multiply the load that caused it."""
        state = retry_budget(extra=4.0)
        now = 0.0
        first_attempts = []
        refusable = []
        inherited = []
        for gap_s, kind, rank, multiplies in events:
            now += gap_s
            record_retry_demand(state, kind, rank, now)
            if not is_within_retry_budget(state, kind, rank, multiplies, now):
                continue
            record_attempt(state, kind, now)
            if kind is RetryKind.NONE:
                first_attempts.append(now)
            elif kind is RetryKind.INHERITED:
                inherited.append(now)
            else:
                refusable.append(now)
        for end in refusable:
            retried = sum(1 for at in refusable + inherited if end - 10.0 < at <= end)
            sent = sum(1 for at in first_attempts if end - 21.0 < at <= end)
            calls = sum(1 for at in inherited if end - 10.0 < at <= end)
            self.assertLessEqual(retried - calls, 0.2 * sent + 4.0)

    def test_spent_budget_refuses_new_retries_only(self):
        """Refusing the nested calls of a retry would waste the work already done for it."""
        state = retry_budget(extra=5.0)
        for _ in range(9):
            record_attempt(state, RetryKind.INHERITED, 0.0)
        for kind, is_refused in (
            (RetryKind.POSSIBLY_EXECUTED, True),
            (RetryKind.NOT_EXECUTED, True),
            (RetryKind.INHERITED, False),
        ):
            with self.subTest(kind=kind):
                decision = decide_arrival(target_queue(), state, forwarded(retry_kind=kind), 0.1)
                self.assertEqual(isinstance(decision, RejectRequest), is_refused)
                if is_refused:
                    self.assertEqual(decision.reason, Reason.RETRIES_SPENT)

    def test_retries_are_reserved_for_important_requests_that_need_them(self):
        """While a service refuses half of its requests, lookups would use up all retries."""
        state = retry_budget(extra=20.0)
        for number in range(20):
            record_retry_demand(state, RetryKind.NOT_EXECUTED, 0, 0.05 * number)
        self.assertFalse(is_within_retry_budget(state, RetryKind.NOT_EXECUTED, 5, False, 1.0))
        self.assertTrue(is_within_retry_budget(state, RetryKind.NOT_EXECUTED, 0, False, 1.0))

    def test_lookups_use_the_budget_that_no_other_request_needs(self):
        """A fault that affects only lookups would fail them while the budget is unused."""
        state = retry_budget(extra=20.0)
        for number in range(7):
            self.assertTrue(
                is_within_retry_budget(state, RetryKind.POSSIBLY_EXECUTED, 5, False, 0.1 * number)
            )
            record_attempt(state, RetryKind.POSSIBLY_EXECUTED, 0.1 * number)

    def test_retries_that_make_nested_calls_are_few(self):
        """A retry that makes four nested calls again uses four retries of the nested service."""
        state = retry_budget(extra=20.0)
        record_attempt(state, RetryKind.POSSIBLY_EXECUTED, 0.0)
        self.assertFalse(is_within_retry_budget(state, RetryKind.POSSIBLY_EXECUTED, 0, True, 0.1))
        self.assertTrue(is_within_retry_budget(state, RetryKind.POSSIBLY_EXECUTED, 0, False, 0.1))

    def test_retries_continue_while_a_failing_service_gets_fewer_requests(self):
        """Chains that fail early make fewer requests, which must not shrink the budget at once."""
        state = retry_budget(extra=0.0)
        for number in range(200):
            record_attempt(state, RetryKind.NONE, number * 0.05)
        self.assertTrue(is_within_retry_budget(state, RetryKind.NOT_EXECUTED, 0, False, 18.0))
        for _ in range(32):
            record_attempt(state, RetryKind.NOT_EXECUTED, 18.0)
        self.assertFalse(is_within_retry_budget(state, RetryKind.NOT_EXECUTED, 0, False, 18.0))
