"""Connections between nodes that relay calls to peers and serve calls from peers."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Any

import mode

from jacinthsail.internal.adapters.clock import observe_time
from jacinthsail.internal.adapters.connection import PeerConnection, PendingCall, ServedCall
from jacinthsail.internal.commands.membership import spend_link_budget
from jacinthsail.internal.commands.peers import (
    add_peer,
    change_in_flight,
    record_draining,
    record_failure,
    record_heartbeat,
    record_hello,
    record_received,
    record_threshold,
)
from jacinthsail.internal.model.calls import Call, CallContext, NotRun, Outcome, Reason, Unknown
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
from jacinthsail.internal.model.peers import (
    CloseIdleConnection,
    KeepConnection,
    ReplaceConnection,
    TrafficState,
)
from jacinthsail.internal.model.routing import RouteRefused
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import advertised_threshold
from jacinthsail.internal.queries.idempotency import outcome_of_unrouted_call
from jacinthsail.internal.queries.lookup import distance_to_vm, is_at_most_once, is_same_call
from jacinthsail.internal.queries.membership import can_cross_region
from jacinthsail.internal.queries.peers import (
    CONNECTION_CHECK_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    decide_connection,
    suspicion_s,
)
from jacinthsail.internal.queries.replication import (
    current_heartbeat,
    is_awaiting_peers,
)

# A connection opens in about 1 ms within a region and in about 24 ms between regions.
CONNECT_TIMEOUT_S = 1.0

# A call that expires in the peer's queue is refused there at its deadline. The refusal takes up to
# 24 ms to arrive from another region; without it the call would be unknown instead of not-run.
REPLY_GRACE_S = 0.05

# The last replies must reach the kernel before the loop ends. A peer that reads nothing delays the
# stop by at most this long.
FLUSH_TIMEOUT_S = 1.0
FLUSH_POLL_INTERVAL_S = 0.01

ServeLocalCall = Callable[[Call], Awaitable[Outcome]]
AbandonLocalCall = Callable[[CallContext], None]


class RelayPool(mode.Service):
    """Holds the connections to and from peers.

    A node sends its calls only on connections that it opened itself. When two nodes call each
    other, two connections exist. So neither a simultaneous open nor the closing of an idle
    connection can drop a call that the other side has just sent.
    """

    def __init__(self, state: NodeState, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.connections: dict[str, PeerConnection] = {}
        self.opening: dict[str, asyncio.Future[PeerConnection | None]] = {}
        self.inbound: set[PeerConnection] = set()
        self.server: asyncio.Server | None = None
        self.serve_locally: ServeLocalCall | None = None
        self.abandon_local_call: AbandonLocalCall | None = None

    async def on_start(self) -> None:
        """Start to accept connections of peers."""
        relay = self.node_state["settings"].relay
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, relay.host, relay.port)

    async def on_stop(self) -> None:
        """Close every connection after the last reply is written."""
        if self.server is not None:
            self.server.close()
        for opening in list(self.opening.values()):
            opening.cancel()
        for connection in self.open_connections():
            connection.close()
        latest = asyncio.get_running_loop().time() + FLUSH_TIMEOUT_S
        while self.open_connections() and asyncio.get_running_loop().time() < latest:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def open_connections(self) -> list[PeerConnection]:
        """Return the connections in both directions."""
        return [*self.connections.values(), *self.inbound]

    def is_disabled(self, mechanism: Mechanism) -> bool:
        """Return whether a scenario has disabled a mechanism."""
        return mechanism in self.node_state["settings"].disabled

    def announce_draining(self) -> None:
        """Notify every peer that this node accepts no new calls for its target."""
        for connection in self.open_connections():
            connection.send(Goodbye())

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(self.receive, self._closed, self.traffic_counters(""))
        self.inbound.add(connection)
        return connection

    @mode.Service.task
    async def check_connections(self) -> None:
        """Send heartbeats, replace silent connections and close unused ones."""
        loop = asyncio.get_running_loop()
        last_check = loop.time()
        while not self.should_stop:
            await asyncio.sleep(CONNECTION_CHECK_INTERVAL_S)
            now = loop.time()
            for connection in self.open_connections():
                self.check_connection(connection, now, last_check)
            last_check = now

    def check_connection(self, connection: PeerConnection, now: float, last_check: float) -> None:
        """Keep, replace or close one connection, and send its heartbeat when it is due."""
        if not connection.is_open():
            return
        detects_silence = not self.is_disabled(Mechanism.SILENCE_DETECTION)
        decision = decide_connection(connection.view(), now, last_check, detects_silence)
        apply_connection_decision(decision, self, connection)
        if now >= connection.next_heartbeat and connection.is_open():
            connection.next_heartbeat = now + HEARTBEAT_INTERVAL_S
            connection.send(current_heartbeat(self.node_state))

    async def call(self, entry: VmEntry, call: Call) -> Outcome:
        """Relay a call to the node of another VM and return its outcome."""
        context = call.context
        if not self._charge_link(entry, call):
            return NotRun(Reason.LINK_BUDGET_SPENT, context.retries_left)
        connection = await self._connection_before_deadline(entry, context.deadline)
        if connection is None or not connection.is_writable():
            self.suspect(entry.vm)
            return NotRun(Reason.PEER_UNREACHABLE, context.retries_left)
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now >= context.deadline:
            return NotRun(Reason.DEADLINE_EXPIRED, context.retries_left)
        call_id = self._new_call_id(connection)
        waiter: asyncio.Future[Outcome] = loop.create_future()
        connection.pending[call_id] = PendingCall(context, waiter)
        connection.last_used = now
        peer = self.node_state["peers"][entry.vm]
        change_in_flight(peer, 1)
        try:
            connection.send(CallRequest(call_id, call, context.deadline - now), call_id)
            async with asyncio.timeout_at(context.deadline + REPLY_GRACE_S):
                return await waiter
        except TimeoutError:
            return self._time_out(connection, call_id, context, now)
        except asyncio.CancelledError:
            self._cancel_call(connection, call_id)
            raise
        finally:
            connection.pending.pop(call_id, None)
            change_in_flight(peer, -1)

    def _new_call_id(self, connection: PeerConnection) -> int:
        if self.is_disabled(Mechanism.WHOLE_ANSWERS):
            # Without the mechanism ids are reused, so a late reply is taken for another call's.
            return next(number for number in range(1, 1 << 32) if number not in connection.pending)
        connection.next_call_id += 1
        return connection.next_call_id

    def _time_out(
        self, connection: PeerConnection, call_id: int, context: CallContext, sent_at: float
    ) -> Outcome:
        if connection.last_received < sent_at:
            connection.overdue_since = context.deadline
            self.suspect(connection.peer_vm)
        if self._cancel_call(connection, call_id):
            return NotRun(Reason.DEADLINE_EXPIRED, context.retries_left)
        return Unknown(Reason.DEADLINE_EXPIRED, 0)

    def _cancel_call(self, connection: PeerConnection, call_id: int) -> bool:
        """Cancel a call; return whether it was discarded before a byte of it was sent."""
        if connection.is_unsent(call_id):
            connection.discard_unsent(call_id)
            return True
        connection.send(Cancel(call_id))
        return False

    def cancel_abandoned_call(self, context: CallContext) -> None:
        """Cancel an abandoned call at the peers unless it started; its outcome still arrives."""
        for connection in self.connections.values():
            for call_id, pending in connection.pending.items():
                if is_same_call(pending.context, context):
                    connection.send(Cancel(call_id))

    async def _connection_before_deadline(
        self, entry: VmEntry, deadline: float
    ) -> PeerConnection | None:
        connection = self.connections.get(entry.vm)
        if connection is not None and connection.is_open():
            return connection
        try:
            async with asyncio.timeout_at(deadline):
                return await self.connection_to(entry)
        except TimeoutError:
            return None

    def _charge_link(self, entry: VmEntry, call: Call) -> bool:
        """Charge a call that crosses regions; return whether the link budget allowed it."""
        settings = self.node_state["settings"]
        if entry.region == settings.region:
            return True
        budget = self.node_state["link_budget"]
        now = asyncio.get_running_loop().time()
        if not can_cross_region(budget, settings.cross_region_bytes_per_s, now):
            return False
        spend_link_budget(budget, settings.cross_region_bytes_per_s, len(call.body), now)
        return True

    async def fetch_incarnation(self, entry: VmEntry) -> str:
        """Return the incarnation that a peer's node reports, or an empty string if unreachable."""
        connection = await self.connection_to(entry)
        if connection is None:
            self.suspect(entry.vm)
            return ""
        peer = self.node_state["peers"].get(entry.vm)
        return "" if peer is None else peer["incarnation"]

    async def connection_to(self, entry: VmEntry) -> PeerConnection | None:
        """Return an open connection to a peer, or None if the peer is unreachable."""
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
        add_peer(self.node_state["peers"], entry.vm, loop.time())
        traffic = self.traffic_counters(entry.vm)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: PeerConnection(self.receive, self._closed, traffic, entry),
                    entry.host,
                    entry.relay_port,
                )
        except (OSError, TimeoutError):
            self.suspect(entry.vm)
            return None
        return await self._await_hello(entry, connection)

    async def _await_hello(
        self, entry: VmEntry, connection: PeerConnection
    ) -> PeerConnection | None:
        """Wait for the hello of the peer before a call is sent.

        The kernel accepts connections for a frozen process, and an address may now belong to
        another VM; calls sent without the hello would be unknown instead of not-run.
        """
        self.send_hello(connection)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connection.handshake_done.wait()
        except TimeoutError:
            connection.abort()
        if not connection.is_open():
            self.suspect(entry.vm)
            return None
        self.connections[entry.vm] = connection
        return connection

    def traffic_counters(self, vm: str) -> TrafficState:
        """Return the counters for control messages to and from a VM."""
        return self.node_state["control"][distance_to_vm(self.node_state, vm)]

    def send_hello(self, connection: PeerConnection) -> None:
        """Send the hello of this node on a connection."""
        settings = self.node_state["settings"]
        incarnation = self.node_state["ledger"]["incarnation"]
        connection.hello_sent = True
        connection.send(Hello(settings.vm, incarnation, settings.failure_domain, settings.service))

    def suspect(self, vm: str) -> None:
        """Mark a peer as suspect for a limited time; a message from it ends this early."""
        peer = self.node_state["peers"].get(vm)
        if peer is None:
            return
        now = asyncio.get_running_loop().time()
        record_failure(peer, now + suspicion_s(peer["failures"] + 1))

    def _closed(self, connection: PeerConnection) -> None:
        self.inbound.discard(connection)
        if self.connections.get(connection.peer_vm) is connection:
            del self.connections[connection.peer_vm]
            if not connection.close_requested:
                self.suspect(connection.peer_vm)
        self.settle_pending(connection, Reason.CONNECTION_LOST)
        for call_id in list(connection.serving):
            self.cancel_served(connection, call_id)

    def settle_pending(self, connection: PeerConnection, reason: Reason) -> None:
        """Settle every pending call of a connection on which no more replies will arrive."""
        for call_id, pending in connection.pending.items():
            if pending.waiter.done():
                continue
            pending.waiter.set_result(
                self._outcome_after_loss(connection, call_id, pending, reason)
            )

    def _outcome_after_loss(
        self, connection: PeerConnection, call_id: int, pending: PendingCall, reason: Reason
    ) -> Outcome:
        if connection.is_unsent(call_id) or self.is_disabled(Mechanism.NOT_RUN_PROOF):
            return NotRun(reason, pending.context.retries_left)
        return Unknown(reason, 0)

    def replace_connection(self, connection: PeerConnection, reason: Reason) -> None:
        """Settle the calls of a dead connection, close it and open a new one."""
        self.settle_pending(connection, reason)
        connection.abort()
        self.suspect(connection.peer_vm)
        if connection.entry is None:
            return
        if self.connections.get(connection.peer_vm) is connection:
            del self.connections[connection.peer_vm]
        self.add_future(self.connection_to(connection.entry))

    def cancel_served(self, connection: PeerConnection, call_id: int) -> None:
        """Stop serving a call that the peer no longer waits for.

        An at-most-once call that has reached the target is executed to its end, so that its
        response is recorded under its idempotency key.
        """
        served = connection.serving.get(call_id)
        if served is None:
            return
        if (
            is_at_most_once(self.node_state["store"], served.context)
            and self.abandon_local_call is not None
        ):
            self.abandon_local_call(served.context)
            return
        served.task.cancel()

    def receive(self, connection: PeerConnection, message: Message) -> None:
        """Handle one message from a peer."""
        observe_time(self.node_state)
        peer = self.node_state["peers"].get(connection.peer_vm)
        if peer is not None:
            record_received(peer, connection.last_received)
        handle_message(message, self, connection)

    async def serve(self, connection: PeerConnection, request: CallRequest) -> None:
        """Execute a relayed call at the local target and send the reply."""
        outcome = await self._execute(request.call)
        connection.last_used = asyncio.get_running_loop().time()
        threshold = advertised_threshold(self.node_state["admission"])
        connection.send(CallReply(request.call_id, outcome, threshold))

    async def _execute(self, call: Call) -> Outcome:
        if call.context.service != self.node_state["settings"].service:
            # The sender's VM list is stale: this address now belongs to another service.
            return NotRun(Reason.NO_TARGET, call.context.retries_left)
        # The owner of an idempotency key decides by its own record of the key, even while this node
        # is not ready because it has just started.
        if not call.context.idempotency_key and self._awaits_peers():
            return outcome_of_unrouted_call(call.context, RouteRefused(Reason.NOT_READY))
        assert self.serve_locally is not None
        return await self.serve_locally(call)

    def _awaits_peers(self) -> bool:
        return is_awaiting_peers(self.node_state, asyncio.get_running_loop().time())


