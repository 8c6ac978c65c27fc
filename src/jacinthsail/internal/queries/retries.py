"""Decides whether a call is sent once more."""

from functools import singledispatch

from jacinthsail.internal.model.calls import Answered, CallHead, NotRun, Reason, Unknown
from jacinthsail.internal.model.document import ClassPolicy, Execution
from jacinthsail.internal.model.retries import RetryState
from jacinthsail.internal.model.routing import RetryDecision

# Sending the call once more cannot change these outcomes.
FINAL_REASONS = frozenset(
    {
        Reason.UNKNOWN_SERVICE,
        Reason.UNKNOWN_CLASS,
        Reason.NO_TARGET,
        Reason.DEADLINE_EXPIRED,
        Reason.RETRIES_SPENT,
        Reason.KEY_REQUIRED,
        Reason.KEY_MALFORMED,
        Reason.KEY_FROM_FUTURE,
        Reason.KEY_REUSED,
    }
)


@singledispatch
def decide_retry(
    outcome: object, retries: RetryState, head: CallHead, policy: ClassPolicy, now: float
) -> RetryDecision:
    """Return whether the call is sent once more after this outcome."""
    raise NotImplementedError(f"no retry rule for {type(outcome).__name__}; register one")


@decide_retry.register
def _(
    outcome: Answered, retries: RetryState, head: CallHead, policy: ClassPolicy, now: float
) -> RetryDecision:
    return _give_up(Reason.TARGET_ANSWERED)


@decide_retry.register
def _(
    outcome: NotRun, retries: RetryState, head: CallHead, policy: ClassPolicy, now: float
) -> RetryDecision:
    return _within_budget(retries, head, outcome.reason, now)


@decide_retry.register
def _(
    outcome: Unknown, retries: RetryState, head: CallHead, policy: ClassPolicy, now: float
) -> RetryDecision:
    if policy.execution is Execution.AT_MOST_ONCE:
        return _give_up(outcome.reason)
    return _within_budget(retries, head, outcome.reason, now)


def _within_budget(
    retries: RetryState, head: CallHead, reason: Reason, now: float
) -> RetryDecision:
    if reason in FINAL_REASONS:
        return _give_up(reason)
    if now >= head.deadline:
        return _give_up(Reason.DEADLINE_EXPIRED)
    if allowance_of(retries, head.request_id) < 1:
        return _give_up(Reason.RETRIES_SPENT)
    return RetryDecision(again=True, delay_s=0.0, reason=reason)


def _give_up(reason: Reason) -> RetryDecision:
    return RetryDecision(again=False, delay_s=0.0, reason=reason)


def allowance_of(retries: RetryState, request_id: str) -> int:
    """Return how many retries the calls of a request may still use from this VM."""
    return retries["allowances"].get(request_id, 0)
