"""What a node believes of the nodes it talks to."""

from typing import TypedDict


class PeerState(TypedDict):
    """One peer as seen from here; times are monotonic seconds.

    ``threshold_at`` is when the peer last said its admission threshold.
    """

    vm: str
    incarnation: str
    last_heard: float
    threshold: int
    threshold_at: float
    draining: bool
    in_flight: int
    failures: int
    suspected_until: float
    latency_s: float
