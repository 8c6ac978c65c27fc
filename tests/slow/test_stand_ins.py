"""Checks the stand-ins: one that injects fewer faults than configured would let scenarios pass."""

import asyncio
import json
import unittest

from aiohttp import ClientError, ClientSession, ServerDisconnectedError, web
from aiohttp.test_utils import TestClient, TestServer

from jacinthsail.testing import platform as platform_module
from jacinthsail.testing.link import LinkStandIn
from jacinthsail.testing.mesh import free_port
from jacinthsail.testing.platform import PlatformStandIn
from jacinthsail.testing.target import TargetStandIn
from jacinthsail.testing.target_model import default_behaviour


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.client = TestClient(TestServer(PlatformStandIn().application()))
        await self.client.start_server()
        await self.client.put("/v1/items/section/a", data=b"one")

    async def asyncTearDown(self):  # noqa: N802
        await self.client.close()

    async def set_mode(self, **change):
        response = await self.client.post("/control", json=change)
        self.assertEqual(response.status, 200)

    async def test_stale_platform_does_not_advance(self):
        """A stale platform whose time advanced would confirm copies that are out of date."""
        await self.set_mode(mode="stale")
        await self.client.put("/v1/items/section/a", data=b"two")
        first = await self.client.get("/v1/items/section/a")
        await asyncio.sleep(0.01)
        second = await self.client.get("/v1/items/section/a")
        self.assertEqual(await second.read(), b"one")
        self.assertEqual(first.headers["As-Of-Ms"], second.headers["As-Of-Ms"])
        await self.set_mode(mode="normal")
        third = await self.client.get("/v1/items/section/a")
        self.assertEqual(await third.read(), b"two")
        self.assertGreater(int(third.headers["As-Of-Ms"]), int(first.headers["As-Of-Ms"]))

    async def test_stale_by_one_revision(self):
        await self.client.put("/v1/items/section/a", data=b"two")
        await self.set_mode(mode="stale", back=1)
        response = await self.client.get("/v1/items/section/a")
        self.assertEqual(await response.read(), b"one")

    async def test_down(self):
        await self.set_mode(mode="down")
        response = await self.client.get("/v1/items")
        self.assertEqual(response.status, 503)

    async def test_read_limit_counts_a_waiting_watch_as_one(self):
        """Without the read limit, nodes that read too often would still pass the scenarios."""
        limit = platform_module.READS_PER_S
        self.addCleanup(setattr, platform_module, "READS_PER_S", limit)
        platform_module.READS_PER_S = 3
        watch = asyncio.create_task(self.client.get("/v1/watch?after=1&timeout=5"))
        await asyncio.sleep(0.05)
        statuses = [(await self.client.get("/v1/items")).status for _ in range(3)]
        self.assertEqual(statuses, [200, 200, 429])
        counts = await (await self.client.get("/control/counts")).json()
        self.assertEqual(counts, {"reads": 3, "refused": 1, "watches": 1})
        watch.cancel()


class TargetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.target = TargetStandIn("a-1", "", default_behaviour(1.0))
        # TestServer cancels the handler of a disconnected caller; a stand-in process does not.
        self.runner = web.AppRunner(self.target.application(), shutdown_timeout=0.1)
        await self.runner.setup()
        port = free_port()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.client = ClientSession(f"http://127.0.0.1:{port}")

    async def asyncTearDown(self):  # noqa: N802
        await self.client.close()
        await self.runner.cleanup()

    async def set_behaviour(self, **change):
        response = await self.client.post("/control", json=change)
        self.assertEqual(response.status, 200)

    async def call(self, number=0, **headers):
        headers = {"Jacinthsail-Request-Id": f"r{number}", **headers}
        body = json.dumps({"id": f"r{number}"})
        return await self.client.post("/a/view", data=body, headers=headers)

    async def test_half_response_is_recorded_and_incomplete(self):
        """Without the record, a retry after a lost response would look like the only execution."""
        await self.set_behaviour(half_every=1)
        with self.assertRaises(ClientError):
            await (await self.call()).read()
        self.assertEqual(len(self.target.executions), 1)

    async def test_shed_call_is_not_executed(self):
        await self.set_behaviour(shed_every=1)
        response = await self.call()
        self.assertEqual(response.headers["Jacinthsail-Outcome"], "not-run")
        self.assertEqual(self.target.executions, [])

    async def test_calls_over_the_connection_limit_are_reset(self):
        await self.set_behaviour(connections=0)
        with self.assertRaises(ServerDisconnectedError):
            await self.call()
        self.assertEqual(self.target.executions, [])

    async def test_slots_limit_concurrent_executions(self):
        await self.set_behaviour(slots=2, service_time_ms=30)
        await asyncio.gather(*(self.call(number) for number in range(6)))
        changes = []
        for execution in self.target.executions:
            changes += [(execution["started_at"], 1), (execution["ended_at"], -1)]
        executing = highest = 0
        for _, change in sorted(changes):
            executing += change
            highest = max(highest, executing)
        self.assertEqual(highest, 2)

    async def test_execution_is_recorded_after_the_caller_disconnects(self):
        """A missing record would hide a duplicate execution from the checks."""
        await self.set_behaviour(service_time_ms=50)
        call = asyncio.create_task(self.call())
        await asyncio.sleep(0.02)
        call.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.target.executions), 1)
        self.assertGreater(self.target.executions[0]["ended_at"], 0)

    async def test_silent_target_executes_and_never_responds(self):
        """A target that did not execute would make every not-run for a silent target true."""
        await self.set_behaviour(silent=True)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.call()
        self.assertEqual(len(self.target.executions), 1)

    async def test_health_can_lag_and_be_overridden(self):
        await self.set_behaviour(draining=True, health_lag_s=60.0)
        lagging = await (await self.client.get("/health")).json()
        await self.set_behaviour(health_lag_s=0.0)
        prompt = await (await self.client.get("/health")).json()
        await self.set_behaviour(health_lie="serving")
        lying = await (await self.client.get("/health")).json()
        states = [health["state"] for health in (lagging, prompt, lying)]
        self.assertEqual(states, ["serving", "draining", "serving"])


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        async def respond(_request):
            return web.Response(text="response")

        application = web.Application()
        application.router.add_get("/", respond)
        self.destination = TestServer(application)
        await self.destination.start_server()
        self.port = free_port()
        self.link = TestClient(
            TestServer(LinkStandIn(self.port, self.destination.port).application())
        )
        await self.link.start_server()
        self.session = ClientSession()

    async def asyncTearDown(self):  # noqa: N802
        await self.session.close()
        await self.link.close()
        await self.destination.close()

    async def set_behaviour(self, **change):
        response = await self.link.post("/control", json=change)
        self.assertEqual(response.status, 200)

    async def get(self, session):
        async with asyncio.timeout(0.3):
            response = await session.get(f"http://127.0.0.1:{self.port}/")
            return await response.text()

    async def test_silence_affects_open_connections_and_not_new_ones(self):
        """Scenarios need new connections to work, so that a node can replace a silent one."""
        self.assertEqual(await self.get(self.session), "response")
        await self.set_behaviour(silent=True)
        with self.assertRaises(TimeoutError):
            await self.get(self.session)
        async with ClientSession() as fresh:
            self.assertEqual(await self.get(fresh), "response")

    async def test_silence_of_new_connections(self):
        await self.set_behaviour(silent=True, silences_new=True)
        with self.assertRaises(TimeoutError):
            await self.get(self.session)

    async def test_cut_and_heal(self):
        await self.set_behaviour(cut=True)
        with self.assertRaises(ClientError):
            await self.get(self.session)
        await self.set_behaviour(cut=False)
        self.assertEqual(await self.get(self.session), "response")

    async def test_cut_applies_only_to_named_openers(self):
        await self.set_behaviour(cut=True, only_from=["someone-else"])
        self.assertEqual(await self.get(self.session), "response")
        await self.set_behaviour(only_from=["127.0.0.1"])
        async with ClientSession() as fresh:
            with self.assertRaises(ClientError):
                await self.get(fresh)

    async def test_delay(self):
        await self.set_behaviour(delay_ms=60.0)
        loop = asyncio.get_running_loop()
        before = loop.time()
        await self.get(self.session)
        self.assertGreaterEqual(loop.time() - before, 0.06)
