"""Guards the stand-ins: a stand-in that misbehaves less than asked makes scenarios pass."""

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

    async def mode(self, **change):
        response = await self.client.post("/control", json=change)
        self.assertEqual(response.status, 200)

    async def test_stale_does_not_advance(self):
        await self.mode(mode="stale")
        await self.client.put("/v1/items/section/a", data=b"two")
        first = await self.client.get("/v1/items/section/a")
        await asyncio.sleep(0.01)
        second = await self.client.get("/v1/items/section/a")
        self.assertEqual(await second.read(), b"one")
        self.assertEqual(first.headers["As-Of-Ms"], second.headers["As-Of-Ms"])
        await self.mode(mode="normal")
        third = await self.client.get("/v1/items/section/a")
        self.assertEqual(await third.read(), b"two")
        self.assertGreater(int(third.headers["As-Of-Ms"]), int(first.headers["As-Of-Ms"]))

    async def test_stale_by_a_revision(self):
        await self.client.put("/v1/items/section/a", data=b"two")
        await self.mode(mode="stale", back=1)
        response = await self.client.get("/v1/items/section/a")
        self.assertEqual(await response.read(), b"one")

    async def test_down(self):
        await self.mode(mode="down")
        response = await self.client.get("/v1/items")
        self.assertEqual(response.status, 503)

    async def test_read_limit_counts_a_waiting_watch_as_one(self):
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
        # A test server would cancel the handler of a caller that has gone; the stand-in's does not.
        self.runner = web.AppRunner(self.target.application(), shutdown_timeout=0.1)
        await self.runner.setup()
        port = free_port()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.client = ClientSession(f"http://127.0.0.1:{port}")

    async def asyncTearDown(self):  # noqa: N802
        await self.client.close()
        await self.runner.cleanup()

    async def behave(self, **change):
        response = await self.client.post("/control", json=change)
        self.assertEqual(response.status, 200)

    async def call(self, number=0, **headers):
        headers = {"Jacinthsail-Request-Id": f"r{number}", **headers}
        body = json.dumps({"id": f"r{number}"})
        return await self.client.post("/a/view", data=body, headers=headers)

    async def test_half_answer_is_recorded_and_incomplete(self):
        await self.behave(half_every=1)
        with self.assertRaises(ClientError):
            await (await self.call()).read()
        self.assertEqual(len(self.target.executions), 1)

    async def test_shed_call_is_not_executed(self):
        await self.behave(shed_every=1)
        response = await self.call()
        self.assertEqual(response.headers["Jacinthsail-Outcome"], "not-run")
        self.assertEqual(self.target.executions, [])

    async def test_over_the_connection_cap_calls_are_reset(self):
        await self.behave(connections=0)
        with self.assertRaises(ServerDisconnectedError):
            await self.call()
        self.assertEqual(self.target.executions, [])

    async def test_slots_bound_what_runs_at_once(self):
        await self.behave(slots=2, service_time_ms=30)
        await asyncio.gather(*(self.call(number) for number in range(6)))
        changes = []
        for run in self.target.executions:
            changes += [(run["started_at"], 1), (run["ended_at"], -1)]
        running = most = 0
        for _, change in sorted(changes):
            running += change
            most = max(most, running)
        self.assertEqual(most, 2)

    async def test_execution_is_recorded_when_the_caller_has_gone(self):
        await self.behave(service_time_ms=50)
        call = asyncio.create_task(self.call())
        await asyncio.sleep(0.02)
        call.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.target.executions), 1)
        self.assertGreater(self.target.executions[0]["ended_at"], 0)

    async def test_silent_target_runs_and_never_answers(self):
        await self.behave(silent=True)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.call()
        self.assertEqual(len(self.target.executions), 1)

    async def test_health_may_lag_and_lie(self):
        await self.behave(draining=True, health_lag_s=60.0)
        lagging = await (await self.client.get("/health")).json()
        await self.behave(health_lag_s=0.0)
        prompt = await (await self.client.get("/health")).json()
        await self.behave(health_lie="serving")
        lying = await (await self.client.get("/health")).json()
        states = [answer["state"] for answer in (lagging, prompt, lying)]
        self.assertEqual(states, ["serving", "draining", "serving"])


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        async def answer(_request):
            return web.Response(text="answer")

        application = web.Application()
        application.router.add_get("/", answer)
        self.far = TestServer(application)
        await self.far.start_server()
        self.port = free_port()
        self.link = TestClient(TestServer(LinkStandIn(self.port, self.far.port).application()))
        await self.link.start_server()
        self.session = ClientSession()

    async def asyncTearDown(self):  # noqa: N802
        await self.session.close()
        await self.link.close()
        await self.far.close()

    async def behave(self, **change):
        response = await self.link.post("/control", json=change)
        self.assertEqual(response.status, 200)

    async def get(self, session):
        async with asyncio.timeout(0.3):
            response = await session.get(f"http://127.0.0.1:{self.port}/")
            return await response.text()

    async def test_silence_keeps_open_connections_and_lets_new_ones_work(self):
        self.assertEqual(await self.get(self.session), "answer")
        await self.behave(silent=True)
        with self.assertRaises(TimeoutError):
            await self.get(self.session)
        async with ClientSession() as fresh:
            self.assertEqual(await self.get(fresh), "answer")

    async def test_silence_of_new_connections(self):
        await self.behave(silent=True, silences_new=True)
        with self.assertRaises(TimeoutError):
            await self.get(self.session)

    async def test_cut_and_heal(self):
        await self.behave(cut=True)
        with self.assertRaises(ClientError):
            await self.get(self.session)
        await self.behave(cut=False)
        self.assertEqual(await self.get(self.session), "answer")

    async def test_cut_of_named_openers_only(self):
        await self.behave(cut=True, only_from=["someone-else"])
        self.assertEqual(await self.get(self.session), "answer")
        await self.behave(only_from=["127.0.0.1"])
        async with ClientSession() as fresh:
            with self.assertRaises(ClientError):
                await self.get(fresh)

    async def test_delay(self):
        await self.behave(delay_ms=60.0)
        loop = asyncio.get_running_loop()
        before = loop.time()
        await self.get(self.session)
        self.assertGreaterEqual(loop.time() - before, 0.06)
