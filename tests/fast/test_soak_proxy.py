"""Tests the proxy of the fault soak: one that disturbs nothing would let every run pass."""

import asyncio
import unittest

from jacinthsail.testing.soak_proxy import Direction, LinkProxy

HOST = "127.7.9.1"
SERVER_PORT = 18320
PROXY_PORT = 18321

DELAY_S = 0.05
HELD_S = 0.2


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


class LinkProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.writers = []
        self.server = await asyncio.start_server(echo, HOST, SERVER_PORT)
        self.proxy = LinkProxy((HOST, SERVER_PORT), DELAY_S)
        await self.proxy.listen(HOST, PROXY_PORT)

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(2 * DELAY_S)
        self.proxy.close()
        self.server.close()
        await asyncio.sleep(DELAY_S)

    async def connect(self):
        reader, writer = await asyncio.open_connection(HOST, PROXY_PORT)
        self.writers.append(writer)
        return reader, writer

    async def exchange(self, reader, writer, data=b"data"):
        """Send bytes, and return how long their echo took."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        writer.write(data)
        self.assertEqual(await asyncio.wait_for(reader.readexactly(len(data)), 3.0), data)
        return loop.time() - started

    async def test_bytes_are_delayed_in_both_directions(self):
        """Messages that cross on their way are not seen without a delay."""
        self.assertGreaterEqual(await self.exchange(*await self.connect()), 2 * DELAY_S)

    async def test_many_bytes_arrive_in_order(self):
        data = bytes(range(256)) * 4000
        await self.exchange(*await self.connect(), data)

    async def test_held_bytes_arrive_later(self):
        reader, writer = await self.connect()
        await self.exchange(reader, writer)
        for direction in Direction:
            with self.subTest(direction=direction):
                self.proxy.set_held(direction, True)
                loop = asyncio.get_running_loop()
                loop.call_later(HELD_S, self.proxy.set_held, direction, False)
                self.assertGreaterEqual(await self.exchange(reader, writer), HELD_S)

    async def test_silent_connection_stays_open_and_new_ones_work(self):
        reader, writer = await self.connect()
        await self.exchange(reader, writer)
        self.proxy.silence()
        writer.write(b"data")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), HELD_S)
        await self.exchange(*await self.connect())

    async def test_reset_ends_connections_and_new_ones_work(self):
        reader, writer = await self.connect()
        await self.exchange(reader, writer)
        self.proxy.reset()
        with self.assertRaises((OSError, EOFError)):
            await asyncio.wait_for(reader.readexactly(1), 3.0)
        await self.exchange(*await self.connect())

    async def test_end_of_a_stream_passes_after_its_bytes(self):
        reader, writer = await self.connect()
        writer.write(b"data")
        writer.write_eof()
        self.assertEqual(await asyncio.wait_for(reader.read(), 3.0), b"data")

    async def test_client_of_a_server_that_is_gone_is_reset(self):
        self.server.close()
        reader, _ = await self.connect()
        with self.assertRaises((OSError, EOFError)):
            await asyncio.wait_for(reader.readexactly(1), 3.0)
