"""Changes to a node's view of its peers."""

from jacinthsail.internal.model.messages import Heartbeat, Hello
from jacinthsail.internal.model.peers import PeerState
from jacinthsail.internal.queries.peers import new_peer


def add_peer(peers: dict[str, PeerState], vm: str, now: float) -> None:
    """Add a peer whose hello has not been received yet."""
    if vm not in peers:
        peers[vm] = new_peer(vm, "", now)


def record_hello(peers: dict[str, PeerState], hello: Hello, now: float) -> None:
    """Record the hello of a peer; a new incarnation starts with empty state.

    The same incarnation sends a hello on each connection and keeps its state, because that counts
    the calls in flight on the other connections.
    """
    peer = peers.get(hello.vm)
    if peer is None or peer["incarnation"] not in ("", hello.incarnation):
        peers[hello.vm] = new_peer(hello.vm, hello.incarnation, now)
        return
    peer["incarnation"] = hello.incarnation
    record_received(peer, now)


def record_received(peer: PeerState, now: float) -> None:
    """Record that the peer sent a message, which ends any suspicion."""
    peer["last_received_at"] = now
    peer["failures"] = 0
    peer["suspected_until"] = 0.0


def record_heartbeat(peer: PeerState, heartbeat: Heartbeat, now: float) -> None:
    """Apply the state that a heartbeat reports."""
    record_received(peer, now)
    record_threshold(peer, heartbeat.threshold, now)
    peer["draining"] = heartbeat.draining


def record_threshold(peer: PeerState, threshold: int, now: float) -> None:
    """Apply the admission threshold that a peer reports in a reply or a heartbeat."""
    peer["threshold"] = threshold
    peer["threshold_at"] = now


def record_failure(peer: PeerState, suspected_until: float) -> None:
    """Record that a call to this peer failed, and suspect the peer for a while."""
    peer["failures"] += 1
    peer["suspected_until"] = suspected_until


def record_draining(peer: PeerState) -> None:
    """Record that the peer is draining."""
    peer["draining"] = True


def change_in_flight(peer: PeerState, change: int) -> None:
    """Change the count of calls in flight from this node to a peer."""
    peer["in_flight"] += change
