"""Admission control in front of the local target: which calls are queued, and which start next."""

from jacinthsail.internal.model.admission import (
    AdmissionDecision,
    AdmissionState,
    Admit,
    AdmitByEviction,
    QueuedCall,
    Refuse,
)
from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.limits import current_limit
from jacinthsail.internal.queries.nested import exceeds_nested_limit, exhausted_nested_keys
from jacinthsail.internal.queries.rank import MAX_IMPORTANCE, RANKS_PER_IMPORTANCE

# Delay after which a refused caller may retry, sent in the refusal.
RETRY_AFTER_S = 1.0

# A call crosses up to 6 queues, so one queue may take only a small part of a deadline of 1 to 2 s.
MIN_ACCEPTABLE_WAIT_S = 0.02

# With few slots, a single queued call already takes longer than the minimum above to start.
ACCEPTABLE_WAIT_PER_LATENCY = 0.5

# Long enough that a burst is not mistaken for a standing queue, and short enough that the threshold
# falls from its maximum to 0 in 1.4 s, within the 2 s allowed for recovery.
THRESHOLD_WINDOW_S = 0.1
THRESHOLD_STEP = RANKS_PER_IMPORTANCE // 4
MAX_RISE_STEPS = 4

# Calls of the highest importance are never below the threshold; only the queue length bounds them.
MAX_THRESHOLD = MAX_IMPORTANCE * RANKS_PER_IMPORTANCE


def queue_order(queued: QueuedCall) -> tuple[int, int, int]:
    """Return the sort key of the queue: highest rank first, then deepest, then oldest."""
    return (-queued.context.rank, -queued.context.depth, queued.ticket)


def arrival_order(queued: QueuedCall) -> tuple[int, int, int]:
    """Return the sort key of a queue that ignores rank: oldest first."""
    return (0, 0, queued.ticket)


def decide_admission(
    admission: AdmissionState, context: CallContext, now: float
) -> AdmissionDecision:
    """Return whether a call for the local target is admitted, refused, or admitted by eviction.

    If the queue is full or the threshold too high, a call that outranks the lowest queued call
    evicts that call instead of being refused.
    """
    if admission["draining"]:
        return Refuse(Reason.DRAINING, RETRY_AFTER_S)
    if current_limit(admission["limiter"]) < 1:
        return Refuse(Reason.NOT_READY, RETRY_AFTER_S)
    if is_deadline_drop_enabled(admission) and now >= context.deadline:
        return Refuse(Reason.DEADLINE_EXPIRED, 0.0)
    if can_bypass_queue(admission, context, now):
        return Admit()
    needed_s = expected_wait_s(admission, context) + admission["mean_latency_s"]
    if is_deadline_drop_enabled(admission) and now + needed_s >= context.deadline:
        return Refuse(Reason.DEADLINE_TOO_SHORT, RETRY_AFTER_S)
    if is_below_threshold(admission, context):
        return _in_place_of_lowest(admission, context, Reason.BELOW_THRESHOLD)
    if len(admission["queue"]) < admission["queue_length"]:
        return Admit()
    return _in_place_of_lowest(admission, context, Reason.QUEUE_FULL)


def _in_place_of_lowest(
    admission: AdmissionState, context: CallContext, reason: Reason
) -> AdmissionDecision:
    queue = admission["queue"]
    if Mechanism.IMPORTANCE in admission["disabled"] or not queue:
        return Refuse(reason, RETRY_AFTER_S)
    lowest: QueuedCall = queue[-1]
    if (lowest.context.rank, lowest.context.depth) < (context.rank, context.depth):
        return AdmitByEviction(lowest)
    return Refuse(reason, RETRY_AFTER_S)


def is_deadline_drop_enabled(admission: AdmissionState) -> bool:
    """Return whether calls that cannot finish before their deadline are refused."""
    return Mechanism.DEADLINE_DROP not in admission["disabled"]


def is_uncontended(admission: AdmissionState) -> bool:
    """Return whether a slot is free and no call is queued."""
    return not admission["queue"] and has_free_slot(admission)


