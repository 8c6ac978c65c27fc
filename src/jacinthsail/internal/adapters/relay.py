"""Node-to-node connections: calls to peers and calls from peers."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Any

import mode

from jacinthsail.internal.adapters.clock import observe_time
from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.commands.peers import (
    change_in_flight,
    record_draining,
    record_failure,
    record_heartbeat,
    record_hello,
)
from jacinthsail.internal.model.calls import Call, NotRun, Outcome, Reason, Unknown
from jacinthsail.internal.model.membership import VmEntry
from jacinthsail.internal.model.messages import (
    CallReply,
    CallRequest,
    Cancel,
    Goodbye,
    Heartbeat,
    Hello,
    Message,
)
from jacinthsail.internal.model.state import NodeState

# A connection opens in about 1 ms within a region and 24 ms across.
CONNECT_TIMEOUT_S = 1.0

# How long a peer whose call failed is avoided; its heartbeat ends the suspicion earlier.
SUSPICION_S = 2.0

ServeOwn = Callable[[Call], Awaitable[Outcome]]


class RelayPool(mode.Service):
    """Holds the connections to and from peers."""

    def __init__(self, state: NodeState, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.connections: dict[str, PeerConnection] = {}
        self.opening: dict[str, asyncio.Future[PeerConnection | None]] = {}
        self.inbound: set[PeerConnection] = set()
        self.server: asyncio.Server | None = None
        self.serve_own: ServeOwn | None = None

    async def on_start(self) -> None:
        """Listen for peers."""
        relay = self.node_state["settings"].relay
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, relay.host, relay.port)

    async def on_stop(self) -> None:
        """Close every connection after the last reply."""
        if self.server is not None:
            self.server.close()
        for connection in [*self.connections.values(), *self.inbound]:
            connection.close()

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(self.receive, self._closed)
        self.inbound.add(connection)
        return connection

    async def call(self, entry: VmEntry, call: Call) -> Outcome:
        """Relay a call to the node of another VM and return its outcome."""
        head = call.head
        connection = await self.connection_to(entry)
        if connection is None or not connection.has_room():
            self._suspect(entry.vm)
            return NotRun(Reason.PEER_UNREACHABLE, head.retries_left)
        loop = asyncio.get_running_loop()
        call_id = connection.next_call_id
        connection.next_call_id += 1
        waiter: asyncio.Future[Outcome] = loop.create_future()
        connection.waiters[call_id] = waiter
        peer = self.node_state["peers"].get(entry.vm)
        if peer is not None:
            change_in_flight(peer, 1)
        connection.send(CallRequest(call_id, call, head.deadline - loop.time()))
        try:
            async with asyncio.timeout_at(head.deadline):
                return await waiter
        except TimeoutError:
            connection.send(Cancel(call_id))
            return Unknown(Reason.DEADLINE_EXPIRED, 0)
        except asyncio.CancelledError:
            connection.send(Cancel(call_id))
            raise
        finally:
            connection.waiters.pop(call_id, None)
            if peer is not None:
                change_in_flight(peer, -1)

    async def incarnation_of(self, entry: VmEntry) -> str:
        """Return the incarnation of a peer's node as it says itself, or an empty text."""
        connection = await self.connection_to(entry)
        if connection is None:
            self._suspect(entry.vm)
            return ""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connection.introduced.wait()
        except TimeoutError:
            self._suspect(entry.vm)
            return ""
        peer = self.node_state["peers"].get(entry.vm)
        return "" if peer is None else peer["incarnation"]

    async def connection_to(self, entry: VmEntry) -> PeerConnection | None:
        """Return an open connection to a peer, or None when it cannot be reached."""
        connection = self.connections.get(entry.vm)
        if connection is not None and connection.is_open():
            return connection
        opening = self.opening.get(entry.vm)
        if opening is None:
            opening = asyncio.ensure_future(self._open(entry))
            self.opening[entry.vm] = opening
            opening.add_done_callback(lambda _: self.opening.pop(entry.vm, None))
        return await asyncio.shield(opening)

    async def _open(self, entry: VmEntry) -> PeerConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: PeerConnection(self.receive, self._closed),
                    entry.host,
                    entry.relay_port,
                )
        except (OSError, TimeoutError):
            return None
        connection.peer_vm = entry.vm
        self.connections[entry.vm] = connection
        connection.send(self._hello())
        self._introduce(entry.vm)
        return connection

    def _introduce(self, vm: str) -> None:
        if vm not in self.node_state["peers"]:
            now = asyncio.get_running_loop().time()
            record_hello(self.node_state["peers"], Hello(vm, "", "", ""), now)

    def _hello(self) -> Hello:
        settings = self.node_state["settings"]
        incarnation = self.node_state["ledger"]["incarnation"]
        return Hello(settings.vm, incarnation, settings.failure_domain, settings.service)

    def _suspect(self, vm: str) -> None:
        peer = self.node_state["peers"].get(vm)
        if peer is not None:
            record_failure(peer, asyncio.get_running_loop().time() + SUSPICION_S)

    def _closed(self, connection: PeerConnection) -> None:
        self.inbound.discard(connection)
        if self.connections.get(connection.peer_vm) is connection:
            del self.connections[connection.peer_vm]
            self._suspect(connection.peer_vm)
        for waiter in connection.waiters.values():
            if not waiter.done():
                waiter.set_result(Unknown(Reason.CONNECTION_LOST, 0))
        for task in connection.serving.values():
            task.cancel()

    def receive(self, connection: PeerConnection, message: Message) -> None:
        """Handle one message from a peer."""
        observe_time(self.node_state)
        handle_message(message, self, connection)

    async def serve(self, connection: PeerConnection, request: CallRequest) -> None:
        """Run a relayed call at the own target and reply."""
        assert self.serve_own is not None
        deadline = asyncio.get_running_loop().time() + request.remaining_s
        call = request.call._replace(head=request.call.head._replace(deadline=deadline))
        try:
            outcome = await self.serve_own(call)
        finally:
            connection.serving.pop(request.call_id, None)
        threshold = self.node_state["admission"]["threshold"]
        connection.send(CallReply(request.call_id, outcome, threshold))


