"""Changes to the queue in front of the local target."""

import heapq

from jacinthsail.internal.commands.pace import record_paced_response, record_sent
from jacinthsail.internal.model.request_state import ForwardedRequest
from jacinthsail.internal.model.target_queue import TargetQueue, WaitingRequest, WorkQueue
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.target_queue import (
    decayed_share,
    has_stale_entry,
    is_on_time,
    limit_after_response,
    limit_after_shed,
    work_kind,
)

# Weight of one request in the moving averages of duration, of nested calls per request, and of
# late and shed responses.
MEAN_WEIGHT = 0.05


def enqueue_request(queue: TargetQueue, waiting: WaitingRequest) -> None:
    """Add a request to the queue of its kind."""
    rank = waiting.forwarded.rank
    work_queue = queue["work_queues"][waiting.kind]
    queue["next_ticket"] = waiting.ticket + 1
    queue["waiting_by_ticket"][waiting.ticket] = waiting
    work_queue["by_rank"][rank] = work_queue["by_rank"].get(rank, 0) + 1
    heapq.heappush(work_queue["waiting"], (rank, waiting.ticket))


def remove_waiting_request(queue: TargetQueue, waiting: WaitingRequest) -> None:
    """Remove a request that starts, has expired or was cancelled."""
    if queue["waiting_by_ticket"].pop(waiting.ticket, None) is None:
        return
    work_queue = queue["work_queues"][waiting.kind]
    work_queue["by_rank"][waiting.forwarded.rank] -= 1
    while has_stale_entry(queue, work_queue):
        heapq.heappop(work_queue["waiting"])


def record_request_start(queue: TargetQueue, forwarded: ForwardedRequest, now: float) -> None:
    """Count a request that is sent to the target as in flight."""
    record_sent(queue["pace"], queue["slots"], queue["in_flight"], now)
    queue["in_flight"] += 1
    queue["work_queues"][work_kind(forwarded.rank)]["in_flight"] += 1


def record_request_end(queue: TargetQueue, forwarded: ForwardedRequest) -> None:
    """Count a request as no longer in flight."""
    queue["in_flight"] -= 1
    queue["work_queues"][work_kind(forwarded.rank)]["in_flight"] -= 1


def record_duration(
    queue: TargetQueue, forwarded: ForwardedRequest, duration_s: float, now: float
) -> None:
    """Update the mean duration at the target and the limit on new requests."""
    kind = work_kind(forwarded.rank)
    work_queue = queue["work_queues"][kind]
    record_paced_response(queue["pace"], kind, duration_s, queue["slots"], now)
    work_queue["mean_duration_s"] += MEAN_WEIGHT * (duration_s - work_queue["mean_duration_s"])
    work_queue["response_count"] += 1
    if kind is WorkKind.NESTED:
        return
    on_time = is_on_time(forwarded, duration_s)
    _decay_shares(work_queue, now)
    work_queue["late_share"] += MEAN_WEIGHT * ((0.0 if on_time else 1.0) - work_queue["late_share"])
    work_queue["shed_share"] -= MEAN_WEIGHT * work_queue["shed_share"]
    _set_limit(work_queue, limit_after_response(queue, work_queue, on_time, now), now)


def record_shed(queue: TargetQueue, forwarded: ForwardedRequest, now: float) -> None:
    """Update the limit on new requests after one failed because a nested call was shed."""
    kind = work_kind(forwarded.rank)
    if kind is WorkKind.NESTED:
        return
    work_queue = queue["work_queues"][kind]
    _decay_shares(work_queue, now)
    work_queue["shed_share"] += MEAN_WEIGHT * (1.0 - work_queue["shed_share"])
    _set_limit(work_queue, limit_after_shed(queue, work_queue, now), now)


def _decay_shares(work_queue: WorkQueue, now: float) -> None:
    work_queue["late_share"] = decayed_share(work_queue, work_queue["late_share"], now)
    work_queue["shed_share"] = decayed_share(work_queue, work_queue["shed_share"], now)
    work_queue["responded_at"] = now


def _set_limit(work_queue: WorkQueue, limit: float, now: float) -> None:
    if limit < work_queue["limit"]:
        work_queue["lowered_at"] = now
    work_queue["limit"] = limit


def update_calls_per_request(queue: TargetQueue, forwarded: ForwardedRequest, calls: int) -> None:
    """Update the mean number of nested calls that the target makes for a request."""
    work_queue = queue["work_queues"][work_kind(forwarded.rank)]
    work_queue["calls_per_request"] += MEAN_WEIGHT * (calls - work_queue["calls_per_request"])


def set_slots(queue: TargetQueue, slots: int) -> None:
    """Set the maximum number of requests in flight, which resets the limits if it changes."""
    slots = max(1, slots)
    if slots == queue["slots"]:
        return
    queue["slots"] = slots
    for work_queue in queue["work_queues"].values():
        work_queue["limit"] = float(slots)


def set_target_draining(queue: TargetQueue, draining: bool) -> None:
    """Reject or accept new requests according to the published state of the target."""
    queue["draining"] = draining


def set_blocked(queue: TargetQueue, blocked: bool) -> None:
    """Reject or accept new requests depending on whether nested calls can be routed here."""
    queue["blocked"] = blocked


def set_cut_time(queue: TargetQueue, cut_at: float) -> None:
    """Set when the requests in flight are cut because this node stops."""
    queue["cut_at"] = cut_at


def stop_accepting_requests(queue: TargetQueue) -> None:
    """Reject all new requests because this node is stopping."""
    queue["stopped"] = True
