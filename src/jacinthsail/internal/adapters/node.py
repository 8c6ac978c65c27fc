"""The service tree of a node."""

import asyncio
import time
from random import Random
from typing import Any
from uuid import uuid4

import aiohttp
import mode

from jacinthsail.internal.adapters.clock import ClockService
from jacinthsail.internal.adapters.dispatcher import Dispatcher
from jacinthsail.internal.adapters.frontend import Frontend
from jacinthsail.internal.adapters.gossip import Gossip
from jacinthsail.internal.adapters.metrics import NodeMetrics
from jacinthsail.internal.adapters.operators import OperatorsPort
from jacinthsail.internal.adapters.platform import PlatformClient
from jacinthsail.internal.adapters.relay import RelayPool
from jacinthsail.internal.adapters.target import TargetHealth, new_session
from jacinthsail.internal.commands.admission import begin_draining, end_draining
from jacinthsail.internal.commands.draining import record_stop
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.settings import Mechanism, NodeSettings
from jacinthsail.internal.queries.admission import is_idle
from jacinthsail.internal.queries.draining import should_drain
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.internal.queries.routing import is_draining

# A planned stop waits up to this long for calls in flight; deadlines usually end them earlier.
DRAIN_TIMEOUT_S = 30.0
DRAIN_POLL_INTERVAL_S = 0.02

# For at least this long, the draining node adds "Connection: close" to its responses, so that
# callers stop using their keep-alive connections before the node closes them.
MIN_DRAIN_S = 0.5

DRAINING_POLL_INTERVAL_S = 0.25


class NodeService(mode.Service):
    """One node: its ports, its connections and its copies of the published items."""

    def __init__(self, settings: NodeSettings, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.session: aiohttp.ClientSession | None = None

    async def on_first_start(self) -> None:
        """Build the state and start the services, the callers' port last."""
        loop = asyncio.get_running_loop()
        incarnation = uuid4().hex
        now_ms = time.time_ns() // 1_000_000
        self.node_state = initial_state(self.settings, incarnation, loop.time(), now_ms)
        self.session = new_session()
        self.relay_pool = RelayPool(self.node_state)
        self.dispatcher = Dispatcher(
            self.node_state, self.session, self.relay_pool, Random(incarnation)
        )
        self.relay_pool.serve_locally = self.dispatcher.serve_locally
        self.relay_pool.abandon_local_call = self.dispatcher.gate.refuse_abandoned
        metrics = NodeMetrics()
        self.frontend = Frontend(self.node_state, self.dispatcher, metrics)
        health = TargetHealth(self.session, self.settings.target, self.node_state["drain"])
        operators = OperatorsPort(self.node_state, metrics)
        await self.add_runtime_dependency(self.relay_pool)
        gossip = Gossip(self.node_state, self.relay_pool, Random(f"{incarnation} gossip"))
        platform = PlatformClient(
            self.node_state, self.session, Random(f"{incarnation} platform"), gossip.broadcast_item
        )
        await self.add_runtime_dependency(ClockService(self.node_state, platform.read_now))
        await self.add_runtime_dependency(gossip)
        await self.add_runtime_dependency(platform)
        await self.add_runtime_dependency(operators)
        await self.add_runtime_dependency(health)
        await self.add_runtime_dependency(self.frontend)

    @mode.Service.task
    async def follow_draining(self) -> None:
        """Drain the local target while any source reports that it is draining."""
        while not self.should_stop:
            self._apply_draining()
            await asyncio.sleep(DRAINING_POLL_INTERVAL_S)

    def _apply_draining(self) -> None:
        must_drain = should_drain(self.node_state)
        if must_drain == is_draining(self.node_state):
            return
        if not must_drain:
            end_draining(self.node_state["admission"])
            return
        begin_draining(self.node_state["admission"])
        self.dispatcher.gate.refuse_all(Reason.DRAINING)
        self.relay_pool.announce_draining()

    async def on_stop(self) -> None:
        """Refuse new calls and let the calls in flight finish before the services stop."""
        if Mechanism.GRACEFUL_STOP in self.settings.disabled:
            self._abort_connections()
            return
        record_stop(self.node_state["drain"])
        self._apply_draining()
        loop = asyncio.get_running_loop()
        started = loop.time()
        latest = started + DRAIN_TIMEOUT_S
        while loop.time() < latest and not self._is_local_target_idle():
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        # The target's nested calls have ended, so nothing on this VM needs the port any more.
        await asyncio.sleep(max(0.0, started + MIN_DRAIN_S - loop.time()))
        self.frontend.stop_accepting()
        while loop.time() < latest and self.frontend.has_pending_calls():
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _is_local_target_idle(self) -> bool:
        if not is_idle(self.node_state["admission"]):
            return False
        return not any(connection.serving for connection in self.relay_pool.inbound)

    def _abort_connections(self) -> None:
        self.frontend.close_immediately()
        for connection in self.relay_pool.open_connections():
            connection.abort()

    async def on_shutdown(self) -> None:
        """Close the connections to the target and the platform."""
        if self.session is not None:
            await self.session.close()
