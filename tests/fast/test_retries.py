"""Tests the bounds on retries."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.retries import (
    close_allowance,
    end_retries,
    open_allowance,
    record_success,
    return_allowance,
    spend_retry,
    take_allowance,
)
from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.document import ClassPolicy, Execution, SpillOver
from jacinthsail.internal.model.retries import Attempt
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.retries import (
    FINAL_REASONS,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_TOKENS,
    MIN_TOKENS,
    MIN_TOKENS_PER_S,
    TOKENS_PER_SUCCESS,
    decide_retry,
    refilled_budget,
    remaining_retries,
    retry_delay_s,
)
from tests.common.call_factories import call_context

STEADY = settings(derandomize=True, print_blob=True, deadline=None, max_examples=100)
POLICY = ClassPolicy("view", 1, Execution.REPEATABLE, 2000, 2, SpillOver.REGION)
REFUSED = NotRun(Reason.QUEUE_FULL, 0)
CONTEXT = call_context()


def new_retries(disabled=frozenset()):
    return {"disabled": disabled, "budgets": {}, "allowances": {}}


def decide(retries, outcome=REFUSED, context=CONTEXT, policy=POLICY, attempt=1, now=0.0):
    return decide_retry(outcome, retries, Attempt(context, policy, attempt), now, Random(1))


class BudgetTest(unittest.TestCase):
    @STEADY
    @given(
        events=st.lists(st.tuples(st.booleans(), st.floats(0.0, 2.0)), min_size=30, max_size=300),
        quiet_s=st.floats(0.0, 10_000.0),
    )
    def test_retries_are_a_small_share_of_successes(self, events, quiet_s):
        """Retries that grow with failures sustain an overload after its trigger has ended."""
        retries = new_retries()
        now = quiet_s
        successes = spent = 0
        for succeeds, pause_s in events:
            now += pause_s
            if succeeds:
                record_success(retries, CONTEXT, now)
                successes += 1
                continue
            context = CONTEXT._replace(deadline=now + 100)
            open_allowance(retries, context.request_id, 2)
            if decide(retries, context=context, now=now).should_retry:
                spend_retry(retries, context, now)
                spent += 1
            close_allowance(retries, context.request_id)
        floor = MIN_TOKENS + MIN_TOKENS_PER_S * (now - quiet_s)
        self.assertLessEqual(spent, TOKENS_PER_SUCCESS * successes + floor + 1e-6)

    def test_quiet_class_may_still_retry(self):
        """A class with one call an hour earns no tokens, yet a failed call must be retried."""
        retries = new_retries()
        for hour in range(5):
            now = hour * 3600.0
            context = CONTEXT._replace(deadline=now + 1)
            open_allowance(retries, context.request_id, 2)
            with self.subTest(hour=hour):
                self.assertTrue(decide(retries, context=context, now=now).should_retry)
            spend_retry(retries, context, now)
            close_allowance(retries, context.request_id)

    def test_saved_tokens_are_bounded(self):
        """Tokens saved over a quiet day would allow a retry storm."""
        retries = new_retries()
        for _ in range(10_000):
            record_success(retries, CONTEXT, 0.0)
        self.assertEqual(refilled_budget(retries, CONTEXT, 0.0).tokens, MAX_TOKENS)

    def test_classes_have_separate_budgets(self):
        """A failing class must not use up the retries of its namesake in another service."""
        retries = new_retries()
        open_allowance(retries, CONTEXT.request_id, 20)
        while decide(retries).should_retry:
            spend_retry(retries, CONTEXT, 0.0)
        self.assertEqual(decide(retries).reason, Reason.RETRIES_SPENT)
        self.assertTrue(decide(retries, context=CONTEXT._replace(service="billing")).should_retry)

    def test_without_retry_budget_only_the_deadline_bounds_retries(self):
        """The negative control of the retry scenarios must run without the budgets."""
        retries = new_retries(frozenset({Mechanism.RETRY_BUDGET}))
        self.assertTrue(decide(retries, attempt=50).should_retry)
        self.assertFalse(decide(retries, now=CONTEXT.deadline).should_retry)


class DecisionTest(unittest.TestCase):
    def setUp(self):
        self.retries = new_retries()
        open_allowance(self.retries, CONTEXT.request_id, 2)

    def test_only_unexecuted_or_repeatable_calls_are_retried(self):
        """A billing claim with an indeterminate outcome must not be retried."""
        once = POLICY._replace(execution=Execution.AT_MOST_ONCE)
        unknown = Unknown(Reason.CONNECTION_LOST, 0)
        self.assertTrue(decide(self.retries, unknown).should_retry)
        self.assertFalse(decide(self.retries, unknown, policy=once).should_retry)
        self.assertTrue(decide(self.retries, policy=once).should_retry)
        self.assertFalse(decide(self.retries, Answered(500, "", b"", 2)).should_retry)

    def test_final_reasons_are_not_retried(self):
        """Retrying a call that cannot be routed spends tokens that other calls need."""
        for reason in FINAL_REASONS:
            with self.subTest(reason=reason):
                self.assertFalse(decide(self.retries, NotRun(reason, 2)).should_retry)

    def test_no_retry_that_would_start_after_the_deadline(self):
        """A retry that starts too late is wasted work."""
        context = CONTEXT._replace(deadline=INITIAL_BACKOFF_S / 4)
        self.assertEqual(decide(self.retries, context=context).reason, Reason.DEADLINE_EXPIRED)

    def test_spent_budget_leaves_nothing_to_upper_layers(self):
        """Each layer that retries after a lower layer has stopped multiplies the load."""
        for _ in range(int(MIN_TOKENS)):
            spend_retry(self.retries, CONTEXT._replace(request_id="other"), 0.0)
        decision = decide(self.retries)
        self.assertEqual(decision.reason, Reason.RETRIES_SPENT)
        end_retries(self.retries, CONTEXT.request_id, decision)
        self.assertEqual(remaining_retries(self.retries, CONTEXT.request_id), 0)

    @STEADY
    @given(attempt=st.integers(1, 100), seed=st.integers(0, 2**32))
    def test_backoff_grows_within_bounds_and_is_reproducible_by_seed(self, attempt, seed):
        """Synchronized retries would overload the target in waves."""
        delay_s = retry_delay_s(attempt, Random(seed))
        longest_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempt - 1))
        self.assertLessEqual(longest_s / 2, delay_s)
        self.assertLessEqual(delay_s, longest_s)
        self.assertEqual(delay_s, retry_delay_s(attempt, Random(seed)))

    def test_backoff_is_jittered(self):
        """Without jitter, calls that were refused together would be retried together."""
        random = Random(1)
        self.assertEqual(len({retry_delay_s(3, random) for _ in range(50)}), 50)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("call", "respond", "lose", "finish parent", "retry")), st.integers(0, 5)
    ),
    min_size=20,
    max_size=80,
)


class AllowanceTest(unittest.TestCase):
    @STEADY
    @given(granted=st.integers(0, 5), parents=st.integers(1, 3), steps=STEPS)
    def test_retries_of_a_request_are_bounded_in_any_order(self, granted, parents, steps):
        """Parallel nested calls, lost responses and late responses must never add a retry."""
        retries = new_retries()
        request_id = CONTEXT.request_id
        open_allowance(retries, request_id, granted)
        for _ in range(parents - 1):
            open_allowance(retries, request_id, 0)
        outgoing = []
        spent = 0
        for step, choice in steps:
            if step == "call":
                outgoing.append(remaining_retries(retries, request_id))
                take_allowance(retries, request_id)
            if step == "respond" and outgoing:
                amount = outgoing.pop(choice % len(outgoing))
                return_allowance(retries, request_id, amount)
            if step == "lose" and outgoing:
                outgoing.pop(choice % len(outgoing))
            if step == "finish parent" and parents:
                close_allowance(retries, request_id)
                parents -= 1
            if step == "retry" and remaining_retries(retries, request_id):
                spend_retry(retries, CONTEXT, 0.0)
                spent += 1
            total = spent + sum(outgoing) + remaining_retries(retries, request_id)
            self.assertLessEqual(total, granted)
            self.assertEqual(request_id in retries["allowances"], parents > 0)

    def test_response_after_its_parent_leaves_no_entry(self):
        """Nested calls that end after their parent must not leak allowances."""
        retries = new_retries()
        open_allowance(retries, "r", 2)
        take_allowance(retries, "r")
        close_allowance(retries, "r")
        return_allowance(retries, "r", 2)
        self.assertEqual(retries["allowances"], {})

    def test_nested_call_without_a_parent_gets_no_retries(self):
        """A call that only claims to be nested must not create an allowance."""
        retries = new_retries()
        take_allowance(retries, "r")
        return_allowance(retries, "r", 2)
        self.assertEqual(remaining_retries(retries, "r"), 0)
        self.assertEqual(retries["allowances"], {})
