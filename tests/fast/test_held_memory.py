import asyncio
import unittest
from unittest import mock

from jacinthsail.internal.adapters import caller_connection
from jacinthsail.internal.adapters.caller_connection import (
    CallerConnection,
)
from jacinthsail.internal.adapters.caller_memory import CallerMemory
from jacinthsail.internal.adapters.http_messages import (
    HttpResponse,
    ServerLimits,
)
from jacinthsail.internal.adapters.http_server import (
    CallerServer,
)
from jacinthsail.internal.commands.held_memory import spend_pieces
from jacinthsail.internal.model.held_memory import HeldMemory, HolderView, MemoryLimits
from jacinthsail.internal.queries.held_memory import (
    MAX_PARSING_PAUSE_S,
    PIECES_PER_S,
    SMALL_REQUEST_BYTES,
    Holding,
    choose_eviction,
    max_caller_connections,
    max_peer_connections,
    may_send_framing,
    may_take_request,
    new_parsing_budget,
    parsing_pause_s,
)

LIMITS = ServerLimits(16 * 1024, 1 << 20, 3.0, 15.0)


class HeldMemoryTest(unittest.TestCase):
    """Load: clients that hold more memory together than a process can spare."""

    def test_largest_unfinished_request_goes_first(self):
        """Requests of ordinary callers would be refused for those of a few large ones."""
        views = [HolderView(10, 0), HolderView(0, 10**9), HolderView(50_000, 0)]
        self.assertEqual(choose_eviction(views), (2, Holding.INCOMPLETE_REQUEST))

    def test_unread_responses_go_before_small_requests(self):
        """Callers that never read would outlive ordinary callers whose request is arriving."""
        views = [HolderView(SMALL_REQUEST_BYTES, 0), HolderView(0, 10**6)]
        self.assertEqual(choose_eviction(views), (1, Holding.UNREAD_RESPONSES))

    def test_many_small_requests_are_given_up_too(self):
        """A crowd of unfinished small requests could hold any amount of memory."""
        self.assertEqual(choose_eviction([HolderView(9, 0)]), (0, Holding.INCOMPLETE_REQUEST))
        self.assertIsNone(choose_eviction([HolderView(0, 0)]))

    def test_small_requests_are_taken_while_large_ones_are_refused(self):
        """Ordinary callers would be refused while large requests run."""
        memory = HeldMemory(limit=1000, held=1100, evicted=0)
        self.assertTrue(may_take_request(memory, 100))
        self.assertFalse(may_take_request(memory, SMALL_REQUEST_BYTES + 1))
        memory["held"] = 1300
        self.assertFalse(may_take_request(memory, 100))
        memory["held"] = 1000
        self.assertTrue(may_take_request(memory, 10**6))

    def test_smallest_chunks_are_allowed(self):
        """A body in chunks of one byte is odd, but within the limits of the manifest."""
        self.assertTrue(may_send_framing(5 * 1000 + 5, 1000, 100))
        self.assertFalse(may_send_framing(9000, 1000, 100))

    def test_sockets_are_left_for_targets_and_peers(self):
        """The last descriptor would go to a caller, and the node could serve nobody."""
        limits = MemoryLimits(0, 1000)
        self.assertLess(max_caller_connections(limits) + max_peer_connections(limits), 1000)


