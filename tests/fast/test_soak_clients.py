"""Tests the clients of the fault soak: a loss that they make up would hide the real ones."""

import asyncio
import unittest
from random import Random
from weakref import WeakSet

from jacinthsail.testing.soak_clients import PipeliningClient, run_client
from jacinthsail.testing.soak_model import Ending, new_record

HOST = "127.7.9.2"
PORT = 18322


class Context:
    """The part of a deployment that a client uses."""

    def __init__(self):
        self.record = new_record()
        self.random = Random(1)
        self.work_ms = (10,)
        self.stopping = asyncio.Event()
        self.connections = WeakSet()

    def callers_address(self, node):
        return HOST, PORT

    def key_line(self, request_id):
        return ""

    def is_in_use(self, node):
        return True

    def is_whole(self, request_id, seal, body):
        return False


async def never_respond(reader, writer):
    await reader.read()
    writer.close()


class PipeliningClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.context = Context()
        self.server = await asyncio.start_server(never_respond, HOST, PORT)
        self.client = asyncio.ensure_future(run_client(PipeliningClient(1), self.context))
        await asyncio.sleep(0.3)

    async def asyncTearDown(self):
        self.server.close()

    async def cut(self):
        for writer in list(self.context.connections):
            writer.transport.abort()
        await asyncio.sleep(0.05)

    async def test_cut_connection_is_recorded(self):
        await self.cut()
        self.context.stopping.set()
        await self.client
        endings = {attempt.ending for attempt in self.context.record["attempts"]}
        self.assertEqual(endings, {Ending.CUT})

    async def test_connection_that_the_run_ends_is_no_loss(self):
        """Seeds 1020 and 1119 reported requests as lost that the end of the run had cut."""
        self.context.stopping.set()
        self.client.cancel()
        await asyncio.gather(self.client, return_exceptions=True)
        await self.cut()
        self.assertEqual(self.context.record["attempts"], [])
