"""Guards the encoding of messages between nodes."""

import struct
import unittest

from returns.result import Failure

from jacinthsail.internal.adapters.forward_records import (
    pack_reply,
    pack_request,
    unpack_reply,
    unpack_request,
)
from jacinthsail.internal.adapters.wire import LENGTH_PREFIX, decode_payload, encode_frame
from jacinthsail.internal.model.calls import Answered, Call, NotRun, Reason, Unknown
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
    Ping,
    Pong,
    StoreReport,
    TokenGrant,
    TokenRequest,
    UnfollowStore,
    VersionOffer,
)
from jacinthsail.internal.model.replication import Item, ItemVersion
from jacinthsail.internal.model.request_state import ForwardedRequest, ForwardedResponse
from jacinthsail.internal.model.retry_budget import RetryKind
from jacinthsail.internal.model.store import (
    PublishedItem,
    StoreDelta,
    StoreDifference,
    StoreSnapshot,
)
from tests.common.call_factories import call_context

LOAD = LoadReport(3, 4, 5, KindLoad(0.25, 0.5), KindLoad(0.125, 0.0625))

MESSAGES = (
    Hello("vm-1", "incarnation", "manila", "drafts"),
    Heartbeat(2**64 - 1, 5, 300, True),
    VersionOffer((ItemVersion("section/a", 7, "d"),), True),
    ItemRequest(("section/a", "vms/manila")),
    ItemCopy(Item("section/a", 7, "d", b"body" * 1000)),
    CallRequest(9, Call(call_context(deadline=0.0), "text/plain", b"x"), 1.5),
    CallReply(9, Answered(200, "text/plain", b"y", 1), 4),
    CallReply(9, NotRun(Reason.DRAINING, 2, 0.5), 4),
    CallReply(9, Unknown(Reason.PEER_SILENT, 0), 4),
    Cancel(9),
    Goodbye(),
    ForwardRequestMessage(
        9,
        ForwardedRequest(
            "id",
            "GET",
            b"/a/b",
            "drafts",
            "i-1",
            True,
            RetryKind.POSSIBLY_EXECUTED,
            2,
            1.5,
            0.25,
            0.5,
            b"A: b\r\n",
            b"body",
        ),
    ),
    ForwardReplyMessage(9, ForwardedResponse(200, b"A: b\r\n", b"body"), LOAD),
    ForwardReplyMessage(10, ForwardedResponse(500, b"", b"", True), LOAD),
    ForwardReplyMessage(10, ForwardedResponse(500, b"", b"", True, True), LOAD),
    ForwardReplyMessage(9, NotRun(Reason.QUEUE_FULL, 0, 0.5), LOAD),
    ForwardReplyMessage(9, Unknown(Reason.INCOMPLETE_ANSWER, 0), LOAD),
    FreshnessProbe(7),
    FreshnessReply(7, 2, 2**40, None),
    TokenRequest("opera", 3, 2, 1),
    TokenGrant("opera", 3, 0.5, GrantStatus.OVER_CAP),
    BucketTransfer("opera", 2.5),
    FollowStore(17, 3),
    StoreReport(StoreSnapshot((), 9, 4), True, 0.25),
    Ping(),
    Pong(LOAD),
    FollowStore(2**63 - 1),
    UnfollowStore(),
    ConnectionClosing(),
    StoreReport(
        StoreDelta((PublishedItem("k", 7, b"body"), PublishedItem("l", 8, None)), 6, 9), True, 1.5
    ),
    StoreReport(StoreDifference((PublishedItem("k", 7, b"body"),), 6, 9), True, 0.0),
    StoreReport(StoreSnapshot((PublishedItem("k", 7, b""),), 9), False, None),
)


class WireTest(unittest.TestCase):
    def test_every_message_survives_encoding(self):
        """A field that is not encoded would be lost between nodes without an error."""
        for message in MESSAGES:
            with self.subTest(message=type(message).__name__):
                payload = encode_frame(message)[LENGTH_PREFIX.size :]
                self.assertEqual(decode_payload(payload, "peer").unwrap(), message)

    def test_truncated_payload_is_an_error(self):
        """A truncated message would be accepted as a complete one."""
        payload = encode_frame(MESSAGES[5])[LENGTH_PREFIX.size :]
        for length in range(0, len(payload), 8):
            with self.subTest(length=length):
                decoded = decode_payload(payload[:length], "peer")
                self.assertNotEqual(decoded.value_or(None), MESSAGES[5])

    def test_truncated_record_of_a_request_or_reply_is_an_error(self):
        """A truncated request would run with only part of its header lines."""
        request, reply = MESSAGES[11], MESSAGES[12]
        for pack, unpack, message, body in (
            (pack_request, unpack_request, request, request.forwarded.body),
            (pack_reply, unpack_reply, reply, reply.outcome.body),
        ):
            record = pack(message)
            for length in range(len(record) - len(body)):
                with (
                    self.subTest(message=type(message).__name__, length=length),
                    self.assertRaises((ValueError, struct.error)),
                ):
                    unpack(record[:length])


class FreshnessWireTest(unittest.TestCase):
    def test_age_is_rounded_up(self):
        """A smaller age would prove that a withdrawn key is unknown for less long than it is."""
        for age_s in (0.0, 0.0004, 1.2345, 10.0**9):
            with self.subTest(age_s=age_s):
                frame = encode_frame(FreshnessReply(1, 0, 0, age_s))
                decoded = decode_payload(frame[LENGTH_PREFIX.size :], "peer").unwrap()
                self.assertTrue(decoded.age_s is None or decoded.age_s >= age_s)

    def test_level_of_a_bucket_is_a_number(self):
        """A level that is not a number would never be refused, and never run out."""
        for level in (float("nan"), float("inf"), -1.0):
            with self.subTest(level=level):
                frame = encode_frame(BucketTransfer("opera", level))
                result = decode_payload(frame[LENGTH_PREFIX.size :], "peer")
                self.assertIsInstance(result, Failure)
