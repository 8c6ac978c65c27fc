"""Bytes that a target sends behind a response must not become the head of the next response.

The request that the connection carries next would be taken as refused, and run twice.
"""

import asyncio
import unittest
import unittest.mock
from contextlib import suppress

import aiohttp
from yarl import URL

from jacinthsail.internal.adapters.exchange import post
from jacinthsail.internal.adapters.http_client import (
    BrokenExchange,
    HttpClientConnection,
    HttpClientResponse,
)
from jacinthsail.testing.platform_stand_ins import TargetStandIn, header_of
from tests.common.platform_testbed import PlatformTestbed

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: queue full\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PARSED_RESPONSE = HttpClientResponse(200, [(b"content-length", b"2")], b"ok")

# A request whose response was taken for that of another one waits for ever.
TIMEOUT_S = 10.0

# Long enough for bytes on loopback to reach the kernel of the receiver.
ARRIVAL_S = 0.05


class ScriptedPeer:
    """A server with one connection, which sends what a test tells it to."""

    async def __aenter__(self):
        self.timeout = asyncio.timeout(TIMEOUT_S)
        await self.timeout.__aenter__()
        self.accepted = asyncio.get_running_loop().create_future()
        self.server = await asyncio.start_server(
            lambda reader, writer: self.accepted.set_result(writer), "127.0.0.1", 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.idle_reports = []
        _, self.connection = await asyncio.get_running_loop().create_connection(
            lambda: HttpClientConnection(self.idle_reports.append, lambda _: None),
            "127.0.0.1",
            port,
        )
        self.writer = await self.accepted
        return self

    async def exchange(self):
        """Carry one request and its whole response."""
        result = self.send()
        self.writer.write(RESPONSE)
        await result

    async def __aexit__(self, *error):
        self.connection.abort()
        self.writer.transport.abort()
        self.server.close()
        return await self.timeout.__aexit__(*error)

    def send(self, request=REQUEST):
        """Send a request; return the future of its result."""
        result = asyncio.get_running_loop().create_future()
        self.connection.send(request, result.set_result)
        return result


class UnaskedBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_next_request_is_not_sent_behind_a_part_of_a_response(self):
        """Bytes in the same read were parsed after the connection had carried the next request."""
        for kept in range(1, len(REJECTION) + 1):
            with self.subTest(bytes_behind=kept):
                async with ScriptedPeer() as peer:
                    first = peer.send()
                    peer.writer.write(RESPONSE + REJECTION[:kept])
                    self.assertEqual((await first).body, b"ok")
                    self.assertEqual(peer.idle_reports, [])
                    self.assertFalse(peer.connection.is_idle())

    async def test_response_before_further_bytes_is_delivered(self):
        """The bytes behind a response take nothing from it."""
        for extra in (b"\x00", b"garbage", RESPONSE, REJECTION, b"HTTP/1.1 101 X\r\n\r\n"):
            with self.subTest(extra=extra):
                async with ScriptedPeer() as peer:
                    first = peer.send()
                    peer.writer.write(RESPONSE + extra)
                    self.assertEqual(await first, PARSED_RESPONSE)
                    self.assertEqual(peer.idle_reports, [])

    async def test_bytes_in_the_kernel_before_a_request_are_not_its_response(self):
        """Bytes that the event loop had not read yet were taken for the next response."""
        for extra in (b"\r", b"H", REJECTION[:50], RESPONSE):
            with self.subTest(extra=extra):
                async with ScriptedPeer() as peer:
                    await peer.exchange()
                    peer.connection.transport.pause_reading()
                    peer.writer.write(extra)
                    await self.assert_next_request_is_not_sent(peer)

    async def test_bytes_of_a_new_connection_are_not_a_response(self):
        """A target that writes before it is asked answers no request."""
        async with ScriptedPeer() as peer:
            peer.connection.transport.pause_reading()
            peer.writer.write(RESPONSE)
            await self.assert_next_request_is_not_sent(peer)

    async def test_connection_that_has_ended_carries_no_request(self):
        """A request on it would be lost, though it can still be sent on another connection."""
        async with ScriptedPeer() as peer:
            await peer.exchange()
            peer.connection.transport.pause_reading()
            peer.writer.close()
            await self.assert_next_request_is_not_sent(peer)

    async def assert_next_request_is_not_sent(self, peer):
        await asyncio.sleep(ARRIVAL_S)
        result = await peer.send()
        self.assertIsInstance(result, BrokenExchange)
        self.assertFalse(result.request_sent)


class BurstOfChargesTest(unittest.IsolatedAsyncioTestCase):
    """Load: more charges than slots, at a target that adds bytes to every third response."""

    CHARGES = 10
    WORK_S = 0.02

    async def play(self, add_bytes):
        """Send the charges; return the status of each id, and the ids in the order they ran."""
        loop = asyncio.get_running_loop()
        answered = 0

        def behaviour(target, request, respond):
            connection = next(
                one
                for one in target.port.connections
                if one.pending and one.pending[-1].respond == respond
            )
            loop.call_later(self.WORK_S, answer, target, request, respond, connection.transport)

        def answer(target, request, respond, transport):
            nonlocal answered
            answered += 1
            respond(target.response_to(request))
            if answered % 3 == 0:
                add_bytes(transport)

        async with asyncio.timeout(TIMEOUT_S), PlatformTestbed() as testbed:
            target = TargetStandIn("i-2", behaviour)
            await testbed.caller_of(target, slots=2)
            statuses = await asyncio.gather(
                *(self.charge(testbed, f"r-{number}") for number in range(self.CHARGES))
            )
            executed = [header_of(request, b"x-attempt-id") for request in target.executions]
            return dict(statuses), executed

    async def charge(self, testbed, request_id):
        caller = await testbed.caller(1)
        response = await caller.send_request(f"/charge/{request_id}", request_id, method="POST")
        return request_id, response.status

    async def test_charges_run_once_beside_a_part_of_a_rejection(self):
        """The queued request behind the bytes was taken as refused, and was sent once more."""
        statuses, executed = await self.play(lambda transport: transport.write(REJECTION[:60]))
        self.assertEqual(sorted(executed), sorted(statuses))
        self.assertEqual(set(statuses.values()), {200})


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_behind_a_part_of_a_response_get_their_own(self):
        """The other front end has a parser of its own, which must not join the two either."""

        async def serve(reader, writer):
            with suppress(asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(1)
                    writer.write(RESPONSE + REJECTION[:60])

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = URL(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/v1/x")
        async with asyncio.timeout(TIMEOUT_S), aiohttp.ClientSession() as session:
            for _ in range(3):
                response = await post(
                    session, url, b"x", {}, aiohttp.ClientTimeout(), require_complete=True
                )
                self.assertEqual((response.status, response.body), (200, b"ok"))
        server.close()


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_charge_takes_another_connection_if_one_holds_bytes(self):
        """The charge was not sent there, so its caller must not get an error for it."""
        async with asyncio.timeout(TIMEOUT_S), PlatformTestbed() as testbed:
            target = TargetStandIn("i-2")
            await testbed.add_target(2, target)
            node = await testbed.add_node(2, service="seals")
            await testbed.wait_until_listed(1)
            caller = await testbed.caller(2)
            first = await caller.send_request("/charge/1", "r-1", method="POST")
            (connection,) = node.local_target.idle
            connection.transport.pause_reading()
            for server_side in target.port.connections:
                server_side.transport.write(REJECTION[:60])
            await asyncio.sleep(ARRIVAL_S)
            second = await caller.send_request("/charge/2", "r-2", method="POST")
            self.assertEqual((first.status, second.status), (200, 200))
            self.assertFalse(connection.is_idle())
            self.assertEqual(len(target.executions), 2)


class MergedHeadsTest(unittest.IsolatedAsyncioTestCase):
    """A head that breaks off, with the next response behind it, after the request was written."""

    LINES = (
        b"X-Attempt-Id: r-1\r\nX-Not-Executed: 1\r\nX-Response-Seal: s\r\nX-Server-Load: 3,0,8\r\n"
    )

    async def test_head_that_breaks_off_gives_nothing_to_the_next_response(self):
        """Its status would be told to the caller: a refusal for a request that ran, or a success
        for one that failed."""
        rejection = b"HTTP/1.1 503 Service Unavailable\r\n" + self.LINES
        success = b"HTTP/1.1 200 OK\r\n" + self.LINES
        failure = b"HTTP/1.1 500 Failed\r\nX-Attempt-Id: r-2\r\nContent-Length: 2\r\n\r\nno"
        for head, response, status in ((rejection, RESPONSE, 200), (success, failure, 500)):
            for kept in range(1, len(head) + 1):
                for split in (len(head), kept // 2 + 1, kept + 2):
                    with self.subTest(status=status, kept=kept, split=split):
                        result = await self.receive(head[:kept] + response, split)
                        self.assertTrue(isinstance(result, BrokenExchange))

    async def receive(self, received, split):
        results = []
        connection = HttpClientConnection(lambda _: None, lambda _: None)
        connection.connection_made(unittest.mock.Mock(spec=asyncio.Transport))
        connection.transport.is_closing.return_value = False
        connection.transport.get_extra_info.return_value = None
        connection.send(REQUEST, results.append)
        for part in (received[:split], received[split:]):
            connection.data_received(part)
        connection.connection_lost(None)
        return results[0]

    async def test_charge_behind_a_late_part_of_a_rejection_runs_once(self):
        """The charge read as refused, ran 14 times, and its caller was told that it had not run."""

        def behaviour(target, request, respond):
            transport = next(one for one in target.port.connections if one.pending).transport
            transport.write(REJECTION[:60])
            respond(target.response_to(request))

        async with asyncio.timeout(TIMEOUT_S), PlatformTestbed() as testbed:
            target = TargetStandIn("i-2", behaviour)
            caller = await testbed.caller_of(target)
            response = await caller.send_request("/charge/1", "r-1", method="POST")
            self.assertEqual(response.status, 502)
            self.assertEqual(len(target.executions), 1)
