"""Encoding of node-to-node messages as length-prefixed Cap'n Proto frames.

Only this module knows the encoding; everything else handles the types of ``model.messages``.
"""

import struct
import zlib
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp
from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.adapters.forward_records import (
    MAX_UINT32,
    milliseconds,
    pack_reply,
    pack_request,
    unpack_reply,
    unpack_request,
)
from jacinthsail.internal.model.calls import (
    Answered,
    Call,
    CallHead,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.messages import (
    Ask,
    CallReply,
    CallRequest,
    Cancel,
    ForwardReply,
    ForwardRequest,
    Goodbye,
    Heartbeat,
    Hello,
    ItemCopy,
    Message,
    Offer,
    Ping,
    Pong,
)
from jacinthsail.internal.model.replication import Item, ItemVersion

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))

LENGTH_PREFIX = struct.Struct("<I")

# An item holds at most 1 MB, the body of a forwarded request at most 16 MB; the rest is for heads.
MAX_FRAME_BYTES = 20 * 1024 * 1024

# A peer could send a small frame that inflates without end; no published item exceeds 1 MB.
MAX_ITEM_BYTES = 1024 * 1024


def encode_frame(message: Message) -> bytes:
    """Return the message as one frame, ready to be written to a connection."""
    builder = _schema.Message.new_message()
    _fill(message, builder)
    payload: bytes = builder.to_bytes()
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode_payload(payload: bytes, source: str) -> Result[Message, MalformedMessage]:
    """Return the message of a frame whose length prefix has been removed."""
    try:
        with _schema.Message.from_bytes(payload) as reader:
            return Success(_DECODERS[reader.which()](reader))
    except (capnp.KjException, LookupError, ValueError, struct.error, zlib.error) as error:
        return Failure(MalformedMessage(source, str(error).partition("\n")[0]))


@singledispatch
def _fill(message: object, builder: Any) -> None:
    raise NotImplementedError(f"no encoding for {type(message).__name__}; register one")


@_fill.register
def _(message: Hello, builder: Any) -> None:
    hello = builder.init("hello")
    hello.vm = message.vm
    hello.incarnation = message.incarnation
    hello.failureDomain = message.failure_domain
    hello.service = message.service


@_fill.register
def _(message: Heartbeat, builder: Any) -> None:
    heartbeat = builder.init("heartbeat")
    heartbeat.storeDigest = message.store_digest
    heartbeat.asOfMs = message.as_of_ms
    heartbeat.threshold = message.threshold
    heartbeat.draining = message.draining


@_fill.register
def _(message: Offer, builder: Any) -> None:
    offer = builder.init("offer")
    offer.complete = message.complete
    offer.isAnswer = message.is_answer
    versions = offer.init("versions", len(message.versions))
    for index, version in enumerate(message.versions):
        _fill_version(version, versions[index])


@_fill.register
def _(message: Ask, builder: Any) -> None:
    ask = builder.init("ask")
    ask.names = list(message.names)


@_fill.register
def _(message: ItemCopy, builder: Any) -> None:
    copy = builder.init("itemCopy")
    item = message.item
    _fill_version(ItemVersion(item.name, item.version, item.digest), copy.version)
    copy.itemAsOfMs = item.as_of_ms
    copy.compressedBody = zlib.compress(item.body)


@_fill.register
def _(message: CallRequest, builder: Any) -> None:
    request = builder.init("callRequest")
    request.callId = message.call_id
    call = request.call
    head = message.call.head
    call.requestId = head.request_id
    call.service = head.service
    call.callClass = head.call_class
    call.caller = head.caller
    call.rank = head.rank
    call.depth = head.depth
    call.remainingS = message.remaining_s
    call.retriesLeft = head.retries_left
    call.idempotencyKey = head.idempotency_key
    call.contentType = message.call.content_type
    call.body = message.call.body


@_fill.register
def _(message: CallReply, builder: Any) -> None:
    reply = builder.init("callReply")
    reply.replyTo = message.call_id
    reply.replierThreshold = message.threshold
    reply.outcome.retriesLeft = message.outcome.retries_left
    _fill_outcome(message.outcome, reply.outcome)


@_fill.register
def _(message: Cancel, builder: Any) -> None:
    builder.init("cancel").cancelledId = message.call_id


@_fill.register
def _(message: Goodbye, builder: Any) -> None:
    builder.goodbye = None


@_fill.register
def _(message: ForwardRequest, builder: Any) -> None:
    builder.forwardRequest = pack_request(message)


@_fill.register
def _(message: ForwardReply, builder: Any) -> None:
    builder.forwardReply = pack_reply(message)


@_fill.register
def _(message: Ping, builder: Any) -> None:
    builder.ping = None


@_fill.register
def _(message: Pong, builder: Any) -> None:
    _fill_load(message.load, builder.init("pong"))


