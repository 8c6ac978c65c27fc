"""Tests the outcomes of calls whose exchange with the target fails, and target draining."""

import asyncio
import unittest
from contextlib import suppress

import aiohttp

from jacinthsail.internal.adapters.target import (
    TargetHealth,
    call_target,
    new_session,
    reports_draining,
)
from jacinthsail.internal.commands.draining import record_health, record_stop
from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.settings import Endpoint, Mechanism
from jacinthsail.internal.queries.draining import should_drain
from jacinthsail.internal.queries.initial import initial_state
from tests.common.loopback import (
    RawServer,
    call_with_deadline_in,
    node_settings,
    start_server,
)

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbody"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nbody"
MALFORMED = b"not an answer\r\n\r\n"
REDIRECT = b"HTTP/1.1 307 Elsewhere\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# The bound of a response, and what the buffers of the sockets may hold.
SENT_AT_MOST_BYTES = 16 * 1024 * 1024
TOO_LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + b"x" * 1048577


class TargetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.accepted = []
        self.session = new_session()
        self.addAsyncCleanup(self.session.close)

    async def call(self, respond, seconds=9, disabled=frozenset()):
        server, endpoint = await start_server(lambda: RawServer(self.accepted, respond=respond))
        self.addCleanup(server.close)
        settings = node_settings(disabled=disabled, target=endpoint)
        call = call_with_deadline_in(seconds)
        return await call_target(self.session, settings, call, call.context.deadline - 9)

    async def test_refused_connection_is_not_run(self):
        """A target that does not listen cannot have executed the call."""
        call = call_with_deadline_in(9)
        outcome = await call_target(self.session, node_settings(), call, call.context.deadline - 9)
        self.assertEqual(outcome, NotRun(Reason.TARGET_UNREACHABLE, 2))

    async def test_close_without_a_response_is_unknown(self):
        """The target may have executed the call before it closed the connection."""
        outcome = await self.call(lambda server: server.transport.close())
        self.assertEqual(outcome, Unknown(Reason.CONNECTION_LOST, 2))

    async def test_truncated_response_is_unknown(self):
        """A caller must never get a truncated response as a complete one."""

        def respond(server):
            server.transport.write(TRUNCATED)
            server.transport.close()

        outcome = await self.call(respond)
        self.assertEqual(outcome, Unknown(Reason.INCOMPLETE_ANSWER, 2))
        disabled = frozenset({Mechanism.WHOLE_ANSWERS})
        without = await self.call(respond, disabled=disabled)
        self.assertEqual((type(without), without.body), (Answered, b"body"))

    async def test_response_without_a_length_is_unknown(self):
        """The end of such a response cannot be distinguished from a crash of the target."""

        def respond(server):
            server.transport.write(WITHOUT_LENGTH)
            server.transport.close()

        self.assertEqual(await self.call(respond), Unknown(Reason.INCOMPLETE_ANSWER, 2))

    async def test_malformed_response_is_unknown(self):
        """The target may have executed the call before it sent something other than HTTP."""
        outcome = await self.call(lambda server: server.transport.write(MALFORMED))
        self.assertEqual(outcome, Unknown(Reason.CONNECTION_LOST, 2))

    async def test_redirect_is_returned(self):
        """Following a redirect would retry a call that may already have been executed."""
        outcome = await self.call(lambda server: server.transport.write(REDIRECT))
        self.assertEqual(outcome.status, 307)
        self.assertEqual(len(self.accepted), 1)
        self.assertEqual(self.accepted[0].received.count(b"POST "), 1)

    async def test_interim_response_is_skipped(self):
        """Otherwise the caller would get an empty body, and the next call this call's response."""
        outcome = await self.call(lambda server: server.transport.write(CONTINUE + COMPLETE))
        self.assertEqual((outcome.status, outcome.body), (200, b"body"))

    async def test_connection_is_reused(self):
        """Opening a connection for each call would add its round trip to every call."""
        server, endpoint = await start_server(
            lambda: RawServer(self.accepted, respond=lambda each: each.transport.write(COMPLETE))
        )
        self.addCleanup(server.close)
        settings = node_settings(target=endpoint)
        for _ in range(3):
            call = call_with_deadline_in(9)
            await call_target(self.session, settings, call, call.context.deadline - 9)
        self.assertEqual(len(self.accepted), 1)

    async def test_too_large_response_is_unknown(self):
        """Such a response would close a peer connection and fail the other calls on it."""
        outcome = await self.call(lambda server: server.transport.write(TOO_LARGE))
        self.assertEqual(outcome, Unknown(Reason.INCOMPLETE_ANSWER, 2))

    async def test_response_without_an_end_is_not_read_on(self):
        """The node kept all of it, 450 MB in a second, until the deadline of the call."""
        server, endpoint, sent = await self.start_endless_server()
        settings = node_settings(target=endpoint)
        call = call_with_deadline_in(9)
        outcome = await call_target(self.session, settings, call, call.context.deadline - 9)
        server.close()
        self.assertEqual(outcome, Unknown(Reason.INCOMPLETE_ANSWER, 2))
        self.assertLess(sum(sent), SENT_AT_MOST_BYTES)

    async def test_health_response_without_an_end_is_not_read_on(self):
        """The poll kept what arrived within its timeout, hundreds of megabytes."""
        server, endpoint, sent = await self.start_endless_server()
        health = TargetHealth(
            self.session, endpoint, initial_state(node_settings(), "i1", 0.0, 0)["drain"]
        )
        with self.assertRaises(aiohttp.ClientPayloadError):
            await health._fetch_health()
        server.close()
        self.assertLess(sum(sent), SENT_AT_MOST_BYTES)

    async def start_endless_server(self):
        """Return a server, its endpoint and the sizes of what it has sent."""
        sent = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            with suppress(ConnectionError):
                while not writer.is_closing():
                    writer.write(b"8000\r\n" + b"a" * 0x8000 + b"\r\n")
                    sent.append(0x8000)
                    await writer.drain()
                    await asyncio.sleep(0)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server, Endpoint("127.0.0.1", server.sockets[0].getsockname()[1]), sent

    async def test_silent_target_connection_is_not_reused(self):
        """The rest of a late response must not become the response to the next call."""
        responses = [TRUNCATED, COMPLETE]

        def respond(server):
            server.transport.write(responses.pop(0))

        server, endpoint = await start_server(lambda: RawServer(self.accepted, respond=respond))
        self.addCleanup(server.close)
        settings = node_settings(target=endpoint)
        first = call_with_deadline_in(0.1)
        outcome = await call_target(self.session, settings, first, first.context.deadline - 0.1)
        self.assertEqual(outcome, Unknown(Reason.DEADLINE_EXPIRED, 2))
        second = call_with_deadline_in(9)
        outcome = await call_target(self.session, settings, second, second.context.deadline - 9)
        self.assertEqual(outcome.body, b"body")
        self.assertEqual(len(self.accepted), 2)

    async def test_without_proof_a_lost_call_is_reported_not_run(self):
        """Negative control: without the proof, a lost call gets the false outcome not-run."""
        disabled = frozenset({Mechanism.NOT_RUN_PROOF})
        outcome = await self.call(lambda server: server.transport.close(), disabled=disabled)
        self.assertEqual(type(outcome), NotRun)


class DrainingTest(unittest.TestCase):
    def setUp(self):
        self.state = initial_state(node_settings(), "i1", 0.0, 0)

    def test_one_draining_report_is_not_enough(self):
        """One late or wrong health report must not drain a working target."""
        record_health(self.state["drain"], True)
        self.assertFalse(should_drain(self.state))
        record_health(self.state["drain"], True)
        self.assertTrue(should_drain(self.state))
        record_health(self.state["drain"], False)
        self.assertFalse(should_drain(self.state))

    def test_healthy_report_does_not_undo_a_stop(self):
        """A target that still reports healthy must not get new calls on a stopping VM."""
        record_stop(self.state["drain"])
        record_health(self.state["drain"], False)
        self.assertTrue(should_drain(self.state))

    def test_health_responses(self):
        """Only the state ``draining`` may count as draining."""
        self.assertTrue(reports_draining({"state": "draining"}))
        for response in ({"state": "ok"}, {}, [], "draining", None):
            with self.subTest(response=response):
                self.assertFalse(reports_draining(response))
