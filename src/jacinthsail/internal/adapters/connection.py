"""One TCP connection between two nodes, the same on both ends."""

import asyncio
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
from jacinthsail.internal.model.calls import CallHead, Outcome
from jacinthsail.internal.model.membership import VmEntry
from jacinthsail.internal.model.messages import (
    CallReply,
    CallRequest,
    ForwardReply,
    ForwardRequest,
    Message,
)
from jacinthsail.internal.model.peers import ConnectionView, TrafficState

# A peer that reads slower than this is treated as unreachable before a call is written.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


class PendingCall(NamedTuple):
    """A call sent on this connection that has no reply yet."""

    head: CallHead
    waiter: asyncio.Future[Outcome]


class ServedCall(NamedTuple):
    """A call that the peer sent on this connection."""

    head: CallHead
    task: asyncio.Task[None]


class UnsentFrame(NamedTuple):
    """A frame of which no byte was handed to the kernel; ``call_id`` is 0 for control messages."""

    call_id: int
    frame: bytes


class PeerConnection(asyncio.Protocol):
    """Splits the byte stream into frames and matches replies to calls.

    Call ids are never reused on a connection, so a late reply to an abandoned call finds no waiter
    and is dropped.

    While the kernel takes no more bytes, frames wait in ``unsent`` and not in the transport, which
    does not tell what it still held when the connection was lost. A call that still waits there was
    certainly not run.
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
        self.is_ending = False
        self.next_call_id = 1
        self.peer_vm = entry.vm if entry is not None else ""
        self.said_hello = False
        self.greeted = asyncio.Event()
        self.last_received = 0.0
        self.last_used = 0.0
        self.next_heartbeat = 0.0
        self.overdue_since: float | None = None
        self.keeps_open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)
        self.transport = transport
        now = asyncio.get_running_loop().time()
        self.last_received = now
        self.last_used = now
        self.next_heartbeat = now

    def data_received(self, data: bytes) -> None:
        """Cut complete frames out of the stream."""
        self.last_received = asyncio.get_running_loop().time()
        self.buffer += data
        while len(self.buffer) >= LENGTH_PREFIX.size and self.transport is not None:
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
                if is_control(message):
                    self.traffic["control_bytes_received"] += LENGTH_PREFIX.size + len(payload)
                self.on_message(self, message)
            case Failure(_):
                # After one undecodable frame nothing on this connection can be trusted.
                self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner that no more messages come."""
        self.transport = None
        self.greeted.set()
        self.on_closed(self)

    def pause_writing(self) -> None:
        """Keep further frames here, because the kernel takes no more bytes."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Hand over the frames that waited."""
        self.is_paused = False
        while self.unsent and not self.is_paused and self.transport is not None:
            waiting = self.unsent.popleft()
            self.unsent_bytes -= len(waiting.frame)
            self.transport.write(waiting.frame)
        if self.is_ending and not self.unsent:
            self.close()

    def is_open(self) -> bool:
        """Tell whether messages can still be written."""
        if self.transport is None or self.is_ending:
            return False
        return not self.transport.is_closing()

    def has_room(self) -> bool:
        """Tell whether the peer reads fast enough to take another call."""
        return self.is_open() and self.unsent_bytes < MAX_UNSENT_BYTES

    def is_unsent(self, call_id: int) -> bool:
        """Tell whether no byte of a call was handed to the kernel."""
        return any(waiting.call_id == call_id for waiting in self.unsent)

    def forget_unsent(self, call_id: int) -> None:
        """Drop the frame of a call that must not be sent any more."""
        kept = [waiting for waiting in self.unsent if waiting.call_id != call_id]
        self.unsent = deque(kept)
        self.unsent_bytes = sum(len(waiting.frame) for waiting in kept)

    def view(self) -> ConnectionView:
        """Return what decides whether this connection is kept."""
        return ConnectionView(
            opened_here=self.entry is not None,
            last_received=self.last_received,
            last_used=self.last_used,
            calls=len(self.pending) + len(self.serving),
            overdue_since=self.overdue_since,
            keeps_open=self.keeps_open,
        )

    def send(self, message: Message, call_id: int = 0) -> None:
        """Write one message; does nothing on a closed connection."""
        if self.transport is None:
            return
        frame = encode_frame(message)
        if is_control(message):
            self.traffic["control_bytes_sent"] += len(frame)
        if self.is_paused:
            self.unsent.append(UnsentFrame(call_id, frame))
            self.unsent_bytes += len(frame)
            return
        self.transport.write(frame)

    def close(self) -> None:
        """Close after what has been written was sent."""
        self.is_ending = True
        if self.transport is not None and not self.unsent:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


@singledispatch
def is_control(message: object) -> bool:
    """Tell whether a message counts as control traffic, which has a budget of its own."""
    return True


@is_control.register
def _(message: CallRequest) -> bool:
    return False


@is_control.register
def _(message: CallReply) -> bool:
    return False


@is_control.register
def _(message: ForwardRequest) -> bool:
    return False


@is_control.register
def _(message: ForwardReply) -> bool:
    return False
