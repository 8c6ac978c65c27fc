"""The operators' port: status and metrics, both read-only."""

import asyncio
from typing import Any

import mode
from aiohttp import web

from jacinthsail.internal.adapters.metrics import NodeMetrics
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.status import node_status

SHUTDOWN_TIMEOUT_S = 0.5


class OperatorsPort(mode.Service):
    """Serves ``GET /status`` and ``GET /metrics``."""

    def __init__(self, state: NodeState, metrics: NodeMetrics, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.metrics = metrics
        self.server = web.Server(self.handle, access_log=None)
        self.listener: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Start to accept connections."""
        operators = self.node_state["settings"].operators
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, operators.host, operators.port)

    async def on_stop(self) -> None:
        """Close the port."""
        if self.listener is not None:
            self.listener.close()
        self.server.pre_shutdown()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)

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
        self.metrics.update(self.node_state)
        content, response_headers = self.metrics.page(request.headers.getall("Accept", []))
        return web.Response(body=content, headers=response_headers)
