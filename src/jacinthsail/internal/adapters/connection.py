"""One TCP connection between two nodes, the same on both ends."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Success

from jacinthsail.internal.adapters.wire import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    decode_payload,
    encode_frame,
)
from jacinthsail.internal.model.calls import Outcome
from jacinthsail.internal.model.messages import Message

# A peer that reads slower than this is treated as unreachable before a call is written.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


class PeerConnection(asyncio.Protocol):
    """Splits the byte stream into frames and matches replies to calls.

    Call ids are never reused on a connection, so a late reply to an abandoned call finds no waiter
    and is dropped.
    """

    def __init__(
        self,
        on_message: Callable[["PeerConnection", Message], None],
        on_closed: Callable[["PeerConnection"], None],
    ) -> None:
        self.on_message = on_message
        self.on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.waiters: dict[int, asyncio.Future[Outcome]] = {}
        self.next_call_id = 1
        self.peer_vm = ""
        self.last_received = 0.0
        self.opened_at = 0.0
        self.introduced = asyncio.Event()
        self.serving: dict[int, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.opened_at = loop.time()
        self.last_received = loop.time()

    def data_received(self, data: bytes) -> None:
        """Cut complete frames out of the stream."""
        self.last_received = asyncio.get_running_loop().time()
        self.buffer += data
        while len(self.buffer) >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            end = LENGTH_PREFIX.size + length
            if len(self.buffer) < end:
                return
            payload = bytes(self.buffer[LENGTH_PREFIX.size : end])
            del self.buffer[:end]
            self._deliver(payload)

    def _deliver(self, payload: bytes) -> None:
        match decode_payload(payload, self.peer_vm or "peer"):
            case Success(message):
                self.on_message(self, message)
            case Failure(_):
                # After one undecodable frame nothing on this connection can be trusted.
                self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner that no more messages come."""
        self.transport = None
        self.on_closed(self)

    def is_open(self) -> bool:
        """Tell whether messages can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    def has_room(self) -> bool:
        """Tell whether the peer reads fast enough to take another call."""
        if self.transport is None:
            return False
        return self.transport.get_write_buffer_size() < MAX_UNSENT_BYTES

    def send(self, message: Message) -> None:
        """Write one message; does nothing on a closed connection."""
        if self.transport is not None:
            self.transport.write(encode_frame(message))

    def close(self) -> None:
        """Close after what has been written was sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
