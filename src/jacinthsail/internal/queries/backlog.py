"""Decides which requests wait for the own target, which start and which are rejected."""

from jacinthsail.internal.model.backlog import (
    BacklogDecision,
    BacklogState,
    Reject,
    StartNow,
    Wait,
    WaitingForward,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.exchange import Forward
from jacinthsail.internal.model.fleet import LoadReport

# Assumed until the target has answered once.
INITIAL_MEAN_S = 0.05

# A caller that returns sooner would find the same queue.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0

# Requests of one rank that may wait, as a multiple of the slots; a bound for memory.
MAX_WAITING_PER_SLOT = 20


def decide_backlog(backlog: BacklogState, forward: Forward, now: float) -> BacklogDecision:
    """Return whether a request starts, waits or is rejected.

    Only requests of the same or a higher rank are ahead of it, so important work waits less and is
    rejected last. A rank with a lower number is more important.
    """
    if backlog["stopped"] or backlog["draining"]:
        return Reject(Reason.DRAINING, MIN_RETRY_AFTER_S)
    if backlog["in_flight"] < backlog["slots"] and not backlog["tickets"]:
        return StartNow()
    if len(backlog["tickets"]) >= MAX_WAITING_PER_SLOT * backlog["slots"]:
        return Reject(Reason.QUEUE_FULL, retry_after_s(backlog))
    if wait_for_rank_s(backlog, forward.rank) > forward.patience_s:
        return Reject(Reason.QUEUE_FULL, retry_after_s(backlog))
    return Wait(now + forward.patience_s)


def wait_for_rank_s(backlog: BacklogState, rank: int) -> float:
    """Return how long a request of a rank would wait for a slot."""
    ahead = 1
    for other, count in backlog["waiting_by_rank"].items():
        if other <= rank:
            ahead += count
    return ahead * backlog["mean_s"] / max(1, backlog["slots"])


def retry_after_s(backlog: BacklogState) -> float:
    """Return after which time the requests that wait now will have started."""
    wait_s = (len(backlog["tickets"]) + 1) * backlog["mean_s"] / max(1, backlog["slots"])
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def next_waiting(backlog: BacklogState) -> WaitingForward | None:
    """Return the request that starts next, or None when no slot is free or nothing waits."""
    if backlog["in_flight"] >= backlog["slots"] or not backlog["waiting"]:
        return None
    return backlog["tickets"].get(backlog["waiting"][0][1])


def has_free_slot(backlog: BacklogState) -> bool:
    """Tell whether the target can take a request now."""
    return backlog["in_flight"] < backlog["slots"]


def has_stale_head(backlog: BacklogState) -> bool:
    """Tell whether the first place of the queue belongs to a request that no longer waits."""
    return bool(backlog["waiting"]) and backlog["waiting"][0][1] not in backlog["tickets"]


def expired_waiting(backlog: BacklogState, now: float) -> tuple[WaitingForward, ...]:
    """Return the requests whose time in the queue is over."""
    return tuple(one for one in backlog["tickets"].values() if now >= one.expires_at)


def load_report(backlog: BacklogState) -> LoadReport:
    """Return what other nodes are told of the queue."""
    return LoadReport(
        backlog["in_flight"], len(backlog["tickets"]), backlog["slots"], backlog["mean_s"]
    )