def can_bypass_queue(admission: AdmissionState, context: CallContext, now: float) -> bool:
    """Return whether an arriving call may start without being queued.

    With nested limits, calls may be queued although a slot is free. They wait for services deeper
    in the chain, so they do not keep others from starting.
    """
    if not admission["nested_limits"]:
        return is_uncontended(admission)
    return has_free_slot(admission) and not exceeds_nested_limit(admission, context, now)


def is_below_threshold(admission: AdmissionState, context: CallContext) -> bool:
    """Return whether the rank of a call is below the threshold for being queued."""
    if Mechanism.IMPORTANCE in admission["disabled"]:
        return False
    return context.rank < admission["threshold"]


def advertised_threshold(admission: AdmissionState) -> int:
    """Return the threshold to report to peers: 0 while a slot is free, since any call may start."""
    if Mechanism.IMPORTANCE in admission["disabled"] or is_uncontended(admission):
        return 0
    return admission["threshold"]


def expected_wait_s(admission: AdmissionState, context: CallContext) -> float:
    """Return the expected wait of a call, counting only the queued calls that sort before it."""
    queue = admission["queue"]
    ahead = queue.bisect_right(QueuedCall(admission["next_ticket"], context, 0.0))
    return float(ahead + 1) * seconds_per_start(admission)


def seconds_per_start(admission: AdmissionState) -> float:
    """Return the expected time between two starts while the queue is not empty."""
    limit = current_limit(admission["limiter"])
    if admission["nested_limits"]:
        # Services deeper in the chain, rather than the slots, bound the calls in flight.
        limit = min(limit, len(admission["in_flight"]))
    return admission["mean_latency_s"] / max(1, limit)


def drain_time_s(admission: AdmissionState) -> float:
    """Return how long it takes until all queued calls have started.

    Measuring the waits of started calls would mislead, since calls of the highest ranks hardly wait
    however long the queue is.
    """
    return len(admission["queue"]) * seconds_per_start(admission)


def acceptable_wait_s(admission: AdmissionState) -> float:
    """Return the wait above which the threshold rises."""
    return max(MIN_ACCEPTABLE_WAIT_S, ACCEPTABLE_WAIT_PER_LATENCY * admission["mean_latency_s"])


def threshold_after_window(admission: AdmissionState, now: float) -> int:
    """Return the threshold after the window that ends now.

    Its shortest drain time counts, since a queue that drained within the window was only a burst.
    """
    threshold = admission["threshold"]
    shortest_s = admission["window_min_wait_s"]
    acceptable_s = acceptable_wait_s(admission)
    if shortest_s > acceptable_s:
        factor = min(MAX_RISE_STEPS, int(shortest_s / acceptable_s))
        return min(MAX_THRESHOLD, threshold + factor * THRESHOLD_STEP)
    windows = int((now - admission["window_start"]) / THRESHOLD_WINDOW_S)
    factor = 1 if shortest_s > 0 else 2
    return max(0, threshold - windows * factor * THRESHOLD_STEP)


def has_free_slot(admission: AdmissionState) -> bool:
    """Return whether the concurrency limit allows one more call in flight to the local target."""
    return len(admission["in_flight"]) < current_limit(admission["limiter"])


def next_call_to_start(admission: AdmissionState, now: float) -> QueuedCall | None:
    """Return the queued call to start next, or None if no call or no slot is available."""
    if not has_free_slot(admission) or not admission["queue"]:
        return None
    queued: QueuedCall
    full = exhausted_nested_keys(admission, now)
    for queued in admission["queue"]:
        # A plain tuple equals the NestedKey and takes a third of the time to create.
        context = queued.context
        if (context.service, context.call_class, context.rank // RANKS_PER_IMPORTANCE) not in full:
            return queued
    return None


def should_drop_queued(admission: AdmissionState, queued: QueuedCall, now: float) -> bool:
    """Return whether a queued call is dropped because it would finish after its deadline.

    With no call in flight it is started unless its deadline has passed, since only a finished call
    can show that the target is fast again.
    """
    if not is_deadline_drop_enabled(admission):
        return False
    needed_s = admission["mean_latency_s"] if admission["in_flight"] else 0.0
    return now + needed_s >= queued.context.deadline


def is_idle(admission: AdmissionState) -> bool:
    """Return whether no call is queued or in flight."""
    return not admission["queue"] and not admission["in_flight"]
