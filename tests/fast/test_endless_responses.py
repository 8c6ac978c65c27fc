"""Tests that bytes without an end from a target are neither held nor waited for."""

import asyncio
import tracemalloc
import unittest
from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.adapters.http_client import (
    MAX_BYTES_WITHOUT_BODY,
    MAX_HEADERS,
    MAX_HELD_BYTES,
    MAX_RESPONSE_BYTES,
    MAX_SKIPPED_RESPONSES,
    BrokenExchange,
    HeldBytes,
    HttpClientConnection,
    HttpClientResponse,
)

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=400)

BLOCK = 64 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# What a connection holds beside the body that it counts: a head, the parser and the last block.
FIXED_COST_BYTES = 512 * 1024

# Several times the largest number of bytes that may be received before the exchange fails.
TOO_MANY_BLOCKS = 4 * MAX_RESPONSE_BYTES // BLOCK


class RecordingTransport:
    """A transport without a socket."""

    def __init__(self):
        self.closed = False

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.closed

    def write(self, data):
        pass

    def close(self):
        self.closed = True

    abort = close


def connect(held=None, matches=None):
    """Return a connection that awaits a response, and the list of its results."""
    connection = HttpClientConnection(lambda _: None, lambda _: None, held)
    connection.connection_made = partial(setattr, connection, "transport")
    connection.connection_made(RecordingTransport())
    results = []
    connection.send(b"GET / HTTP/1.1\r\n\r\n", results.append, matches)
    return connection, results


class EndlessResponsesTest(unittest.IsolatedAsyncioTestCase):
    def feed(self, connection, start, block):
        """Feed blocks until the connection is closed; return how many bytes it took."""
        connection.data_received(start)
        fed = 0
        for _ in range(TOO_MANY_BLOCKS):
            if connection.transport.closed:
                break
            connection.data_received(block)
            fed += len(block)
        return fed

    async def test_each_part_of_a_response_is_bounded(self):
        """A target that never ends its response would exhaust the memory of its node."""
        without_body = 2 * MAX_BYTES_WITHOUT_BODY + BLOCK
        cases = {
            "one header line": (OK + b"A: ", b"a" * BLOCK, without_body),
            "many header lines": (OK, b"A: b\r\n" * (BLOCK // 6), without_body),
            "status line": (b"HTTP/1.1 200 ", b"a" * BLOCK, without_body),
            "chunk size": (CHUNKED, b"0" * BLOCK, without_body),
            "chunk extension": (CHUNKED + b"1;a=", b"a" * BLOCK, without_body),
            "trailer": (CHUNKED + b"0\r\nA: ", b"a" * BLOCK, without_body),
            "many trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * (BLOCK // 6), without_body),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100, without_body),
            "body until the end": (OK + b"\r\n", b"a" * BLOCK, MAX_RESPONSE_BYTES + BLOCK),
            "body with a length": (
                OK + b"Content-Length: 99999999999\r\n\r\n",
                b"a" * BLOCK,
                MAX_RESPONSE_BYTES + BLOCK,
            ),
            "chunks": (CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n", MAX_RESPONSE_BYTES + BLOCK),
        }
        for name, (start, block, most) in cases.items():
            with self.subTest(name):
                connection, results = connect()
                fed = self.feed(connection, start, block)
                self.assertTrue(connection.transport.closed)
                self.assertLessEqual(fed, most)
                self.assertIsInstance(results[0], BrokenExchange)
                self.assertTrue(results[0].request_sent)
                self.assertEqual(len(results), 1)
                self.assertEqual(connection.held["total"], 0)

    async def test_responses_to_other_requests_are_bounded(self):
        """A connection that sends only responses to other requests would be read for ever."""
        connection, results = connect(matches=lambda response: False)
        self.feed(connection, b"", (OK + b"Content-Length: 1\r\n\r\na"))
        self.assertIsInstance(results[0], BrokenExchange)
        self.assertLessEqual(connection.skipped, MAX_SKIPPED_RESPONSES + 1)

    async def test_all_connections_together_are_bounded(self):
        """Fifty responses without an end would exhaust a VM, each within its own bound."""
        held = HeldBytes(total=0)
        pairs = [connect(held) for _ in range(50)]
        for connection, _ in pairs:
            connection.data_received(OK + b"\r\n")
        most = 0
        for _ in range(MAX_RESPONSE_BYTES // BLOCK):
            for connection, _ in pairs:
                if not connection.transport.closed:
                    connection.data_received(b"a" * BLOCK)
                most = max(most, held["total"])
        self.assertLessEqual(most, MAX_HELD_BYTES)
        for connection, _ in pairs:
            connection.abort()
        self.assertEqual(held["total"], 0)

    async def test_body_costs_the_memory_that_is_counted(self):
        """An object for each chunk cost 20 times the bytes that were counted, and ended nodes."""
        for size in (1, 2, 16, 1024):
            with self.subTest(chunk_bytes=size):
                connection, _ = connect()
                chunk = b"%x\r\n" % size + b"a" * size + b"\r\n"
                block = chunk * (BLOCK // len(chunk))
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                connection.data_received(CHUNKED)
                for _ in range(32):
                    connection.data_received(block)
                held, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertGreater(connection.held["total"], 0)
                self.assertLess(held, 2 * connection.held["total"] + FIXED_COST_BYTES)

    async def test_largest_usual_head_is_accepted(self):
        """Bounds that reject a usual response would make its target useless."""
        connection, results = connect()
        lines = b"".join(b"A-%d: %s\r\n" % (n, b"x" * 100) for n in range(MAX_HEADERS - 10))
        connection.data_received(OK + lines + b"Content-Length: 2\r\n\r\nok")
        self.assertEqual(results[0].body, b"ok")


class ResponseBytesTest(unittest.TestCase):
    @DETERMINISTIC
    @given(
        st.integers(0, 200),
        st.sampled_from(
            (b"Content-Length: 5\r\n\r\nhello", CHUNKED[len(OK) :] + b"5\r\nhello\r\n0\r\n\r\n")
        ),
        st.lists(st.integers(1, 12), max_size=20),
    )
    def test_response_cut_at_any_byte_is_not_complete(self, kept, rest, sizes):
        """A caller would take half of a response for a success."""

        async def receive():
            connection, results = connect()
            received = (OK + rest)[:kept]
            position = 0
            for size in [*sizes, len(received)]:
                if received[position : position + size]:
                    connection.data_received(received[position : position + size])
                position += size
            if not connection.transport.closed:
                connection.eof_received()
                connection.connection_lost(None)
            return results

        (result,) = asyncio.run(receive())
        self.assertEqual(isinstance(result, HttpClientResponse), kept >= len(OK + rest))

    @DETERMINISTIC
    @given(st.lists(st.binary(max_size=40) | st.sampled_from((OK, CHUNKED, b"\r\n")), max_size=8))
    def test_arbitrary_bytes_never_raise(self, blocks):
        """An exception of the parser would end the task that reads from the target."""

        async def receive():
            connection, results = connect()
            for block in blocks:
                if block and not connection.transport.closed:
                    connection.data_received(block)
            return results

        self.assertLessEqual(len(asyncio.run(receive())), 1)
