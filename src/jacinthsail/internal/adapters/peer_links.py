"""All connections between a node and its peers, and the requests that peers send to its target."""

import asyncio
import logging
from functools import singledispatch

from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.local_target import LocalRequest, LocalTarget
from jacinthsail.internal.adapters.peer_link import (
    CapExchange,
    OnLoad,
    OnOutcome,
    PeerCallback,
    PeerLink,
    PendingPeerRequest,
    StoreSharing,
)
from jacinthsail.internal.adapters.wire import MAX_FRAME_BYTES
from jacinthsail.internal.commands.held_memory import hold, record_eviction
from jacinthsail.internal.model.calls import Reason, Unknown
from jacinthsail.internal.model.held_memory import MemoryLimits
from jacinthsail.internal.model.messages import (
    BucketTransfer,
    Cancel,
    ConnectionClosing,
    FollowStore,
    ForwardReplyMessage,
    ForwardRequestMessage,
    FreshnessProbe,
    Goodbye,
    Hello,
    Message,
    Ping,
    Pong,
    StoreReport,
    TokenRequest,
    UnfollowStore,
)
from jacinthsail.internal.model.peers import TrafficState
from jacinthsail.internal.model.request_state import ForwardedOutcome, ForwardedRequest
from jacinthsail.internal.queries.held_memory import (
    PEERS_SHARE,
    is_exceeded,
    max_peer_connections,
    new_held_memory,
)
from jacinthsail.internal.queries.target_queue import load_report

_LOG = logging.getLogger("jacinthsail.peers")

SILENCE_CHECK_INTERVAL_S = 0.2

# A node sends its hello right after it has opened a connection. Whoever does not send one is no
# node, and can send no large frame.
HELLO_TIMEOUT_S = 3.0
MAX_HELLO_BYTES = 64 * 1024


class PeerLinks:
    """All connections between this node and its peers, in both directions."""

    def __init__(
        self,
        hello: Hello,
        port: int,
        local_target: LocalTarget,
        traffic: TrafficState,
        on_load: OnLoad,
        on_peer_started: PeerCallback,
        on_peer_draining: PeerCallback,
        on_peer_silent: PeerCallback,
        sharing: StoreSharing,
        memory: MemoryLimits,
    ) -> None:
        self.hello = hello
        self.port = port
        self.local_target = local_target
        self.traffic = traffic
        self.on_load = on_load
        self.on_peer_started = on_peer_started
        self.on_peer_draining = on_peer_draining
        self.on_peer_silent = on_peer_silent
        self.sharing = sharing
        self.held = new_held_memory(memory, PEERS_SHARE)
        self.max_inbound = max_peer_connections(memory)
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, PeerLink] = {}
        self.bulk_links: dict[str, PeerLink] = {}
        self.inbound: dict[PeerConnection, dict[int, LocalRequest]] = {}
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False
        self.is_draining = False
        self.caps: CapExchange | None = None

    async def listen(self, host: str) -> None:
        """Start to accept connections of peers."""
        self.server = await self.loop.create_server(
            self._accept, host, self.port, backlog=1024, reuse_address=True
        )
        self._check_links()

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(self.deliver, self._on_inbound_closed, self.traffic)
        connection.max_frame_bytes = MAX_HELLO_BYTES
        connection.on_buffered = self._count_buffered
        self.inbound[connection] = {}
        if len(self.inbound) > self.max_inbound:
            self._close_stranger()
        return connection

    def _close_stranger(self) -> None:
        """Close the oldest connection whose peer has not introduced itself."""
        for connection in self.inbound:
            if not connection.handshake_done.is_set() and connection.transport is not None:
                connection.abort()
                return

    def _count_buffered(self, change: int) -> None:
        """Count the bytes of incomplete frames, and close the connection with the most of them."""
        hold(self.held, change)
        if change < 0 or not is_exceeded(self.held):
            return
        largest = max(self.inbound, key=lambda connection: connection.buffered_bytes)
        record_eviction(self.held)
        _LOG.warning(
            "closed a connection of a peer that had sent %d bytes of a frame; %d are held",
            largest.buffered_bytes,
            self.held["held"],
        )
        largest.abort()

    def _close_silent_strangers(self, now: float) -> None:
        for connection in tuple(self.inbound):
            is_late = now - connection.accepted_at > HELLO_TIMEOUT_S
            if is_late and not connection.handshake_done.is_set():
                connection.abort()

    def _check_links(self) -> None:
        self.timer = self.loop.call_later(SILENCE_CHECK_INTERVAL_S, self._check_links)
        now = self.loop.time()
        # A request that is sent elsewhere may open the first connection to another peer.
        for link in (*self.links.values(), *self.bulk_links.values()):
            link.check_silence(now)
        self._close_silent_strangers(now)

    def send(
        self, host: str, forwarded: ForwardedRequest, is_bulk: bool, on_outcome: OnOutcome
    ) -> PendingPeerRequest:
        """Send a request to the node on another VM."""
        link = self._bulk_link_to(host) if is_bulk else self.link_to(host)
        return link.send(forwarded, on_outcome)

    def _bulk_link_to(self, host: str) -> PeerLink:
        link = self.bulk_links.get(host)
        if link is None:
            link = self.bulk_links[host] = PeerLink(self, host, is_bulk=True)
        return link

    def link_to(self, host: str) -> PeerLink:
        """Return the link to the node on another VM, which may not be open."""
        link = self.links.get(host)
        if link is None:
            link = self.links[host] = PeerLink(self, host)
        return link

    def deliver(self, connection: PeerConnection, message: Message) -> None:
        """Handle a message on a connection that a peer opened."""
        _handle_request(message, self, connection)

    def _on_inbound_closed(self, connection: PeerConnection) -> None:
        self.sharing.remove_follower(connection)
        for request in self.inbound.pop(connection, {}).values():
            request.cancel()

    def announce_draining(self) -> None:
        """Notify the peers that this node accepts no new requests."""
        self.is_draining = True
        for connection in self.inbound:
            connection.send(Goodbye())

    def has_inbound_requests(self) -> bool:
        """Return whether a peer waits for an outcome."""
        return any(self.inbound.values())

    def finish_inbound(self) -> None:
        """Reply to every request that was read, and let the peers close their connections.

        Without the last message, a peer could not know whether a request that it sent at the end
        was executed.
        """
        if self.server is not None:
            # A request on a connection that opens now would get no reply and no last message.
            self.server.close()
        load = load_report(self.local_target.queue)
        for connection, requests in self.inbound.items():
            connection.ignores_input = True
            for forward_id, request in list(requests.items()):
                request.cancel()
                outcome = Unknown(Reason.CONNECTION_LOST, 0)
                connection.send(ForwardReplyMessage(forward_id, outcome, load))
            requests.clear()
            connection.send(ConnectionClosing())

    def has_inbound_connections(self) -> bool:
        """Return whether a peer has not closed its connection yet."""
        return bool(self.inbound)

    def close(self) -> None:
        """Close every connection."""
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
        for link in (*self.links.values(), *self.bulk_links.values()):
            for connection in (link.connection, *link.replaced):
                if connection is not None:
                    connection.abort()
        for connection in list(self.inbound):
            connection.abort()