class Transport(mock.Mock):
    """Records what is written; the kernel takes nothing while ``is_stuck``."""

    is_stuck = False

    def get_write_buffer_size(self):
        if not self.is_stuck:
            return 0
        return sum(len(call.args[0]) for call in self.write.call_args_list)


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Load: requests within the limits in unusual shapes, and those that go beyond."""

    def connect(self, memory=None, serve=None):
        self.served = []
        server = CallerServer(serve or self.serve, LIMITS, memory)
        connection = CallerConnection(server)
        transport = Transport(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        transport.get_write_buffer_size = lambda: Transport.get_write_buffer_size(transport)
        transport.is_stuck = False
        connection.connection_made(transport)
        return connection, transport

    def serve(self, request, respond):
        self.served.append(request)
        respond(HttpResponse(200, b"", b"ok"))

    def written(self, transport):
        return b"".join(call.args[0] for call in transport.write.call_args_list)

    async def test_single_request_with_very_many_header_lines_is_served(self):
        """A limit on the number of lines would refuse requests that the manifest allows."""
        connection, transport = self.connect()
        connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n" + b"ab:\r\n" * 3200 + b"\r\n")
        self.assertIn(b"200 OK", self.written(transport))
        self.assertEqual(connection.server.memory.memory["held"], 0)

    async def test_body_in_chunks_of_one_byte_is_served(self):
        """Each chunk has five bytes of framing, which must not count as hostile."""
        connection, transport = self.connect()
        connection.data_received(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(20_000):
            connection.data_received(b"1\r\nx\r\n")
        connection.data_received(b"0\r\n\r\n")
        self.assertEqual(self.served[0].body, b"x" * 20_000)
        self.assertIn(b"200 OK", self.written(transport))

    async def test_trailers_and_chunk_extensions_are_bounded(self):
        """They belong to neither the head nor the body, so no limit concerned them."""
        for line in (b"0\r\n" + b"ab: c\r\n" * 4000, b"1;" + b"x" * 20_000):
            with self.subTest(line=line[:4]):
                connection, transport = self.connect()
                connection.data_received(
                    b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                connection.data_received(line)
                self.assertIn(b" 400 ", self.written(transport))
                self.assertEqual(self.served, [])

    async def test_body_without_progress_is_refused(self):
        """A body that stopped just short of its end was kept for ever."""
        connection, transport = self.connect()
        connection.data_received(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12345678")
        now = connection.received_at
        connection.enforce_timeouts(now + LIMITS.idle_timeout_s)
        self.assertEqual(self.written(transport), b"")
        connection.enforce_timeouts(now + LIMITS.idle_timeout_s + 0.1)
        self.assertIn(b" 408 ", self.written(transport))
        self.assertEqual(connection.server.memory.memory["held"], 0)

    async def test_what_is_held_is_counted_and_released(self):
        """A counter that drifts would refuse everybody in the end, or nobody."""
        memory = CallerMemory(HeldMemory(limit=10**6, held=0, evicted=0), 10)
        waiting = []
        connection, transport = self.connect(
            memory, lambda request, respond: waiting.append(respond)
        )
        connection.data_received(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n")
        connection.data_received(b"x" * 4000)
        self.assertGreater(memory.memory["held"], 4000)
        connection.data_received(b"x" * 1000)
        self.assertGreater(memory.memory["held"], 5000)
        transport.is_stuck = True
        waiting[0](HttpResponse(200, b"", b"y" * 700))
        self.assertGreater(memory.memory["held"], 700)
        self.assertLess(memory.memory["held"], 1000)
        connection.connection_lost(None)
        self.assertEqual(memory.memory["held"], 0)

    async def test_crowd_of_large_requests_leaves_room_for_small_ones(self):
        """Ordinary callers would be refused while a crowd holds the memory."""
        memory = CallerMemory(HeldMemory(limit=300_000, held=0, evicted=0), 100)
        crowd = []
        for _ in range(10):
            crowd.append(self.connect(memory))
            crowd[-1][0].data_received(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + b"x" * 99_999
            )
        refused = [b" 503 " in self.written(transport) for _, transport in crowd]
        self.assertGreaterEqual(refused.count(True), 7)
        self.assertLessEqual(memory.memory["held"], 300_000)
        connection, transport = self.connect(memory)
        connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"200 OK", self.written(transport))

    async def test_connection_with_very_many_pieces_waits_for_its_turn(self):
        """300 clients with chunks of two bytes kept a node from all other work for minutes."""
        memory = CallerMemory(HeldMemory(limit=10**9, held=0, evicted=0), 100)
        connection, transport = self.connect(memory)
        connection.data_received(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        connection.data_received(b"1\r\nx\r\n" * 10_000)
        transport.pause_reading.assert_not_called()
        for _ in range(12):
            connection.data_received(b"1\r\nx\r\n" * 10_000)
        transport.pause_reading.assert_called()
        other, other_transport = self.connect(memory)
        other.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"200 OK", self.written(other_transport))
        other_transport.pause_reading.assert_not_called()

    def test_budget_of_pieces_fills_again(self):
        """A caller that waits would never be read again, or never have to wait."""
        budget = new_parsing_budget(100.0)
        spend_pieces(budget, int(1.5 * PIECES_PER_S), 100.0)
        self.assertAlmostEqual(parsing_pause_s(budget, 100.0), 0.5)
        self.assertEqual(parsing_pause_s(budget, 100.6), 0.0)
        spend_pieces(budget, 10**9, 101.0)
        self.assertEqual(parsing_pause_s(budget, 101.0), MAX_PARSING_PAUSE_S)

    async def test_idle_connection_makes_room_for_a_new_one(self):
        """Callers that connect and send nothing would keep all others out."""
        memory = CallerMemory(HeldMemory(limit=10**6, held=0, evicted=0), 2)
        first, first_transport = self.connect(memory)
        second, second_transport = self.connect(memory)
        second.data_received(b"GET / HTTP/1.1\r\n")
        third, third_transport = self.connect(memory)
        first_transport.close.assert_called_once()
        third.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"200 OK", self.written(third_transport))
        second_transport.close.assert_not_called()

    async def test_refusal_says_when_to_come_back(self):
        """Without Retry-After, refused callers come back at once."""
        self.assertIn(b"Retry-After: ", caller_connection.RETRY_LINE)
