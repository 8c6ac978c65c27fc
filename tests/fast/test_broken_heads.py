"""A target that stops in the middle of the head of its response and closes.

Operators of similar systems saw callers get a 200 with an empty or short body, framed as whole.
"""

import asyncio
import unittest

import aiohttp
from yarl import URL

from jacinthsail.internal.adapters.exchange import post
from jacinthsail.internal.adapters.http_client import HttpClientResponse
from jacinthsail.testing.platform_stand_ins import TargetStandIn, request_id_header
from tests.common.platform_testbed import PlatformTestbed

TIMEOUT_S = 60.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Response-Seal: s\r\n\r\n"


def response_head(request, framing):
    lines = request_id_header(request) + b"X-Response-Seal: s\r\n" + framing
    return b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"


class BrokenHeadsTest(unittest.IsolatedAsyncioTestCase):
    FRAMINGS = (b"Content-Length: 12\r\n", b"Transfer-Encoding: chunked\r\n", b"")

    async def play(self, start, is_reset, method):
        """Cut the head at each byte; return the cuts after which a caller got a success."""
        cut = 0
        framing = b""

        def behaviour(target, request, respond):
            if request.url.endswith(b"/whole"):
                respond(target.response_to(request))
                return
            transport = next(one for one in target.port.connections if one.pending).transport
            transport.write(start + response_head(request, framing)[:cut])
            if is_reset:
                transport.abort()
                return
            transport.close()

        successes = []
        cuts = 0
        async with asyncio.timeout(TIMEOUT_S), PlatformTestbed() as testbed:
            target = TargetStandIn("i-2", behaviour)
            caller = await testbed.caller_of(target)
            for framing in self.FRAMINGS:
                size = len(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r-0000\r\nX-Response-Seal: s\r\n\r\n")
                for cut in range(size + len(framing)):
                    cuts += 1
                    path = "/charge/" if method == "POST" else "/lookup/"
                    # A connection that has carried a whole response before is in another state.
                    await caller.send_request(f"{path}whole", "r-0001", method=method)
                    result = await caller.send_request(f"{path}cut", "r-0000", method=method)
                    self.assertIsInstance(result, HttpClientResponse)
                    if result.status < 300:
                        successes.append((framing, cut, result))
                    if result.headers and (b"connection", b"close") in result.headers:
                        caller = await testbed.caller(1)
        executed = [request for request in target.executions if request.url.endswith(b"/cut")]
        self.assertGreaterEqual(len(executed), cuts)
        return successes

    async def test_lookup(self):
        """The head arrives alone, and the connection ends."""
        self.assertEqual(await self.play(b"", is_reset=False, method="GET"), [])

    async def test_charge_and_reset(self):
        """The head arrives alone, and the connection is reset."""
        self.assertEqual(await self.play(b"", is_reset=True, method="POST"), [])

    async def test_charge_behind_an_interim_response(self):
        """The complete head of an interim response must not count for the one behind it."""
        self.assertEqual(await self.play(INTERIM, is_reset=False, method="POST"), [])

    async def test_call_on_the_products_own_interface(self):
        """The other front end reads responses with a parser of its own."""
        head = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n"
        cut = 0

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(1)
            writer.write(head[:cut])
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = URL(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/v1/x")
        async with asyncio.timeout(TIMEOUT_S), aiohttp.ClientSession() as session:
            for cut in range(len(head) + 1):
                with self.subTest(cut=cut), self.assertRaises(aiohttp.ClientError):
                    await post(
                        session, url, b"x", {}, aiohttp.ClientTimeout(), require_complete=True
                    )
        server.close()
