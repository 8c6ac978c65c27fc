"""A node's view of its peers and of the connections to them."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Reason


class PeerState(TypedDict):
    """One peer as seen from this node; times are monotonic seconds.

    ``threshold_at`` is when the peer last reported its admission threshold.
    """

    vm: str
    incarnation: str
    last_received_at: float
    threshold: int
    threshold_at: float
    draining: bool
    in_flight: int
    failures: int
    suspected_until: float
    latency_s: float


class TrafficState(TypedDict):
    """Control message bytes on the connections to peers at one distance since the node started."""

    control_bytes_sent: int
    control_bytes_received: int


class ConnectionView(NamedTuple):
    """The properties that decide whether a peer connection is kept; times are monotonic seconds.

    ``opened_locally`` is true if this node opened the connection. ``calls`` counts the calls in
    flight on it in both directions.
    ``overdue_since`` is the deadline of the last call that expired without a reply, or None.
    ``keeps_open`` is true while gossip uses the connection.
    """

    opened_locally: bool
    last_received: float
    last_used: float
    calls: int
    overdue_since: float | None
    keeps_open: bool


class KeepConnection(NamedTuple):
    """The connection is healthy or in use and is kept."""


class ReplaceConnection(NamedTuple):
    """The connection is dead; its calls fail with ``reason`` and a new connection is opened."""

    reason: Reason


class CloseIdleConnection(NamedTuple):
    """The connection is idle and is closed."""


ConnectionDecision = KeepConnection | ReplaceConnection | CloseIdleConnection
