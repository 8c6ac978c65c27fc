"""What a node believes of the nodes it talks to."""

from typing import TypedDict


class PeerState(TypedDict):
    """One peer as seen from here; times are monotonic seconds."""

    vm: str
    incarnation: str
    last_heard: float
    threshold: int
    draining: bool
    in_flight: int
    failures: int
    suspected_until: float
    latency_s: float
