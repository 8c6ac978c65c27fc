"""A loopback proxy that delays, holds, silences and resets the connections through it.

Nodes listen behind it, so it disturbs them from outside, like the links between VMs.
"""

import asyncio
from collections import deque
from enum import StrEnum
from typing import NamedTuple, TypedDict


class Direction(StrEnum):
    """The way that bytes take through a proxy."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class LinkBehaviour(TypedDict):
    """How a proxy treats bytes: their delay in s, and the directions in which it holds them."""

    delay_s: float
    held: set[Direction]


class Piece(NamedTuple):
    """Bytes on their way until ``due``; ``data`` is None at the end of the stream."""

    due: float
    data: bytes | None


class ProxyEnd(asyncio.Protocol):
    """One of the two connections that a proxy joins; it sends on what it receives.

    With ``is_silent`` set, what arrives is discarded and the connections stay open.
    """

    def __init__(self, proxy: "LinkProxy", direction: Direction) -> None:
        self.proxy = proxy
        self.direction = direction
        self.other: ProxyEnd | None = None
        self.transport: asyncio.Transport | None = None
        self.pieces: deque[Piece] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.is_silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and open the one to the server if a client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.proxy.ends.add(self)
        if self.direction is Direction.TO_SERVER:
            self.proxy.join(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection in the same way."""
        self.transport = None
        self.proxy.ends.discard(self)
        if exc is not None:
            self.abort_other()
            return
        self.append(None)

    def data_received(self, data: bytes) -> None:
        """Send bytes on after the delay."""
        self.append(data)

    def eof_received(self) -> bool:
        """Keep the connection open for the bytes in the other direction."""
        self.append(None)
        return True

    def pause_writing(self) -> None:
        """Read no more from the other connection while this one takes no bytes."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other connection again."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def append(self, data: bytes | None) -> None:
        """Queue bytes, or the end of the stream, for the other connection."""
        if self.is_silent:
            return
        due = asyncio.get_running_loop().time() + self.proxy.behaviour["delay_s"]
        self.pieces.append(Piece(due, data))
        self.flush()

    def flush(self) -> None:
        """Write what is due to the other connection, in order."""
        loop = asyncio.get_running_loop()
        if self.other is None or self.direction in self.proxy.behaviour["held"]:
            return
        while self.pieces and self.pieces[0].due <= loop.time():
            self._write(self.pieces.popleft().data)
        if self.pieces and self.timer is None:
            self.timer = loop.call_at(self.pieces[0].due, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.flush()

    def _write(self, data: bytes | None) -> None:
        assert self.other is not None
        transport = self.other.transport
        if transport is None or transport.is_closing():
            return
        if data is not None:
            transport.write(data)
            return
        if self.transport is None:
            transport.close()
            return
        try:
            transport.write_eof()
        except OSError:
            # The peer has reset the connection, and the event loop has not read that yet.
            transport.abort()

    def abort_other(self) -> None:
        """Reset the other connection."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.abort()


class LinkProxy:
    """Joins each connection to its address with a new one to the server's address."""

    def __init__(self, server_address: tuple[str, int], delay_s: float) -> None:
        self.server_address = server_address
        self.behaviour = LinkBehaviour(delay_s=delay_s, held=set())
        self.ends: set[ProxyEnd] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: ProxyEnd(self, Direction.TO_SERVER), host, port, backlog=512
        )

    def join(self, client_end: ProxyEnd) -> None:
        """Open the connection to the server for a client."""
        task = asyncio.get_running_loop().create_task(self._join(client_end))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _join(self, client_end: ProxyEnd) -> None:
        try:
            _, server_end = await asyncio.get_running_loop().create_connection(
                lambda: ProxyEnd(self, Direction.TO_CLIENT), *self.server_address
            )
        except OSError:
            # The client sees the refusal of the server as a reset.
            if client_end.transport is not None:
                client_end.transport.abort()
            return
        client_end.other = server_end
        server_end.other = client_end
        client_end.flush()
        server_end.flush()

    def set_held(self, direction: Direction, is_held: bool) -> None:
        """Hold the bytes of one direction, or send on those that were held."""
        if is_held:
            self.behaviour["held"].add(direction)
            return
        self.behaviour["held"].discard(direction)
        for end in tuple(self.ends):
            end.flush()

    def silence(self) -> None:
        """Discard all bytes on the open connections from now on; new ones work."""
        for end in self.ends:
            end.is_silent = True
            end.pieces.clear()

    def reset(self) -> None:
        """Reset all connections."""
        for end in tuple(self.ends):
            if end.transport is not None:
                end.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.listener is not None:
            self.listener.close()
        for task in self.tasks:
            task.cancel()
        self.reset()
