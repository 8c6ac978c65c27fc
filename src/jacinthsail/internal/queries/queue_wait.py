"""How long a request may wait in a queue."""

from jacinthsail.internal.model.request_state import Exchange
from jacinthsail.internal.model.target_queue import WorkKind
from jacinthsail.internal.queries.target_queue import kind_of

# An answer that waited longer than this share of the target latency comes late even if the target
# is fast; the slot serves more callers when it takes a newer request.
QUEUE_SHARE = 0.5

# Time that the target needs after the queue, as a share of the time for the whole request; a
# request that could not be finished must not start.
SERVICE_SHARE = 0.25


def good_within_s(exchange: Exchange) -> float:
    """Return the time within which an answer has its full value."""
    route = exchange["route"]
    return min(route.target_latency_s, route.timeout_s)


def patience_s(exchange: Exchange, now: float) -> float:
    """Return how long a request may still wait for a slot.

    A nested call waits for nearly all of its time, because the work of the requests before it is
    lost when it is refused; new requests are refused early instead.
    """
    arrived_at = exchange["arrived_at"]
    whole_s = exchange["deadline"] - arrived_at
    latest = exchange["deadline"] - SERVICE_SHARE * min(whole_s, good_within_s(exchange))
    if kind_of(exchange["rank"]) is WorkKind.NEW:
        latest = min(latest, arrived_at + QUEUE_SHARE * good_within_s(exchange))
    return max(0.0, latest - now)
