"""What a node believes of the nodes it talks to."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Reason


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


class TrafficState(TypedDict):
    """Bytes of control messages over the connections to peers at one distance, since the start."""

    control_bytes_sent: int
    control_bytes_received: int


class ConnectionView(NamedTuple):
    """What decides whether a peer connection is kept; times are monotonic seconds.

    ``overdue_since`` is the deadline of the last call that expired without a reply, or None.
    ``keeps_open`` is set while gossip uses the connection.
    """

    opened_here: bool
    last_received: float
    last_used: float
    calls: int
    overdue_since: float | None
    keeps_open: bool


class KeepConnection(NamedTuple):
    """The connection works."""


class ReplaceConnection(NamedTuple):
    """The connection is dead; its calls get ``reason`` and a new connection is opened."""

    reason: Reason


class CloseIdleConnection(NamedTuple):
    """Nobody uses the connection."""


ConnectionDecision = KeepConnection | ReplaceConnection | CloseIdleConnection
