"""The operators' port: status and metrics, both read-only."""

import asyncio
from typing import Any

import mode
from aiohttp import web
from aioprometheus.collectors import REGISTRY, Gauge
from aioprometheus.renderer import render

from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.limits import limit_of
from jacinthsail.internal.queries.status import node_status

IN_FLIGHT = Gauge("jacinthsail_in_flight", "Calls in flight to the own target")
QUEUED = Gauge("jacinthsail_queued", "Calls that wait for the own target")
LIMIT = Gauge("jacinthsail_limit", "Calls that may be in flight to the own target")
CONTROL_BYTES = Gauge("jacinthsail_control_bytes", "Bytes of control messages since the start")
PLATFORM_READS = Gauge("jacinthsail_platform_reads", "Reads of the platform since the start")


class OperatorsPort(mode.Service):
    """Answers ``GET /status`` and ``GET /metrics``."""

    def __init__(self, state: NodeState, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.server = web.Server(self.handle, access_log=None)
        self.listener: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Listen for operators."""
        operators = self.node_state["settings"].operators
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, operators.host, operators.port)

    async def on_stop(self) -> None:
        """Close the port."""
        if self.listener is not None:
            self.listener.close()
        await self.server.shutdown()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request."""
        if request.path == "/status":
            return web.json_response(
                node_status(self.node_state, asyncio.get_running_loop().time())
            )
        if request.path == "/metrics":
            return self._metrics(request)
        return web.Response(status=404, text="GET /status or /metrics\n")

    def _metrics(self, request: web.BaseRequest) -> web.Response:
        admission = self.node_state["admission"]
        IN_FLIGHT.set({}, len(admission["in_flight"]))
        QUEUED.set({}, len(admission["queue"]))
        LIMIT.set({}, limit_of(admission["limiter"]))
        PLATFORM_READS.set({}, self.node_state["platform"]["reads"])
        for distance, traffic in self.node_state["control"].items():
            for direction, size in traffic.items():
                CONTROL_BYTES.set({"distance": distance.value, "direction": direction}, size)
        content, response_headers = render(REGISTRY, request.headers.getall("Accept", []))
        return web.Response(body=content, headers=response_headers)
