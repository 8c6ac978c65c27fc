"""Encoding of node-to-node messages as length-prefixed Cap'n Proto frames.

Only this module depends on the encoding; all other code uses the types of ``model.messages``.
"""

import math
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
    MICROSECONDS,
    microseconds,
    milliseconds,
    pack_reply,
    pack_request,
    unpack_reply,
    unpack_request,
)
from jacinthsail.internal.model.calls import (
    Answered,
    Call,
    CallContext,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from jacinthsail.internal.model.caps import GrantStatus
from jacinthsail.internal.model.fleet import KindLoad, LoadReport
from jacinthsail.internal.model.messages import (
    BucketTransfer,
    CallReply,
    CallRequest,
    Cancel,
    ConnectionClosing,
    FollowStore,
    ForwardReplyMessage,
    ForwardRequestMessage,
    FreshnessProbe,
    FreshnessReply,
    Goodbye,
    Heartbeat,
    Hello,
    ItemCopy,
    ItemRequest,
    Message,
    Ping,
    Pong,
    StoreReport,
    TokenGrant,
    TokenRequest,
    UnfollowStore,
    VersionOffer,
)
from jacinthsail.internal.model.replication import Item, ItemVersion
from jacinthsail.internal.model.store import (
    PublishedItem,
    StoreDelta,
    StoreDifference,
    StoreSnapshot,
    StoreUpdate,
)

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))

LENGTH_PREFIX = struct.Struct("<I")

# An item has at most 1 MB and a forwarded body at most 16 MB; the rest is for metadata.
MAX_FRAME_BYTES = 20 * 1024 * 1024

# Items are sent to many nodes of one failure domain; higher levels cost more time than they save.
COMPRESSION_LEVEL = 1

# Limits decompression, since a small frame could inflate to any size; items have at most 1 MB.
MAX_ITEM_BYTES = 1024 * 1024


def encode_frame(message: Message) -> bytes:
    """Return a message encoded as one length-prefixed frame."""
    builder = _schema.Message.new_message()
    _encode(message, builder)
    payload: bytes = builder.to_bytes()
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode_payload(payload: bytes, source: str) -> Result[Message, MalformedMessage]:
    """Return the message in a frame without its length prefix; ``source`` names the sender."""
    try:
        with _schema.Message.from_bytes(payload) as reader:
            return Success(_DECODERS[reader.which()](reader))
    except (capnp.KjException, LookupError, ValueError, struct.error, zlib.error) as error:
        return Failure(MalformedMessage(source, str(error).partition("\n")[0]))


@singledispatch
def _encode(message: object, builder: Any) -> None:
    raise NotImplementedError(f"no encoding for {type(message).__name__}; register one")


@_encode.register
def _(message: Hello, builder: Any) -> None:
    hello = builder.init("hello")
    hello.vm = message.vm
    hello.incarnation = message.incarnation
    hello.failureDomain = message.failure_domain
    hello.service = message.service


@_encode.register
def _(message: Heartbeat, builder: Any) -> None:
    heartbeat = builder.init("heartbeat")
    heartbeat.storeDigest = message.store_digest
    heartbeat.asOfMs = message.as_of_ms
    heartbeat.threshold = message.threshold
    heartbeat.draining = message.draining


@_encode.register
def _(message: VersionOffer, builder: Any) -> None:
    offer = builder.init("offer")
    offer.complete = message.complete
    offer.isAnswer = message.is_reply
    versions = offer.init("versions", len(message.versions))
    for index, version in enumerate(message.versions):
        _encode_version(version, versions[index])


@_encode.register
def _(message: ItemRequest, builder: Any) -> None:
    ask = builder.init("ask")
    ask.names = list(message.names)


@_encode.register
def _(message: ItemCopy, builder: Any) -> None:
    copy = builder.init("itemCopy")
    item = message.item
    _encode_version(ItemVersion(item.name, item.version, item.digest), copy.version)
    copy.itemAsOfMs = item.as_of_ms
    copy.compressedBody = zlib.compress(item.body)


