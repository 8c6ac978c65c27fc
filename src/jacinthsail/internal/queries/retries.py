"""Decides whether a call is sent once more."""

from functools import singledispatch
from random import Random

from jacinthsail.internal.model.calls import Answered, CallHead, NotRun, Reason, Unknown
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.retries import Allowance, Attempt, RetryBudget, RetryState
from jacinthsail.internal.model.routing import RetryDecision
from jacinthsail.internal.model.settings import Mechanism

# Retries stay a small share of traffic while a service is slow.
TOKENS_PER_SUCCESS = 0.1

# A class with few calls earns no tokens when it needs them, so some come with time.
FLOOR_TOKENS = 3.0
FLOOR_TOKENS_PER_S = 0.2

# A quiet hour must not pay for a storm of retries.
MAX_TOKENS = 50.0

# Without jitter the calls that were refused together would return together.
FIRST_BACK_OFF_S = 0.01
LONGEST_BACK_OFF_S = 0.32

# Sending the call once more cannot change these outcomes.
FINAL_REASONS = frozenset(
    {
        Reason.UNKNOWN_CLASS,
        Reason.NO_TARGET,
        Reason.BELOW_EVERY_THRESHOLD,
        Reason.DEADLINE_EXPIRED,
        Reason.RETRIES_SPENT,
        Reason.CALLER_GONE,
        Reason.KEY_REQUIRED,
        Reason.KEY_MALFORMED,
        Reason.KEY_FROM_FUTURE,
        Reason.KEY_REUSED,
    }
)


@singledispatch
def decide_retry(
    outcome: object, retries: RetryState, attempt: Attempt, now: float, random: Random
) -> RetryDecision:
    """Return whether the call is sent once more after the outcome of an attempt."""
    raise NotImplementedError(f"no retry rule for {type(outcome).__name__}; register one")


@decide_retry.register
def _(
    outcome: Answered, retries: RetryState, attempt: Attempt, now: float, random: Random
) -> RetryDecision:
    return _give_up(Reason.TARGET_ANSWERED)


@decide_retry.register
def _(
    outcome: NotRun, retries: RetryState, attempt: Attempt, now: float, random: Random
) -> RetryDecision:
    return _within_budget(retries, attempt, outcome.reason, now, random)


@decide_retry.register
def _(
    outcome: Unknown, retries: RetryState, attempt: Attempt, now: float, random: Random
) -> RetryDecision:
    if attempt.policy.execution is Execution.AT_MOST_ONCE:
        return _give_up(outcome.reason)
    return _within_budget(retries, attempt, outcome.reason, now, random)


def _within_budget(
    retries: RetryState, attempt: Attempt, reason: Reason, now: float, random: Random
) -> RetryDecision:
    if reason in FINAL_REASONS:
        return _give_up(reason)
    delay_s = back_off_s(attempt.number, random)
    if now + delay_s >= attempt.head.deadline:
        return _give_up(Reason.DEADLINE_EXPIRED)
    if not may_spend_retry(retries, attempt.head, now):
        return _give_up(Reason.RETRIES_SPENT)
    return RetryDecision(again=True, delay_s=delay_s, reason=reason)


def _give_up(reason: Reason) -> RetryDecision:
    return RetryDecision(again=False, delay_s=0.0, reason=reason)


def back_off_s(number: int, random: Random) -> float:
    """Return how long to wait after a failed attempt; the first has the number 1."""
    longest_s = min(LONGEST_BACK_OFF_S, FIRST_BACK_OFF_S * 2.0 ** (number - 1))
    return random.uniform(longest_s / 2, longest_s)


def may_spend_retry(retries: RetryState, head: CallHead, now: float) -> bool:
    """Tell whether both the request and its class have a retry left."""
    if Mechanism.RETRY_BUDGET in retries["disabled"]:
        return True
    if allowance_of(retries, head.request_id) < 1:
        return False
    return budget_of(retries, head, now).tokens >= 1


def granted_retries(asked: int, depth: int, from_target: bool) -> int:
    """Return the retries of a call on arrival, where ``depth`` is 0 if it came without context.

    A call of the own target is nested in another one. Without its context it would start with an
    allowance of its own, and each level of such calls would multiply the attempts.
    """
    return 0 if from_target and depth == 0 else asked


def allowance_of(retries: RetryState, request_id: str) -> int:
    """Return how many retries the calls of a request may still use from this VM."""
    return retries["allowances"].get(request_id, Allowance(0, 0)).retries


def has_nested_call(retries: RetryState, request_id: str) -> bool:
    """Tell whether the own target has made a call for a request that it serves."""
    return retries["allowances"].get(request_id, Allowance(0, 0)).has_nested


def budget_key(head: CallHead) -> str:
    """Return the key of a class's budget; class names are unique within a service only."""
    return f"{head.service}/{head.call_class}"


def budget_of(retries: RetryState, head: CallHead, now: float) -> RetryBudget:
    """Return the budget of a call's class with the tokens that came with time."""
    budget = retries["budgets"].get(budget_key(head))
    if budget is None:
        return RetryBudget(FLOOR_TOKENS, now)
    refilled = budget.tokens + FLOOR_TOKENS_PER_S * (now - budget.counted_at)
    return RetryBudget(max(budget.tokens, min(FLOOR_TOKENS, refilled)), now)
