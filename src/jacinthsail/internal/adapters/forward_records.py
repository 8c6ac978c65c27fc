"""Packs a forwarded request, and its reply, into one binary record each.

These two messages are sent for every request. Access to a Cap'n Proto field from Python costs 1 to
3 µs, which for all fields of both messages was more than the rest of the hop, so each message is
one ``Data`` field with a fixed little-endian layout.
"""

import struct
from functools import singledispatch

from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.fleet import KindLoad, LoadReport
from jacinthsail.internal.model.messages import ForwardReplyMessage, ForwardRequestMessage
from jacinthsail.internal.model.request_state import ForwardedRequest, ForwardedResponse
from jacinthsail.internal.model.retry_budget import RetryKind
from jacinthsail.internal.model.statuses import MAX_STATUS, MIN_FINAL_STATUS

# Id, whether the request is repeatable, kind of retry, rank, three times in ms, then the lengths in
# bytes of request id, method, URL, service, incarnation and header lines. These fields follow in
# this order, then the body.
_REQUEST = struct.Struct("<QBBIIIIHHIHHI")

# Id, kind of outcome, status, whether it was shed (1) and for lack of room (2), retry-after in ms,
# then the load: in flight, queued, limit, mean duration and queue wait in µs of new requests and of
# nested calls, then
# the length of the header lines in bytes. The header lines and the body follow, or the reason as
# text.
_REPLY = struct.Struct("<QBHBIIIIIIIII")

_RESPONSE = 0
_NOT_RUN = 1
_UNKNOWN = 2

_SHED = 1
_LACKS_ROOM = 2

# A kind of retry is encoded as its index in this tuple.
_RETRY_KINDS = tuple(RetryKind)
_RETRY_KIND_INDEXES = {retry_kind: index for index, retry_kind in enumerate(_RETRY_KINDS)}

# Times and counts are encoded in 32 bits.
MAX_UINT32 = 2**32 - 1

MICROSECONDS = 1_000_000


def milliseconds(seconds: float) -> int:
    """Return a time in whole milliseconds, limited to the encodable range."""
    return min(MAX_UINT32, max(0, int(seconds * 1000)))


def microseconds(seconds: float) -> int:
    """Return a time in whole microseconds, limited to the encodable range."""
    return min(MAX_UINT32, max(0, int(seconds * MICROSECONDS)))


def pack_request(message: ForwardRequestMessage) -> bytes:
    """Return the encoded record of a forwarded request."""
    forwarded = message.forwarded
    request_id = forwarded.request_id.encode()
    method = forwarded.method.encode()
    service = forwarded.service.encode()
    incarnation = forwarded.incarnation.encode()
    head = _REQUEST.pack(
        message.forward_id,
        forwarded.repeatable,
        _RETRY_KIND_INDEXES[forwarded.retry_kind],
        forwarded.rank,
        milliseconds(forwarded.remaining_s),
        milliseconds(forwarded.max_queue_wait_s),
        milliseconds(forwarded.latency_goal_s),
        len(request_id),
        len(method),
        len(forwarded.url),
        len(service),
        len(incarnation),
        len(forwarded.head_lines),
    )
    return b"".join(
        (
            head,
            request_id,
            method,
            forwarded.url,
            service,
            incarnation,
            forwarded.head_lines,
            forwarded.body,
        )
    )


def unpack_request(record: bytes) -> ForwardRequestMessage:
    """Return the decoded request; raises ``ValueError`` if the record is too short."""
    (
        forward_id,
        repeatable,
        retry_kind,
        rank,
        remaining_ms,
        max_queue_wait_ms,
        latency_goal_ms,
        id_bytes,
        method_bytes,
        url_bytes,
        service_bytes,
        incarnation_bytes,
        head_lines_bytes,
    ) = _REQUEST.unpack_from(record)
    method_at = _REQUEST.size + id_bytes
    url_at = method_at + method_bytes
    service_at = url_at + url_bytes
    incarnation_at = service_at + service_bytes
    head_lines_at = incarnation_at + incarnation_bytes
    body_at = head_lines_at + head_lines_bytes
    if len(record) < body_at:
        raise ValueError(f"request record is truncated: {len(record)} bytes")
    return ForwardRequestMessage(
        forward_id,
        ForwardedRequest(
            record[_REQUEST.size : method_at].decode(),
            record[method_at:url_at].decode(),
            record[url_at:service_at],
            record[service_at:incarnation_at].decode(),
            record[incarnation_at:head_lines_at].decode(),
            bool(repeatable),
            _RETRY_KINDS[retry_kind],
            rank,
            remaining_ms / 1000,
            max_queue_wait_ms / 1000,
            latency_goal_ms / 1000,
            record[head_lines_at:body_at],
            record[body_at:],
        ),
    )


