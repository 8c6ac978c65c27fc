"""One TCP connection between two nodes, used by both ends."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from functools import singledispatch
from typing import NamedTuple

from returns.result import Failure, Success

from jacinthsail.internal.adapters.wire import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    decode_payload,
    encode_frame,
)
from jacinthsail.internal.model.calls import CallContext, Outcome
from jacinthsail.internal.model.membership import VmEntry
from jacinthsail.internal.model.messages import (
    CallReply,
    CallRequest,
    ForwardReplyMessage,
    ForwardRequestMessage,
    Message,
)
from jacinthsail.internal.model.peers import ConnectionView, TrafficState

_LOG = logging.getLogger("jacinthsail.peers")

# With more unsent bytes than this, the peer counts as unreachable and no further call is written.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


class PendingCall(NamedTuple):
    """A call sent on this connection that awaits its reply."""

    context: CallContext
    waiter: asyncio.Future[Outcome]


class ServedCall(NamedTuple):
    """A call received on this connection and the task that serves it."""

    context: CallContext
    task: asyncio.Task[None]


class UnsentFrame(NamedTuple):
    """A frame not yet handed to the kernel; ``call_id`` is 0 for control messages."""

    call_id: int
    frame: bytes


class PeerConnection(asyncio.Protocol):
    """Splits the byte stream into frames and matches replies to calls.

    Call ids are never reused on a connection, so a late reply to an abandoned call matches no
    waiter and is dropped.

    While the kernel accepts no more bytes, frames are kept in ``unsent`` and not in the transport,
    because the transport does not report what it had buffered when the connection was lost. A call
    whose frame is still in ``unsent`` has certainly not been executed.
    """

    def __init__(
        self,
        on_message: Callable[["PeerConnection", Message], None],
        on_closed: Callable[["PeerConnection"], None],
        traffic: TrafficState,
        entry: VmEntry | None = None,
    ) -> None:
        self.on_message = on_message
        self.on_closed = on_closed
        self.traffic = traffic
        self.entry = entry
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.pending: dict[int, PendingCall] = {}
        self.serving: dict[int, ServedCall] = {}
        self.unsent: deque[UnsentFrame] = deque()
        self.unsent_bytes = 0
        self.is_paused = False
        self.close_requested = False
        self.next_call_id = 1
        self.peer_vm = entry.vm if entry is not None else ""
        self.hello_sent = False
        self.handshake_done = asyncio.Event()
        self.last_received = 0.0
        self.last_used = 0.0
        self.next_heartbeat = 0.0
        self.overdue_since: float | None = None
        self.keeps_open = False
        self.ignores_input = False
        self.max_frame_bytes = MAX_FRAME_BYTES
        self.accepted_at = 0.0
        self.buffered_bytes = 0
        # Called with the change in the bytes of the incomplete frame.
        self.on_buffered: Callable[[int], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and initialize the timestamps."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)
        self.transport = transport
        now = asyncio.get_running_loop().time()
        self.accepted_at = now
        self.last_received = now
        self.last_used = now
        self.next_heartbeat = now

    def data_received(self, data: bytes) -> None:
        """Extract complete frames from the byte stream."""
        self.last_received = asyncio.get_running_loop().time()
        if self.ignores_input:
            return
        self.buffer += data
        while len(self.buffer) >= LENGTH_PREFIX.size and self.transport is not None:
            (length,) = LENGTH_PREFIX.unpack_from(self.buffer)
            if length > self.max_frame_bytes:
                self.abort()
                return
            end = LENGTH_PREFIX.size + length
            if len(self.buffer) < end:
                break
            payload = bytes(self.buffer[LENGTH_PREFIX.size : end])
            del self.buffer[:end]
            self._deliver(payload)
        self._count_buffered()

    def _count_buffered(self) -> None:
        if self.on_buffered is None:
            return
        change = len(self.buffer) - self.buffered_bytes
        self.buffered_bytes = len(self.buffer)
        if change:
            self.on_buffered(change)

    def _deliver(self, payload: bytes) -> None:
        match decode_payload(payload, self.peer_vm or "peer"):
            case Success(message):
                if is_control(message):
                    self.traffic["control_bytes_received"] += LENGTH_PREFIX.size + len(payload)
                self._handle(message)
            case Failure(_):
                # After an undecodable frame the rest of the stream cannot be trusted.
                self.abort()

    def _handle(self, message: Message) -> None:
        try:
            self.on_message(self, message)
        except Exception:
            # The event loop would close the connection, and with it all requests in flight on it.
            _LOG.exception("unhandled exception while handling a %s", type(message).__name__)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner that the connection is closed."""
        self.transport = None
        self.buffer.clear()
        self._count_buffered()
        # Wakes the task that waits for the hello of the peer.
        self.handshake_done.set()
        self.on_closed(self)

    def pause_writing(self) -> None:
        """Buffer further frames here, because the kernel accepts no more bytes."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Write the buffered frames."""
        self.is_paused = False
        while self.unsent and not self.is_paused and self.transport is not None:
            queued = self.unsent.popleft()
            self.unsent_bytes -= len(queued.frame)
            self.transport.write(queued.frame)
        if self.close_requested and not self.unsent:
            self.close()

    def is_open(self) -> bool:
        """Return whether messages can still be written."""
        if self.transport is None or self.close_requested:
            return False
        return not self.transport.is_closing()

    def is_writable(self) -> bool:
        """Return whether the peer reads fast enough for another call to be sent."""
        return self.is_open() and self.unsent_bytes < MAX_UNSENT_BYTES

    def is_unsent(self, call_id: int) -> bool:
        """Return whether no byte of a call was handed to the kernel."""
        return any(queued.call_id == call_id for queued in self.unsent)

    def discard_unsent(self, call_id: int) -> None:
        """Discard the unsent frame of a call."""
        kept = [queued for queued in self.unsent if queued.call_id != call_id]
        self.unsent = deque(kept)
        self.unsent_bytes = sum(len(queued.frame) for queued in kept)

    def view(self) -> ConnectionView:
        """Return the properties that decide whether this connection is kept open."""
        return ConnectionView(
            opened_locally=self.entry is not None,
            last_received=self.last_received,
            last_used=self.last_used,
            calls=len(self.pending) + len(self.serving),
            overdue_since=self.overdue_since,
            keeps_open=self.keeps_open,
        )

    def send(self, message: Message, call_id: int = 0) -> None:
        """Write a message; does nothing if the connection is closed."""
        if self.transport is None:
            return
        self.send_frame(encode_frame(message), is_control(message), call_id)

    def send_frame(self, frame: bytes, is_control_frame: bool, call_id: int = 0) -> None:
        """Write an encoded message, which may be shared with other connections."""
        if self.transport is None:
            return
        if is_control_frame:
            self.traffic["control_bytes_sent"] += len(frame)
        if self.is_paused:
            self.unsent.append(UnsentFrame(call_id, frame))
            self.unsent_bytes += len(frame)
            return
        self.transport.write(frame)

    def close(self) -> None:
        """Close the connection once all frames were sent."""
        self.close_requested = True
        if self.transport is not None and not self.unsent:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately and drop unsent frames."""
        if self.transport is not None:
            self.transport.abort()


@singledispatch
def is_control(message: object) -> bool:
    """Return whether a message counts as control traffic, which has its own budget."""
    return True


@is_control.register
def _(message: CallRequest) -> bool:
    return False


@is_control.register
def _(message: CallReply) -> bool:
    return False


@is_control.register
def _(message: ForwardRequestMessage) -> bool:
    return False


@is_control.register
def _(message: ForwardReplyMessage) -> bool:
    return False
