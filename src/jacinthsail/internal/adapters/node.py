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
from jacinthsail.internal.adapters.operators import OperatorsPort
from jacinthsail.internal.adapters.platform import PlatformClient
from jacinthsail.internal.adapters.relay import RelayPool
from jacinthsail.internal.adapters.target import new_session
from jacinthsail.internal.commands.admission import begin_draining
from jacinthsail.internal.model.messages import Goodbye
from jacinthsail.internal.model.settings import NodeSettings
from jacinthsail.internal.queries.admission import is_idle
from jacinthsail.internal.queries.initial import initial_state

# A planned stop waits this long for calls in flight; deadlines end them earlier.
DRAIN_TIMEOUT_S = 30.0
DRAIN_POLL_S = 0.02


class NodeService(mode.Service):
    """One node: its ports, its connections and its copies of what is published."""

    def __init__(self, settings: NodeSettings, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.session: aiohttp.ClientSession | None = None

    async def on_first_start(self) -> None:
        """Build the state and start the parts, the callers' port last."""
        loop = asyncio.get_running_loop()
        incarnation = uuid4().hex
        now_ms = time.time_ns() // 1_000_000
        self.node_state = initial_state(self.settings, incarnation, loop.time(), now_ms)
        self.session = new_session()
        self.relay_pool = RelayPool(self.node_state)
        self.dispatcher = Dispatcher(
            self.node_state, self.session, self.relay_pool, Random(incarnation)
        )
        self.relay_pool.serve_own = self.dispatcher.serve_own
        self.frontend = Frontend(self.node_state, self.dispatcher)
        await self.add_runtime_dependency(ClockService(self.node_state))
        await self.add_runtime_dependency(self.relay_pool)
        await self.add_runtime_dependency(PlatformClient(self.node_state, self.session))
        await self.add_runtime_dependency(OperatorsPort(self.node_state))
        await self.add_runtime_dependency(self.frontend)

    async def on_stop(self) -> None:
        """Refuse new work, let the calls in flight finish, then let the parts stop."""
        begin_draining(self.node_state["admission"])
        for connection in [*self.relay_pool.connections.values(), *self.relay_pool.inbound]:
            connection.send(Goodbye())
        loop = asyncio.get_running_loop()
        latest = loop.time() + DRAIN_TIMEOUT_S
        while loop.time() < latest:
            if is_idle(self.node_state["admission"]) and not self.frontend.calls_in_progress:
                break
            await asyncio.sleep(DRAIN_POLL_S)

    async def on_shutdown(self) -> None:
        """Close the connections to the target and the platform."""
        if self.session is not None:
            await self.session.close()