@_encode.register
def _(message: CallRequest, builder: Any) -> None:
    request = builder.init("callRequest")
    request.callId = message.call_id
    call = request.call
    context = message.call.context
    call.requestId = context.request_id
    call.service = context.service
    call.callClass = context.call_class
    call.caller = context.caller
    call.rank = context.rank
    call.depth = context.depth
    call.remainingS = message.remaining_s
    call.retriesLeft = context.retries_left
    call.idempotencyKey = context.idempotency_key
    call.contentType = message.call.content_type
    call.body = message.call.body


@_encode.register
def _(message: CallReply, builder: Any) -> None:
    reply = builder.init("callReply")
    reply.replyTo = message.call_id
    reply.replierThreshold = message.threshold
    reply.outcome.retriesLeft = message.outcome.retries_left
    _encode_outcome(message.outcome, reply.outcome)


@_encode.register
def _(message: Cancel, builder: Any) -> None:
    builder.init("cancel").cancelledId = message.call_id


@_encode.register
def _(message: Goodbye, builder: Any) -> None:
    builder.goodbye = None


@_encode.register
def _(message: ConnectionClosing, builder: Any) -> None:
    builder.connectionClosing = None


@_encode.register
def _(message: ForwardRequestMessage, builder: Any) -> None:
    builder.forwardRequest = pack_request(message)


@_encode.register
def _(message: ForwardReplyMessage, builder: Any) -> None:
    builder.forwardReply = pack_reply(message)


@_encode.register
def _(message: Ping, builder: Any) -> None:
    builder.ping = None


@_encode.register
def _(message: Pong, builder: Any) -> None:
    _encode_load(message.load, builder.init("pong"))


@_encode.register
def _(message: FollowStore, builder: Any) -> None:
    known = builder.init("followStore")
    known.knownRevision = message.known_revision
    known.knownEra = message.known_era


@_encode.register
def _(message: UnfollowStore, builder: Any) -> None:
    builder.unfollowStore = None


@_encode.register
def _(message: StoreReport, builder: Any) -> None:
    report = builder.init("storeReport")
    update = message.update
    report.revision = update.revision
    report.era = update.era
    report.isSnapshot = isinstance(update, StoreSnapshot)
    report.isDifference = isinstance(update, StoreDifference)
    report.after = 0 if isinstance(update, StoreSnapshot) else update.after
    report.isCurrent = message.is_current
    report.recoveredAgoMs = MAX_UINT32
    report.readAgeMs = (
        MAX_UINT32 if message.read_age_s is None else milliseconds(message.read_age_s)
    )
    items = report.init("items", len(update.items))
    for index, item in enumerate(update.items):
        items[index].key = item.key
        items[index].revision = item.revision
        items[index].isRemoved = item.body is None
        items[index].compressedBody = zlib.compress(item.body or b"", COMPRESSION_LEVEL)


@_encode.register
def _(message: FreshnessProbe, builder: Any) -> None:
    builder.freshnessProbe = message.sequence


@_encode.register
def _(message: FreshnessReply, builder: Any) -> None:
    reply = builder.init("freshnessReply")
    reply.replySequence = message.sequence
    reply.replyEra = message.era
    reply.replyRevision = message.revision
    # Rounded up, because a smaller age would prove too much.
    age_ms = MAX_UINT32 if message.age_s is None else milliseconds(message.age_s) + 1
    reply.ageMs = min(MAX_UINT32, age_ms)


@_encode.register
def _(message: TokenRequest, builder: Any) -> None:
    request = builder.init("tokenRequest")
    request.account = message.account
    request.wanted = min(MAX_UINT32, message.wanted)
    request.spare = min(MAX_UINT32, message.spare)
    request.returned = min(MAX_UINT32, message.returned)


@_encode.register
def _(message: TokenGrant, builder: Any) -> None:
    grant = builder.init("tokenGrant")
    grant.grantedAccount = message.account
    grant.granted = min(MAX_UINT32, message.granted)
    grant.retryAfterMs = milliseconds(message.retry_after_s)
    grant.status = message.status.value


