"""Decides which calls wait for the own target, and which start next."""

from jacinthsail.internal.model.admission import (
    AdmissionDecision,
    AdmissionState,
    Admit,
    AdmitByEviction,
    QueuedCall,
    Refuse,
)
from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.limits import limit_of
from jacinthsail.internal.queries.nested import exceeds_nested_limit, full_nested_keys
from jacinthsail.internal.queries.rank import MAX_IMPORTANCE, RANKS_PER_IMPORTANCE

# How long a refused caller is asked to wait before it tries again.
RETRY_AFTER_S = 1.0

# A call crosses up to 6 queues, so one queue may cost only a small part of a deadline of 1 to 2 s.
TARGET_WAIT_S = 0.02

# With few slots one waiting call already takes longer than that to start.
TARGET_WAIT_PER_LATENCY = 0.5

# Long enough that a burst is not taken for a standing queue, short enough that the threshold falls
# from the highest value to 0 in 1.4 s, within the 2 s allowed for recovery.
THRESHOLD_WINDOW_S = 0.1
THRESHOLD_STEP = RANKS_PER_IMPORTANCE // 4
FASTEST_RISE = 4

# The most important calls are bounded by the queue alone.
MAX_THRESHOLD = MAX_IMPORTANCE * RANKS_PER_IMPORTANCE


def queue_order(queued: QueuedCall) -> tuple[int, int, int]:
    """Return the sort key of the queue: best rank first, then deepest, then oldest."""
    return (-queued.head.rank, -queued.head.depth, queued.ticket)


def arrival_order(queued: QueuedCall) -> tuple[int, int, int]:
    """Return the sort key of a queue that ignores importance: oldest first."""
    return (0, 0, queued.ticket)


def decide_admission(admission: AdmissionState, head: CallHead, now: float) -> AdmissionDecision:
    """Return whether a call for the own target may wait for a slot.

    A call that is refused for want of room never outranks a call that waits: where it does, it
    takes the place of the lowest one instead.
    """
    if admission["draining"]:
        return Refuse(Reason.DRAINING, RETRY_AFTER_S)
    if limit_of(admission["limiter"]) < 1:
        return Refuse(Reason.NOT_READY, RETRY_AFTER_S)
    if drops_expired(admission) and now >= head.deadline:
        return Refuse(Reason.DEADLINE_EXPIRED, 0.0)
    if may_start(admission, head, now):
        return Admit()
    needed_s = expected_wait_s(admission, head) + admission["mean_latency_s"]
    if drops_expired(admission) and now + needed_s >= head.deadline:
        return Refuse(Reason.DEADLINE_TOO_SHORT, RETRY_AFTER_S)
    if is_below_threshold(admission, head):
        return _in_place_of_lowest(admission, head, Reason.BELOW_THRESHOLD)
    if len(admission["queue"]) < admission["queue_length"]:
        return Admit()
    return _in_place_of_lowest(admission, head, Reason.QUEUE_FULL)


def _in_place_of_lowest(
    admission: AdmissionState, head: CallHead, reason: Reason
) -> AdmissionDecision:
    queue = admission["queue"]
    if Mechanism.IMPORTANCE in admission["disabled"] or not queue:
        return Refuse(reason, RETRY_AFTER_S)
    lowest: QueuedCall = queue[-1]
    if (lowest.head.rank, lowest.head.depth) < (head.rank, head.depth):
        return AdmitByEviction(lowest)
    return Refuse(reason, RETRY_AFTER_S)


def drops_expired(admission: AdmissionState) -> bool:
    """Tell whether calls that cannot be answered in time are refused."""
    return Mechanism.DEADLINE_DROP not in admission["disabled"]


def starts_at_once(admission: AdmissionState) -> bool:
    """Tell whether an arriving call needs no place in the queue."""
    return not admission["queue"] and has_room(admission)


