"""Decides when the steps of a planned stop happen, and about requests that arrive during it."""

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.request_state import EntryDecision, RespondLocally
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN
from jacinthsail.internal.model.stopping import StopSchedule
from jacinthsail.internal.queries.manifest_routes import MIN_REMAINING_S
from jacinthsail.internal.queries.target_queue import RETRY_AFTER_UNREACHABLE_S

# Readiness is probed every second, and callers are sent elsewhere after two failed probes; requests
# that arrive until then must be served.
READINESS_PROPAGATION_S = 2.6

# Requests for the local target are accepted until this long before the callers are refused.
# Refusing them for all of READINESS_PROPAGATION_S would leave its slots unused for longer than the
# restart takes.
DRAIN_BEFORE_REFUSAL_S = 0.5

# New connections of callers are accepted for up to this much longer while requests are in flight at
# the local target, because they may make nested calls through it. Nearly all of them finish within
# this time, and waiting longer would let new callers connect.
NESTED_CALLS_DRAIN_S = 0.6

# A request whose target is still at work in this last share of the grace period may be cut. A
# response that leaves its target before must still reach the caller, also from another region, so
# the margins below are parts of this share.
EXCUSED_SHARE = 1 / 6

# Requests still in progress this long before the end of the grace period are cut, and the process
# exits this long before it. Both are shorter if the grace period is shorter than 6 s.
CUT_MARGIN_S = 0.75
EXIT_MARGIN_S = 0.3
CUT_SHARE = 0.75
EXIT_SHARE = 0.3

# Time for the last response of a nested call to arrive before the requests in progress are cut.
NESTED_RESPONSE_SHARE = 1 / 3


def stop_schedule(started: float, grace_s: float) -> StopSchedule:
    """Return the times of the steps of a stop that began at ``started``.

    The process is killed ``grace_s`` after the signal, so every step is before that, however short
    the grace period is.

        >>> stop_schedule(100.0, 6.0).refuses_at
        102.6
    """
    ends_at = started + grace_s
    excused_s = EXCUSED_SHARE * grace_s
    cut_margin_s = min(CUT_MARGIN_S, CUT_SHARE * excused_s)
    nested_calls_end_at = ends_at - (1.0 + NESTED_RESPONSE_SHARE) * cut_margin_s
    refuses_at = min(nested_calls_end_at, started + READINESS_PROPAGATION_S)
    return StopSchedule(
        target_refuses_at=max(started, refuses_at - DRAIN_BEFORE_REFUSAL_S),
        refuses_at=refuses_at,
        stops_listening_at=min(nested_calls_end_at, refuses_at + NESTED_CALLS_DRAIN_S),
        nested_calls_end_at=nested_calls_end_at,
        cuts_at=ends_at - cut_margin_s,
        exits_at=ends_at - min(EXIT_MARGIN_S, EXIT_SHARE * excused_s),
    )


def decide_entry_while_stopping(
    decision: EntryDecision, is_nested: bool, ends_at: float, now: float
) -> EntryDecision:
    """Return the decision about a request that arrives after the callers were sent elsewhere.

    The process ends soon after ``ends_at`` and would cut the request if it were still in progress.
    A new request can be served by another node. A nested call belongs to a request that the local
    target still runs, and fails it if it is refused, so it gets the time that is left.
    """
    if isinstance(decision, RespondLocally):
        return decision
    if not is_nested or ends_at - now < MIN_REMAINING_S:
        return RespondLocally(STATUS_NOT_RUN, Reason.DRAINING, RETRY_AFTER_UNREACHABLE_S)
    return decision._replace(deadline=min(decision.deadline, ends_at))
