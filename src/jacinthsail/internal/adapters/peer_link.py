"""The connection to one peer, with the requests that wait for their responses on it.

A node sends requests only on connections that it opened, and only after the peer has sent its hello
on them. A frozen peer, or another node that reuses the address, therefore executes no request.
"""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatch
from typing import Protocol

from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.local_target import report_outcome
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.messages import (
    BucketTransfer,
    Cancel,
    ConnectionClosing,
    FollowStore,
    ForwardReplyMessage,
    ForwardRequestMessage,
    FreshnessReply,
    Goodbye,
    Hello,
    Message,
    Ping,
    Pong,
    StoreReport,
    TokenGrant,
    TokenRequest,
    UnfollowStore,
)
from jacinthsail.internal.model.peer_silence import (
    AwaitPong,
    PeerHeard,
    ReplaceConnection,
    SendPing,
)
from jacinthsail.internal.model.peers import TrafficState
from jacinthsail.internal.model.request_state import ForwardedOutcome, ForwardedRequest
from jacinthsail.internal.queries.peer_silence import outcome_at_silent_peer, silence_step
from jacinthsail.internal.queries.target_queue import RETRY_AFTER_UNREACHABLE_S

_LOG = logging.getLogger("jacinthsail.peers")

# Round trips between regions take about 25 ms; a peer that needs longer than this to accept a
# connection is frozen or unreachable.
CONNECT_TIMEOUT_S = 0.6

# Control messages that wait for a connection; a peer that accepts none is asked again later.
MAX_WAITING_CONTROL = 256

OnOutcome = Callable[[ForwardedOutcome], None]
OnLoad = Callable[[str, LoadReport], None]
PeerCallback = Callable[[str], None]


class StoreSharing(Protocol):
    """The exchange of published items with peers."""

    def link_opened(self, host: str) -> None:
        """Handle that the connection to a peer is open."""

    def link_lost(self, host: str) -> None:
        """Handle that the connection to a peer was lost or could not be opened."""

    def receive_report(self, host: str, report: StoreReport) -> None:
        """Handle a report from a peer that this node follows."""

    def add_follower(self, connection: PeerConnection, known: FollowStore) -> None:
        """Send changes to a peer from now on."""

    def remove_follower(self, connection: PeerConnection) -> None:
        """Send no more changes to a peer."""

    def reply_once(self, connection: PeerConnection, known: FollowStore) -> None:
        """Send the published items to a peer that cannot read the store."""

    def receive_first_copy(self, report: StoreReport) -> None:
        """Handle the published items from a peer that was asked for them."""

    def reply_to_probe(self, connection: PeerConnection, sequence: int) -> None:
        """State the age of this node's knowledge."""

    def receive_probe_reply(self, host: str, reply: FreshnessReply) -> None:
        """Handle the age of a peer's knowledge."""


class CapExchange(Protocol):
    """The exchange of tokens of accounts with peers."""

    def answer(self, connection: PeerConnection, request: TokenRequest) -> None:
        """Reply to a peer that asks for tokens."""

    def receive_grant(self, message: TokenGrant) -> None:
        """Handle the reply of the home of an account."""

    def receive_transfer(self, transfer: BucketTransfer) -> None:
        """Handle the last message of a former home."""


class LinkOwner(Protocol):
    """What the link to a peer needs from its node."""

    hello: Hello
    port: int
    traffic: TrafficState
    on_load: OnLoad
    on_peer_started: PeerCallback
    on_peer_draining: PeerCallback
    on_peer_silent: PeerCallback
    sharing: StoreSharing
    caps: CapExchange | None
    loop: asyncio.AbstractEventLoop
    is_stopping: bool


class PendingPeerRequest:
    """A request for a peer, waiting for a connection or in flight; ``cancel`` abandons it.

    ``connection`` is the one on which it was sent, which may have been replaced since.
    """

    __slots__ = ("link", "forward_id", "forwarded", "on_outcome", "connection")

    def __init__(
        self, link: "PeerLink", forwarded: ForwardedRequest, on_outcome: OnOutcome
    ) -> None:
        self.link = link
        self.forward_id = 0
        self.forwarded = forwarded
        self.on_outcome: OnOutcome | None = on_outcome
        self.connection: PeerConnection | None = None

    def cancel(self) -> None:
        """Notify the peer that the outcome is no longer needed."""
        self.on_outcome = None
        self.link.cancel_forward(self)

    def settle(self, outcome: ForwardedOutcome) -> None:
        """Report the outcome, unless the request was cancelled."""
        on_outcome = self.on_outcome
        self.on_outcome = None
        if on_outcome is not None:
            report_outcome(on_outcome, outcome, self.forwarded.request_id)


