"""Stand-in for a link: a TCP relay that can cut, delay, narrow or silence what passes."""

import asyncio
from typing import NamedTuple, TypedDict

from aiohttp import web

CHUNK_BYTES = 64 * 1024


class LinkBehaviour(TypedDict):
    """How a link behaves.

    With ``silent`` bytes are discarded while connections stay open; a connection that was open
    when the link was silenced stays silent, and new ones pass unless ``silences_new``. With
    ``only_from`` cut and silence apply to the connections of these VMs alone; a node names its VM
    in the first bytes that it sends.
    """

    cut: bool
    silent: bool
    silences_new: bool
    delay_ms: float
    bytes_per_s: float
    only_from: list[str]


class Passage(NamedTuple):
    """One connection through the link: both writers, and the bytes that name its opener."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    first_bytes: bytes


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
            "only_from": [],
        }
        self.passages: set[Passage] = set()
        self.silenced: set[Passage] = set()
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
        for passage in self.passages:
            _reset(passage)

    async def control(self, request: web.Request) -> web.Response:
        """Change fields of the behaviour."""
        changes = await request.json()
        unknown = changes.keys() - self.behaviour.keys()
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown fields {sorted(unknown)}; see LinkBehaviour\n")
        self.behaviour.update(changes)
        for passage in self.passages:
            if not self._concerns(passage):
                continue
            if self.behaviour["cut"]:
                _reset(passage)
            if self.behaviour["silent"]:
                self.silenced.add(passage)
        return web.json_response(self.behaviour)

    def _concerns(self, passage: Passage) -> bool:
        names = self.behaviour["only_from"]
        return not names or any(name.encode() in passage.first_bytes for name in names)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until both directions have ended."""
        if self.behaviour["cut"] and not self.behaviour["only_from"]:
            writer.transport.abort()
            return
        try:
            first_bytes = await reader.read(CHUNK_BYTES)
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            writer.transport.abort()
            return
        passage = Passage(writer, far_writer, first_bytes)
        if self.behaviour["cut"] and self._concerns(passage):
            _reset(passage)
            return
        if self.behaviour["silent"] and self.behaviour["silences_new"] and self._concerns(passage):
            self.silenced.add(passage)
        if passage not in self.silenced:
            far_writer.write(first_bytes)
        await self._relay(passage, reader, far_reader)

    async def _relay(
        self, passage: Passage, reader: asyncio.StreamReader, far_reader: asyncio.StreamReader
    ) -> None:
        self.passages.add(passage)
        try:
            await asyncio.gather(
                self._pump(passage, reader, passage.far),
                self._pump(passage, far_reader, passage.near),
            )
        except asyncio.CancelledError:
            # The process ends; asyncio would report a cancelled handler as an error.
            _reset(passage)
        finally:
            self.passages.discard(passage)
            self.silenced.discard(passage)

    async def _pump(
        self, passage: Passage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if passage in self.silenced:
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
            _reset(passage)


def _reset(passage: Passage) -> None:
    passage.near.transport.abort()
    passage.far.transport.abort()


def _write(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    if not writer.is_closing():
        writer.write(chunk)
