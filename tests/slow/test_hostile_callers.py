"""Callers and targets that nobody controls must not end a node or stop it from serving others.

Each test runs alone: the suite starts them one after the other when all others have ended.
"""

import asyncio
import struct
import tempfile
import unittest
from pathlib import Path

from jacinthsail.testing.hostile_callers import (
    MAX_BODY_BYTES,
    MAX_DESCRIPTORS,
    MAX_HEADER_BYTES,
    MEMORY_MB,
    METRICS_PORT,
    PEERS_PORT,
    READY_PORT,
    Crowd,
    HostileDeployment,
    head,
)
from jacinthsail.testing.platform_stand_ins import respond_immediately

# Descriptors that a node keeps for targets, peers, the store and its own ports.
RESERVED_DESCRIPTORS = 50

MEGABYTE = 1024 * 1024


def short_header_lines(size):
    # The interpreter shares objects of a single byte, so names of two bytes cost more memory.
    return b"ab:\r\n" * (size // 5)


def unfinished_head():
    start = head()
    return [start + short_header_lines(MAX_HEADER_BYTES - len(start) - 256)]


def odd_head_then_unfinished_body():
    start = head("Content-Length: 100")
    lines = b"".join(b"%c%c:\t\r\n" % (97 + n % 26, 97 + n // 26 % 26) for n in range(2600))
    return [start + lines + b"\r\n9"]


def head_in_single_bytes():
    return [b"%c" % byte for byte in head()] + [short_header_lines(15_000)]


def endless_trailers():
    start = head("Transfer-Encoding: chunked") + b"\r\n1\r\nx\r\n0\r\n"
    return [start, *[b"ab: c\r\n" * 9000] * 260]


def endless_chunk_extension():
    return [head("Transfer-Encoding: chunked") + b"\r\n1;", *[b"x" * MEGABYTE] * 16]


def whole_body_short_of_its_end():
    return [head(f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n" + bytes(MAX_BODY_BYTES - 1)]


def body_in_small_pieces():
    pieces = b"2\r\nab\r\n" * (MEGABYTE // 2)
    return [head("Transfer-Encoding: chunked") + b"\r\n", pieces]


def complete_bodies():
    body = bytes(MAX_BODY_BYTES)
    return [head(f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n" + body] * 2


def pipelined_requests():
    return [(head("Content-Length: 1") + b"\r\nx") * 200]


def nothing():
    return []


def unfinished_frame():
    return [struct.pack("<I", 16 * MEGABYTE) + bytes(16 * MEGABYTE - 1)]


ENDLESS_URL = b"/charge/endless"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

# Well beyond the time limit of the crowd, at which the node gives up its requests.
FLOOD_TIMEOUT_S = 60.0


def request_of_endless_response():
    path = ENDLESS_URL.decode("ascii")
    return [head("X-Deadline-Ms: 5000", "Content-Length: 0", path=path) + b"\r\n"]


def respond_with_large_body(target, request, respond):
    size = 1 if request.url == b"/charge/1" else 256 * 1024
    respond(target.response_to(request, body=bytes(size)))


def never_respond_to_large_bodies(target, request, respond):
    if len(request.body) < MEGABYTE:
        respond(target.response_to(request))


class HostileTest(unittest.TestCase):
    """Plays a crowd, and checks that the node lives within its limits and answers others."""

    def assert_survives(self, *crowds, behaviour=respond_immediately):
        asyncio.run(self.play(crowds, behaviour))

    async def play(self, crowds, behaviour):
        with tempfile.TemporaryDirectory(prefix="jacinthsail-hostile-") as folder:
            async with HostileDeployment(Path(folder), behaviour) as deployment:
                await deployment.send_crowds(*crowds)
                await self.wait_for_target(deployment)
                status = await deployment.answer_to_ordinary_caller()
                log = (Path(folder) / "node.log").read_text(encoding="utf-8")
                self.assertTrue(deployment.is_alive(), log[-2000:])
                self.assertLess(deployment.peak_memory_mb(), MEMORY_MB)
                self.assertLess(deployment.descriptors(), MAX_DESCRIPTORS - RESERVED_DESCRIPTORS)
                self.assertEqual(status, 200)
                self.assertNotIn("Traceback", log)

    async def wait_for_target(self, deployment):
        """Wait until the target has done what the crowd asked it to."""


class HostileCallersTest(HostileTest):
    """Load: a crowd of callers that send as much as they may, slowly or never to the end."""

    def test_heads_of_short_lines(self):
        """Each line costs an object of many times its size."""
        self.assert_survives(Crowd(240, unfinished_head))

    def test_odd_heads_with_unfinished_bodies(self):
        """The headers were kept for as long as the body took."""
        self.assert_survives(Crowd(240, odd_head_then_unfinished_body))

    def test_heads_in_single_bytes(self):
        """Each byte arrives as a piece of its own."""
        self.assert_survives(Crowd(240, head_in_single_bytes))

    def test_trailers_without_end(self):
        """Trailers were kept as headers, past every limit."""
        self.assert_survives(Crowd(10, endless_trailers))

    def test_chunk_extension_without_end(self):
        """A line between chunks belongs to no limit of heads or bodies."""
        self.assert_survives(Crowd(10, endless_chunk_extension))

    def test_whole_bodies_short_of_their_end(self):
        """Bodies of legal size were kept without a bound on all of them together."""
        self.assert_survives(Crowd(60, whole_body_short_of_its_end))

    def test_bodies_in_small_pieces(self):
        """Each piece of a body was an object of its own."""
        self.assert_survives(Crowd(12, body_in_small_pieces))

    def test_complete_bodies_at_once(self):
        """Each body that runs is held, and its copies for the target."""
        self.assert_survives(Crowd(40, complete_bodies), behaviour=never_respond_to_large_bodies)

    def test_responses_that_are_never_read(self):
        """Responses to pipelined requests were kept until the caller reads them."""
        self.assert_survives(Crowd(40, pipelined_requests), behaviour=respond_with_large_body)

    def test_connections_without_a_byte(self):
        """The last descriptor went to a caller, and none was left for targets and the store."""
        self.assert_survives(Crowd(MAX_DESCRIPTORS + 100, nothing))

    def test_unfinished_frames_at_the_port_of_peers(self):
        """Whoever reaches the port of peers can announce a frame of 20 MB."""
        self.assert_survives(Crowd(10, unfinished_frame, PEERS_PORT))

    def test_bodies_at_the_ports_of_readiness_and_metrics(self):
        """These ports had the largest limits of all, since no manifest concerns them."""
        self.assert_survives(
            Crowd(10, whole_body_short_of_its_end, READY_PORT),
            Crowd(10, whole_body_short_of_its_end, METRICS_PORT),
        )

    def test_all_of_them_at_once(self):
        """The bounds of the single kinds must hold together."""
        self.assert_survives(
            Crowd(30, unfinished_head),
            Crowd(30, odd_head_then_unfinished_body),
            Crowd(3, endless_trailers),
            Crowd(3, endless_chunk_extension),
            Crowd(20, whole_body_short_of_its_end),
            Crowd(4, body_in_small_pieces),
            Crowd(10, pipelined_requests),
            Crowd(50, nothing),
            behaviour=respond_with_large_body,
        )


class EndlessResponse:
    """Behaviour of a target that answers the requests of a crowd without an end."""

    def __init__(self, start, block):
        self.start = start
        self.block = block
        self.tasks = {}

    def __call__(self, target, request, respond):
        if request.url != ENDLESS_URL:
            respond(target.response_to(request))
            return
        connection = next(
            one for one in target.port.connections if one.pending and one not in self.tasks
        )
        self.tasks[connection] = asyncio.create_task(self.send(connection.transport))

    async def send(self, transport):
        transport.write(self.start)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < len(self.block):
                transport.write(self.block)
            await asyncio.sleep(0.001)


class HostileTargetsTest(HostileTest):
    """Load: a target that answers some of its requests with bytes without an end."""

    def assert_survives_response(self, start, block):
        self.behaviour = EndlessResponse(start, block)
        self.assert_survives(Crowd(16, request_of_endless_response), behaviour=self.behaviour)

    async def wait_for_target(self, deployment):
        async with asyncio.timeout(FLOOD_TIMEOUT_S):
            while not self.behaviour.tasks or not all(
                task.done() for task in self.behaviour.tasks.values()
            ):
                await asyncio.sleep(0.1)

    def test_body_in_small_chunks(self):
        """Each chunk of two bytes was kept as an object of its own."""
        self.assert_survives_response(CHUNKED_HEAD, b"2\r\nab\r\n" * 8192)

    def test_body_in_large_chunks(self):
        """The bound on all bodies together must hold where a few reads reach it."""
        self.assert_survives_response(CHUNKED_HEAD, b"8000\r\n" + b"a" * 0x8000 + b"\r\n")

    def test_head(self):
        """Header lines without an end must not be kept."""
        self.assert_survives_response(b"HTTP/1.1 200 OK\r\n", b"ab: c\r\n" * 8192)
