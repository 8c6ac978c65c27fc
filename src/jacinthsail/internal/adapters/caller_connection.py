"""One HTTP/1.1 connection of a caller, on ``asyncio`` protocols with the ``httptools`` parser.

Pipelined requests are served concurrently; their responses are written in the order of the
requests.
"""

import asyncio
import logging
from collections import deque
from http import HTTPStatus
from typing import Protocol

import httptools

from jacinthsail.internal.adapters.caller_memory import CallerMemory
from jacinthsail.internal.adapters.decision_log import log_request
from jacinthsail.internal.adapters.http_messages import (
    HttpRequest,
    HttpResponse,
    RequestHandle,
    ServeCallback,
    ServerLimits,
)
from jacinthsail.internal.commands.held_memory import hold, spend_pieces
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.held_memory import HolderView
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN
from jacinthsail.internal.queries.held_memory import (
    HEADER_OBJECT_BYTES,
    RETRY_AFTER_EVICTION_S,
    Holding,
    may_send_framing,
    may_take_request,
    parsing_pause_s,
)

_LOG = logging.getLogger("jacinthsail.callers")

# Requests of one connection that are served concurrently; further ones stay unread in the socket.
MAX_PIPELINED = 32

# The connection is still read for this long after the last response, because closing it with unread
# bytes would reset it before the caller has read the response.
LINGER_TIME_S = 1.0

STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_BODY_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431

# 502 leaves open whether the request was executed, because it may have been sent to a target before
# the exception.
STATUS_SERVE_FAILED = 502

# All connections are read into one buffer. A larger one would let a single connection with very
# small chunks occupy the process for longer.
_READ_BUFFER = memoryview(bytearray(64 * 1024))

# Fewer pieces of bodies in one read are not worth counting.
PIECES_WITHOUT_COUNT = 500

RETRY_LINE = b"Retry-After: %.3f\r\n" % RETRY_AFTER_EVICTION_S

_REJECTIONS = {
    STATUS_BAD_REQUEST: Reason.MALFORMED_REQUEST,
    STATUS_REQUEST_TIMEOUT: Reason.SLOW_CALLER,
    STATUS_BODY_TOO_LARGE: Reason.BODY_TOO_LARGE,
    STATUS_HEADERS_TOO_LARGE: Reason.HEADERS_TOO_LARGE,
    STATUS_NOT_RUN: Reason.MEMORY_USED_UP,
}

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


class ConnectionOwner(Protocol):
    """What a connection needs from the server that accepted it."""

    serve: ServeCallback
    limits: ServerLimits
    memory: CallerMemory
    connections: "set[CallerConnection]"
    is_closing: bool


