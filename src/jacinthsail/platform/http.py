"""Requests and answers as callers and targets of the platform write them."""

from functools import lru_cache

from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.adapters.http_client import HttpAnswer
from jacinthsail.internal.adapters.http_server import HttpRequest
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.request_state import (
    Forward,
    ForwardOutcome,
    RequestFacts,
    TargetAnswer,
)
from jacinthsail.platform import names

# Headers that the system sets itself, whatever a caller sent.
_SET_HERE = frozenset(
    {names.HEADER_TIME_LEFT_MS, names.HEADER_EXPECTED_TARGET, names.HEADER_CALLER_SERVICE}
)
_NOT_FORWARDED = names.CONNECTION_HEADERS | _SET_HERE
_NOT_RETURNED = names.CONNECTION_HEADERS | {names.HEADER_LOAD}

STATUS_MISDIRECTED = 421

# A time left that no caller means; it also keeps the number within a frame.
MAX_TIME_LEFT_MS = 10 * 60 * 1000

_SOURCE = "caller"


class CallerHttp:
    """How callers write requests, and how they read answers of a node."""

    def facts_of(self, request: HttpRequest) -> Result[RequestFacts, MalformedMessage]:
        """Return what the decisions need of a request."""
        host = b""
        hosts = 0
        request_id = b""
        time_left = b""
        for name, value in request.headers:
            lower = name.lower()
            if lower == names.HEADER_HOST:
                host = value
                hosts += 1
            elif lower == names.HEADER_ATTEMPT_ID:
                request_id = value
            elif lower == names.HEADER_TIME_LEFT_MS:
                time_left = value
        if hosts != 1 or not request.url.startswith(b"/"):
            return Failure(MalformedMessage(_SOURCE, "one Host and a path are needed"))
        if time_left and not time_left.isdigit():
            return Failure(MalformedMessage(_SOURCE, f"time left of {time_left[:40]!r}"))
        time_left_s = min(int(time_left[:9]), MAX_TIME_LEFT_MS) / 1000 if time_left else None
        path = request.url.partition(b"?")[0].decode("latin-1")
        return Success(
            RequestFacts(
                request_id=request_id.decode("latin-1"),
                # Targets put the id of their own request, and a dot, before those of its calls.
                parent_id=request_id.rpartition(b".")[0].decode("latin-1"),
                method=request.method,
                url=request.url,
                host=host.partition(b":")[0].decode("latin-1").lower(),
                path=path,
                time_left_s=time_left_s,
            )
        )

    def head_lines(self, request: HttpRequest, caller_service: str) -> bytes:
        """Return the header lines that a target gets, without those that its node adds."""
        lines = [b"X-Caller-Service: %s\r\n" % caller_service.encode("latin-1")]
        named = _named_by_connection(request.headers)
        for name, value in request.headers:
            lower = name.lower()
            if lower in _NOT_FORWARDED or lower in named:
                continue
            lines.append(b"%s: %s\r\n" % (name, value))
        return b"".join(lines)

    def own_answer(self, facts: RequestFacts | None, status: int, retry_after_s: float) -> bytes:
        """Return the header lines of an answer that a node makes by itself."""
        lines = b""
        if facts is not None and facts.request_id:
            lines = b"X-Attempt-Id: %s\r\n" % facts.request_id.encode("latin-1")
        if retry_after_s > 0:
            lines += b"Retry-After: %.3f\r\n" % retry_after_s
        return lines


def _named_by_connection(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the headers that a ``Connection`` header limits to its connection."""
    for name, value in headers:
        if len(name) != 10 or name.lower() != b"connection":
            continue
        return frozenset(part.strip().lower() for part in value.split(b","))
    return frozenset()


class TargetHttp:
    """How targets read requests and write answers."""

    def encode(self, forward: Forward, remaining_s: float) -> bytes:
        """Return a request as it is written to the target."""
        length = b""
        if forward.body or forward.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            length = b"Content-Length: %d\r\n" % len(forward.body)
        return b"".join(
            (
                _request_line_start(forward.method),
                forward.url,
                b" HTTP/1.1\r\n",
                forward.head_lines,
                b"X-Deadline-Ms: %d\r\nX-Expected-Instance: %s\r\n"
                % (max(1, int(remaining_s * 1000)), forward.incarnation.encode("latin-1")),
                length,
                b"\r\n",
                forward.body,
            )
        )

    def decode(self, answer: HttpAnswer) -> ForwardOutcome:
        """Return the outcome that an answer of the target stands for.

        A success without a seal, or with an encoding that nobody asked for, is not the target's.
        """
        has_seal = False
        lines = []
        for name, value in answer.headers:
            if name == names.HEADER_NOT_RUN:
                return NotRun(Reason.TARGET_REFUSED, 0)
            if name == names.HEADER_ENCODING:
                return Unknown(Reason.INCOMPLETE_ANSWER, 0)
            if name in _NOT_RETURNED:
                continue
            if name == names.HEADER_SEAL:
                has_seal = True
            lines.append(b"%s: %s\r\n" % (name, value))
        if answer.status == STATUS_MISDIRECTED:
            return NotRun(Reason.TARGET_MISDIRECTED, 0)
        if not has_seal:
            return Unknown(Reason.INCOMPLETE_ANSWER, 0)
        return TargetAnswer(answer.status, b"".join(lines), answer.body)

    def is_answer_to(self, answer: HttpAnswer, forward: Forward) -> bool:
        """Tell whether an answer names the request.

        Targets echo the id of every request. An answer without it may be a second answer to an
        earlier request, so it is not taken for this one.
        """
        if not forward.request_id:
            return True
        for name, value in answer.headers:
            if name == names.HEADER_ATTEMPT_ID:
                return value.decode("latin-1") == forward.request_id
        return False


@lru_cache(maxsize=32)
def _request_line_start(method: str) -> bytes:
    return method.encode("ascii") + b" "