def _fill_load(load: LoadReport, builder: Any) -> None:
    builder.inFlight = load.in_flight
    builder.queued = load.queued
    builder.limit = load.limit
    builder.meanUs = min(MAX_UINT32, int(load.mean_s * 1_000_000))
    builder.newWaitMs = milliseconds(load.new_wait_s)


def _fill_version(version: ItemVersion, builder: Any) -> None:
    builder.name = version.name
    builder.version = version.version
    builder.digest = version.digest


@singledispatch
def _fill_outcome(outcome: object, builder: Any) -> None:
    raise NotImplementedError(f"no encoding for {type(outcome).__name__}; register one")


@_fill_outcome.register
def _(outcome: Answered, builder: Any) -> None:
    answered = builder.init("answered")
    answered.status = outcome.status
    answered.contentType = outcome.content_type
    answered.body = outcome.body


@_fill_outcome.register
def _(outcome: NotRun, builder: Any) -> None:
    not_run = builder.init("notRun")
    not_run.reason = outcome.reason.value
    not_run.retryAfterS = outcome.retry_after_s


@_fill_outcome.register
def _(outcome: Unknown, builder: Any) -> None:
    builder.init("unknown").reason = outcome.reason.value


def _hello(reader: Any) -> Message:
    hello = reader.hello
    return Hello(hello.vm, hello.incarnation, hello.failureDomain, hello.service)


def _heartbeat(reader: Any) -> Message:
    heartbeat = reader.heartbeat
    return Heartbeat(
        heartbeat.storeDigest, heartbeat.asOfMs, heartbeat.threshold, heartbeat.draining
    )


def _offer(reader: Any) -> Message:
    versions = tuple(_item_version(version) for version in reader.offer.versions)
    return Offer(versions, reader.offer.complete, reader.offer.isAnswer)


def _ask(reader: Any) -> Message:
    return Ask(tuple(reader.ask.names))


def _item_copy(reader: Any) -> Message:
    version = _item_version(reader.itemCopy.version)
    body = _inflate(bytes(reader.itemCopy.compressedBody))
    as_of_ms = reader.itemCopy.itemAsOfMs
    return ItemCopy(Item(version.name, version.version, version.digest, body, as_of_ms))


def _call_request(reader: Any) -> Message:
    request = reader.callRequest
    call = request.call
    head = CallHead(
        request_id=call.requestId,
        service=call.service,
        call_class=call.callClass,
        caller=call.caller,
        rank=call.rank,
        depth=call.depth,
        deadline=0.0,
        retries_left=call.retriesLeft,
        idempotency_key=call.idempotencyKey,
    )
    body = bytes(call.body)
    return CallRequest(request.callId, Call(head, call.contentType, body), call.remainingS)


def _call_reply(reader: Any) -> Message:
    reply = reader.callReply
    return CallReply(reply.replyTo, _outcome(reply.outcome), reply.replierThreshold)


def _cancel(reader: Any) -> Message:
    return Cancel(reader.cancel.cancelledId)


def _goodbye(_reader: Any) -> Message:
    return Goodbye()


def _forward_request(reader: Any) -> Message:
    return unpack_request(reader.forwardRequest)


def _forward_reply(reader: Any) -> Message:
    return unpack_reply(reader.forwardReply)


def _ping(_reader: Any) -> Message:
    return Ping()


def _pong(reader: Any) -> Message:
    return Pong(_load(reader.pong))


def _load(reader: Any) -> LoadReport:
    return LoadReport(
        reader.inFlight,
        reader.queued,
        reader.limit,
        reader.meanUs / 1_000_000,
        reader.newWaitMs / 1000,
    )


def _item_version(reader: Any) -> ItemVersion:
    return ItemVersion(reader.name, reader.version, reader.digest)


def _outcome(reader: Any) -> Outcome:
    retries_left = reader.retriesLeft
    kind = reader.which()
    if kind == "answered":
        answered = reader.answered
        return Answered(answered.status, answered.contentType, bytes(answered.body), retries_left)
    if kind == "notRun":
        not_run = reader.notRun
        return NotRun(Reason(not_run.reason), retries_left, not_run.retryAfterS)
    return Unknown(Reason(reader.unknown.reason), retries_left)


def _inflate(compressed: bytes) -> bytes:
    inflater = zlib.decompressobj()
    body = inflater.decompress(compressed, MAX_ITEM_BYTES)
    if not inflater.eof:
        raise ValueError(f"item is truncated or larger than {MAX_ITEM_BYTES} bytes")
    return body


_DECODERS = {
    "hello": _hello,
    "heartbeat": _heartbeat,
    "offer": _offer,
    "ask": _ask,
    "itemCopy": _item_copy,
    "callRequest": _call_request,
    "callReply": _call_reply,
    "cancel": _cancel,
    "goodbye": _goodbye,
    "forwardRequest": _forward_request,
    "forwardReply": _forward_reply,
    "ping": _ping,
    "pong": _pong,
}
