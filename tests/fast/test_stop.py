"""Guards planned stops and callers that go away, with a whole node in this process."""

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
    until,
)

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + b'{"state": "ok"}'


def answer_health(server):
    if server.received.startswith(b"GET /health"):
        server.received.clear()
        server.transport.write(HEALTHY)


class NodeInProcess(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target_connections = []
        await self.start_platform()
        server, target = await start_server(
            lambda: RawServer(self.target_connections, answer=answer_health)
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
        await until(lambda: node.node_state["store"]["sections"])
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
        await until(lambda: len(self.calls_at_target()) == limit)
        queued = asyncio.ensure_future(self.call(node))
        await until(lambda: node.node_state["admission"]["queue"])
        return running, queued


class StopTest(NodeInProcess):
    async def test_stop_finishes_what_runs_and_refuses_what_waits(self):
        """A planned stop that interrupts a call loses it; a queued call can run elsewhere."""
        node = await self.start_node()
        running, queued = await self.occupy_and_queue(node)
        stop = asyncio.ensure_future(node.stop())
        # The refused call is tried elsewhere first; the reason stays that of the refusal here.
        self.assertEqual((await queued)[:2], ("not-run", "draining"))
        self.assertEqual((await self.call(node))[0], "not-run")
        self.assertFalse(stop.done())
        for connection in self.calls_at_target():
            connection.transport.write(ANSWER)
        for outcome in await asyncio.gather(*running):
            self.assertEqual(outcome, ("answered", None, b"body"))
        self.assertEqual(len(self.calls_at_target()), len(running))
        async with asyncio.timeout(10):
            await stop

    async def test_interrupted_without_a_graceful_stop(self):
        """The negative control must interrupt the calls in flight."""
        node = await self.start_node(frozenset({Mechanism.GRACEFUL_STOP}))
        call = asyncio.ensure_future(self.call(node))
        await until(self.calls_at_target)
        await node.stop()
        with self.assertRaises(aiohttp.ClientError):
            await call

    async def test_draining_target_drains_the_node_without_ending_it(self):
        """Calls sent to a target that drains would be refused or lost."""
        node = await self.start_node()
        node.node_state["leaving"]["draining_answers"] = 100
        await until(lambda: node.node_state["admission"]["draining"])
        self.assertEqual((await self.call(node))[0], "not-run")
        self.assertFalse(node.should_stop)


class CallerGoneTest(NodeInProcess):
    async def test_queued_call_frees_its_place(self):
        """A call that nobody waits for must not run once there is room."""
        node = await self.start_node()
        running, queued = await self.occupy_and_queue(node)
        queued.cancel()
        await until(lambda: not node.node_state["admission"]["queue"])
        for connection in self.calls_at_target():
            connection.transport.write(ANSWER)
        await asyncio.gather(*running)
        self.assertEqual(len(self.calls_at_target()), len(running))

    async def test_call_at_the_target_is_cancelled(self):
        """A repeatable call that nobody waits for must not hold a slot until its deadline."""
        node = await self.start_node()
        call = asyncio.ensure_future(self.call(node))
        await until(self.calls_at_target)
        call.cancel()
        await until(lambda: not node.node_state["admission"]["in_flight"])
        await until(self.calls_at_target()[0].transport.is_closing)

    async def test_call_that_must_not_run_twice_goes_on(self):
        """Its answer has to be recorded, although the caller does not get it."""
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
        await until(lambda: next(iter(sections.values())).version == 2)

        async def serve(call):
            await release.wait()
            finished.append(call)
            return KeyedOutcome(Answered(200, "text/plain", b"", 0), "")

        node.dispatcher.serve_caller = serve
        call = asyncio.ensure_future(self.call(node))
        await until(lambda: node.frontend.kept_tasks)
        call.cancel()
        await until(lambda: not node.frontend.calls_in_progress)
        self.assertTrue(node.frontend.has_calls())
        release.set()
        await until(lambda: finished)
