"""Connections between nodes that carry forwarded HTTP requests.

A node sends requests only on connections that it opened, and only after the peer has introduced
itself on them, so a frozen peer or a reused address did certainly not run a request.
"""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatch

from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.local_target import OwnTarget, RunningForward
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.messages import (
    Cancel,
    ForwardReply,
    ForwardRequest,
    Goodbye,
    Hello,
    Message,
    Ping,
    Pong,
)
from jacinthsail.internal.model.peers import TrafficState
from jacinthsail.internal.model.request_state import Forward, ForwardOutcome
from jacinthsail.internal.queries.target_queue import RETRY_AFTER_UNREACHABLE_S, load_report

_LOG = logging.getLogger("jacinthsail.peers")

# Round trips between regions take about 25 ms; a peer that needs longer to accept is frozen or cut.
CONNECT_TIMEOUT_S = 0.6

# With requests in flight a peer that says nothing for this long is asked for a sign of life ...
PING_AFTER_S = 0.4

# ... and without one its connection is replaced after this long.
SILENT_AFTER_S = 1.2

UPKEEP_S = 0.2

OnOutcome = Callable[[ForwardOutcome], None]
OnLoad = Callable[[str, LoadReport], None]
OnPeer = Callable[[str], None]


class PendingForward:
    """A request that was sent to a peer; ``cancel`` gives it up."""

    __slots__ = ("link", "forward_id", "forward", "on_outcome")

    def __init__(self, link: "PeerLink", forward: Forward, on_outcome: OnOutcome) -> None:
        self.link = link
        self.forward_id = 0
        self.forward = forward
        self.on_outcome: OnOutcome | None = on_outcome

    def cancel(self) -> None:
        """Tell the peer that nobody waits any more."""
        self.on_outcome = None
        self.link.cancelled(self)

    def settle(self, outcome: ForwardOutcome) -> None:
        """Report the outcome, unless it was given up."""
        on_outcome = self.on_outcome
        self.on_outcome = None
        if on_outcome is not None:
            on_outcome(outcome)


class PeerLink:
    """The connection to one peer that this node opens when it has requests for it."""

    def __init__(self, links: "PeerLinks", host: str) -> None:
        self.links = links
        self.host = host
        self.connection: PeerConnection | None = None
        self.is_greeted = False
        self.waiting: list[PendingForward] = []
        self.pending: dict[int, PendingForward] = {}
        self.task: asyncio.Task[None] | None = None
        self.next_id = 1
        self.pinged_at = 0.0

    def send(self, forward: Forward, on_outcome: OnOutcome) -> PendingForward:
        """Send a request, over a new connection if there is none."""
        pending = PendingForward(self, forward, on_outcome)
        if self.connection is not None and self.is_greeted and self.connection.has_room():
            self._transmit(pending)
            return pending
        self.waiting.append(pending)
        if self.task is None:
            self.task = self.links.loop.create_task(self._connect())
        return pending

    def _transmit(self, pending: PendingForward) -> None:
        assert self.connection is not None
        pending.forward_id = self.next_id
        self.next_id += 1
        self.pending[pending.forward_id] = pending
        self.connection.last_used = self.links.loop.time()
        self.connection.send(
            ForwardRequest(pending.forward_id, pending.forward), pending.forward_id
        )

    async def _connect(self) -> None:
        self.is_greeted = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.connection = await self.links.loop.create_connection(
                    lambda: PeerConnection(self.deliver, self.on_closed, self.links.traffic),
                    self.host,
                    self.links.port,
                )
                self.connection.send(self.links.hello)
                await self.connection.greeted.wait()
        except (OSError, TimeoutError) as error:
            _LOG.info("peer %s is unreachable: %s", self.host, type(error).__name__)
        finally:
            self.task = None
        if self.is_greeted:
            self._send_waiting()
            return
        if self.connection is not None:
            self.connection.abort()
        self.connection = None
        self._refuse_waiting()

    def _send_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            if pending.on_outcome is not None:
                self._transmit(pending)

    def _refuse_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            pending.settle(NotRun(Reason.PEER_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))

    def cancelled(self, pending: PendingForward) -> None:
        """Pass on that a caller went away."""
        if self.pending.pop(pending.forward_id, None) is None or self.connection is None:
            return
        if self.connection.is_unsent(pending.forward_id):
            self.connection.forget_unsent(pending.forward_id)
            return
        self.connection.send(Cancel(pending.forward_id))

    def deliver(self, connection: PeerConnection, message: Message) -> None:
        """Handle a message of the peer."""
        _on_answer(message, self, connection)

    def on_closed(self, connection: PeerConnection) -> None:
        """Settle the requests whose replies cannot come any more."""
        if connection is not self.connection:
            return
        self.connection = None
        self.is_greeted = False
        pending, self.pending = self.pending, {}
        for one in pending.values():
            if connection.is_unsent(one.forward_id):
                one.settle(NotRun(Reason.PEER_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))
                continue
            one.settle(Unknown(Reason.CONNECTION_LOST, 0))

    def check_silence(self, now: float) -> None:
        """Replace a connection on which requests wait and nothing arrives."""
        if self.connection is None or not self.pending:
            return
        silent_s = now - self.connection.last_received
        if silent_s < PING_AFTER_S:
            self.pinged_at = 0.0
            return
        if self.pinged_at == 0.0:
            self.pinged_at = now
            self.connection.send(Ping())
            return
        if now - max(self.pinged_at, self.connection.last_received) > SILENT_AFTER_S - PING_AFTER_S:
            _LOG.warning(
                "peer %s was silent for %.1f s with %d requests in flight; connection replaced",
                self.host,
                silent_s,
                len(self.pending),
            )
            self.connection.abort()


