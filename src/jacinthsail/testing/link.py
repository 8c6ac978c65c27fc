"""Stand-in for a link: a TCP relay that can cut, delay, narrow or silence what passes."""

import asyncio
from typing import TypedDict

from aiohttp import web

CHUNK_BYTES = 64 * 1024


class LinkBehaviour(TypedDict):
    """How a link behaves.

    With ``silent`` bytes are discarded while connections stay open; a connection that was open
    when the link was silenced stays silent, and new ones pass unless ``silences_new``.
    """

    cut: bool
    silent: bool
    silences_new: bool
    delay_ms: float
    bytes_per_s: float


class LinkStandIn:
    """Relays connections from its port to another one."""

    def __init__(self, port: int, to_port: int) -> None:
        self.port = port
        self.to_port = to_port
        self.behaviour: LinkBehaviour = {
            "cut": False,
            "silent": False,
            "silences_new": False,
            "delay_ms": 0.0,
            "bytes_per_s": 0.0,
        }
        self.writers: set[asyncio.StreamWriter] = set()
        self.silenced: set[asyncio.StreamWriter] = set()
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
        self._reset_all()

    async def control(self, request: web.Request) -> web.Response:
        """Change fields of the behaviour."""
        changes = await request.json()
        unknown = changes.keys() - self.behaviour.keys()
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown fields {sorted(unknown)}; see LinkBehaviour\n")
        self.behaviour.update(changes)
        if self.behaviour["cut"]:
            self._reset_all()
        if self.behaviour["silent"]:
            self.silenced |= self.writers
        return web.json_response(self.behaviour)

    def _reset_all(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until both directions have ended."""
        if self.behaviour["cut"]:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self.writers |= both
        if self.behaviour["silent"] and self.behaviour["silences_new"]:
            self.silenced |= both
        try:
            await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        finally:
            self.writers -= both
            self.silenced -= both

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if writer in self.silenced:
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
            writer.transport.abort()


def _write(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    if not writer.is_closing():
        writer.write(chunk)