@_encode.register
def _(message: BucketTransfer, builder: Any) -> None:
    transfer = builder.init("bucketTransfer")
    transfer.movedAccount = message.account
    transfer.level = message.level


def _encode_load(load: LoadReport, builder: Any) -> None:
    builder.inFlight = load.in_flight
    builder.queued = load.queued
    builder.limit = load.limit
    builder.newDurationUs = microseconds(load.new.duration_s)
    builder.newWaitUs = microseconds(load.new.wait_s)
    builder.nestedDurationUs = microseconds(load.nested.duration_s)
    builder.nestedWaitUs = microseconds(load.nested.wait_s)


def _encode_version(version: ItemVersion, builder: Any) -> None:
    builder.name = version.name
    builder.version = version.version
    builder.digest = version.digest


@singledispatch
def _encode_outcome(outcome: object, builder: Any) -> None:
    raise NotImplementedError(f"no encoding for {type(outcome).__name__}; register one")


@_encode_outcome.register
def _(outcome: Answered, builder: Any) -> None:
    answered = builder.init("answered")
    answered.status = outcome.status
    answered.contentType = outcome.content_type
    answered.body = outcome.body


@_encode_outcome.register
def _(outcome: NotRun, builder: Any) -> None:
    not_run = builder.init("notRun")
    not_run.reason = outcome.reason.value
    not_run.retryAfterS = outcome.retry_after_s


@_encode_outcome.register
def _(outcome: Unknown, builder: Any) -> None:
    builder.init("unknown").reason = outcome.reason.value


def _decode_hello(reader: Any) -> Message:
    hello = reader.hello
    return Hello(hello.vm, hello.incarnation, hello.failureDomain, hello.service)


def _decode_heartbeat(reader: Any) -> Message:
    heartbeat = reader.heartbeat
    return Heartbeat(
        heartbeat.storeDigest, heartbeat.asOfMs, heartbeat.threshold, heartbeat.draining
    )


def _decode_offer(reader: Any) -> Message:
    versions = tuple(_decode_item_version(version) for version in reader.offer.versions)
    return VersionOffer(versions, reader.offer.complete, reader.offer.isAnswer)


def _decode_ask(reader: Any) -> Message:
    return ItemRequest(tuple(reader.ask.names))


def _decode_item_copy(reader: Any) -> Message:
    version = _decode_item_version(reader.itemCopy.version)
    body = _decompress(bytes(reader.itemCopy.compressedBody))
    as_of_ms = reader.itemCopy.itemAsOfMs
    return ItemCopy(Item(version.name, version.version, version.digest, body, as_of_ms))