@singledispatch
def apply_connection_decision(
    decision: object, pool: RelayPool, connection: PeerConnection
) -> None:
    """Carry out a decision about a peer connection."""
    raise NotImplementedError(f"no implementation for {type(decision).__name__}; register one")


@apply_connection_decision.register
def _(decision: KeepConnection, pool: RelayPool, connection: PeerConnection) -> None:
    return


@apply_connection_decision.register
def _(decision: ReplaceConnection, pool: RelayPool, connection: PeerConnection) -> None:
    pool.replace_connection(connection, decision.reason)


@apply_connection_decision.register
def _(decision: CloseIdleConnection, pool: RelayPool, connection: PeerConnection) -> None:
    connection.close()


@singledispatch
def handle_message(message: object, pool: RelayPool, connection: PeerConnection) -> None:
    """Handle one message from a peer."""
    raise NotImplementedError(f"no handler for {type(message).__name__}; register one")


@handle_message.register
def _(message: Hello, pool: RelayPool, connection: PeerConnection) -> None:
    expected = connection.entry
    if expected is not None and expected.failure_domain and message.vm != expected.vm:
        # The address now belongs to another VM than the expected one.
        connection.abort()
        return
    connection.handshake_done.set()
    connection.peer_vm = message.vm
    connection.traffic = pool.traffic_counters(message.vm)
    record_hello(pool.node_state["peers"], message, connection.last_received)
    if not connection.hello_sent:
        pool.send_hello(connection)


