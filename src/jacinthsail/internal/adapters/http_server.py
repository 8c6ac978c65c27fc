"""HTTP/1.1 connections of callers, on ``asyncio`` protocols with the ``httptools`` parser.

Pipelined requests are served concurrently; their responses are written in the order of the
requests.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol

import httptools

from jacinthsail.internal.adapters.decision_log import log_request
from jacinthsail.internal.model.calls import Reason

_LOG = logging.getLogger("jacinthsail.callers")

# Requests of one connection that are served concurrently; further ones stay unread in the socket.
MAX_PIPELINED = 32

# Interval between checks for idle and slow callers.
SWEEP_INTERVAL_S = 0.5

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

_REJECTIONS = {
    STATUS_BAD_REQUEST: Reason.MALFORMED_REQUEST,
    STATUS_REQUEST_TIMEOUT: Reason.SLOW_CALLER,
    STATUS_BODY_TOO_LARGE: Reason.BODY_TOO_LARGE,
    STATUS_HEADERS_TOO_LARGE: Reason.HEADERS_TOO_LARGE,
}

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


class ServerLimits(NamedTuple):
    """Size limits of a request, and timeouts for slow and idle callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class HttpRequest(NamedTuple):
    """One complete request; header names are as sent."""

    method: str
    url: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class HttpResponse(NamedTuple):
    """One response; ``head_lines`` are complete header lines without the framing headers."""

    status: int
    head_lines: bytes
    body: bytes


class RequestHandle(Protocol):
    """A request that is being served; ``cancel`` is called when the caller disconnects."""

    def cancel(self) -> None:
        """Abandon the request."""


ResponseCallback = Callable[[HttpResponse], None]
ServeCallback = Callable[[HttpRequest, ResponseCallback], RequestHandle | None]


class PendingResponse:
    """A response that is written once all earlier responses of its connection are written."""

    __slots__ = ("connection", "handle", "response", "closes", "is_head")

    def __init__(self, connection: "CallerConnection", closes: bool, is_head: bool) -> None:
        self.connection = connection
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
        self.connection.flush()


class CallerServer:
    """A listening port and the connections that it accepted."""

    def __init__(self, serve: ServeCallback, limits: ServerLimits) -> None:
        self.serve = serve
        self.limits = limits
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


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, with the requests that are in progress on it."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[PendingResponse] = deque()
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.header_bytes = 0
        self.in_head = False
        self.in_message = False
        self.message_started_at = 0.0
        self.idle_since = 0.0
        self.ignores_input = False
        self.is_paused = False
        self.is_caller_slow = False
        self.expects_continue = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.idle_since = asyncio.get_running_loop().time()
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that disconnected."""
        self.transport = None
        self.server.connections.discard(self)
        unanswered = [
            pending_response.handle
            for pending_response in self.pending
            if pending_response.response is None
        ]
        self.pending.clear()
        for handle in unanswered:
            if handle is not None:
                handle.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.ignores_input:
            return
        if not self.in_message or self.in_head:
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.ignores_input = True
        except httptools.HttpParserError:
            self._reject(STATUS_BAD_REQUEST)
            return
        if self.in_head and self.header_bytes > self.server.limits.max_header_bytes:
            self._reject(STATUS_HEADERS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.url = b""
        self.headers = []
        self.body = []
        self.body_bytes = 0
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
            size += len(name) + len(value) + 4
        self.header_bytes = 0
        if size > self.server.limits.max_header_bytes:
            self._reject(STATUS_HEADERS_TOO_LARGE)
            return
        if self.expects_continue and self.transport is not None and not self.pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if self.ignores_input:
            return
        self.body_bytes += len(data)
        if self.body_bytes > self.server.limits.max_body_bytes:
            self._reject(STATUS_BODY_TOO_LARGE)
            return
        self.body.append(data)

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
        pending = PendingResponse(self, closes, method == "HEAD")
        if closes:
            self.ignores_input = True
        self.pending.append(pending)
        request = HttpRequest(method, self.url, self.headers, b"".join(self.body))
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

    def pause_writing(self) -> None:
        """Read no more requests while the caller does not read the responses."""
        self.is_caller_slow = True
        self._pause_or_resume_reading()

    def resume_writing(self) -> None:
        """Read requests again."""
        self.is_caller_slow = False
        self._pause_or_resume_reading()

    def _pause_or_resume_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_paused or self.is_caller_slow:
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
        now = asyncio.get_running_loop().time()
        log_request("refused", "", _REJECTIONS[status], now, status=status)
        pending = PendingResponse(self, True, False)
        self.pending.append(pending)
        pending.respond(HttpResponse(status, b"", b""))


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
