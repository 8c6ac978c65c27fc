"""Guards what is known of a call after its exchange with the target fails."""

import unittest

from jacinthsail.internal.adapters.target import call_target, new_session, says_draining_of
from jacinthsail.internal.commands.draining import record_health, record_stop
from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.draining import is_leaving
from jacinthsail.internal.queries.initial import initial_state
from tests.common.loopback import (
    RawServer,
    call_due_in,
    node_settings,
    start_server,
)

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbody"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nbody"
MALFORMED = b"not an answer\r\n\r\n"
REDIRECT = b"HTTP/1.1 307 Elsewhere\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TOO_LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + b"x" * 1048577


class TargetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.accepted = []
        self.session = new_session()
        self.addAsyncCleanup(self.session.close)

    async def call(self, answer, seconds=9, disabled=frozenset()):
        server, endpoint = await start_server(lambda: RawServer(self.accepted, answer=answer))
        self.addCleanup(server.close)
        settings = node_settings(disabled=disabled, target=endpoint)
        call = call_due_in(seconds)
        return await call_target(self.session, settings, call, call.head.deadline - 9)

    async def test_refused_connection_is_not_run(self):
        """A target that does not listen cannot have run the call."""
        call = call_due_in(9)
        outcome = await call_target(self.session, node_settings(), call, call.head.deadline - 9)
        self.assertEqual(outcome, NotRun(Reason.TARGET_UNREACHABLE, 2))

    async def test_closed_without_an_answer_is_unknown(self):
        """The target may have run the call before it closed the connection."""
        outcome = await self.call(lambda server: server.transport.close())
        self.assertEqual(outcome, Unknown(Reason.CONNECTION_LOST, 2))

    async def test_half_an_answer_is_unknown(self):
        """A caller must never get a part of an answer as the answer."""

        def answer(server):
            server.transport.write(HALF)
            server.transport.close()

        outcome = await self.call(answer)
        self.assertEqual(outcome, Unknown(Reason.INCOMPLETE_ANSWER, 2))
        disabled = frozenset({Mechanism.WHOLE_ANSWERS})
        without = await self.call(answer, disabled=disabled)
        self.assertEqual((type(without), without.body), (Answered, b"body"))

    async def test_answer_without_a_length_is_unknown(self):
        """The end of such an answer cannot be told from the death of the target."""

        def answer(server):
            server.transport.write(WITHOUT_LENGTH)
            server.transport.close()

        self.assertEqual(await self.call(answer), Unknown(Reason.INCOMPLETE_ANSWER, 2))

    async def test_malformed_answer_is_unknown(self):
        """The target may have run the call before it answered with something else than HTTP."""
        outcome = await self.call(lambda server: server.transport.write(MALFORMED))
        self.assertEqual(outcome, Unknown(Reason.CONNECTION_LOST, 2))

    async def test_redirect_is_the_answer(self):
        """Following a redirect would send a call again that may have run already."""
        outcome = await self.call(lambda server: server.transport.write(REDIRECT))
        self.assertEqual(outcome.status, 307)
        self.assertEqual(len(self.accepted), 1)
        self.assertEqual(self.accepted[0].received.count(b"POST "), 1)

    async def test_interim_answer_is_not_the_answer(self):
        """The caller would get an empty body, and the next call the answer to this one."""
        outcome = await self.call(lambda server: server.transport.write(CONTINUE + WHOLE))
        self.assertEqual((outcome.status, outcome.body), (200, b"body"))

    async def test_connection_is_used_again(self):
        """Opening a connection for each call would add its round trip to every call."""
        server, endpoint = await start_server(
            lambda: RawServer(self.accepted, answer=lambda each: each.transport.write(WHOLE))
        )
        self.addCleanup(server.close)
        settings = node_settings(target=endpoint)
        for _ in range(3):
            call = call_due_in(9)
            await call_target(self.session, settings, call, call.head.deadline - 9)
        self.assertEqual(len(self.accepted), 1)

    async def test_too_large_answer_is_unknown(self):
        """Such an answer would end a peer connection and the other calls on it."""
        outcome = await self.call(lambda server: server.transport.write(TOO_LARGE))
        self.assertEqual(outcome, Unknown(Reason.INCOMPLETE_ANSWER, 2))

    async def test_silent_target_connection_is_not_used_again(self):
        """The rest of a late answer must not become the answer to the next call."""
        answers = [HALF, WHOLE]

        def answer(server):
            server.transport.write(answers.pop(0))

        server, endpoint = await start_server(lambda: RawServer(self.accepted, answer=answer))
        self.addCleanup(server.close)
        settings = node_settings(target=endpoint)
        first = call_due_in(0.1)
        outcome = await call_target(self.session, settings, first, first.head.deadline - 0.1)
        self.assertEqual(outcome, Unknown(Reason.DEADLINE_EXPIRED, 2))
        second = call_due_in(9)
        outcome = await call_target(self.session, settings, second, second.head.deadline - 9)
        self.assertEqual(outcome.body, b"body")
        self.assertEqual(len(self.accepted), 2)

    async def test_without_proof_a_lost_call_is_called_not_run(self):
        """The negative control must show the false outcome that the proof prevents."""
        disabled = frozenset({Mechanism.NOT_RUN_PROOF})
        outcome = await self.call(lambda server: server.transport.close(), disabled=disabled)
        self.assertEqual(type(outcome), NotRun)


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.state = initial_state(node_settings(), "i1", 0.0, 0)

    def test_one_draining_answer_is_not_enough(self):
        """A health endpoint that lags or lies once must not empty a working target."""
        record_health(self.state["leaving"], True)
        self.assertFalse(is_leaving(self.state))
        record_health(self.state["leaving"], True)
        self.assertTrue(is_leaving(self.state))
        record_health(self.state["leaving"], False)
        self.assertFalse(is_leaving(self.state))

    def test_good_health_does_not_undo_a_stop(self):
        """A target that still says it is well must not get new work on a stopping VM."""
        record_stop(self.state["leaving"])
        record_health(self.state["leaving"], False)
        self.assertTrue(is_leaving(self.state))

    def test_health_answers(self):
        """Any other answer must not count as draining."""
        self.assertTrue(says_draining_of({"state": "draining"}))
        for answer in ({"state": "ok"}, {}, [], "draining", None):
            with self.subTest(answer=answer):
                self.assertFalse(says_draining_of(answer))
