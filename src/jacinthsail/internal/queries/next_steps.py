"""Decides what follows the outcome of one send of a request."""

from functools import singledispatch

from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.request_state import (
    Deliver,
    Exchange,
    GiveUp,
    NextStep,
    SendAgain,
    TargetAnswer,
)
from jacinthsail.internal.model.retry_budget import Repeat
from jacinthsail.internal.model.statuses import (
    STATUS_BAD_GATEWAY,
    STATUS_NOT_RUN,
    STATUS_SERVER_ERROR,
    STATUS_TIMEOUT,
)

# Statuses of a target that another target may turn into a success.
REPEATED_STATUSES = frozenset({STATUS_SERVER_ERROR, STATUS_BAD_GATEWAY, STATUS_NOT_RUN})

# Another target needs about this share of the route's target latency to answer.
MIN_REPEAT_SHARE = 0.1

# Nodes that may refuse one request before its caller is told; each costs a round trip.
MAX_REFUSALS = 3

# From this share of failing calls on, a failure is taken for one that the targets share.
SHARED_FAILURE = 0.2

# Targets that may turn one request away before its caller is told.
MAX_BOUNCES = 1

# The target itself was offered the request and said that it did not run it.
REFUSED_BY_TARGET = frozenset({Reason.TARGET_REFUSED, Reason.TARGET_MISDIRECTED})

# A service with more work than it can do refuses calls for one of these reasons.
NO_ROOM_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.DEADLINE_TOO_SHORT,
        Reason.RETRIES_SPENT,
        Reason.TARGET_REFUSED,
        Reason.NO_TARGET,
    }
)


@singledispatch
def next_step(
    outcome: object, exchange: Exchange, failing_elsewhere: float, now: float
) -> NextStep:
    """Return what follows an outcome.

    ``failing_elsewhere`` is the share of calls that the best other target fails.
    """
    raise NotImplementedError(f"no next step after {type(outcome).__name__}; register one")


@next_step.register
def _(outcome: TargetAnswer, exchange: Exchange, failing_elsewhere: float, now: float) -> NextStep:
    if outcome.status not in REPEATED_STATUSES or outcome.is_shed:
        # Another run would meet the same lack of room.
        return Deliver(outcome)
    if can_run_again(exchange, failing_elsewhere, now):
        return SendAgain(Reason.TARGET_ANSWERED, Repeat.RUN)
    return Deliver(outcome)


@next_step.register
def _(outcome: NotRun, exchange: Exchange, failing_elsewhere: float, now: float) -> NextStep:
    if outcome.reason in REFUSED_BY_TARGET:
        if exchange["bounces"] <= MAX_BOUNCES and has_time(exchange, now):
            return SendAgain(outcome.reason, Repeat.OFFER)
        return after_not_run(outcome.reason, exchange, outcome.retry_after_s)
    is_final = outcome.reason is Reason.RETRIES_SPENT or exchange["refusals"] >= MAX_REFUSALS
    if is_final or not has_time(exchange, now):
        return after_not_run(outcome.reason, exchange, outcome.retry_after_s)
    return SendAgain(outcome.reason, exchange["repeat"])


@next_step.register
def _(outcome: Unknown, exchange: Exchange, failing_elsewhere: float, now: float) -> NextStep:
    if can_run_again(exchange, failing_elsewhere, now):
        return SendAgain(outcome.reason, Repeat.RUN)
    if now >= exchange["deadline"]:
        return GiveUp(STATUS_TIMEOUT, outcome.reason, 0.0)
    return GiveUp(STATUS_BAD_GATEWAY, outcome.reason, 0.0)


def is_fault_of_target(answer: TargetAnswer) -> bool:
    """Tell whether an answer speaks against the target.

    A target that is too slow answers with a timeout of its own. It is not at fault when a service
    behind it has no room.
    """
    if answer.is_shed:
        return False
    return answer.status in REPEATED_STATUSES or answer.status == STATUS_TIMEOUT


def after_not_run(reason: Reason, exchange: Exchange, retry_after_s: float) -> NextStep:
    """Return the final answer when the last target did not run the request.

    An earlier send of a repeatable request may have run. If it brought an answer, the caller gets
    that one; otherwise nothing is promised.
    """
    if exchange["failed_answer"] is not None:
        return Deliver(exchange["failed_answer"])
    if exchange["unsettled"]:
        return GiveUp(STATUS_BAD_GATEWAY, reason, 0.0)
    return GiveUp(STATUS_NOT_RUN, reason, retry_after_s)


def is_repeatable(exchange: Exchange) -> bool:
    """Tell whether the request may run more than once."""
    return exchange["route"].execution is Execution.REPEATABLE


def has_time(exchange: Exchange, now: float) -> bool:
    """Tell whether another target could still answer in time."""
    needed_s = MIN_REPEAT_SHARE * exchange["route"].target_latency_s
    return exchange["deadline"] - now > needed_s


def can_run_again(exchange: Exchange, failing_elsewhere: float, now: float) -> bool:
    """Tell whether a request that may have run may be sent to one more target.

    While every target fails many of its calls, another run would fail like the first one, and the
    calls that it makes again take the repeats of the services behind.
    """
    if not is_repeatable(exchange) or not has_time(exchange, now):
        return False
    if failing_elsewhere > SHARED_FAILURE:
        return False
    return len(exchange["offered"]) < exchange["route"].max_attempts
