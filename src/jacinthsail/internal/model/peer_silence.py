"""Steps about a connection to a peer on which requests are in flight."""

from typing import NamedTuple


class PeerHeard(NamedTuple):
    """The peer has sent something lately, so no ping is outstanding."""


class SendPing(NamedTuple):
    """Ask the peer whether it is alive."""


class AwaitPong(NamedTuple):
    """Wait for the answer to the ping."""


class ReplaceConnection(NamedTuple):
    """Use the connection for no further requests; the peer was silent for ``silent_s``."""

    silent_s: float


SilenceStep = PeerHeard | SendPing | AwaitPong | ReplaceConnection
