"""Guards callers against statuses that HTTP does not have, which a faulty target may send."""

import asyncio
import struct
import unittest
import unittest.mock

import aiohttp
from yarl import URL

from jacinthsail.internal.adapters.exchange import post
from jacinthsail.internal.adapters.forward_records import pack_reply, unpack_reply
from jacinthsail.internal.adapters.http_client import BrokenExchange, HttpClientConnection
from jacinthsail.internal.model.calls import Reason, Unknown
from jacinthsail.internal.model.fleet import KindLoad, LoadReport
from jacinthsail.internal.model.messages import ForwardReplyMessage
from jacinthsail.internal.model.request_state import ForwardedResponse
from jacinthsail.testing.platform_stand_ins import TargetStandIn, request_id_header
from tests.common.platform_testbed import PlatformTestbed

INVALID = ("000", "001", "099", "600", "999")
LOAD = LoadReport(0, 0, 1, KindLoad(0.0, 0.0), KindLoad(0.0, 0.0))


def respond_with_status_line(line):
    def behaviour(target, request, respond):
        transport = next(iter(target.port.connections)).transport
        lines = request_id_header(request) + b"X-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno"
        transport.write(line + b"\r\n" + lines)

    return behaviour


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    def exchange(self, data):
        results = []
        connection = HttpClientConnection(lambda _: None, lambda _: None)
        connection.connection_made(unittest.mock.Mock(spec=asyncio.Transport))
        connection.transport.is_closing.return_value = False
        connection.transport.get_extra_info.return_value = None
        connection.send(b"GET / HTTP/1.1\r\n\r\n", results.append)
        connection.data_received(data)
        return connection, results

    async def test_status_that_http_does_not_have_breaks_the_exchange(self):
        """Below 100 it passed for an interim response, so that the caller waited to its time limit;
        from 600 on it reached the caller as an answer."""
        for status in INVALID:
            with self.subTest(status=status):
                connection, results = self.exchange(
                    f"HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n".encode()
                )
                self.assertEqual(len(results), 1)
                self.assertIsInstance(results[0], BrokenExchange)
                self.assertTrue(results[0].request_sent)
                self.assertFalse(connection.is_idle())

    async def test_usual_and_interim_statuses_are_still_read(self):
        """A check that is too strict would refuse 100 Continue or an unregistered status."""
        for status in (200, 299, 404, 599):
            with self.subTest(status=status):
                _, results = self.exchange(
                    b"HTTP/1.1 100 Continue\r\n\r\n"
                    + f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
                )
                self.assertEqual(results[0].status, status)

    async def test_charge_with_status_000_gets_an_indeterminate_answer(self):
        """The charge has run, so neither the status nor a promise may reach the caller."""
        for line in (b"HTTP/1.1 000 ", b"HTTP/1.1 777 Odd", b"HTTP/1.1 20 OK", b"HTTP/1.1 OK"):
            with self.subTest(line=line):
                async with PlatformTestbed() as testbed:
                    caller = await testbed.caller_of(
                        TargetStandIn("i-2", respond_with_status_line(line))
                    )
                    response = await caller.send_request("/charge/1", "r-1", method="POST")
                    self.assertEqual(response.status, 502)
                    self.assertEqual(len(testbed.targets[2].executions), 1)

    async def test_status_from_a_peer_is_checked(self):
        """A faulty node would pass the status on to a caller."""
        record = pack_reply(ForwardReplyMessage(9, ForwardedResponse(200, b"", b"x"), LOAD))
        for status in (0, 99, 100, 600, 65535):
            with self.subTest(status=status):
                changed = bytearray(record)
                struct.pack_into("<H", changed, 9, status)
                outcome = unpack_reply(bytes(changed)).outcome
                self.assertEqual(outcome, Unknown(Reason.INCOMPLETE_ANSWER, 0))

    async def test_target_of_the_products_own_interface_is_checked(self):
        """The other front end reads responses with a parser of its own."""

        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nno")

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            with self.assertRaises(aiohttp.ClientError):
                await post(
                    session,
                    URL(f"http://127.0.0.1:{port}/v1/x"),
                    b"x",
                    {},
                    aiohttp.ClientTimeout(total=5.0),
                    require_complete=True,
                )
        server.close()
