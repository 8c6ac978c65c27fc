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
from jacinthsail.internal.queries.limits import limit_of

# How long a refused caller is asked to wait before it tries again.
RETRY_AFTER_S = 1.0


def queue_order(queued: QueuedCall) -> tuple[int, int, int]:
    """Return the sort key of the queue: best rank first, then deepest, then oldest."""
    return (-queued.head.rank, -queued.head.depth, queued.ticket)


def decide_admission(admission: AdmissionState, head: CallHead, now: float) -> AdmissionDecision:
    """Return whether a call for the own target may wait for a slot."""
    if admission["draining"]:
        return Refuse(Reason.DRAINING, RETRY_AFTER_S)
    if now >= head.deadline:
        return Refuse(Reason.DEADLINE_EXPIRED, 0.0)
    if head.rank < admission["threshold"]:
        return Refuse(Reason.BELOW_THRESHOLD, RETRY_AFTER_S)
    queue = admission["queue"]
    if len(queue) < admission["queue_length"]:
        return Admit()
    if not queue:
        return Refuse(Reason.QUEUE_FULL, RETRY_AFTER_S)
    lowest: QueuedCall = queue[-1]
    if (lowest.head.rank, lowest.head.depth) < (head.rank, head.depth):
        return AdmitByEviction(lowest)
    return Refuse(Reason.QUEUE_FULL, RETRY_AFTER_S)


def has_room(admission: AdmissionState) -> bool:
    """Tell whether one more call may be in flight to the own target."""
    return len(admission["in_flight"]) < limit_of(admission["limiter"])


def next_to_start(admission: AdmissionState, now: float) -> QueuedCall | None:
    """Return the queued call to start now, or None when there is none or no room."""
    if not has_room(admission) or not admission["queue"]:
        return None
    first: QueuedCall = admission["queue"][0]
    return first


def is_idle(admission: AdmissionState) -> bool:
    """Tell whether no call waits or is in flight."""
    return not admission["queue"] and not admission["in_flight"]
