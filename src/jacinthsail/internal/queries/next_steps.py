"""Decides the next step after the outcome of one attempt of a request."""

from functools import singledispatch

from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.request_state import (
    FailRequest,
    ForwardedResponse,
    NextStep,
    RequestState,
    RetryAttempt,
    ReturnResponse,
)
from jacinthsail.internal.model.retry_budget import RetryKind
from jacinthsail.internal.model.statuses import (
    STATUS_BAD_GATEWAY,
    STATUS_NOT_RUN,
    STATUS_SERVER_ERROR,
    STATUS_TIMEOUT,
)

# Response statuses after which a retry at another target may succeed.
RETRYABLE_STATUSES = frozenset({STATUS_SERVER_ERROR, STATUS_BAD_GATEWAY, STATUS_NOT_RUN})

# Share of the route's target latency that another target needs to respond.
MIN_RETRY_TIME_SHARE = 0.1

# Maximum number of nodes that may refuse a request before it fails; each costs a round trip.
MAX_NODE_REFUSALS = 3

# Above this failure rate of the other targets, a failure is assumed to affect all targets.
SHARED_FAILURE_RATE = 0.2

# Number of refusals by targets after which a request is still retried.
MAX_TARGET_REFUSALS = 1

# The target itself received the request and reported that it did not execute it.
TARGET_REFUSAL_REASONS = frozenset({Reason.TARGET_REFUSED, Reason.TARGET_MISDIRECTED})

# Reasons for which an overloaded service refuses calls.
CAPACITY_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.CHAIN_FULL,
        Reason.DEADLINE_TOO_SHORT,
        Reason.RETRIES_SPENT,
        Reason.TARGET_REFUSED,
        Reason.NO_TARGET,
    }
)


# Those of them that fewer requests would avoid. A target that turns requests away at random, and a
# spent budget for retries, do not depend on how many requests are admitted.
ROOM_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.CHAIN_FULL, Reason.DEADLINE_TOO_SHORT, Reason.NO_TARGET}
)

# Refusals that every other target of the service would repeat.
FINAL_REFUSAL_REASONS = frozenset({Reason.RETRIES_SPENT, Reason.CHAIN_FULL})


@singledispatch
def next_step(
    outcome: object, request_state: RequestState, failure_rate_elsewhere: float, now: float
) -> NextStep:
    """Return the next step after the outcome of an attempt.

    ``failure_rate_elsewhere`` is the lowest failure rate among the targets not attempted yet.
    """
    raise NotImplementedError(f"no next step after {type(outcome).__name__}; register one")


@next_step.register
def _(
    outcome: ForwardedResponse,
    request_state: RequestState,
    failure_rate_elsewhere: float,
    now: float,
) -> NextStep:
    if outcome.status not in RETRYABLE_STATUSES or outcome.is_shed:
        # A retry would meet the same overloaded service.
        return ReturnResponse(outcome)
    if can_retry(request_state, failure_rate_elsewhere, now):
        return RetryAttempt(Reason.TARGET_ANSWERED, RetryKind.POSSIBLY_EXECUTED)
    return ReturnResponse(outcome)


@next_step.register
def _(
    outcome: NotRun, request_state: RequestState, failure_rate_elsewhere: float, now: float
) -> NextStep:
    if outcome.reason in TARGET_REFUSAL_REASONS:
        if request_state["target_refusals"] <= MAX_TARGET_REFUSALS and has_time_for_retry(
            request_state, now
        ):
            return RetryAttempt(outcome.reason, RetryKind.NOT_EXECUTED)
        return step_after_not_run(outcome.reason, request_state, outcome.retry_after_s)
    is_final = (
        outcome.reason in FINAL_REFUSAL_REASONS
        or request_state["node_refusals"] >= MAX_NODE_REFUSALS
    )
    if is_final or not has_time_for_retry(request_state, now):
        return step_after_not_run(outcome.reason, request_state, outcome.retry_after_s)
    return RetryAttempt(outcome.reason, request_state["retry_kind"])


@next_step.register
def _(
    outcome: Unknown, request_state: RequestState, failure_rate_elsewhere: float, now: float
) -> NextStep:
    if can_retry(request_state, failure_rate_elsewhere, now):
        return RetryAttempt(outcome.reason, RetryKind.POSSIBLY_EXECUTED)
    if now >= request_state["deadline"]:
        return FailRequest(STATUS_TIMEOUT, outcome.reason, 0.0)
    return FailRequest(STATUS_BAD_GATEWAY, outcome.reason, 0.0)


@singledispatch
def depends_on_other_targets(outcome: object) -> bool:
    """Return whether the step after an outcome depends on how often other targets fail."""
    return False


@depends_on_other_targets.register
def _(outcome: ForwardedResponse) -> bool:
    return outcome.status in RETRYABLE_STATUSES and not outcome.is_shed


@depends_on_other_targets.register
def _(outcome: Unknown) -> bool:
    return True


def is_target_failure(target_response: ForwardedResponse) -> bool:
    """Return whether a response counts as a failure of the target.

    A target that is too slow responds with a timeout status. A failure because a downstream service
    shed a nested call does not count.
    """
    if target_response.is_shed:
        return False
    return target_response.status in RETRYABLE_STATUSES or target_response.status == STATUS_TIMEOUT


def step_after_not_run(
    reason: Reason, request_state: RequestState, retry_after_s: float
) -> NextStep:
    """Return the final step after the last attempt was not executed.

    An earlier attempt of a repeatable request may have executed. If it returned a response, the
    caller gets that one; otherwise the status leaves open whether the request executed.
    """
    if request_state["failed_response"] is not None:
        return ReturnResponse(request_state["failed_response"])
    if request_state["may_have_executed"]:
        return FailRequest(STATUS_BAD_GATEWAY, reason, 0.0)
    return FailRequest(STATUS_NOT_RUN, reason, retry_after_s)


def is_repeatable(request_state: RequestState) -> bool:
    """Return whether the request may be executed more than once."""
    return request_state["route"].execution is Execution.REPEATABLE


def has_time_for_retry(request_state: RequestState, now: float) -> bool:
    """Return whether the remaining time suffices for a response of another target."""
    needed_s = MIN_RETRY_TIME_SHARE * request_state["route"].target_latency_s
    return request_state["deadline"] - now > needed_s


def can_retry(request_state: RequestState, failure_rate_elsewhere: float, now: float) -> bool:
    """Return whether a request that may have executed may be retried at one more target.

    While every target fails many of its calls, a retry would fail like the first attempt, and its
    nested calls would use up the retry budget of downstream services.
    """
    if not is_repeatable(request_state) or not has_time_for_retry(request_state, now):
        return False
    if failure_rate_elsewhere > SHARED_FAILURE_RATE:
        return False
    return len(request_state["attempted_targets"]) < request_state["route"].max_attempts
