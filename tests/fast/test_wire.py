"""Guards the encoding of messages between nodes."""

import struct
import unittest

from jacinthsail.internal.adapters.forward_records import (
    pack_reply,
    pack_request,
    unpack_reply,
    unpack_request,
)
from jacinthsail.internal.adapters.wire import LENGTH_PREFIX, decode_payload, encode_frame
from jacinthsail.internal.model.calls import Answered, Call, NotRun, Reason, Unknown
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
    Offer,
    Ping,
    Pong,
)
from jacinthsail.internal.model.replication import Item, ItemVersion
from jacinthsail.internal.model.request_state import Forward, TargetAnswer
from jacinthsail.internal.model.retry_budget import Repeat
from tests.common.call_factories import call_head

MESSAGES = (
    Hello("vm-1", "incarnation", "manila", "drafts"),
    Heartbeat(2**64 - 1, 5, 300, True),
    Offer((ItemVersion("section/a", 7, "d"),), True),
    Ask(("section/a", "vms/manila")),
    ItemCopy(Item("section/a", 7, "d", b"body" * 1000)),
    CallRequest(9, Call(call_head(deadline=0.0), "text/plain", b"x"), 1.5),
    CallReply(9, Answered(200, "text/plain", b"y", 1), 4),
    CallReply(9, NotRun(Reason.DRAINING, 2, 0.5), 4),
    CallReply(9, Unknown(Reason.PEER_SILENT, 0), 4),
    Cancel(9),
    Goodbye(),
    ForwardRequest(
        9,
        Forward(
            "id",
            "GET",
            b"/a/b",
            "drafts",
            "i-1",
            True,
            Repeat.RUN,
            2,
            1.5,
            0.25,
            0.5,
            b"A: b\r\n",
            b"body",
        ),
    ),
    ForwardReply(9, TargetAnswer(200, b"A: b\r\n", b"body"), LoadReport(3, 4, 5, 0.25, 0.5)),
    ForwardReply(10, TargetAnswer(500, b"", b"", True), LoadReport(3, 4, 5, 0.25, 0.5)),
    ForwardReply(9, NotRun(Reason.QUEUE_FULL, 0, 0.5), LoadReport(3, 4, 5, 0.25, 0.5)),
    ForwardReply(9, Unknown(Reason.INCOMPLETE_ANSWER, 0), LoadReport(3, 4, 5, 0.25, 0.5)),
    Ping(),
    Pong(LoadReport(3, 4, 5, 0.25, 0.5)),
)


class WireTest(unittest.TestCase):
    def test_every_message_survives_encoding(self):
        """A field that is not encoded would be lost between nodes without an error."""
        for message in MESSAGES:
            with self.subTest(message=type(message).__name__):
                payload = encode_frame(message)[LENGTH_PREFIX.size :]
                self.assertEqual(decode_payload(payload, "peer").unwrap(), message)

    def test_truncated_payload_is_an_error(self):
        """Half a message must never be taken for a message."""
        payload = encode_frame(MESSAGES[5])[LENGTH_PREFIX.size :]
        for length in range(0, len(payload), 8):
            with self.subTest(length=length):
                decoded = decode_payload(payload[:length], "peer")
                self.assertNotEqual(decoded.value_or(None), MESSAGES[5])

    def test_truncated_record_of_a_request_or_reply_is_an_error(self):
        """A request whose end is missing would run with half of its header lines."""
        request, reply = MESSAGES[11], MESSAGES[12]
        for pack, unpack, message, body in (
            (pack_request, unpack_request, request, request.forward.body),
            (pack_reply, unpack_reply, reply, reply.outcome.body),
        ):
            record = pack(message)
            for length in range(len(record) - len(body)):
                with (
                    self.subTest(message=type(message).__name__, length=length),
                    self.assertRaises((ValueError, struct.error)),
                ):
                    unpack(record[:length])
