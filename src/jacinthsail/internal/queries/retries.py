"""Decides whether a call is retried."""

from functools import singledispatch
from random import Random

from jacinthsail.internal.model.calls import Answered, CallContext, NotRun, Reason, Unknown
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.retries import Attempt, RetryAllowance, RetryBudget, RetryState
from jacinthsail.internal.model.routing import RetryDecision
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.backoff import backoff_s

# Keeps retries a small share of the traffic while a service is slow.
TOKENS_PER_SUCCESS = 0.1

# A class with few calls earns too few tokens from successes, so a minimum is refilled over time.
MIN_TOKENS = 3.0
MIN_TOKENS_PER_S = 0.2

# Bounds a burst of retries after a long time without failures.
MAX_TOKENS = 50.0

# Without jitter, calls that were refused together would be retried together.
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.32

# A retry cannot change an outcome with one of these reasons.
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
    """Return whether, and after which delay, a call is retried after the outcome of an attempt."""
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
    delay_s = retry_delay_s(attempt.number, random)
    if now + delay_s >= attempt.context.deadline:
        return _give_up(Reason.DEADLINE_EXPIRED)
    if not has_retry_budget(retries, attempt.context, now):
        return _give_up(Reason.RETRIES_SPENT)
    return RetryDecision(should_retry=True, delay_s=delay_s, reason=reason)


def _give_up(reason: Reason) -> RetryDecision:
    return RetryDecision(should_retry=False, delay_s=0.0, reason=reason)


def retry_delay_s(number: int, random: Random) -> float:
    """Return the delay with jitter after a failed attempt; attempts are numbered from 1."""
    longest_s = backoff_s(INITIAL_BACKOFF_S, MAX_BACKOFF_S, number)
    return random.uniform(longest_s / 2, longest_s)


def has_retry_budget(retries: RetryState, context: CallContext, now: float) -> bool:
    """Return whether both the request and its call class have a retry left."""
    if Mechanism.RETRY_BUDGET in retries["disabled"]:
        return True
    if remaining_retries(retries, context.request_id) < 1:
        return False
    return refilled_budget(retries, context, now).tokens >= 1


def granted_retries(requested: int, depth: int, from_target: bool) -> int:
    """Return the retries granted to an arriving call; ``depth`` is 0 if it came without context.

    A call from the local target is always nested. Without its parent's context it would receive an
    allowance of its own, and each level of such calls would multiply the attempts.
    """
    return 0 if from_target and depth == 0 else requested


def remaining_retries(retries: RetryState, request_id: str) -> int:
    """Return how many retries the calls of a request may still use on this VM."""
    return retries["allowances"].get(request_id, RetryAllowance(0, 0)).retries


def has_nested_call(retries: RetryState, request_id: str) -> bool:
    """Return whether the local target has made a nested call for a request that it serves."""
    return retries["allowances"].get(request_id, RetryAllowance(0, 0)).has_nested


def budget_key(context: CallContext) -> str:
    """Return the budget key of a call class; class names are unique only within a service."""
    return f"{context.service}/{context.call_class}"


def refilled_budget(retries: RetryState, context: CallContext, now: float) -> RetryBudget:
    """Return the retry budget of a call class, including the tokens refilled over time."""
    budget = retries["budgets"].get(budget_key(context))
    if budget is None:
        return RetryBudget(MIN_TOKENS, now)
    refilled = budget.tokens + MIN_TOKENS_PER_S * (now - budget.counted_at)
    return RetryBudget(max(budget.tokens, min(MIN_TOKENS, refilled)), now)
