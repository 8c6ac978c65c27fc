"""HTTP formats of the requests and responses of the platform's callers and targets."""

from functools import lru_cache

from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.adapters.http_client import HttpClientResponse
from jacinthsail.internal.adapters.http_messages import (
    HttpRequest,
)
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.request_state import (
    ForwardedOutcome,
    ForwardedRequest,
    ForwardedResponse,
    RequestInfo,
)
from jacinthsail.platform import names

# Headers that the node sets on the request to a target; values from a caller are discarded.
_SET_BY_NODE = frozenset(
    {names.HEADER_REMAINING_MS, names.HEADER_EXPECTED_INSTANCE, names.HEADER_CALLER_SERVICE}
)
_NOT_FORWARDED = names.HOP_BY_HOP_HEADERS | _SET_BY_NODE
# The same where callers have accounts.
_NOT_FORWARDED_WITH_ACCOUNTS = _NOT_FORWARDED | {names.HEADER_API_KEY, names.HEADER_TENANT}
_NOT_RETURNED = names.HOP_BY_HOP_HEADERS | {names.HEADER_SERVER_LOAD}

STATUS_MISDIRECTED = 421

# Longer than the remaining time of any real request. The cap also keeps the number within the
# range of its field in the frames between nodes.
MAX_REMAINING_MS = 10 * 60 * 1000

_SOURCE = "caller"


class CallerHttp:
    """HTTP format of requests from callers and of the responses to them."""

    def parse_request_info(self, request: HttpRequest) -> Result[RequestInfo, MalformedMessage]:
        """Return the fields of a request that routing and admission use."""
        host = b""
        hosts = 0
        request_id = b""
        remaining_ms = b""
        account_key = b""
        keys = 0
        for name, value in request.headers:
            lower = name.lower()
            if lower == names.HEADER_HOST:
                host = value
                hosts += 1
            elif lower == names.HEADER_ATTEMPT_ID:
                request_id = value
            elif lower == names.HEADER_REMAINING_MS:
                remaining_ms = value
            elif lower == names.HEADER_API_KEY:
                account_key = value
                keys += 1
        if hosts != 1 or not request.url.startswith(b"/"):
            return Failure(
                MalformedMessage(
                    _SOURCE, "needs exactly one Host header and a URL that begins with /"
                )
            )
        if remaining_ms and not remaining_ms.isdigit():
            return Failure(
                MalformedMessage(_SOURCE, f"remaining time {remaining_ms[:40]!r} is not in ms")
            )
        remaining_s = min(int(remaining_ms[:9]), MAX_REMAINING_MS) / 1000 if remaining_ms else None
        path = request.url.partition(b"?")[0].decode("latin-1")
        return Success(
            RequestInfo(
                request_id=request_id.decode("latin-1"),
                # Targets prefix the ids of nested calls with the id of the request and a dot.
                parent_id=request_id.rpartition(b".")[0].decode("latin-1"),
                method=request.method,
                url=request.url,
                host=host.partition(b":")[0].decode("latin-1").lower(),
                path=path,
                remaining_time_s=remaining_s,
                # Of two keys, neither is known to be the caller's.
                account_key=account_key.decode("latin-1") if keys == 1 else "",
            )
        )

    def head_lines(
        self, request: HttpRequest, caller_service: str, account_name: str | None
    ) -> bytes:
        """Return the header lines for the target, without those that its node adds.

        ``account_name`` is None where callers have no accounts, and empty if this request needs
        none.
        """
        lines = [b"X-Caller-Service: %s\r\n" % caller_service.encode("latin-1")]
        not_forwarded = _NOT_FORWARDED
        if account_name is not None:
            not_forwarded = _NOT_FORWARDED_WITH_ACCOUNTS
        if account_name:
            lines.append(b"X-Tenant-Id: %s\r\n" % account_name.encode("latin-1"))
        connection_options = _connection_options(request.headers)
        for name, value in request.headers:
            lower = name.lower()
            if lower in not_forwarded or lower in connection_options:
                continue
            lines.append(b"%s: %s\r\n" % (name, value))
        return b"".join(lines)

    def local_response_lines(
        self, request_info: RequestInfo | None, status: int, retry_after_s: float
    ) -> bytes:
        """Return the header lines of a response that the node creates itself."""
        lines = b""
        if request_info is not None and request_info.request_id:
            lines = b"X-Attempt-Id: %s\r\n" % request_info.request_id.encode("latin-1")
        if retry_after_s > 0:
            lines += b"Retry-After: %.3f\r\n" % retry_after_s
        return lines


def _connection_options(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the names of the headers that a ``Connection`` header marks as hop-by-hop."""
    for name, value in headers:
        if len(name) != 10 or name.lower() != b"connection":
            continue
        return frozenset(part.strip().lower() for part in value.split(b","))
    return frozenset()


class TargetHttp:
    """HTTP format of requests to targets and of their responses."""

    def encode(self, forwarded: ForwardedRequest, remaining_s: float) -> bytes:
        """Return the bytes of a request to the target."""
        length = b""
        if forwarded.body or forwarded.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            length = b"Content-Length: %d\r\n" % len(forwarded.body)
        return b"".join(
            (
                _request_line_start(forwarded.method),
                forwarded.url,
                b" HTTP/1.1\r\n",
                forwarded.head_lines,
                b"X-Deadline-Ms: %d\r\nX-Expected-Instance: %s\r\n"
                % (max(1, int(remaining_s * 1000)), forwarded.incarnation.encode("latin-1")),
                length,
                b"\r\n",
                forwarded.body,
            )
        )

    def decode(self, response: HttpClientResponse) -> ForwardedOutcome:
        """Return the outcome that a response of the target represents.

        A response without a seal, or with a content encoding that was not requested, was not
        produced by the target. The request may have been executed nevertheless.
        """
        has_seal = False
        lines = []
        for name, value in response.headers:
            if name == names.HEADER_NOT_EXECUTED:
                return NotRun(Reason.TARGET_REFUSED, 0)
            if name == names.HEADER_CONTENT_ENCODING:
                return Unknown(Reason.INCOMPLETE_ANSWER, 0)
            if name in _NOT_RETURNED:
                continue
            if name == names.HEADER_SEAL:
                has_seal = True
            lines.append(b"%s: %s\r\n" % (name, value))
        if response.status == STATUS_MISDIRECTED:
            return NotRun(Reason.TARGET_MISDIRECTED, 0)
        if not has_seal:
            return Unknown(Reason.INCOMPLETE_ANSWER, 0)
        return ForwardedResponse(response.status, b"".join(lines), response.body)

    def is_response_to(self, response: HttpClientResponse, forwarded: ForwardedRequest) -> bool:
        """Return whether a response carries the id of the request.

        Targets echo the id of every request. A response without it may be a duplicate response to
        an earlier request, so it is not accepted for this one.
        """
        if not forwarded.request_id:
            return True
        for name, value in response.headers:
            if name == names.HEADER_ATTEMPT_ID:
                return value.decode("latin-1") == forwarded.request_id
        return False


@lru_cache(maxsize=32)
def _request_line_start(method: str) -> bytes:
    return method.encode("ascii") + b" "
