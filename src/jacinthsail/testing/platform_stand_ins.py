"""Stand-ins for the users' platform: its store, its targets and its callers, on one event loop.

They use HTTP on loopback addresses. Each VM has its own address, as on the platform, since all
nodes use the same ports.
"""

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from jacinthsail.internal.adapters.http_client import (
    ExchangeResult,
    HttpClientConnection,
)
from jacinthsail.internal.adapters.http_messages import (
    HttpRequest,
    HttpResponse,
    RequestHandle,
    ResponseCallback,
    ServerLimits,
)
from jacinthsail.internal.adapters.http_server import (
    CallerServer,
)

LIMITS = ServerLimits(16384, 1 << 20, 5.0, 60.0)

STORE_HISTORY = 1000


def header_of(request: HttpRequest, name: bytes) -> str:
    """Return the value of a header, or an empty string."""
    for candidate, value in request.headers:
        if candidate.lower() == name:
            return value.decode("latin-1")
    return ""


def request_id_header(request: HttpRequest) -> bytes:
    """Return the header line that echoes the id of a request."""
    return f"X-Attempt-Id: {header_of(request, b'x-attempt-id')}\r\n".encode("latin-1")


class Watch(NamedTuple):
    """A long-poll request that waits for events."""

    after: int
    respond: ResponseCallback
    timer: asyncio.TimerHandle


class StoreStandIn:
    """The platform's store: items, revisions, pages and watches.

    A ``status`` other than 200 simulates an outage.
    """

    def __init__(self, page_size: int = 2) -> None:
        self.port = CallerServer(self.serve, LIMITS)
        self.page_size = page_size
        self.revision = 1
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, Any]] = []
        self.oldest_revision = 1
        self.watches: list[Watch] = []
        self.status = 200
        self.era: int | None = None
        self.calls = 0

    def put(self, key: str, value: object) -> None:
        """Write an item; bytes are stored as they are."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (body, self.revision)
        self._add_event(self._item(key))

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._add_event({"key": key, "revision": self.revision, "deleted": True})

    def go_back(self, items: dict[str, tuple[bytes, int]], revision: int) -> None:
        """Return as an earlier copy: later writes are lost, and their revisions given out again."""
        self.era = (self.era or 0) + 1
        self.items = dict(items)
        self.revision = revision
        self.drop_history()

    def drop_history(self) -> None:
        """Discard the event history and end all watches with status 410."""
        self.oldest_revision = self.revision + 1
        self.events.clear()
        for watch in self.watches:
            watch.timer.cancel()
            watch.respond(HttpResponse(410, b"", b"{}"))
        self.watches.clear()

    def _item(self, key: str) -> dict[str, Any]:
        body, revision = self.items[key]
        value = base64.b64encode(body).decode("ascii")
        return {"key": key, "value": value, "revision": revision, "created": revision, "lease": 0}

    def _add_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        watches, self.watches = self.watches, []
        for watch in watches:
            watch.timer.cancel()
            watch.respond(self._events_after(watch.after))

    def _events_after(self, after: int) -> HttpResponse:
        events = [event for event in self.events if event["revision"] > after]
        return self._response({"events": events, "asOf": self.revision})

    def _response(self, value: object) -> HttpResponse:
        response = json_response(value)
        if self.era is None:
            return response
        lines = response.head_lines + b"Store-Era: %d\r\n" % self.era
        return response._replace(head_lines=lines)

    def serve(self, request: HttpRequest, respond: ResponseCallback) -> RequestHandle | None:
        """Respond to one request of a node."""
        self.calls += 1
        if self.status != 200:
            respond(HttpResponse(self.status, b"", b""))
            return None
        parts = urlsplit(request.url.decode("ascii"))
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/-/kv-range":
            respond(self._page(query.get("prefix", ""), query.get("after", "")))
            return None
        after = int(query["after"])
        if after + 1 < self.oldest_revision:
            respond(HttpResponse(410, b"", b"{}"))
            return None
        if any(event["revision"] > after for event in self.events):
            respond(self._events_after(after))
            return None
        wait_s = int(query["waitMs"]) / 1000
        timer = asyncio.get_running_loop().call_later(
            wait_s, lambda: respond(self._events_after(after))
        )
        self.watches.append(Watch(after, respond, timer))
        return None

    def _page(self, prefix: str, after: str) -> HttpResponse:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self._item(key) for key in keys[: self.page_size]]
        has_more = len(keys) > self.page_size
        return self._response({"items": page, "hasMore": has_more, "asOf": self.revision})


def json_response(value: object) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(200, b"Content-Type: application/json\r\n", json.dumps(value).encode())


Behaviour = Callable[["TargetStandIn", HttpRequest, ResponseCallback], None]


def respond_immediately(
    target: "TargetStandIn", request: HttpRequest, respond: ResponseCallback
) -> None:
    """Respond with the incarnation of the target and the id of the request."""
    respond(target.response_to(request))


class TargetStandIn:
    """A target that records the requests it executes and responds according to its behaviour."""

    def __init__(self, incarnation: str, behaviour: Behaviour = respond_immediately) -> None:
        self.incarnation = incarnation
        self.behaviour = behaviour
        self.executions: list[HttpRequest] = []
        self.cancelled = 0
        self.port = CallerServer(self.serve, LIMITS)

    def response_to(
        self, request: HttpRequest, status: int = 200, body: bytes = b""
    ) -> HttpResponse:
        """Return a sealed response to a request."""
        lines = (
            request_id_header(request) + f"X-Response-Seal: seal-{self.incarnation}\r\n".encode()
        )
        request_id = header_of(request, b"x-attempt-id")
        content = body or f"{self.incarnation} ran {request_id}".encode()
        return HttpResponse(status, lines, content)

    def serve(self, request: HttpRequest, respond: ResponseCallback) -> RequestHandle | None:
        """Execute one request, unless it is addressed to another incarnation."""
        if header_of(request, b"x-expected-instance") not in ("", self.incarnation):
            respond(HttpResponse(421, request_id_header(request), b""))
            return None
        self.executions.append(request)
        self.behaviour(self, request, respond)
        return self

    def cancel(self) -> None:
        """Count a request for which the node closed the connection."""
        self.cancelled += 1


class CallerStandIn:
    """A caller with one connection to a node."""

    def __init__(self) -> None:
        self.connection: HttpClientConnection | None = None

    async def connect(self, host: str, port: int) -> None:
        """Open the connection to a node."""
        _, self.connection = await asyncio.get_running_loop().create_connection(
            lambda: HttpClientConnection(_ignore, _ignore), host, port
        )

    async def send_request(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        header_lines: str = "",
        host: str = "h.example",
    ) -> ExchangeResult:
        """Send one request and return its result."""
        assert self.connection is not None, "connect first"
        waiter: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        text = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {request_id}\r\n"
            f"{header_lines}{length}\r\n"
        )

        def on_result(result: ExchangeResult) -> None:
            # The waiting task may have been cancelled.
            if not waiter.done():
                waiter.set_result(result)

        self.connection.send(text.encode("latin-1") + body, on_result)
        return await waiter


def _ignore(_connection: HttpClientConnection) -> None:
    """Ignore state changes of the connection, as a caller has no connection pool."""
