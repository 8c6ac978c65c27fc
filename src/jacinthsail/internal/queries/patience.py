"""How long a request may wait in a queue."""

from jacinthsail.internal.model.exchange import Exchange

# An answer that waited longer than this share of the target latency comes late even if the target
# is fast; the slot serves more callers when it takes a newer request.
QUEUE_SHARE = 0.5

# Time that the target needs after the queue, as a share of the target latency; a request that could
# not be finished must not start.
SERVICE_SHARE = 0.15


def patience_s(exchange: Exchange, now: float) -> float:
    """Return how long a request may still wait for a slot."""
    target_latency_s = exchange["route"].target_latency_s
    until = exchange["arrived_at"] + QUEUE_SHARE * target_latency_s
    latest = exchange["deadline"] - SERVICE_SHARE * target_latency_s
    return max(0.0, min(until, latest) - now)