class PeerLink:
    """A connection to one peer; it is opened when there are requests for the peer.

    Bulk links carry requests with large bodies or responses, which would hold up the others. The
    sharing of published items concerns the other link to the peer only.

    A connection that went silent, or whose peer reads too slowly, is replaced. It is kept in
    ``replaced`` while requests wait for their responses on it.
    """

    def __init__(self, links: LinkOwner, host: str, is_bulk: bool = False) -> None:
        self.links = links
        self.host = host
        self.is_bulk = is_bulk
        self.connection: PeerConnection | None = None
        self.is_handshake_done = False
        self.replaced: set[PeerConnection] = set()
        self.waiting: list[PendingPeerRequest] = []
        self.waiting_control: list[Message] = []
        self.pending: dict[int, PendingPeerRequest] = {}
        self.task: asyncio.Task[None] | None = None
        self.next_id = 1
        self.pinged_at = 0.0

    def send(self, forwarded: ForwardedRequest, on_outcome: OnOutcome) -> PendingPeerRequest:
        """Send a request, or queue it until a new connection is open."""
        pending = PendingPeerRequest(self, forwarded, on_outcome)
        if self.connection is not None and self.is_handshake_done and self.connection.is_writable():
            self._send_now(pending)
            return pending
        self.waiting.append(pending)
        if self.task is None:
            self.task = self.links.loop.create_task(self._connect())
        return pending

    def open(self) -> None:
        """Open the connection; the sharing of published items is told when it is open."""
        if self.connection is not None and self.is_handshake_done:
            self.links.sharing.link_opened(self.host)
            return
        if self.task is None:
            self.task = self.links.loop.create_task(self._connect())

    def send_control(self, message: Message) -> None:
        """Send a message that needs no reply, if the connection is open."""
        if self.connection is not None and self.is_handshake_done:
            self.connection.send(message)

    def send_when_open(self, message: Message) -> None:
        """Send a message that needs no reply, and open the connection for it if necessary.

        The message is dropped if the connection cannot be opened.
        """
        if self.connection is not None and self.is_handshake_done and self.connection.is_open():
            self.connection.send(message)
            return
        if len(self.waiting_control) < MAX_WAITING_CONTROL:
            self.waiting_control.append(message)
        if self.task is None:
            self.task = self.links.loop.create_task(self._connect())

    def _send_now(self, pending: PendingPeerRequest) -> None:
        assert self.connection is not None
        pending.forward_id = self.next_id
        self.next_id += 1
        pending.connection = self.connection
        self.pending[pending.forward_id] = pending
        self.connection.last_used = self.links.loop.time()
        self.connection.send(
            ForwardRequestMessage(pending.forward_id, pending.forwarded), pending.forward_id
        )

    async def _connect(self) -> None:
        self.is_handshake_done = False
        if self.connection is not None:
            self.replaced.add(self.connection)
            self.close_if_finished(self.connection)
            self.connection = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.connection = await self.links.loop.create_connection(
                    lambda: PeerConnection(self.deliver, self.on_closed, self.links.traffic),
                    self.host,
                    self.links.port,
                )
                self.connection.send(self.links.hello)
                await self.connection.handshake_done.wait()
        except (OSError, TimeoutError) as error:
            _LOG.info("peer %s is unreachable: %s", self.host, type(error).__name__)
        finally:
            self.task = None
        if self.is_handshake_done:
            self._send_waiting()
            if not self.is_bulk:
                self.links.sharing.link_opened(self.host)
            return
        if self.connection is not None:
            self.connection.abort()
        self.connection = None
        self._reject_waiting()
        self._report_lost()

    def _send_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            if pending.on_outcome is not None:
                self._send_now(pending)
        control, self.waiting_control = self.waiting_control, []
        for message in control:
            self.send_control(message)

    def _reject_waiting(self) -> None:
        self.waiting_control.clear()
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            pending.settle(NotRun(Reason.PEER_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))

    def cancel_forward(self, pending: PendingPeerRequest) -> None:
        """Cancel a request at the peer, or discard it if no byte of it was sent."""
        connection = pending.connection
        if self.pending.pop(pending.forward_id, None) is None or connection is None:
            return
        if connection.is_unsent(pending.forward_id):
            connection.discard_unsent(pending.forward_id)
        else:
            connection.send(Cancel(pending.forward_id))
        self.close_if_finished(connection)

    def pending_on(self, connection: PeerConnection) -> list[PendingPeerRequest]:
        """Return the requests in flight on a connection."""
        return [one for one in self.pending.values() if one.connection is connection]

    def close_if_finished(self, connection: PeerConnection) -> None:
        """Close a replaced connection once no request waits for a response on it."""
        if connection in self.replaced and not self.pending_on(connection):
            connection.abort()

    def deliver(self, connection: PeerConnection, message: Message) -> None:
        """Handle a message from the peer."""
        _handle_reply(message, self, connection)

    def on_closed(self, connection: PeerConnection) -> None:
        """Settle the requests whose replies can no longer arrive."""
        lost = self._take_pending(connection)
        is_current = connection is self.connection
        self.replaced.discard(connection)
        if is_current:
            self.connection = None
            self.is_handshake_done = False
        for request in lost:
            if connection.is_unsent(request.forward_id):
                request.settle(NotRun(Reason.PEER_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))
                continue
            request.settle(Unknown(Reason.CONNECTION_LOST, 0))
        if is_current:
            self._report_lost()

    def _take_pending(self, connection: PeerConnection) -> list[PendingPeerRequest]:
        taken = self.pending_on(connection)
        for request in taken:
            del self.pending[request.forward_id]
        return taken

    def settle_unread(self, connection: PeerConnection) -> None:
        """Settle the requests that the peer has not read, and will not, as not executed."""
        for request in self._take_pending(connection):
            request.settle(NotRun(Reason.DRAINING, 0, RETRY_AFTER_UNREACHABLE_S))

    def check_silence(self, now: float) -> None:
        """Ping a silent peer with requests in flight; replace the connection if it stays silent."""
        connection = self.connection
        if connection is None or not self.pending or not self.pending_on(connection):
            return
        step = silence_step(connection.last_received, self.pinged_at, now)
        _apply_silence_step(step, self, connection, now)

    def replace_silent(self, connection: PeerConnection, silent_s: float) -> None:
        """Send further requests on a new connection, and those that may be repeated elsewhere."""
        in_flight = self.pending_on(connection)
        _LOG.warning(
            "peer %s was silent for %.1f s with %d requests in flight; connection replaced",
            self.host,
            silent_s,
            len(in_flight),
        )
        self.connection = None
        self.is_handshake_done = False
        self.pinged_at = 0.0
        self.replaced.add(connection)
        connection.send(UnfollowStore())
        self.links.on_peer_silent(self.host)
        for request in in_flight:
            outcome = outcome_at_silent_peer(
                request.forwarded.repeatable,
                connection.is_unsent(request.forward_id),
                self.links.is_stopping,
            )
            if outcome is None:
                continue
            self.cancel_forward(request)
            request.settle(outcome)
        self.close_if_finished(connection)
        self._report_lost()

    def _report_lost(self) -> None:
        if not self.is_bulk:
            self.links.sharing.link_lost(self.host)


