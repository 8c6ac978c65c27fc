"""A listening port for callers, and the connections that it accepted."""

import asyncio
import sys

from jacinthsail.internal.adapters.caller_connection import CallerConnection
from jacinthsail.internal.adapters.caller_memory import CallerMemory
from jacinthsail.internal.adapters.http_messages import (
    ServeCallback,
    ServerLimits,
)
from jacinthsail.internal.model.held_memory import HeldMemory

# Interval between checks for idle and slow callers.
SWEEP_INTERVAL_S = 0.5


class CallerServer:
    """A listening port and the connections that it accepted."""

    def __init__(
        self, serve: ServeCallback, limits: ServerLimits, memory: CallerMemory | None = None
    ) -> None:
        self.serve = serve
        self.limits = limits
        self.memory = memory or unlimited_memory()
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.is_closing = False

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024, reuse_address=True
        )

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.close()

    def close_all(self) -> None:
        """Close every connection, each after the responses that are written to it."""
        for connection in list(self.connections):
            connection.close_after_responses()

    def has_unsent_responses(self) -> bool:
        """Return whether a caller has not yet accepted all bytes of a response."""
        return any(connection.unsent_bytes() for connection in self.connections)

    def abort_all(self) -> None:
        """Close every connection immediately."""
        for connection in list(self.connections):
            connection.abort()

    def sweep(self, now: float) -> None:
        """Close the connections whose caller exceeded a timeout."""
        for connection in list(self.connections):
            connection.enforce_timeouts(now)


def unlimited_memory() -> CallerMemory:
    """Return the account of a server that holds as much as its callers send."""
    return CallerMemory(HeldMemory(limit=sys.maxsize, held=0, evicted=0), sys.maxsize)
