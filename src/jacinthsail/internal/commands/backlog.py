"""Changes to the queue in front of the own target."""

import heapq

from jacinthsail.internal.model.backlog import BacklogState, WaitingForward
from jacinthsail.internal.queries.backlog import has_stale_head

# Weight of one more request in the mean time of the target.
MEAN_WEIGHT = 0.05


def put_in_queue(backlog: BacklogState, waiting: WaitingForward) -> None:
    """Let a request wait."""
    rank = waiting.forward.rank
    backlog["next_ticket"] = waiting.ticket + 1
    backlog["tickets"][waiting.ticket] = waiting
    backlog["waiting_by_rank"][rank] = backlog["waiting_by_rank"].get(rank, 0) + 1
    heapq.heappush(backlog["waiting"], (rank, waiting.ticket))


def leave_queue(backlog: BacklogState, waiting: WaitingForward) -> None:
    """Remove a request that starts, expired or was given up."""
    if backlog["tickets"].pop(waiting.ticket, None) is None:
        return
    backlog["waiting_by_rank"][waiting.forward.rank] -= 1
    while has_stale_head(backlog):
        heapq.heappop(backlog["waiting"])


def record_start(backlog: BacklogState) -> None:
    """Count a request that was sent to the target."""
    backlog["in_flight"] += 1


def record_end(backlog: BacklogState) -> None:
    """Count a request that left the target."""
    backlog["in_flight"] -= 1


def record_duration(backlog: BacklogState, duration_s: float) -> None:
    """Update the mean time of the target."""
    backlog["mean_s"] += MEAN_WEIGHT * (duration_s - backlog["mean_s"])


def set_slots(backlog: BacklogState, slots: int) -> None:
    """Set how many requests may be at the target."""
    backlog["slots"] = max(1, slots)


def set_target_leaving(backlog: BacklogState, leaving: bool) -> None:
    """Stop or resume new work because of what is published of the target."""
    backlog["draining"] = leaving


def stop_new_work(backlog: BacklogState) -> None:
    """Take no new work any more because this node stops."""
    backlog["stopped"] = True