@singledispatch
def _apply_silence_step(
    step: object, link: PeerLink, connection: PeerConnection, now: float
) -> None:
    """Execute the step that was decided about a connection with requests in flight."""
    raise NotImplementedError(f"no action for {type(step).__name__}; register one")


@_apply_silence_step.register
def _(step: PeerHeard, link: PeerLink, connection: PeerConnection, now: float) -> None:
    link.pinged_at = 0.0


@_apply_silence_step.register
def _(step: AwaitPong, link: PeerLink, connection: PeerConnection, now: float) -> None:
    """Do nothing until the next check."""


@_apply_silence_step.register
def _(step: SendPing, link: PeerLink, connection: PeerConnection, now: float) -> None:
    link.pinged_at = now
    connection.send(Ping())


@_apply_silence_step.register
def _(step: ReplaceConnection, link: PeerLink, connection: PeerConnection, now: float) -> None:
    link.replace_silent(connection, step.silent_s)


@singledispatch
def _handle_reply(message: object, link: PeerLink, connection: PeerConnection) -> None:
    """Handle a message on a connection that this node opened."""
    _LOG.warning("peer %s sent an unexpected %s", link.host, type(message).__name__)


@_handle_reply.register
def _(message: Hello, link: PeerLink, connection: PeerConnection) -> None:
    link.is_handshake_done = True
    link.links.on_peer_started(link.host)
    connection.handshake_done.set()


@_handle_reply.register
def _(message: ForwardReplyMessage, link: PeerLink, connection: PeerConnection) -> None:
    pending = link.pending.pop(message.forward_id, None)
    if pending is None:
        return
    link.links.on_load(pending.forwarded.incarnation, message.load)
    pending.settle(message.outcome)
    link.close_if_finished(connection)


@_handle_reply.register
def _(message: Pong, link: PeerLink, connection: PeerConnection) -> None:
    if connection is link.connection:
        link.pinged_at = 0.0


@_handle_reply.register
def _(message: Goodbye, link: PeerLink, connection: PeerConnection) -> None:
    link.links.on_peer_draining(link.host)
    _LOG.info("peer %s is draining; it gets no new requests", link.host)


@_handle_reply.register
def _(message: ConnectionClosing, link: PeerLink, connection: PeerConnection) -> None:
    link.settle_unread(connection)
    connection.close()


@_handle_reply.register
def _(message: StoreReport, link: PeerLink, connection: PeerConnection) -> None:
    # A connection that was replaced may still deliver reports, which are old.
    if connection is link.connection:
        link.links.sharing.receive_report(link.host, message)


@_handle_reply.register
def _(message: FollowStore, link: PeerLink, connection: PeerConnection) -> None:
    link.links.sharing.reply_once(connection, message)


@_handle_reply.register
def _(message: TokenGrant, link: PeerLink, connection: PeerConnection) -> None:
    if link.links.caps is not None:
        link.links.caps.receive_grant(message)


@_handle_reply.register
def _(message: FreshnessReply, link: PeerLink, connection: PeerConnection) -> None:
    link.links.sharing.receive_probe_reply(link.host, message)
