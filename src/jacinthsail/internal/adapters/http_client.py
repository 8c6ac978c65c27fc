"""One HTTP/1.1 client connection that carries one exchange at a time.

It is used for the local target and for the platform's store. Only complete responses are reported:
bytes after a response, a truncated response and a response to another request never reach a caller.
What was received before a request was written is never a part of its response.
"""

import asyncio
import os
import re
from collections.abc import Callable
from typing import NamedTuple, TypedDict

import httptools

from jacinthsail.internal.model.statuses import MAX_STATUS, MIN_FINAL_STATUS, MIN_STATUS

# A response is sent between nodes in a single frame, which limits its size.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

# Body bytes that all connections of one owner may hold together. A process has 200 MB on the
# smallest VMs, and a complete body is copied once more when it is passed on.
MAX_HELD_BYTES = 24 * 1024 * 1024

# A faulty target may send header lines, chunk sizes, trailers, or interim or unrelated responses
# without an end. The parser keeps an incomplete line and has no limit of its own.
MAX_BYTES_WITHOUT_BODY = 64 * 1024
MAX_HEADERS = 256
MAX_SKIPPED_RESPONSES = 8

# A connection with more failed requests is not used again, which bounds the ids that it keeps.
MAX_FAILED_IDS = 256

# The kernel closes the connection when sent data stays unacknowledged for this long, so that a peer
# that has lost power does not hold the connection.
USER_TIMEOUT_MS = 3000

# Number of the Linux socket option, which belongs to level 6 (TCP).
_TCP_USER_TIMEOUT = 18

# A head that breaks off is continued by the next response on the connection. The status line of
# that response then stands in the reason phrase or in the value of a header.
_SECOND_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")

HEADER_CONNECTION = b"connection"
HEADER_KEEP_ALIVE = b"keep-alive"
HEADER_CONTENT_LENGTH = b"content-length"
HEADER_TRANSFER_ENCODING = b"transfer-encoding"


