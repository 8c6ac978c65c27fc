"""Computes the queue wait limit of a request."""

from jacinthsail.internal.model.request_state import RequestState
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.next_steps import MAX_NODE_REFUSALS
from jacinthsail.internal.queries.target_queue import work_kind

# A request that waited longer than this share of the target latency ends late even at a fast
# target; the slot is of more use to a newer request.
QUEUE_SHARE = 0.5

# Share of the target latency that a nested call waits at a node while it may still try others.
NESTED_QUEUE_SHARE = 0.3

# Share of the time for the whole request that the target needs after the queue; a request that
# could not finish in time must not start.
SERVICE_SHARE = 0.25


def latency_goal_s(request_state: RequestState) -> float:
    """Return the time within which a response has its full value to the caller."""
    route = request_state["route"]
    return min(route.target_latency_s, route.timeout_s)


def max_queue_wait_s(request_state: RequestState, now: float) -> float:
    """Return how long a request may still wait for a slot.

    A nested call may wait for nearly all of its remaining time at the last node that it tries,
    because refusing it wastes the work already done for its parent request. The nodes before refuse
    it early, because another target may have a free slot. New requests are refused early anyway.
    """
    arrived_at = request_state["arrived_at"]
    total_s = request_state["deadline"] - arrived_at
    latest = request_state["deadline"] - SERVICE_SHARE * min(total_s, latency_goal_s(request_state))
    if work_kind(request_state["rank"]) is WorkKind.NEW:
        latest = min(latest, arrived_at + QUEUE_SHARE * latency_goal_s(request_state))
    elif request_state["node_refusals"] < MAX_NODE_REFUSALS - 1:
        latest = min(latest, now + NESTED_QUEUE_SHARE * latency_goal_s(request_state))
    return max(0.0, latest - now)