def may_start(admission: AdmissionState, head: CallHead, now: float) -> bool:
    """Tell whether an arriving call needs no place in the queue.

    What waits although there is room waits for services deeper in the chain.
    """
    if not admission["nested_limits"]:
        return starts_at_once(admission)
    return has_room(admission) and not exceeds_nested_limit(admission, head, now)


def is_below_threshold(admission: AdmissionState, head: CallHead) -> bool:
    """Tell whether a call that has to wait ranks too low to be queued."""
    if Mechanism.IMPORTANCE in admission["disabled"]:
        return False
    return head.rank < admission["threshold"]


def advertised_threshold(admission: AdmissionState) -> int:
    """Return the threshold that peers are told; with a free slot any call is welcome."""
    if Mechanism.IMPORTANCE in admission["disabled"] or starts_at_once(admission):
        return 0
    return admission["threshold"]


def expected_wait_s(admission: AdmissionState, head: CallHead) -> float:
    """Return how long a call would wait behind those ahead of it in the queue's own order."""
    queue = admission["queue"]
    ahead = queue.bisect_right(QueuedCall(admission["next_ticket"], head, 0.0))
    return float(ahead + 1) * seconds_per_start(admission)


def seconds_per_start(admission: AdmissionState) -> float:
    """Return the expected time between two starts while the queue is not empty."""
    limit = limit_of(admission["limiter"])
    if admission["nested_limits"]:
        # Services deeper in the chain, not the slots here, decide how many calls are in flight.
        limit = min(limit, len(admission["in_flight"]))
    return admission["mean_latency_s"] / max(1, limit)


def drain_time_s(admission: AdmissionState) -> float:
    """Return how long the calls that wait now take to start.

    The waits of started calls would mislead: the highest ranks hardly wait however long the queue.
    """
    return len(admission["queue"]) * seconds_per_start(admission)


def target_wait_s(admission: AdmissionState) -> float:
    """Return the wait above which the threshold rises."""
    return max(TARGET_WAIT_S, TARGET_WAIT_PER_LATENCY * admission["mean_latency_s"])


def threshold_after_window(admission: AdmissionState, now: float) -> int:
    """Return the threshold after a window that ends now."""
    threshold = admission["threshold"]
    shortest_s = admission["window_min_wait_s"]
    target_s = target_wait_s(admission)
    if shortest_s > target_s:
        factor = min(FASTEST_RISE, int(shortest_s / target_s))
        return min(MAX_THRESHOLD, threshold + factor * THRESHOLD_STEP)
    windows = int((now - admission["window_start"]) / THRESHOLD_WINDOW_S)
    factor = 1 if shortest_s > 0 else 2
    return max(0, threshold - windows * factor * THRESHOLD_STEP)


def has_room(admission: AdmissionState) -> bool:
    """Tell whether one more call may be in flight to the own target."""
    return len(admission["in_flight"]) < limit_of(admission["limiter"])


def next_to_start(admission: AdmissionState, now: float) -> QueuedCall | None:
    """Return the queued call to start now, or None when there is none or no room."""
    if not has_room(admission) or not admission["queue"]:
        return None
    queued: QueuedCall
    full = full_nested_keys(admission, now)
    for queued in admission["queue"]:
        # A plain tuple is equal to the key and is made in a third of the time.
        head = queued.head
        if (head.service, head.call_class, head.rank // RANKS_PER_IMPORTANCE) not in full:
            return queued
    return None


def is_expired(admission: AdmissionState, queued: QueuedCall, now: float) -> bool:
    """Tell whether a queued call must be dropped instead of started.

    A call that would probably end after its deadline would run for nothing. With no call in flight
    it is started all the same, since only a finished call can show that the target is fast again.
    """
    if not drops_expired(admission):
        return False
    needed_s = admission["mean_latency_s"] if admission["in_flight"] else 0.0
    return now + needed_s >= queued.head.deadline


def is_idle(admission: AdmissionState) -> bool:
    """Tell whether no call waits or is in flight."""
    return not admission["queue"] and not admission["in_flight"]