class PeerLinks:
    """All connections between this node and its peers, in both directions."""

    def __init__(
        self,
        hello: Hello,
        port: int,
        own_target: OwnTarget,
        traffic: TrafficState,
        on_load: OnLoad,
        on_peer_started: OnPeer,
        on_peer_stops: OnPeer,
    ) -> None:
        self.hello = hello
        self.port = port
        self.own_target = own_target
        self.traffic = traffic
        self.on_load = on_load
        self.on_peer_started = on_peer_started
        self.on_peer_stops = on_peer_stops
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, PeerLink] = {}
        self.inbound: dict[PeerConnection, dict[int, RunningForward]] = {}
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_leaving = False

    async def listen(self, host: str) -> None:
        """Accept connections of peers."""
        self.server = await self.loop.create_server(
            self._accept, host, self.port, backlog=1024, reuse_address=True
        )
        self._upkeep()

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(self.deliver, self._on_inbound_closed, self.traffic)
        self.inbound[connection] = {}
        return connection

    def _upkeep(self) -> None:
        now = self.loop.time()
        for link in self.links.values():
            link.check_silence(now)
        self.timer = self.loop.call_later(UPKEEP_S, self._upkeep)

    def send(self, host: str, forward: Forward, on_outcome: OnOutcome) -> PendingForward:
        """Send a request to the node on another VM."""
        link = self.links.get(host)
        if link is None:
            link = self.links[host] = PeerLink(self, host)
        return link.send(forward, on_outcome)

    def deliver(self, connection: PeerConnection, message: Message) -> None:
        """Handle a message on a connection that a peer opened."""
        _on_request(message, self, connection)

    def _on_inbound_closed(self, connection: PeerConnection) -> None:
        for running in self.inbound.pop(connection, {}).values():
            running.cancel()

    def say_goodbye(self) -> None:
        """Ask the peers to send nothing new."""
        self.is_leaving = True
        for connection in self.inbound:
            connection.send(Goodbye())

    def has_inbound_work(self) -> bool:
        """Tell whether a peer waits for an outcome."""
        return any(self.inbound.values())

    def close(self) -> None:
        """Close every connection."""
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
        for link in self.links.values():
            if link.connection is not None:
                link.connection.abort()
        for connection in list(self.inbound):
            connection.abort()


@singledispatch
def _on_answer(message: object, link: PeerLink, connection: PeerConnection) -> None:
    """Handle a message on a connection that this node opened."""
    _LOG.warning("peer %s sent an unexpected %s", link.host, type(message).__name__)


@_on_answer.register
def _(message: Hello, link: PeerLink, connection: PeerConnection) -> None:
    link.is_greeted = True
    link.links.on_peer_started(link.host)
    connection.greeted.set()


@_on_answer.register
def _(message: ForwardReply, link: PeerLink, connection: PeerConnection) -> None:
    pending = link.pending.pop(message.forward_id, None)
    if pending is None:
        return
    link.links.on_load(pending.forward.incarnation, message.load)
    pending.settle(message.outcome)


@_on_answer.register
def _(message: Pong, link: PeerLink, connection: PeerConnection) -> None:
    link.pinged_at = 0.0


@_on_answer.register
def _(message: Goodbye, link: PeerLink, connection: PeerConnection) -> None:
    link.links.on_peer_stops(link.host)
    _LOG.info("peer %s stops; it gets nothing new", link.host)


@singledispatch
def _on_request(message: object, links: PeerLinks, connection: PeerConnection) -> None:
    """Handle a message on a connection that a peer opened."""
    _LOG.warning("a peer sent an unexpected %s", type(message).__name__)


@_on_request.register
def _(message: Hello, links: PeerLinks, connection: PeerConnection) -> None:
    connection.send(links.hello)
    if links.is_leaving:
        connection.send(Goodbye())


@_on_request.register
def _(message: Ping, links: PeerLinks, connection: PeerConnection) -> None:
    connection.send(Pong(load_report(links.own_target.backlog)))


@_on_request.register
def _(message: Cancel, links: PeerLinks, connection: PeerConnection) -> None:
    running = links.inbound[connection].pop(message.call_id, None)
    if running is not None:
        running.cancel()


@_on_request.register
def _(message: ForwardRequest, links: PeerLinks, connection: PeerConnection) -> None:
    forward_id = message.forward_id

    def reply(outcome: ForwardOutcome) -> None:
        links.inbound.get(connection, {}).pop(forward_id, None)
        load = load_report(links.own_target.backlog)
        connection.send(ForwardReply(forward_id, outcome, load))

    running = links.own_target.submit(message.forward, reply)
    if running.on_outcome is not None:
        links.inbound[connection][forward_id] = running