@singledispatch
def handle_message(message: object, pool: RelayPool, connection: PeerConnection) -> None:
    """Act on one message from a peer."""
    raise NotImplementedError(f"no handler for {type(message).__name__}; register one")


@handle_message.register
def _(message: Hello, pool: RelayPool, connection: PeerConnection) -> None:
    answers_hello = connection.peer_vm == ""
    connection.introduced.set()
    connection.peer_vm = message.vm
    record_hello(pool.node_state["peers"], message, connection.last_received)
    if answers_hello:
        connection.send(pool._hello())


@handle_message.register
def _(message: Heartbeat, pool: RelayPool, connection: PeerConnection) -> None:
    peer = pool.node_state["peers"].get(connection.peer_vm)
    if peer is not None:
        record_heartbeat(peer, message, connection.last_received)


@handle_message.register
def _(message: CallRequest, pool: RelayPool, connection: PeerConnection) -> None:
    task = asyncio.ensure_future(pool.serve(connection, message))
    connection.serving[message.call_id] = task


@handle_message.register
def _(message: CallReply, pool: RelayPool, connection: PeerConnection) -> None:
    waiter = connection.waiters.get(message.call_id)
    if waiter is not None and not waiter.done():
        waiter.set_result(message.outcome)


@handle_message.register
def _(message: Cancel, pool: RelayPool, connection: PeerConnection) -> None:
    task = connection.serving.get(message.call_id)
    if task is not None:
        task.cancel()


@handle_message.register
def _(message: Goodbye, pool: RelayPool, connection: PeerConnection) -> None:
    peer = pool.node_state["peers"].get(connection.peer_vm)
    if peer is not None:
        record_draining(peer)
