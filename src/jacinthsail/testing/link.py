"""Stand-in for a network link: a TCP relay that can cut, delay, throttle or silence connections."""

import asyncio
from typing import NamedTuple, TypedDict

from aiohttp import web

CHUNK_BYTES = 64 * 1024


class LinkBehaviour(TypedDict):
    """How a link behaves.

    With ``silent`` bytes are discarded while connections stay open. A connection that was open when
    ``silent`` was set stays silent; new ones are relayed unless ``silences_new`` is set. With
    ``only_from`` cut and silence apply only to the connections of these VMs, which are recognized
    by the VM name in the first bytes that a node sends.
    """

    cut: bool
    silent: bool
    silences_new: bool
    delay_ms: float
    bytes_per_s: float
    only_from: list[str]


class RelayedConnection(NamedTuple):
    """One connection through the link: both writers, and the first bytes, which name the opener."""

    opener: asyncio.StreamWriter
    destination: asyncio.StreamWriter
    first_bytes: bytes


class LinkStandIn:
    """Relays connections from its port to another port."""

    def __init__(self, port: int, to_port: int) -> None:
        self.port = port
        self.to_port = to_port
        self.behaviour: LinkBehaviour = {
            "cut": False,
            "silent": False,
            "silences_new": False,
            "delay_ms": 0.0,
            "bytes_per_s": 0.0,
            "only_from": [],
        }
        self.connections: set[RelayedConnection] = set()
        self.silenced: set[RelayedConnection] = set()
        self.server: asyncio.Server | None = None

    def application(self) -> web.Application:
        """Return the HTTP application of the control port; the relay starts with it."""
        application = web.Application()
        application.router.add_post("/control", self.control)
        application.on_startup.append(self.listen)
        application.on_shutdown.append(self.close)
        return application

    async def listen(self, _application: web.Application) -> None:
        """Open the relay's port."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)

    async def close(self, _application: web.Application) -> None:
        """Close the relay's port and every connection."""
        if self.server is not None:
            self.server.close()
        for connection in self.connections:
            _abort(connection)

    async def control(self, request: web.Request) -> web.Response:
        """Change fields of the behaviour."""
        changes = await request.json()
        unknown = changes.keys() - self.behaviour.keys()
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown fields {sorted(unknown)}; see LinkBehaviour\n")
        self.behaviour.update(changes)
        for connection in self.connections:
            if not self._is_affected(connection):
                continue
            if self.behaviour["cut"]:
                _abort(connection)
            if self.behaviour["silent"]:
                self.silenced.add(connection)
        return web.json_response(self.behaviour)

    def _is_affected(self, connection: RelayedConnection) -> bool:
        names = self.behaviour["only_from"]
        return not names or any(name.encode() in connection.first_bytes for name in names)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until both directions have ended."""
        if self.behaviour["cut"] and not self.behaviour["only_from"]:
            writer.transport.abort()
            return
        try:
            first_bytes = await reader.read(CHUNK_BYTES)
            destination_reader, destination_writer = await asyncio.open_connection(
                "127.0.0.1", self.to_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = RelayedConnection(writer, destination_writer, first_bytes)
        if self.behaviour["cut"] and self._is_affected(connection):
            _abort(connection)
            return
        if (
            self.behaviour["silent"]
            and self.behaviour["silences_new"]
            and self._is_affected(connection)
        ):
            self.silenced.add(connection)
        if connection not in self.silenced:
            destination_writer.write(first_bytes)
        await self._relay(connection, reader, destination_reader)

    async def _relay(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        destination_reader: asyncio.StreamReader,
    ) -> None:
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, connection.destination),
                self._pump(connection, destination_reader, connection.opener),
            )
        except asyncio.CancelledError:
            # The process is shutting down; asyncio would report a cancelled handler as an error.
            _abort(connection)
        finally:
            self.connections.discard(connection)
            self.silenced.discard(connection)

    async def _pump(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if connection in self.silenced:
                    continue
                rate = self.behaviour["bytes_per_s"]
                if rate:
                    await asyncio.sleep(len(chunk) / rate)
                delay_s = self.behaviour["delay_ms"] / 1000
                if delay_s:
                    loop.call_later(delay_s, _write, writer, chunk)
                    continue
                writer.write(chunk)
                await writer.drain()
            await asyncio.sleep(self.behaviour["delay_ms"] / 1000)
            writer.close()
        except OSError:
            _abort(connection)


def _abort(connection: RelayedConnection) -> None:
    connection.opener.transport.abort()
    connection.destination.transport.abort()


def _write(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    if not writer.is_closing():
        writer.write(chunk)