def pack_reply(message: ForwardReplyMessage) -> bytes:
    """Return the encoded record of a reply."""
    kind, status, shed, retry_after_ms, head_lines, rest = _outcome_fields(message.outcome)
    load = message.load
    head = _REPLY.pack(
        message.forward_id,
        kind,
        status,
        shed,
        retry_after_ms,
        load.in_flight,
        load.queued,
        load.limit,
        microseconds(load.new.duration_s),
        microseconds(load.new.wait_s),
        microseconds(load.nested.duration_s),
        microseconds(load.nested.wait_s),
        len(head_lines),
    )
    return b"".join((head, head_lines, rest))


def unpack_reply(record: bytes) -> ForwardReplyMessage:
    """Return the decoded reply; raises ``ValueError`` if the record is too short."""
    (
        forward_id,
        kind,
        status,
        shed,
        retry_after_ms,
        in_flight,
        queued,
        limit,
        new_duration_us,
        new_wait_us,
        nested_duration_us,
        nested_wait_us,
        head_lines_bytes,
    ) = _REPLY.unpack_from(record)
    body_at = _REPLY.size + head_lines_bytes
    if len(record) < body_at:
        raise ValueError(f"reply record is truncated: {len(record)} bytes")
    load = LoadReport(
        in_flight,
        queued,
        limit,
        KindLoad(new_duration_us / MICROSECONDS, new_wait_us / MICROSECONDS),
        KindLoad(nested_duration_us / MICROSECONDS, nested_wait_us / MICROSECONDS),
    )
    if kind == _RESPONSE and not MIN_FINAL_STATUS <= status <= MAX_STATUS:
        return ForwardReplyMessage(forward_id, Unknown(Reason.INCOMPLETE_ANSWER, 0), load)
    if kind == _RESPONSE:
        head_lines = record[_REPLY.size : body_at]
        response = ForwardedResponse(
            status, head_lines, record[body_at:], bool(shed & _SHED), bool(shed & _LACKS_ROOM)
        )
        return ForwardReplyMessage(forward_id, response, load)
    reason = Reason(record[body_at:].decode())
    if kind == _NOT_RUN:
        return ForwardReplyMessage(forward_id, NotRun(reason, 0, retry_after_ms / 1000), load)
    return ForwardReplyMessage(forward_id, Unknown(reason, 0), load)


# Kind, status, whether it was shed, retry-after in ms, header lines, and body or reason.
OutcomeFields = tuple[int, int, int, int, bytes, bytes]


@singledispatch
def _outcome_fields(outcome: object) -> OutcomeFields:
    raise NotImplementedError(f"no record for {type(outcome).__name__}; register one")


@_outcome_fields.register
def _(outcome: ForwardedResponse) -> OutcomeFields:
    shed = outcome.is_shed * _SHED | outcome.lacks_room * _LACKS_ROOM
    return _RESPONSE, outcome.status, shed, 0, outcome.head_lines, outcome.body


@_outcome_fields.register
def _(outcome: NotRun) -> OutcomeFields:
    retry_after_ms = milliseconds(outcome.retry_after_s)
    return _NOT_RUN, 0, 0, retry_after_ms, b"", outcome.reason.value.encode()


@_outcome_fields.register
def _(outcome: Unknown) -> OutcomeFields:
    return _UNKNOWN, 0, 0, 0, b"", outcome.reason.value.encode()
