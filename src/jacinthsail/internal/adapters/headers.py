"""HTTP headers that carry a call's context between callers, nodes and targets."""

from functools import singledispatch

from jacinthsail.internal.model.calls import Answered, Call, NotRun, Reason, Unknown
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN

REQUEST_ID = "Jacinthsail-Request-Id"
DEADLINE_MS = "Jacinthsail-Deadline-Ms"
RETRIES_LEFT = "Jacinthsail-Retries-Left"
RANK = "Jacinthsail-Rank"
DEPTH = "Jacinthsail-Depth"
CALLER = "Jacinthsail-Caller"
IDEMPOTENCY_KEY = "Idempotency-Key"
OUTCOME = "Jacinthsail-Outcome"
REASON = "Jacinthsail-Reason"
CONTENT_LENGTH = "Content-Length"
CONTENT_TYPE = "Content-Type"
TRANSFER_ENCODING = "Transfer-Encoding"
RETRY_AFTER = "Retry-After"

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

STATUS_UNKNOWN_CLASS = 404
STATUS_UNKNOWN = 504


def request_headers(call: Call, now: float) -> dict[str, str]:
    """Return the headers of a call that is sent to a target.

    A target copies the headers of the call that it serves into its nested calls, so the depth is
    already that of a nested call.
    """
    context = call.context
    headers = {
        REQUEST_ID: context.request_id,
        DEADLINE_MS: str(max(0, int((context.deadline - now) * 1000))),
        RETRIES_LEFT: str(context.retries_left),
        RANK: str(context.rank),
        DEPTH: str(context.depth + 1),
        CALLER: context.caller,
        CONTENT_TYPE: call.content_type,
    }
    if context.idempotency_key:
        headers[IDEMPOTENCY_KEY] = context.idempotency_key
    return headers


@singledispatch
def reply_headers(outcome: object) -> dict[str, str]:
    """Return the headers that report the outcome of a call to its caller."""
    raise NotImplementedError(f"no headers for {type(outcome).__name__}; register them")


@reply_headers.register
def _(outcome: Answered) -> dict[str, str]:
    return {
        OUTCOME: ANSWERED,
        RETRIES_LEFT: str(outcome.retries_left),
        CONTENT_TYPE: outcome.content_type,
    }


@reply_headers.register
def _(outcome: NotRun) -> dict[str, str]:
    return {
        OUTCOME: NOT_RUN,
        REASON: outcome.reason.value,
        RETRIES_LEFT: str(outcome.retries_left),
        RETRY_AFTER: str(round(outcome.retry_after_s)),
    }


@reply_headers.register
def _(outcome: Unknown) -> dict[str, str]:
    return {
        OUTCOME: UNKNOWN,
        REASON: outcome.reason.value,
        RETRIES_LEFT: str(outcome.retries_left),
    }


@singledispatch
def reply_status(outcome: object) -> int:
    """Return the HTTP status of an outcome."""
    raise NotImplementedError(f"no status for {type(outcome).__name__}; register one")


@reply_status.register
def _(outcome: Answered) -> int:
    return outcome.status


@reply_status.register
def _(outcome: NotRun) -> int:
    if outcome.reason is Reason.UNKNOWN_CLASS:
        return STATUS_UNKNOWN_CLASS
    return STATUS_NOT_RUN


@reply_status.register
def _(outcome: Unknown) -> int:
    return STATUS_UNKNOWN


@singledispatch
def reply_body(outcome: object) -> bytes:
    """Return the HTTP body of an outcome."""
    return b""


@reply_body.register
def _(outcome: Answered) -> bytes:
    return outcome.body


@singledispatch
def outcome_name(outcome: object) -> str:
    """Return the name of an outcome as reported to callers."""
    raise NotImplementedError(f"no name for {type(outcome).__name__}; register one")


@outcome_name.register
def _(outcome: Answered) -> str:
    return ANSWERED


@outcome_name.register
def _(outcome: NotRun) -> str:
    return NOT_RUN


@outcome_name.register
def _(outcome: Unknown) -> str:
    return UNKNOWN


@singledispatch
def outcome_reason(outcome: object) -> str:
    """Return the reason of an outcome, or an empty string if the target responded."""
    return ""


@outcome_reason.register
def _(outcome: NotRun) -> str:
    return outcome.reason.value


@outcome_reason.register
def _(outcome: Unknown) -> str:
    return outcome.reason.value
