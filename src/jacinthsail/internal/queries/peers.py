"""Decides when peers are silent or suspected, and when idle connections are closed."""

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.peers import (
    CloseIdleConnection,
    ConnectionDecision,
    ConnectionView,
    KeepConnection,
    PeerState,
    ReplaceConnection,
)

HEARTBEAT_INTERVAL_S = 2.0

# A working peer sends two heartbeats in this time, even if one of them is late.
SILENCE_TIMEOUT_S = 2.5 * HEARTBEAT_INTERVAL_S

# With an overdue call, one missing heartbeat is sufficient evidence; the quarter allows for jitter.
OVERDUE_SILENCE_TIMEOUT_S = 1.25 * HEARTBEAT_INTERVAL_S

IDLE_TIMEOUT_S = 60.0

CONNECTION_CHECK_INTERVAL_S = 0.25

# After a longer gap between checks this process itself was paused, so received bytes may still be
# unread in the kernel.
MAX_CHECK_GAP_S = 1.0

# How long a peer is avoided after a failure; doubles with each consecutive failure.
MIN_SUSPICION_S = 2.0
MAX_SUSPICION_S = 8.0


def new_peer(vm: str, incarnation: str, now: float) -> PeerState:
    """Return the initial state of a peer."""
    return {
        "vm": vm,
        "incarnation": incarnation,
        "last_received_at": now,
        "threshold": 0,
        "threshold_at": now,
        "draining": False,
        "in_flight": 0,
        "failures": 0,
        "suspected_until": 0.0,
        "latency_s": 0.0,
    }


def decide_connection(
    view: ConnectionView, now: float, last_check: float, detects_silence: bool
) -> ConnectionDecision:
    """Return whether to keep, replace or close a peer connection."""
    if now - last_check > MAX_CHECK_GAP_S:
        return KeepConnection()
    if detects_silence and is_silent(view, now):
        return ReplaceConnection(Reason.PEER_SILENT)
    if is_unused(view, now):
        return CloseIdleConnection()
    return KeepConnection()


def is_silent(view: ConnectionView, now: float) -> bool:
    """Return whether the peer has been silent for longer than a working peer would be."""
    silence = now - view.last_received
    if silence > SILENCE_TIMEOUT_S:
        return True
    if view.overdue_since is None or view.last_received > view.overdue_since:
        return False
    return silence > OVERDUE_SILENCE_TIMEOUT_S


def is_unused(view: ConnectionView, now: float) -> bool:
    """Return whether a connection that this node opened has carried no call for a minute.

    Only the opener sends calls on a connection, so only the opener can close it without losing a
    call in transit.
    """
    if not view.opened_locally or view.keeps_open or view.calls:
        return False
    return now - view.last_used > IDLE_TIMEOUT_S


def suspicion_s(failures: int) -> float:
    """Return how long a peer is avoided after this many consecutive failures."""
    doublings = min(max(failures - 1, 0), 8)
    return min(MIN_SUSPICION_S * 2.0**doublings, MAX_SUSPICION_S)