@handle_message.register
def _(message: Heartbeat, pool: RelayPool, connection: PeerConnection) -> None:
    peer = pool.node_state["peers"].get(connection.peer_vm)
    if peer is not None:
        record_heartbeat(peer, message, connection.last_received)


@handle_message.register
def _(message: CallRequest, pool: RelayPool, connection: PeerConnection) -> None:
    deadline = connection.last_received + message.remaining_s
    context = message.call.context._replace(deadline=deadline)
    request = message._replace(call=message.call._replace(context=context))
    task = asyncio.ensure_future(pool.serve(connection, request))
    connection.serving[message.call_id] = ServedCall(context, task)
    # A task that is cancelled before its first step does not run its own cleanup code.
    task.add_done_callback(lambda _: connection.serving.pop(message.call_id, None))


@handle_message.register
def _(message: CallReply, pool: RelayPool, connection: PeerConnection) -> None:
    peer = pool.node_state["peers"].get(connection.peer_vm)
    if peer is not None:
        record_threshold(peer, message.threshold, connection.last_received)
    pending = connection.pending.get(message.call_id)
    if pending is not None and not pending.waiter.done():
        pending.waiter.set_result(message.outcome)


@handle_message.register
def _(message: Cancel, pool: RelayPool, connection: PeerConnection) -> None:
    pool.cancel_served(connection, message.call_id)


@handle_message.register
def _(message: Goodbye, pool: RelayPool, connection: PeerConnection) -> None:
    peer = pool.node_state["peers"].get(connection.peer_vm)
    if peer is not None:
        record_draining(peer)
