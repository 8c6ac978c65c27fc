"""Changes to what a node believes of its peers."""

from jacinthsail.internal.model.messages import Heartbeat, Hello
from jacinthsail.internal.model.peers import PeerState
from jacinthsail.internal.queries.peers import new_peer


def introduce_peer(peers: dict[str, PeerState], vm: str, now: float) -> None:
    """Start to keep account of a peer that has not introduced itself yet."""
    if vm not in peers:
        peers[vm] = new_peer(vm, "", now)


def record_hello(peers: dict[str, PeerState], hello: Hello, now: float) -> None:
    """Remember a peer that has introduced itself; a new incarnation starts from nothing.

    The same incarnation says hello on each connection and keeps its account, because the calls in
    flight on the other connections are counted there.
    """
    peer = peers.get(hello.vm)
    if peer is None or peer["incarnation"] not in ("", hello.incarnation):
        peers[hello.vm] = new_peer(hello.vm, hello.incarnation, now)
        return
    peer["incarnation"] = hello.incarnation
    record_heard(peer, now)


def record_heard(peer: PeerState, now: float) -> None:
    """Remember that the peer sent something, which ends any suspicion."""
    peer["last_heard"] = now
    peer["failures"] = 0
    peer["suspected_until"] = 0.0


def record_heartbeat(peer: PeerState, heartbeat: Heartbeat, now: float) -> None:
    """Take over what a heartbeat says."""
    record_heard(peer, now)
    peer["threshold"] = heartbeat.threshold
    peer["draining"] = heartbeat.draining


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
