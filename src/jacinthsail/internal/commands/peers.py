"""Changes to what a node believes of its peers."""

from jacinthsail.internal.model.messages import Heartbeat, Hello
from jacinthsail.internal.model.peers import PeerState


def record_hello(peers: dict[str, PeerState], hello: Hello, now: float) -> None:
    """Remember a peer that has introduced itself; a new incarnation starts from nothing."""
    peers[hello.vm] = {
        "vm": hello.vm,
        "incarnation": hello.incarnation,
        "last_heard": now,
        "threshold": 0,
        "threshold_at": now,
        "draining": False,
        "in_flight": 0,
        "failures": 0,
        "suspected_until": 0.0,
        "latency_s": 0.0,
    }


def record_heartbeat(peer: PeerState, heartbeat: Heartbeat, now: float) -> None:
    """Take over what a heartbeat says."""
    peer["last_heard"] = now
    record_threshold(peer, heartbeat.threshold, now)
    peer["draining"] = heartbeat.draining


def record_threshold(peer: PeerState, threshold: int, now: float) -> None:
    """Take over the admission threshold that a peer states in a reply or a heartbeat."""
    peer["threshold"] = threshold
    peer["threshold_at"] = now


def record_failure(peer: PeerState, suspected_until: float) -> None:
    """Remember that a call to this peer failed, and avoid the peer for a while."""
    peer["failures"] += 1
    peer["suspected_until"] = suspected_until


def record_draining(peer: PeerState) -> None:
    """Remember that the peer takes no new work."""
    peer["draining"] = True


def change_in_flight(peer: PeerState, change: int) -> None:
    """Count calls in flight to this peer from here."""
    peer["in_flight"] += change