class PendingResponse:
    """A response that is written once all earlier responses of its connection are written."""

    __slots__ = ("connection", "handle", "response", "closes", "is_head", "request_bytes")

    def __init__(
        self,
        connection: "CallerConnection",
        closes: bool,
        is_head: bool,
        request_bytes: int = 0,
    ) -> None:
        self.connection = connection
        self.request_bytes = request_bytes
        self.handle: RequestHandle | None = None
        self.response: HttpResponse | None = None
        self.closes = closes
        self.is_head = is_head

    def respond(self, response: HttpResponse) -> None:
        """Set the response, unless it is already set, and write what is ready."""
        if self.response is not None:
            return
        self.response = response
        self.handle = None
        self.connection.release_request(self)
        self.connection.flush()


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller, with the requests that are in progress on it."""

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[PendingResponse] = deque()
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.header_bytes = 0
        self.head_size = 0
        self.framing_bytes = 0
        self.received_at = 0.0
        # What is counted in the memory of the process for the request that arrives, for requests in
        # progress and for responses.
        self.incomplete_bytes = 0
        self.pending_bytes = 0
        self.unread_bytes = 0
        self.in_head = False
        self.in_message = False
        self.message_started_at = 0.0
        self.idle_since = 0.0
        self.ignores_input = False
        self.is_paused = False
        self.is_caller_slow = False
        self.is_waiting = False
        self.pieces = 0
        self.expects_continue = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.idle_since = asyncio.get_running_loop().time()
        memory = self.server.memory
        if not memory.make_room(self.idle_since):
            transport.abort()
            return
        memory.holders.add(self)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that disconnected."""
        self.transport = None
        self.server.connections.discard(self)
        self.server.memory.holders.discard(self)
        self._drop_request()
        self._count(-self.pending_bytes - self.unread_bytes)
        self.pending_bytes = 0
        self.unread_bytes = 0
        unanswered = [
            pending_response.handle
            for pending_response in self.pending
            if pending_response.response is None
        ]
        self.pending.clear()
        for handle in unanswered:
            if handle is not None:
                handle.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which all connections are read, one after the other."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.ignores_input:
            return
        self.received_at = asyncio.get_running_loop().time()
        if not self.in_message or self.in_head:
            self.header_bytes += len(data)
        else:
            self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.ignores_input = True
        except httptools.HttpParserError:
            self._reject(STATUS_BAD_REQUEST)
            return
        if self.in_head and self.header_bytes > self.server.limits.max_header_bytes:
            self._reject(STATUS_HEADERS_TOO_LARGE)
            return
        if self.pieces > PIECES_WITHOUT_COUNT:
            self._spend_pieces()
        if not self.in_message:
            return
        max_header_bytes = self.server.limits.max_header_bytes
        if not may_send_framing(self.framing_bytes, len(self.body), max_header_bytes):
            self._reject(STATUS_BAD_REQUEST)
            return
        self._count_incomplete()

    def _spend_pieces(self) -> None:
        """Wait before the next read if callers send more small pieces than a node can spare."""
        budget = self.server.memory.parsing
        spend_pieces(budget, self.pieces, self.received_at)
        self.pieces = 0
        pause_s = parsing_pause_s(budget, self.received_at)
        if pause_s > 0.0:
            self.is_waiting = True
            self._pause_or_resume_reading()
            asyncio.get_running_loop().call_later(pause_s, self._end_wait)

    def _end_wait(self) -> None:
        self.is_waiting = False
        self._pause_or_resume_reading()

    def _count_incomplete(self) -> None:
        """Count what is held for the request that arrives; this may end the request."""
        held = len(self.body) + self._head_cost()
        difference = held - self.incomplete_bytes
        self.incomplete_bytes = held
        self._count(difference)

    def _head_cost(self) -> int:
        received = self.header_bytes if self.in_head else self.head_size
        return received + len(self.headers) * HEADER_OBJECT_BYTES

    def _count(self, difference: int) -> None:
        if difference:
            self.server.memory.change(difference, self.received_at)

    def _drop_request(self) -> None:
        """Forget the request that arrives."""
        self.headers = []
        self.head_size = 0
        self.body = bytearray()
        hold(self.server.memory.memory, -self.incomplete_bytes)
        self.incomplete_bytes = 0

    def holding(self) -> HolderView:
        """Return what the connection holds that may be given up."""
        if self.transport is None or self.transport.is_closing():
            return HolderView(0, 0)
        return HolderView(self.incomplete_bytes, self.unread_bytes)

    def is_idle(self) -> bool:
        """Return whether no request is in progress or arriving."""
        return not self.pending and not self.in_message and not self.unread_bytes

    def evict(self, holding: Holding) -> None:
        """Refuse the request that arrives, or give up the responses that are not read."""
        if holding is Holding.INCOMPLETE_REQUEST:
            self._reject(STATUS_NOT_RUN)
            return
        self.abort()
        self._count(-self.unread_bytes)
        self.unread_bytes = 0

    def close_idle(self) -> None:
        """Close the connection, on which no request is in progress."""
        self._close()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.url = b""
        self.headers = []
        self.body = bytearray()
        self.framing_bytes = 0
        self.in_head = True
        self.in_message = True
        self.expects_continue = False
        self.message_started_at = asyncio.get_running_loop().time()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request's URL."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers, which follow the body, are not passed on."""
        if not self.in_head:
            return
        if len(name) == 6 and name.lower() == b"expect":
            self.expects_continue = True
            return
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the headers."""
        self.in_head = False
        size = len(self.url)
        for name, value in self.headers:
            # A line has a colon and a line end besides; an optional space is not counted.
            size += len(name) + len(value) + 3
        self.header_bytes = 0
        self.head_size = size
        if size > self.server.limits.max_header_bytes:
            self._reject(STATUS_HEADERS_TOO_LARGE)
            return
        if self.expects_continue and self.transport is not None and not self.pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if self.ignores_input:
            return
        self.framing_bytes -= len(data)
        if len(self.body) + len(data) > self.server.limits.max_body_bytes:
            self._reject(STATUS_BODY_TOO_LARGE)
            return
        self.body += data
        self.pieces += 1

    def on_message_complete(self) -> None:
        """Serve a complete request."""
        self.in_message = False
        if self.ignores_input:
            return
        method = self.parser.get_method().decode("ascii")
        # While the server closes, the next request of each connection is its last one. A caller
        # that never waits for a response would otherwise use the connection until it is cut.
        closes = self.server.is_closing or not self.parser.should_keep_alive()
        # The parser reads nothing after a request to switch protocols, which is not done here.
        closes = closes or self.parser.should_upgrade()
        request = HttpRequest(method, self.url, self.headers, bytes(self.body))
        request_bytes = len(self.url) + len(self.body) + self._head_cost()
        self._drop_request()
        pending = PendingResponse(self, closes, method == "HEAD", request_bytes)
        if closes:
            self.ignores_input = True
        self.pending.append(pending)
        self.pending_bytes += request_bytes
        self._count(request_bytes)
        if not may_take_request(self.server.memory.memory, request_bytes):
            self._refuse_complete(pending)
            return
        try:
            handle = self.server.serve(request, pending.respond)
        except Exception:
            # Without a response this request would block all later responses of the connection.
            _LOG.exception("unhandled exception while serving a request")
            pending.respond(HttpResponse(STATUS_SERVE_FAILED, b"", b""))
            return
        if pending.response is None:
            pending.handle = handle
        if len(self.pending) >= MAX_PIPELINED:
            self.is_paused = True
            self._pause_or_resume_reading()

    def _refuse_complete(self, pending: PendingResponse) -> None:
        """Refuse a request of which nothing has been sent on, because too much is held."""
        now = asyncio.get_running_loop().time()
        log_request("refused", "", Reason.MEMORY_USED_UP, now, status=STATUS_NOT_RUN)
        pending.respond(HttpResponse(STATUS_NOT_RUN, RETRY_LINE, b""))

    def release_request(self, pending: PendingResponse) -> None:
        """Count a request that has its response no longer; ``flush`` counts the response."""
        if self.transport is not None:
            self.pending_bytes -= pending.request_bytes
            hold(self.server.memory.memory, -pending.request_bytes)

    def _count_unread(self) -> None:
        """Count the responses that wait for their turn and those that the kernel has not taken."""
        unread = self.unsent_bytes()
        for pending in self.pending:
            if pending.response is not None:
                unread += len(pending.response.body)
        if unread != self.unread_bytes:
            difference = unread - self.unread_bytes
            self.unread_bytes = unread
            self._count(difference)

    def pause_writing(self) -> None:
        """Read no more requests while the caller does not read the responses."""
        self.is_caller_slow = True
        self._pause_or_resume_reading()

    def resume_writing(self) -> None:
        """Read requests again."""
        self.is_caller_slow = False
        self._count_unread()
        self._pause_or_resume_reading()

    def _pause_or_resume_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_paused or self.is_caller_slow or self.is_waiting:
            self.transport.pause_reading()
            return
        self.transport.resume_reading()

    def flush(self) -> None:
        """Write the responses that are next in order."""
        while self.pending and self.pending[0].response is not None:
            pending_response = self.pending.popleft()
            if self.transport is None or self.transport.is_closing():
                continue
            assert pending_response.response is not None
            closes = pending_response.closes or (self.server.is_closing and not self.pending)
            self.transport.write(
                encode_response(pending_response.response, closes, pending_response.is_head)
            )
            if closes:
                self._half_close()
        self._count_unread()
        if not self.pending:
            self.idle_since = asyncio.get_running_loop().time()
        if self.is_paused and len(self.pending) < MAX_PIPELINED:
            self.is_paused = False
            self._pause_or_resume_reading()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection, or reject its request, when the caller exceeded a timeout."""
        limits = self.server.limits
        if self.in_head and now - self.message_started_at > limits.header_timeout_s:
            self._reject(STATUS_REQUEST_TIMEOUT)
            return
        is_stalled = now - self.received_at > limits.idle_timeout_s
        if self.in_message and not self.in_head and is_stalled:
            self._reject(STATUS_REQUEST_TIMEOUT)
            return
        if self.pending or self.in_message:
            return
        if now - self.idle_since > limits.idle_timeout_s and self.transport is not None:
            self.transport.close()

    def unsent_bytes(self) -> int:
        """Return how many written bytes the kernel has not accepted yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def close_after_responses(self) -> None:
        """Close the connection once the written responses are sent; requests in progress end."""
        if self.transport is None:
            return
        if self.unsent_bytes():
            # Closing with unread bytes would reset the connection, so it is still read.
            self._half_close()
            return
        self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.transport is not None:
            self.transport.abort()

    def _half_close(self) -> None:
        """Close the sending side after the written data; the caller closes its own side."""
        assert self.transport is not None
        self.ignores_input = True
        try:
            self.transport.write_eof()
        except OSError as error:
            # The kernel may have reset the connection before the event loop has read the reset. The
            # exception must not reach the code that delivered the response.
            _LOG.info("caller disconnected before its last response: %s", type(error).__name__)
            self.transport.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_TIME_S, self._close)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def _reject(self, status: int) -> None:
        """Reject an unreadable request; nothing after it on the connection can be read either."""
        self.ignores_input = True
        self.in_message = False
        self.in_head = False
        self._drop_request()
        now = asyncio.get_running_loop().time()
        log_request("refused", "", _REJECTIONS[status], now, status=status)
        pending = PendingResponse(self, True, False)
        self.pending.append(pending)
        head_lines = RETRY_LINE if status == STATUS_NOT_RUN else b""
        pending.respond(HttpResponse(status, head_lines, b""))


def encode_response(response: HttpResponse, closes: bool, is_head: bool) -> bytes:
    """Return the bytes of a response as they are written to the caller."""
    status_line = _STATUS_LINES.get(response.status)
    if status_line is None:
        status_line = f"HTTP/1.1 {response.status} Unknown\r\n".encode()
    length = (
        b"" if response.status in (204, 304) else b"Content-Length: %d\r\n" % len(response.body)
    )
    end = b"Connection: close\r\n\r\n" if closes else b"\r\n"
    body = b"" if is_head else response.body
    return b"".join((status_line, response.head_lines, length, end, body))