class HttpClientResponse(NamedTuple):
    """One complete response; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class BrokenExchange(NamedTuple):
    """An exchange without a complete response; ``request_sent`` is set once bytes were sent.

    ``is_too_large`` is set if the response had a larger body than is accepted.
    """

    detail: str
    request_sent: bool
    is_too_large: bool = False


class HeldBytes(TypedDict):
    """Body bytes of incomplete responses on all connections of one owner."""

    total: int


ExchangeResult = HttpClientResponse | BrokenExchange

# Returns whether a complete response belongs to the pending request.
ResponsePredicate = Callable[[HttpClientResponse], bool]


class HttpClientConnection(asyncio.Protocol):
    """Sends one request at a time and reports its response through a callback."""

    def __init__(
        self,
        on_idle: Callable[["HttpClientConnection"], None],
        on_closed: Callable[["HttpClientConnection"], None],
        held: HeldBytes | None = None,
    ) -> None:
        self.on_idle = on_idle
        self.on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.on_result: Callable[[ExchangeResult], None] | None = None
        # Reported once all received bytes are parsed.
        self.result: ExchangeResult | None = None
        self.matches: ResponsePredicate | None = None
        self.is_head = False
        self.reason = b""
        self.headers: list[tuple[bytes, bytes]] = []
        # One buffer, because an object for each chunk would cost many times the bytes of the chunk.
        self.body = bytearray()
        self.held = HeldBytes(total=0) if held is None else held
        self.bytes_without_body = 0
        self.skipped = 0
        self.in_message = False
        self.is_head_complete = False
        self.has_length = False
        self.must_close = False
        self.idle_timeout_s: float | None = None
        self.idle_since = 0.0
        self.failed_ids: set[str] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and limit how long sent data may stay unacknowledged."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(6, _TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def is_idle(self) -> bool:
        """Return whether another request can be sent."""
        if self.transport is None or self.must_close or self.transport.is_closing():
            return False
        return self.on_result is None and not self.in_message

    def _has_unread_input(self) -> bool:
        """Return whether the kernel holds bytes that are not read yet, or the connection has ended.

        Such bytes arrived before the next request is written, so they must not be taken for a part
        of its response. One byte of them is consumed: the connection must not be used any more.
        """
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is None:
            return False
        try:
            os.read(sock.fileno(), 1)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(
        self,
        request: bytes,
        on_result: Callable[[ExchangeResult], None],
        matches: ResponsePredicate | None = None,
        is_head: bool = False,
    ) -> None:
        """Send one request; the callback is called once with its result."""
        if self.transport is None or self.transport.is_closing():
            on_result(BrokenExchange("the connection was closed before the request", False))
            return
        if self._has_unread_input():
            self.abort()
            on_result(BrokenExchange("bytes or the end came before the request", False))
            return
        self.skipped = 0
        self.bytes_without_body = 0
        self.on_result = on_result
        self.matches = matches
        self.is_head = is_head
        self.transport.write(request)

    def record_failure(self, request_id: str) -> None:
        """Record that a request was refused or failed here, so that it may be sent once more.

        The peer may write its response a second time, at any later moment. The id of that response
        would match if the same request were sent on this connection again.
        """
        self.failed_ids.add(request_id)
        if len(self.failed_ids) > MAX_FAILED_IDS:
            self.must_close = True

    def abort(self) -> None:
        """Close the connection immediately; a pending request gets no result."""
        self.on_result = None
        self.result = None
        self.must_close = True
        self._release_body()
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and report the result of the exchange if they end it."""
        if self.on_result is None:
            # Bytes on an idle connection belong to no request.
            self._fail("bytes without a request")
            return
        self.bytes_without_body += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the peer switched protocols")
        except httptools.HttpParserError as error:
            self._fail(f"malformed response: {type(error).__name__}")
        if self.bytes_without_body > MAX_BYTES_WITHOUT_BODY:
            self._fail("response exceeds the maximum size outside its body")
        self._report()

    def eof_received(self) -> bool:
        """Treat a response that is delimited by the end of its connection as complete."""
        if self.in_message and self.is_head_complete and not self.has_length:
            self.must_close = True
            self.on_message_complete()
            self._report()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is in progress."""
        self.transport = None
        self._fail("the connection was lost" if exc is None else f"{type(exc).__name__}")
        self._report()
        self.on_closed(self)

    def on_message_begin(self) -> None:
        """Start a new response, unless the exchange has ended."""
        if self.result is not None:
            # The response before these bytes is whole, but what follows on the connection may be
            # mixed with them.
            self._fail("bytes after the response")
            return
        self.reason = b""
        self.headers = []
        self._release_body()
        self.in_message = True
        self.is_head_complete = False
        self.has_length = False

    def on_status(self, reason: bytes) -> None:
        """Collect a part of the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        if not self.in_message:
            return
        lower = name.lower()
        if lower in (HEADER_CONTENT_LENGTH, HEADER_TRANSFER_ENCODING):
            self.has_length = True
        elif lower == HEADER_CONNECTION and b"close" in value.lower():
            self.must_close = True
        elif lower == HEADER_KEEP_ALIVE:
            self.idle_timeout_s = keep_alive_timeout_s(value)
        if holds_status_line(value):
            self._fail("response holds the head of another one")
            return
        self.headers.append((lower, value))
        if len(self.headers) > MAX_HEADERS:
            self._fail("response has too many headers")

    def on_headers_complete(self) -> None:
        """Check the status, and complete the response to a HEAD request, which has no body."""
        if not self.in_message:
            return
        self.is_head_complete = True
        if holds_status_line(self.reason):
            self._fail("response holds the head of another one")
            return
        if not MIN_STATUS <= self.parser.get_status_code() <= MAX_STATUS:
            self._fail(f"status {self.parser.get_status_code()} is not a status of HTTP")
            return
        if self.is_head and self.on_result is not None:
            self.must_close = True
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if not self.in_message:
            # The exchange has failed in an earlier callback for the same received bytes.
            return
        self.bytes_without_body = 0
        self.body += data
        self.held["total"] += len(data)
        if len(self.body) > MAX_RESPONSE_BYTES or self.held["total"] > MAX_HELD_BYTES:
            self._fail("response body exceeds the maximum size", is_too_large=True)

    def _release_body(self) -> None:
        self.held["total"] -= len(self.body)
        self.body = bytearray()

    def on_message_complete(self) -> None:
        """Report a complete response, unless it belongs to another request."""
        if not self.in_message:
            return
        if self.parser.get_status_code() < MIN_FINAL_STATUS:
            self.in_message = False
            self._skip()
            return
        self._complete()

    def _skip(self) -> None:
        """Count a response that is not the one awaited, and give up after too many of them."""
        self.skipped += 1
        if self.skipped > MAX_SKIPPED_RESPONSES:
            self._fail("too many responses that do not belong to the request")

    def _complete(self) -> None:
        self.in_message = False
        response = HttpClientResponse(self.parser.get_status_code(), self.headers, bytes(self.body))
        self._release_body()
        if self.matches is not None and not self.matches(response):
            # A late response to an earlier request; the response to this request follows it.
            self.must_close = True
            self._skip()
            return
        if not self.parser.should_keep_alive():
            self.must_close = True
        self.result = response

    def _fail(self, detail: str, is_too_large: bool = False) -> None:
        """Close the connection, and end the exchange unless its response is complete."""
        self.in_message = False
        self.must_close = True
        self._release_body()
        if self.transport is not None:
            self.transport.abort()
        if self.result is None and self.on_result is not None:
            self.result = BrokenExchange(detail, True, is_too_large)

    def _report(self) -> None:
        """Report the result of the exchange, if it has one.

        The owner may send its next request on this connection before it handles the result. So this
        is called only after the last received byte was parsed: a byte behind the response has then
        closed the connection, and is not taken for the beginning of the next response.
        """
        result = self.result
        on_result = self.on_result
        if result is None or on_result is None:
            return
        self.result = None
        self.on_result = None
        if self.must_close and self.transport is not None:
            self.transport.close()
        if self.is_idle():
            self.idle_since = asyncio.get_running_loop().time()
            self.on_idle(self)
        on_result(result)


def holds_status_line(text: bytes) -> bool:
    """Return whether a reason phrase or a header value holds the status line of a response.

    >>> holds_status_line(b"queue fHTTP/1.1 200 OK"), holds_status_line(b"HTTP/1.1 proxy")
    (True, False)
    """
    return b"HTTP/" in text and _SECOND_STATUS_LINE.search(text) is not None


def keep_alive_timeout_s(value: bytes) -> float | None:
    """Return the idle timeout of a ``Keep-Alive`` header in seconds, or None without one.

    >>> keep_alive_timeout_s(b"timeout=5, max=100")
    5.0
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