@singledispatch
def _handle_request(message: object, links: PeerLinks, connection: PeerConnection) -> None:
    """Handle a message on a connection that a peer opened."""
    _LOG.warning("a peer sent an unexpected %s", type(message).__name__)


@_handle_request.register
def _(message: Hello, links: PeerLinks, connection: PeerConnection) -> None:
    connection.max_frame_bytes = MAX_FRAME_BYTES
    connection.handshake_done.set()
    connection.send(links.hello)
    if links.is_draining:
        connection.send(Goodbye())


@_handle_request.register
def _(message: Ping, links: PeerLinks, connection: PeerConnection) -> None:
    connection.send(Pong(load_report(links.local_target.queue)))


@_handle_request.register
def _(message: FollowStore, links: PeerLinks, connection: PeerConnection) -> None:
    links.sharing.add_follower(connection, message)


@_handle_request.register
def _(message: TokenRequest, links: PeerLinks, connection: PeerConnection) -> None:
    if links.caps is not None:
        links.caps.answer(connection, message)


@_handle_request.register
def _(message: BucketTransfer, links: PeerLinks, connection: PeerConnection) -> None:
    if links.caps is not None:
        links.caps.receive_transfer(message)


@_handle_request.register
def _(message: FreshnessProbe, links: PeerLinks, connection: PeerConnection) -> None:
    links.sharing.reply_to_probe(connection, message.sequence)


@_handle_request.register
def _(message: StoreReport, links: PeerLinks, connection: PeerConnection) -> None:
    links.sharing.receive_first_copy(message)


@_handle_request.register
def _(message: UnfollowStore, links: PeerLinks, connection: PeerConnection) -> None:
    links.sharing.remove_follower(connection)


@_handle_request.register
def _(message: Cancel, links: PeerLinks, connection: PeerConnection) -> None:
    request = links.inbound[connection].pop(message.call_id, None)
    if request is not None:
        request.cancel()


@_handle_request.register
def _(message: ForwardRequestMessage, links: PeerLinks, connection: PeerConnection) -> None:
    forward_id = message.forward_id

    def reply(outcome: ForwardedOutcome) -> None:
        links.inbound.get(connection, {}).pop(forward_id, None)
        load = load_report(links.local_target.queue)
        connection.send(ForwardReplyMessage(forward_id, outcome, load))

    request = links.local_target.submit(message.forwarded, reply)
    if request.on_outcome is not None:
        links.inbound[connection][forward_id] = request
