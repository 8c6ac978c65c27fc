"""HTTP/1.1 connections of callers, on ``asyncio`` protocols with the parser of a library.

Requests that a caller sends before the first is answered are served side by side; their answers are
written in the order of the requests.
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

# Requests of one connection that are served at the same time; more wait unread in the socket.
MAX_PIPELINED = 32

# Connections are checked for idle and slow callers this often.
SWEEP_S = 0.5

# After the last answer the connection is read for this long, because closing it with unread bytes
# would reset it before the caller has read the answer.
LINGER_S = 1.0

STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_BODY_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431

# Promises nothing, since the request may have been sent before the fault.
STATUS_INTERNAL_FAULT = 502

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
    """What a caller may send, and how long it may take or stay idle."""

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
    """One response; ``head_lines`` are complete header lines without the framing."""

    status: int
    head_lines: bytes
    body: bytes


class RequestHandle(Protocol):
    """What serves one request; ``cancel`` is called when the caller goes away."""

    def cancel(self) -> None:
        """Give the request up."""


Respond = Callable[[HttpResponse], None]
Serve = Callable[[HttpRequest, Respond], RequestHandle | None]


class PendingResponse:
    """The place of one response in the order of its connection."""

    __slots__ = ("connection", "handle", "response", "closes", "is_head")

    def __init__(self, connection: "CallerConnection", closes: bool, is_head: bool) -> None:
        self.connection = connection
        self.handle: RequestHandle | None = None
        self.response: HttpResponse | None = None
        self.closes = closes
        self.is_head = is_head

    def respond(self, response: HttpResponse) -> None:
        """Set the response; it is written once all earlier ones are."""
        if self.response is not None:
            return
        self.response = response
        self.handle = None
        self.connection.flush()


class CallerPort:
    """The connections of one listening port."""

    def __init__(self, serve: Serve, limits: ServerLimits) -> None:
        self.serve = serve
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.is_closing = False

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024, reuse_address=True
        )

    def close_listener(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort_all(self) -> None:
        """Close every connection at once."""
        for connection in list(self.connections):
            connection.abort()

    def sweep(self, now: float) -> None:
        """Close connections whose caller was idle or slow for too long."""
        for connection in list(self.connections):
            connection.check_times(now)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, port: CallerPort) -> None:
        self.port = port
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
        self.message_since = 0.0
        self.idle_since = 0.0
        self.is_finished = False
        self.is_paused = False
        self.wants_continue = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve a connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.idle_since = asyncio.get_running_loop().time()
        self.port.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the requests of a caller that went away."""
        self.transport = None
        self.port.connections.discard(self)
        waiting = [one.handle for one in self.pending if one.response is None]
        self.pending.clear()
        for handle in waiting:
            if handle is not None:
                handle.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self.is_finished:
            return
        if not self.in_message or self.in_head:
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.is_finished = True
        except httptools.HttpParserError:
            self._reject(STATUS_BAD_REQUEST)
            return
        if self.in_head and self.header_bytes > self.port.limits.max_header_bytes:
            self._reject(STATUS_HEADERS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.url = b""
        self.headers = []
        self.body = []
        self.body_bytes = 0
        self.in_head = True
        self.in_message = True
        self.wants_continue = False
        self.message_since = asyncio.get_running_loop().time()

    def on_url(self, url: bytes) -> None:
        """Collect the request's target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        if len(name) == 6 and name.lower() == b"expect":
            self.wants_continue = True
            return
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the head."""
        self.in_head = False
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value) + 4
        self.header_bytes = 0
        if size > self.port.limits.max_header_bytes:
            self._reject(STATUS_HEADERS_TOO_LARGE)
            return
        if self.wants_continue and self.transport is not None and not self.pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if self.is_finished:
            return
        self.body_bytes += len(data)
        if self.body_bytes > self.port.limits.max_body_bytes:
            self._reject(STATUS_BODY_TOO_LARGE)
            return
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Serve a complete request."""
        self.in_message = False
        if self.is_finished:
            return
        method = self.parser.get_method().decode("ascii")
        closes = not self.parser.should_keep_alive()
        pending = PendingResponse(self, closes, method == "HEAD")
        if closes:
            self.is_finished = True
        self.pending.append(pending)
        request = HttpRequest(method, self.url, self.headers, b"".join(self.body))
        try:
            handle = self.port.serve(request, pending.respond)
        except Exception:
            # Without an answer this request would hold back all later ones of the connection.
            _LOG.exception("a request could not be served")
            pending.respond(HttpResponse(STATUS_INTERNAL_FAULT, b"", b""))
            return
        if pending.response is None:
            pending.handle = handle
        if len(self.pending) >= MAX_PIPELINED and self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()

    def flush(self) -> None:
        """Write the responses whose turn has come."""
        while self.pending and self.pending[0].response is not None:
            one = self.pending.popleft()
            if self.transport is None or self.transport.is_closing():
                continue
            assert one.response is not None
            closes = one.closes or (self.port.is_closing and not self.pending)
            self.transport.write(encode_response(one.response, closes, one.is_head))
            if closes:
                self._finish()
        if not self.pending:
            self.idle_since = asyncio.get_running_loop().time()
        if self.is_paused and len(self.pending) < MAX_PIPELINED and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()

    def check_times(self, now: float) -> None:
        """Close the connection of a caller that is idle or slow for too long."""
        limits = self.port.limits
        if self.in_head and now - self.message_since > limits.header_timeout_s:
            self._reject(STATUS_REQUEST_TIMEOUT)
            return
        if self.pending or self.in_message:
            return
        if now - self.idle_since > limits.idle_timeout_s and self.transport is not None:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.pending and not self.in_message and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _finish(self) -> None:
        """End the connection after what was written; the caller closes its side."""
        assert self.transport is not None
        self.is_finished = True
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._close)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def _reject(self, status: int) -> None:
        """Answer a request that cannot be read; nothing after it can be read either."""
        self.is_finished = True
        self.in_message = False
        self.in_head = False
        now = asyncio.get_running_loop().time()
        log_request("refused", "", _REJECTIONS[status], now, status=status)
        pending = PendingResponse(self, True, False)
        self.pending.append(pending)
        pending.respond(HttpResponse(status, b"", b""))


def encode_response(response: HttpResponse, closes: bool, is_head: bool) -> bytes:
    """Return a response as it is written to the caller."""
    status_line = _STATUS_LINES.get(response.status)
    if status_line is None:
        status_line = f"HTTP/1.1 {response.status} Unknown\r\n".encode()
    length = (
        b"" if response.status in (204, 304) else b"Content-Length: %d\r\n" % len(response.body)
    )
    end = b"Connection: close\r\n\r\n" if closes else b"\r\n"
    body = b"" if is_head else response.body
    return b"".join((status_line, response.head_lines, length, end, body))
