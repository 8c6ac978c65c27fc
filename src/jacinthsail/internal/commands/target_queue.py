"""Changes to the queue in front of the own target."""

import heapq

from jacinthsail.internal.model.request_state import Forward
from jacinthsail.internal.model.target_queue import BacklogState, Lane, WaitingForward, WorkKind
from jacinthsail.internal.queries.target_queue import (
    has_stale_head,
    is_good_time,
    kind_of,
    limit_after,
    limit_after_shed,
)

# Weight of one more request in the mean time of the target and in the share of late answers.
MEAN_WEIGHT = 0.05


def put_in_queue(backlog: BacklogState, waiting: WaitingForward) -> None:
    """Let a request wait."""
    rank = waiting.forward.rank
    lane = backlog["lanes"][waiting.kind]
    backlog["next_ticket"] = waiting.ticket + 1
    backlog["tickets"][waiting.ticket] = waiting
    lane["by_rank"][rank] = lane["by_rank"].get(rank, 0) + 1
    heapq.heappush(lane["waiting"], (rank, waiting.ticket))


def leave_queue(backlog: BacklogState, waiting: WaitingForward) -> None:
    """Remove a request that starts, expired or was given up."""
    if backlog["tickets"].pop(waiting.ticket, None) is None:
        return
    lane = backlog["lanes"][waiting.kind]
    lane["by_rank"][waiting.forward.rank] -= 1
    while has_stale_head(backlog, lane):
        heapq.heappop(lane["waiting"])


def record_start(backlog: BacklogState, forward: Forward) -> None:
    """Count a request that was sent to the target."""
    backlog["in_flight"] += 1
    backlog["lanes"][kind_of(forward.rank)]["in_flight"] += 1


def record_end(backlog: BacklogState, forward: Forward) -> None:
    """Count a request that left the target."""
    backlog["in_flight"] -= 1
    backlog["lanes"][kind_of(forward.rank)]["in_flight"] -= 1


def record_duration(backlog: BacklogState, forward: Forward, duration_s: float, now: float) -> None:
    """Update the mean time of the target, and the limit on new requests."""
    kind = kind_of(forward.rank)
    lane = backlog["lanes"][kind]
    lane["mean_s"] += MEAN_WEIGHT * (duration_s - lane["mean_s"])
    lane["answers"] += 1
    if kind is WorkKind.NESTED:
        return
    is_good = is_good_time(forward, duration_s)
    lane["late_share"] += MEAN_WEIGHT * ((0.0 if is_good else 1.0) - lane["late_share"])
    lane["shed_share"] -= MEAN_WEIGHT * lane["shed_share"]
    _set_limit(lane, limit_after(backlog, lane, is_good, now), now)


def record_shed(backlog: BacklogState, forward: Forward, now: float) -> None:
    """Lower the limit on new requests after one failed for want of room further on."""
    kind = kind_of(forward.rank)
    if kind is WorkKind.NESTED:
        return
    lane = backlog["lanes"][kind]
    lane["shed_share"] += MEAN_WEIGHT * (1.0 - lane["shed_share"])
    _set_limit(lane, limit_after_shed(backlog, lane, now), now)


def _set_limit(lane: Lane, limit: float, now: float) -> None:
    if limit < lane["limit"]:
        lane["lowered_at"] = now
    lane["limit"] = limit


def record_calls(backlog: BacklogState, forward: Forward, calls: int) -> None:
    """Update how many calls the target makes for a request."""
    lane = backlog["lanes"][kind_of(forward.rank)]
    lane["calls_per_run"] += MEAN_WEIGHT * (calls - lane["calls_per_run"])


def set_slots(backlog: BacklogState, slots: int) -> None:
    """Set how many requests may be at the target."""
    slots = max(1, slots)
    if slots == backlog["slots"]:
        return
    backlog["slots"] = slots
    for lane in backlog["lanes"].values():
        lane["limit"] = float(slots)


def set_target_leaving(backlog: BacklogState, leaving: bool) -> None:
    """Stop or resume new work because of what is published of the target."""
    backlog["draining"] = leaving


def set_blocked(backlog: BacklogState, blocked: bool) -> None:
    """Stop or resume new work because the calls that it makes cannot be routed here."""
    backlog["blocked"] = blocked


def stop_new_work(backlog: BacklogState) -> None:
    """Take no new work any more because this node stops."""
    backlog["stopped"] = True
