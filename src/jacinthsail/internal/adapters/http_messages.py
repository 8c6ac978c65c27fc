"""Requests and responses on the connections of callers, free of any parsing."""

from collections.abc import Callable
from typing import NamedTuple, Protocol


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