def _decode_call_request(reader: Any) -> Message:
    request = reader.callRequest
    call = request.call
    context = CallContext(
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
    return CallRequest(request.callId, Call(context, call.contentType, body), call.remainingS)


def _decode_call_reply(reader: Any) -> Message:
    reply = reader.callReply
    return CallReply(reply.replyTo, _decode_outcome(reply.outcome), reply.replierThreshold)


def _decode_cancel(reader: Any) -> Message:
    return Cancel(reader.cancel.cancelledId)


def _decode_goodbye(_reader: Any) -> Message:
    return Goodbye()


def _decode_connection_closing(_reader: Any) -> Message:
    return ConnectionClosing()


def _decode_forward_request(reader: Any) -> Message:
    return unpack_request(reader.forwardRequest)


def _decode_forward_reply(reader: Any) -> Message:
    return unpack_reply(reader.forwardReply)


def _decode_ping(_reader: Any) -> Message:
    return Ping()


def _decode_pong(reader: Any) -> Message:
    return Pong(_decode_load(reader.pong))


def _decode_follow_store(reader: Any) -> Message:
    return FollowStore(reader.followStore.knownRevision, reader.followStore.knownEra)


def _decode_unfollow_store(_reader: Any) -> Message:
    return UnfollowStore()


def _decode_store_report(reader: Any) -> Message:
    report = reader.storeReport
    items = []
    for item in report.items:
        body = None if item.isRemoved else _decompress(bytes(item.compressedBody))
        items.append(PublishedItem(item.key, item.revision, body))
    update: StoreUpdate = StoreDelta(tuple(items), report.after, report.revision, report.era)
    if report.isSnapshot:
        update = StoreSnapshot(tuple(items), report.revision, report.era)
    elif report.isDifference:
        update = StoreDifference(tuple(items), report.after, report.revision, report.era)
    age_ms = report.readAgeMs
    return StoreReport(update, report.isCurrent, None if age_ms == MAX_UINT32 else age_ms / 1000)


def _decode_freshness_probe(reader: Any) -> Message:
    return FreshnessProbe(reader.freshnessProbe)


def _decode_freshness_reply(reader: Any) -> Message:
    reply = reader.freshnessReply
    age_s = None if reply.ageMs == MAX_UINT32 else reply.ageMs / 1000
    return FreshnessReply(reply.replySequence, reply.replyEra, reply.replyRevision, age_s)


def _decode_token_request(reader: Any) -> Message:
    request = reader.tokenRequest
    return TokenRequest(request.account, request.wanted, request.spare, request.returned)


def _decode_token_grant(reader: Any) -> Message:
    grant = reader.tokenGrant
    return TokenGrant(
        grant.grantedAccount, grant.granted, grant.retryAfterMs / 1000, GrantStatus(grant.status)
    )


def _decode_bucket_transfer(reader: Any) -> Message:
    transfer = reader.bucketTransfer
    if not 0.0 <= transfer.level < math.inf:
        raise ValueError(f"level {transfer.level} of a bucket is not a number of tokens")
    return BucketTransfer(transfer.movedAccount, transfer.level)


def _decode_load(reader: Any) -> LoadReport:
    return LoadReport(
        reader.inFlight,
        reader.queued,
        reader.limit,
        KindLoad(reader.newDurationUs / MICROSECONDS, reader.newWaitUs / MICROSECONDS),
        KindLoad(reader.nestedDurationUs / MICROSECONDS, reader.nestedWaitUs / MICROSECONDS),
    )


def _decode_item_version(reader: Any) -> ItemVersion:
    return ItemVersion(reader.name, reader.version, reader.digest)


def _decode_outcome(reader: Any) -> Outcome:
    retries_left = reader.retriesLeft
    kind = reader.which()
    if kind == "answered":
        answered = reader.answered
        return Answered(answered.status, answered.contentType, bytes(answered.body), retries_left)
    if kind == "notRun":
        not_run = reader.notRun
        return NotRun(Reason(not_run.reason), retries_left, not_run.retryAfterS)
    return Unknown(Reason(reader.unknown.reason), retries_left)


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(compressed, MAX_ITEM_BYTES)
    if not decompressor.eof:
        raise ValueError(f"item is truncated or larger than {MAX_ITEM_BYTES} bytes")
    return body


_DECODERS = {
    "hello": _decode_hello,
    "heartbeat": _decode_heartbeat,
    "offer": _decode_offer,
    "ask": _decode_ask,
    "itemCopy": _decode_item_copy,
    "callRequest": _decode_call_request,
    "callReply": _decode_call_reply,
    "cancel": _decode_cancel,
    "goodbye": _decode_goodbye,
    "connectionClosing": _decode_connection_closing,
    "forwardRequest": _decode_forward_request,
    "forwardReply": _decode_forward_reply,
    "ping": _decode_ping,
    "pong": _decode_pong,
    "followStore": _decode_follow_store,
    "unfollowStore": _decode_unfollow_store,
    "storeReport": _decode_store_report,
    "freshnessProbe": _decode_freshness_probe,
    "freshnessReply": _decode_freshness_reply,
    "tokenRequest": _decode_token_request,
    "tokenGrant": _decode_token_grant,
    "bucketTransfer": _decode_bucket_transfer,
}
