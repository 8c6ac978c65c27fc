"""Decisions about silent peers, suspicion and idle connections."""

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.peers import (
    CloseIdleConnection,
    ConnectionDecision,
    ConnectionView,
    KeepConnection,
    PeerState,
    ReplaceConnection,
)

HEARTBEAT_S = 2.0

# A peer that is alive has sent two heartbeats in this time, even when one of them was late.
SILENCE_S = 2.5 * HEARTBEAT_S

# With an overdue call one missing heartbeat is evidence enough; the quarter allows for jitter.
OVERDUE_SILENCE_S = 1.25 * HEARTBEAT_S

IDLE_S = 60.0

# How often the connections are checked.
CHECK_S = 0.25

# After a longer gap this process itself did not run, so bytes may wait unread in the kernel.
LATE_CHECK_S = 1.0

# How long a peer is avoided after a failure; doubled for each further failure in a row.
SUSPICION_S = 2.0
MAX_SUSPICION_S = 8.0


def new_peer(vm: str, incarnation: str, now: float) -> PeerState:
    """Return the account of a peer of which nothing is known but its name."""
    return {
        "vm": vm,
        "incarnation": incarnation,
        "last_heard": now,
        "threshold": 0,
        "draining": False,
        "in_flight": 0,
        "failures": 0,
        "suspected_until": 0.0,
        "latency_s": 0.0,
    }


def decide_connection(
    view: ConnectionView, now: float, last_check: float, detects_silence: bool
) -> ConnectionDecision:
    """Return whether a peer connection is kept, replaced or closed."""
    if now - last_check > LATE_CHECK_S:
        return KeepConnection()
    if detects_silence and is_silent(view, now):
        return ReplaceConnection(Reason.PEER_SILENT)
    if is_unused(view, now):
        return CloseIdleConnection()
    return KeepConnection()


def is_silent(view: ConnectionView, now: float) -> bool:
    """Tell whether the peer has sent nothing for longer than a working peer would."""
    silence = now - view.last_received
    if silence > SILENCE_S:
        return True
    if view.overdue_since is None or view.last_received > view.overdue_since:
        return False
    return silence > OVERDUE_SILENCE_S


def is_unused(view: ConnectionView, now: float) -> bool:
    """Tell whether a connection that was opened here has served nothing for a minute.

    Only the opener sends calls on a connection, so only the opener can close it without the risk
    that a call is on its way.
    """
    if not view.opened_here or view.keeps_open or view.calls:
        return False
    return now - view.last_used > IDLE_S


def suspicion_s(failures: int) -> float:
    """Return how long a peer is avoided after this many failures in a row."""
    doublings = min(max(failures - 1, 0), 8)
    return min(SUSPICION_S * 2.0**doublings, MAX_SUSPICION_S)
