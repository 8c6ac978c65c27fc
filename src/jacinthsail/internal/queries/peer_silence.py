"""Decides about connections to peers that send nothing while requests are in flight on them."""

from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.peer_silence import (
    AwaitPong,
    PeerHeard,
    ReplaceConnection,
    SendPing,
    SilenceStep,
)
from jacinthsail.internal.queries.target_queue import RETRY_AFTER_UNREACHABLE_S

# With requests in flight, a peer that sent nothing for this long is sent a ping.
PING_AFTER_S = 0.4

# After this long without any message, even after a ping, the connection is replaced.
SILENCE_TIMEOUT_S = 1.2


def silence_step(last_received: float, pinged_at: float, now: float) -> SilenceStep:
    """Return what to do about a connection with requests in flight.

    ``pinged_at`` is 0 unless a ping was sent since the last message. The time-out begins again with
    the ping, because this node may itself have been paused before it.

        >>> silence_step(last_received=10.0, pinged_at=0.0, now=10.5)
        SendPing()
    """
    silent_s = now - last_received
    if silent_s < PING_AFTER_S:
        return PeerHeard()
    if not pinged_at:
        return SendPing()
    if now - max(pinged_at, last_received) > SILENCE_TIMEOUT_S - PING_AFTER_S:
        return ReplaceConnection(silent_s)
    return AwaitPong()


def outcome_at_silent_peer(
    is_repeatable: bool, is_unsent: bool, is_stopping: bool
) -> NotRun | Unknown | None:
    """Return the outcome of a request whose peer went silent, or None to wait for the response.

    A peer that is paused or overloaded goes on later, and the target beside it has not stopped. A
    request that may be repeated is sent elsewhere, but one that must not be executed twice can only
    be failed, and would then have run for nothing. While this node stops, no request is given up,
    because a retry may be refused and its caller has little time left to repeat it.
    """
    if is_unsent:
        return NotRun(Reason.PEER_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S)
    if is_repeatable and not is_stopping:
        return Unknown(Reason.CONNECTION_LOST, 0)
    return None
