"""Packs the fields of forwarded requests and their replies into one record each.

These two messages travel with every request. Access to single Cap'n Proto fields from Python costs
1 to 3 µs each, which for the fields of both messages was more than the rest of the hop, so they
travel as one ``Data`` field with a fixed little-endian layout.
"""

import struct
from functools import singledispatch

from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.messages import ForwardReply, ForwardRequest
from jacinthsail.internal.model.request_state import Forward, TargetAnswer
from jacinthsail.internal.model.retry_budget import Repeat

# Id, whether it is repeatable, kind of repeat, rank, three times in ms, then the lengths in bytes
# of request id, method, URL, service, incarnation and header lines. These follow in this order, and
# the body behind them.
_REQUEST = struct.Struct("<QBBIIIIHHIHHI")

# Id, kind of outcome, status, whether it is shed, retry-after in ms, then the load: in flight,
# queued, limit, mean in µs and wait of new requests in ms, then the length of the header lines in
# bytes. Header lines and body follow, or the reason as text.
_REPLY = struct.Struct("<QBHBIIIIIII")

_ANSWER = 0
_NOT_RUN = 1
_UNKNOWN = 2

# A kind of repeat travels as its place in this list.
_REPEATS = tuple(Repeat)
_REPEAT_NUMBERS = {repeat: number for number, repeat in enumerate(_REPEATS)}

# Times and counts travel in 32 bits.
MAX_UINT32 = 2**32 - 1


def milliseconds(seconds: float) -> int:
    """Return a time as it travels between nodes, in whole milliseconds."""
    return min(MAX_UINT32, max(0, int(seconds * 1000)))


def pack_request(message: ForwardRequest) -> bytes:
    """Return the record of a forwarded request."""
    forward = message.forward
    request_id = forward.request_id.encode()
    method = forward.method.encode()
    service = forward.service.encode()
    incarnation = forward.incarnation.encode()
    head = _REQUEST.pack(
        message.forward_id,
        forward.repeatable,
        _REPEAT_NUMBERS[forward.repeat],
        forward.rank,
        milliseconds(forward.remaining_s),
        milliseconds(forward.patience_s),
        milliseconds(forward.good_within_s),
        len(request_id),
        len(method),
        len(forward.url),
        len(service),
        len(incarnation),
        len(forward.head_lines),
    )
    return b"".join(
        (
            head,
            request_id,
            method,
            forward.url,
            service,
            incarnation,
            forward.head_lines,
            forward.body,
        )
    )


def unpack_request(record: bytes) -> ForwardRequest:
    """Return the request of a record; raises ``ValueError`` if the record is too short."""
    (
        forward_id,
        repeatable,
        repeat,
        rank,
        remaining_ms,
        patience_ms,
        good_within_ms,
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
        raise ValueError(f"the record of a request has only {len(record)} bytes")
    return ForwardRequest(
        forward_id,
        Forward(
            record[_REQUEST.size : method_at].decode(),
            record[method_at:url_at].decode(),
            record[url_at:service_at],
            record[service_at:incarnation_at].decode(),
            record[incarnation_at:head_lines_at].decode(),
            bool(repeatable),
            _REPEATS[repeat],
            rank,
            remaining_ms / 1000,
            patience_ms / 1000,
            good_within_ms / 1000,
            record[head_lines_at:body_at],
            record[body_at:],
        ),
    )


def pack_reply(message: ForwardReply) -> bytes:
    """Return the record of a reply."""
    kind, status, is_shed, retry_after_ms, head_lines, rest = _outcome_fields(message.outcome)
    load = message.load
    head = _REPLY.pack(
        message.forward_id,
        kind,
        status,
        is_shed,
        retry_after_ms,
        load.in_flight,
        load.queued,
        load.limit,
        min(MAX_UINT32, int(load.mean_s * 1_000_000)),
        milliseconds(load.new_wait_s),
        len(head_lines),
    )
    return b"".join((head, head_lines, rest))


def unpack_reply(record: bytes) -> ForwardReply:
    """Return the reply of a record; raises ``ValueError`` if the record is too short."""
    (
        forward_id,
        kind,
        status,
        is_shed,
        retry_after_ms,
        in_flight,
        queued,
        limit,
        mean_us,
        new_wait_ms,
        head_lines_bytes,
    ) = _REPLY.unpack_from(record)
    body_at = _REPLY.size + head_lines_bytes
    if len(record) < body_at:
        raise ValueError(f"the record of a reply has only {len(record)} bytes")
    load = LoadReport(in_flight, queued, limit, mean_us / 1_000_000, new_wait_ms / 1000)
    if kind == _ANSWER:
        head_lines = record[_REPLY.size : body_at]
        answer = TargetAnswer(status, head_lines, record[body_at:], bool(is_shed))
        return ForwardReply(forward_id, answer, load)
    reason = Reason(record[body_at:].decode())
    if kind == _NOT_RUN:
        return ForwardReply(forward_id, NotRun(reason, 0, retry_after_ms / 1000), load)
    return ForwardReply(forward_id, Unknown(reason, 0), load)


# Kind, status, whether it is shed, retry-after in ms, header lines, and body or reason.
OutcomeFields = tuple[int, int, bool, int, bytes, bytes]


@singledispatch
def _outcome_fields(outcome: object) -> OutcomeFields:
    raise NotImplementedError(f"no record for {type(outcome).__name__}; register one")


@_outcome_fields.register
def _(outcome: TargetAnswer) -> OutcomeFields:
    return _ANSWER, outcome.status, outcome.is_shed, 0, outcome.head_lines, outcome.body


@_outcome_fields.register
def _(outcome: NotRun) -> OutcomeFields:
    retry_after_ms = milliseconds(outcome.retry_after_s)
    return _NOT_RUN, 0, False, retry_after_ms, b"", outcome.reason.value.encode()


@_outcome_fields.register
def _(outcome: Unknown) -> OutcomeFields:
    return _UNKNOWN, 0, False, 0, b"", outcome.reason.value.encode()
