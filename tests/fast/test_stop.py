"""Guards planned stops and disconnecting callers, with a complete node in this process."""

import asyncio
import unittest

import aiohttp
from aiohttp import web

from jacinthsail.internal.adapters.node import NodeService
from jacinthsail.internal.model.calls import Answered, KeyedOutcome
from jacinthsail.internal.model.settings import Endpoint, Mechanism
from jacinthsail.testing.platform import PlatformStandIn
from tests.common.loopback import (
    HOST,
    SAMPLES,
    RawServer,
    node_settings,
    start_server,
    wait_until,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
HEALTH_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + b'{"state": "ok"}'


def respond_healthy(server):
    if server.received.startswith(b"GET /health"):
        server.received.clear()
        server.transport.write(HEALTH_RESPONSE)


class NodeInProcess(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target_connections = []
        await self.start_platform()
        server, target = await start_server(
            lambda: RawServer(self.target_connections, respond=respond_healthy)
        )
        self.addCleanup(server.close)
        self.target = target
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def start_platform(self):
        runner = web.AppRunner(PlatformStandIn().application(), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        self.platform = Endpoint(HOST, runner.addresses[0][1])

    async def start_node(self, disabled=frozenset()):
        settings = node_settings(target=self.target, platform=self.platform, disabled=disabled)
        text = (SAMPLES / "stenonet" / "drafts.toml").read_bytes()
        url = f"http://{HOST}:{self.platform.port}/v1/items/section/drafts"
        async with self.session.put(url, data=text):
            pass
        node = NodeService(settings, loop=asyncio.get_running_loop())
        await node.start()
        self.addAsyncCleanup(node.stop)
        await wait_until(lambda: node.node_state["store"]["sections"])
        return node

    async def call(self, node):
        port = node.settings.callers.port
        url = f"http://{HOST}:{port}/v1/services/drafts/view"
        async with self.session.post(url, data=b"page") as response:
            outcome = response.headers["Jacinthsail-Outcome"]
            return outcome, response.headers.get("Jacinthsail-Reason"), await response.read()

    def calls_at_target(self):
        return [each for each in self.target_connections if each.received.startswith(b"POST")]

    async def occupy_and_queue(self, node):
        limit = 20
        running = [asyncio.ensure_future(self.call(node)) for _ in range(limit)]
        await wait_until(lambda: len(self.calls_at_target()) == limit)
        queued = asyncio.ensure_future(self.call(node))
        await wait_until(lambda: node.node_state["admission"]["queue"])
        return running, queued


class StopTest(NodeInProcess):
    async def test_stop_finishes_running_calls_and_refuses_queued_calls(self):
        """A stop that interrupts a running call loses it; a queued call can run elsewhere."""
        node = await self.start_node()
        running, queued = await self.occupy_and_queue(node)
        stop = asyncio.ensure_future(node.stop())
        # The refused call is retried elsewhere first; the reported reason is that of this node.
        self.assertEqual((await queued)[:2], ("not-run", "draining"))
        self.assertEqual((await self.call(node))[0], "not-run")
        self.assertFalse(stop.done())
        for connection in self.calls_at_target():
            connection.transport.write(RESPONSE)
        for outcome in await asyncio.gather(*running):
            self.assertEqual(outcome, ("answered", None, b"body"))
        self.assertEqual(len(self.calls_at_target()), len(running))
        async with asyncio.timeout(10):
            await stop

    async def test_running_calls_are_interrupted_without_graceful_stop(self):
        """The negative control of graceful stops must interrupt the calls in flight."""
        node = await self.start_node(frozenset({Mechanism.GRACEFUL_STOP}))
        call = asyncio.ensure_future(self.call(node))
        await wait_until(self.calls_at_target)
        await node.stop()
        with self.assertRaises(aiohttp.ClientError):
            await call

    async def test_draining_target_drains_the_node_without_stopping_it(self):
        """Calls sent to a draining target would be refused or lost."""
        node = await self.start_node()
        node.node_state["drain"]["draining_responses"] = 100
        await wait_until(lambda: node.node_state["admission"]["draining"])
        self.assertEqual((await self.call(node))[0], "not-run")
        self.assertFalse(node.should_stop)


class DisconnectedCallerTest(NodeInProcess):
    async def test_queued_call_leaves_the_queue(self):
        """A queued call whose caller has disconnected would run once a slot is free."""
        node = await self.start_node()
        running, queued = await self.occupy_and_queue(node)
        queued.cancel()
        await wait_until(lambda: not node.node_state["admission"]["queue"])
        for connection in self.calls_at_target():
            connection.transport.write(RESPONSE)
        await asyncio.gather(*running)
        self.assertEqual(len(self.calls_at_target()), len(running))

    async def test_running_repeatable_call_is_cancelled(self):
        """A repeatable call whose caller has disconnected would hold a slot until its deadline."""
        node = await self.start_node()
        call = asyncio.ensure_future(self.call(node))
        await wait_until(self.calls_at_target)
        call.cancel()
        await wait_until(lambda: not node.node_state["admission"]["in_flight"])
        await wait_until(self.calls_at_target()[0].transport.is_closing)

    async def test_at_most_once_call_runs_to_completion(self):
        """Cancelling the call would lose the response that has to be recorded under its key."""
        text = (
            (SAMPLES / "stenonet" / "drafts.toml").read_text().replace("repeatable", "at-most-once")
        )
        finished = []
        release = asyncio.Event()
        node = await self.start_node()
        url = f"http://{HOST}:{self.platform.port}/v1/items/section/drafts"
        async with self.session.put(url, data=text.encode()):
            pass
        sections = node.node_state["store"]["sections"]
        await wait_until(lambda: next(iter(sections.values())).version == 2)

        async def serve(call):
            await release.wait()
            finished.append(call)
            return KeyedOutcome(Answered(200, "text/plain", b"", 0), "")

        node.dispatcher.serve_caller = serve
        call = asyncio.ensure_future(self.call(node))
        await wait_until(lambda: node.frontend.shielded_tasks)
        call.cancel()
        await wait_until(lambda: not node.frontend.calls_in_progress)
        self.assertTrue(node.frontend.has_pending_calls())
        release.set()
        await wait_until(lambda: finished)
