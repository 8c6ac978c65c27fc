"""Guards the path of a request over two nodes, against stand-ins of the platform."""

import asyncio
import itertools
import unittest

from jacinthsail.internal.adapters.http_client import Broken
from jacinthsail.internal.adapters.http_server import HttpResponse, encode_response
from jacinthsail.internal.queries.target_queue import MIN_ANSWERS
from jacinthsail.testing.platform_stand_ins import CallerStandIn, TargetStandIn, header_of, id_line
from tests.common.platform_testbed import BRIEF_TIMEOUT_S, READY_PORT, ROUTE, World, manifest


def sleeping(seconds):
    def behaviour(target, request, respond):
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, lambda: respond(target.answer(request)))

    return behaviour


def never(target, request, respond):
    """Run the request and say nothing."""


def failing(target, request, respond):
    respond(target.answer(request, status=500))


def shedding(times):
    """Turn the first requests away as not run."""
    left = [times]

    def behaviour(target, request, respond):
        if left[0] == 0:
            respond(target.answer(request))
            return
        left[0] -= 1
        target.runs.pop()
        respond(HttpResponse(503, id_line(request) + b"X-Not-Executed: 1\r\n", b""))

    return behaviour


def second_answer_first(target, request, respond):
    """Send a second answer to an earlier request, then the proper one."""
    stray = HttpResponse(200, b"X-Response-Seal: old\r\n", b"stray")
    transport = next(iter(target.port.connections)).transport
    transport.write(encode_response(stray, False, False))
    respond(target.answer(request))


def unsealed(target, request, respond):
    respond(target.answer(request)._replace(head_lines=id_line(request)))


class PlatformPathTest(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, world, *behaviours):
        """Start a node without a target as number 1, and one node with a target for each."""
        for number, behaviour in enumerate(behaviours, 2):
            await world.add_target(number, TargetStandIn(f"i-{number}", behaviour))
            await world.add_node(number, service="seals")
        await world.add_node(1)
        await world.until_known(len(behaviours))
        return await world.caller(1)

    async def test_request_reaches_a_target_over_its_node(self):
        """Without this path nothing is served at all."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.0))
            answer = await caller.ask(
                "/lookup/x?q=1", "r-1", method="POST", body=b"abc", head="X-Deadline-Ms: 800\r\n"
            )
            self.assertEqual((answer.status, answer.body), (200, b"i-2 ran r-1"))
            self.assertIn((b"x-response-seal", b"seal-i-2"), answer.headers)
            run = world.targets[2].runs[0]
            self.assertEqual((run.method, run.url, run.body), ("POST", b"/lookup/x?q=1", b"abc"))
            self.assertEqual(header_of(run, b"x-caller-service"), "drafts")
            self.assertEqual(header_of(run, b"x-expected-instance"), "i-2")
            self.assertLessEqual(int(header_of(run, b"x-deadline-ms")), 800)

    async def test_route_that_does_not_exist_is_not_found(self):
        """A request without a route must not run anywhere."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.0))
            self.assertEqual((await caller.ask("/nowhere/x", "r-1")).status, 404)

    async def test_failed_lookup_is_repeated_at_another_target(self):
        """One failing target would fail its share of the callers."""
        async with World() as world:
            caller = await self.fleet(world, failing, sleeping(0.0))
            world.publish(3, domain="davao")
            node = world.nodes[1]
            await world.until(lambda: node.fleet["targets"]["i-3"].failure_domain == "davao")
            answer = await caller.ask("/lookup/x", "r-1")
            self.assertEqual((answer.status, answer.body), (200, b"i-3 ran r-1"))
            self.assertEqual(len(world.targets[2].runs), 1)

    async def test_charge_that_was_turned_away_is_offered_again(self):
        """A target that sheds some requests at random would fail their callers."""
        async with World() as world:
            caller = await self.fleet(world, shedding(3))
            answer = await caller.ask("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(world.targets[2].runs), 1)

    async def test_second_answer_to_a_refused_offer_is_not_taken_for_the_next_offer(self):
        """The second answer names the same request, but it is not what its run will answer."""

        def shed_twice(target, request, respond):
            if len(target.runs) > 1:
                sleeping(0.05)(target, request, respond)
                return
            transport = next(iter(target.port.connections)).transport
            stray = target.answer(request, body=b"stray")
            not_run = HttpResponse(503, id_line(request) + b"X-Not-Executed: 1\r\n", b"")
            respond(not_run)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, transport.write, encode_response(stray, False, False))

        async with World() as world:
            caller = await self.fleet(world, shed_twice)
            answer = await caller.ask("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual((answer.status, answer.body), (200, b"i-2 ran r-1"))

    async def test_answer_without_the_id_of_the_request_is_not_its_answer(self):
        """A caller would get the second answer to somebody else's request."""
        async with World() as world:
            caller = await self.fleet(world, second_answer_first)
            answer = await caller.ask("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual((answer.status, answer.body), (200, b"i-2 ran r-1"))

    async def test_charge_is_never_repeated(self):
        """A charge would be made twice."""
        async with World() as world:
            caller = await self.fleet(world, unsealed, unsealed)
            answer = await caller.ask("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual(answer.status, 502)
            runs = sum(len(one.runs) for one in world.targets.values())
            self.assertEqual(runs, 1)

    async def test_timeout_is_answered_at_its_time_and_the_target_is_told(self):
        """A caller would be held past its limit, and the target would work for nobody."""
        async with World() as world:
            caller = await self.fleet(world, never)
            loop = asyncio.get_running_loop()
            started = loop.time()
            answer = await caller.ask("/brief/x", "r-1")
            self.assertEqual(answer.status, 504)
            self.assertLess(abs(loop.time() - started - BRIEF_TIMEOUT_S), 0.4)
            await world.until(lambda: world.targets[2].cancelled == 1)

    async def test_caller_that_leaves_stops_the_target(self):
        """Work for a caller that has left takes a slot from one that waits."""
        async with World() as world:
            caller = await self.fleet(world, never)
            asked = asyncio.ensure_future(caller.ask("/lookup/x", "r-1"))
            await world.until(lambda: world.targets[2].runs)
            caller.connection.transport.abort()
            self.assertIsInstance(await asked, Broken)
            await world.until(lambda: world.targets[2].cancelled == 1)

    async def test_pipelined_requests_are_answered_in_order(self):
        """A caller would take the second answer for the first."""

        def slow_first(target, request, respond):
            delay = 0.2 if header_of(request, b"x-attempt-id") == "r-1" else 0.0
            sleeping(delay)(target, request, respond)

        async with World() as world:
            await self.fleet(world, slow_first)
            reader, writer = await asyncio.open_connection(world.host(1), 18300)
            for number in (1, 2):
                writer.write(
                    f"GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r-{number}\r\n\r\n"
                    "".encode()
                )
            text = b""
            while b"ran r-2" not in text:
                text += await asyncio.wait_for(reader.read(4096), 3.0)
            self.assertLess(text.index(b"ran r-1"), text.index(b"ran r-2"))
            writer.close()

    async def test_nested_call_has_the_rank_of_its_request(self):
        """The calls of a filing would be shed with those of lookups at the next service."""
        ranks = []

        def calls_back(target, request, respond):
            if header_of(request, b"x-attempt-id") == "r-1.call":
                sleeping(0.1)(target, request, respond)
                return

            async def call():
                nested = await world.caller(2)
                asked = asyncio.ensure_future(nested.ask("/short/x", "r-1.call"))
                await world.until(lambda: world.nodes[2].entry.open)
                ranks.extend(one.exchange["rank"] for one in world.nodes[2].entry.open)
                await asked
                respond(target.answer(request))

            self.call = asyncio.ensure_future(call())

        async with World() as world:
            short = {**ROUTE, "prefix": "/short/", "timeout": "1300ms", "priority": 2}
            first = {**ROUTE, "priority": 0}
            world.store.put("op/config", manifest(2, (first, short)))
            caller = await self.fleet(world, calls_back)
            answer = await caller.ask("/lookup/x", "r-1", head="X-Deadline-Ms: 3900\r\n")
            self.assertEqual(answer.status, 200)
            self.assertIn(0, ranks)

    async def test_target_whose_calls_cannot_be_routed_gets_no_new_work(self):
        """A node that restarts while the store is away would fail all chains through its target."""

        async def answer_after_call(target, request, respond):
            nested = await world.caller(2)
            name = header_of(request, b"x-attempt-id")
            answer = await nested.ask("/brief/x", f"{name}.call")
            respond(target.answer(request, status=500 if answer.status == 503 else 200))

        def calls_back(target, request, respond):
            if header_of(request, b"x-attempt-id").endswith(".call"):
                respond(target.answer(request))
                return
            self.call = asyncio.ensure_future(answer_after_call(target, request, respond))

        async with World() as world:
            await world.add_target(2, TargetStandIn("i-2", calls_back))
            await world.add_node(1)
            await world.until_known(1)
            world.store.status = 503
            node = await world.add_node(2, service="seals")
            caller = await world.caller(1)
            with self.assertLogs("jacinthsail.decisions", "INFO") as logged:
                self.assertEqual((await caller.ask("/lookup/x", "r-1")).status, 500)
            lines = [record.request_line for record in logged.records]
            # Without the parent nobody finds this line from the id of the lookup.
            self.assertIn("r-1", [line["parent"] for line in lines if "parent" in line])
            self.assertEqual((await caller.ask("/lookup/x", "r-2")).status, 503)
            self.assertEqual(len(world.targets[2].runs), 1)
            world.store.status = 200
            await world.until(lambda: not node.backlog["blocked"])

            async def served():
                return (await caller.ask("/lookup/x", f"r-{next(numbers)}")).status == 200

            numbers = itertools.count(3)
            async with asyncio.timeout(10.0):
                while not await served():
                    await asyncio.sleep(0.1)

    async def test_leaving_target_gets_no_new_work(self):
        """A target would be stopped with requests in flight."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.0), sleeping(0.0))
            world.publish(2, state="draining")
            node = world.nodes[1]
            await world.until(lambda: node.fleet["targets"]["i-2"].leaving)
            before = len(world.targets[2].runs)
            for number in range(6):
                self.assertEqual((await caller.ask("/lookup/x", f"r-{number}")).status, 200)
            self.assertEqual(len(world.targets[2].runs), before)

    async def test_replaced_target_at_the_same_address_runs_nothing_for_the_old_one(self):
        """A request would run at a service that its route does not name."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.0))
            world.targets[2].incarnation = "i-other"
            answer = await caller.ask("/lookup/x", "r-1")
            self.assertEqual(answer.status, 503)
            self.assertEqual(world.targets[2].runs, [])

    async def test_new_manifest_comes_into_force(self):
        """An edit that does not arrive leaves the old rules in force."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.0))
            world.store.put("op/config", manifest(2, ({**ROUTE, "prefix": "/new/"},)))
            await world.until(lambda: world.nodes[1].fleet["manifest"].version == 2)
            self.assertEqual((await caller.ask("/new/x", "r-1")).status, 200)
            self.assertEqual((await caller.ask("/lookup/x", "r-2")).status, 404)
            world.store.put("op/config", manifest(1))
            world.store.put("op/config", b"not json")
            world.store.put("servers/i-9", b"{}")
            await world.until(lambda: world.nodes[1].fleet["revision"] == world.store.revision)
            self.assertEqual(world.nodes[1].fleet["manifest"].version, 2)
            self.assertNotIn("i-9", world.nodes[1].fleet["targets"])

    async def test_store_that_forgot_its_history_is_read_again(self):
        """A node that misses a change in the gap would send work to a target that left."""
        async with World() as world:
            await self.fleet(world, sleeping(0.0), sleeping(0.0))
            node = world.nodes[1]
            world.store.status = 503
            world.store.put("op/config", manifest(2))
            await world.until(lambda: node.reading["failures"] > 0)
            world.store.delete("servers/i-2")
            world.store.put("op/config", manifest(3))
            world.store.drop_history()
            world.store.status = 200
            await world.until(lambda: node.fleet["manifest"].version == 3)
            await world.until(lambda: "i-2" not in node.fleet["targets"])
            self.assertIn("i-3", node.fleet["targets"])

    async def test_planned_stop_finishes_what_runs_and_turns_callers_away(self):
        """A filing would be cut off by a rolling restart."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.3), sleeping(0.3))
            asked = asyncio.ensure_future(caller.ask("/charge/x", "r-1", method="POST", body=b"1"))
            await world.until(lambda: world.targets[2].runs or world.targets[3].runs)
            busy = 2 if world.targets[2].runs else 3
            stopping = asyncio.ensure_future(world.nodes[busy].stop())
            self.assertEqual((await asked).status, 200)
            probe = CallerStandIn()
            await probe.connect(world.host(busy), READY_PORT)
            self.assertEqual((await probe.ask("/-/ready", "")).status, 503)
            loop = asyncio.get_running_loop()
            started = loop.time()
            await world.until(lambda: world.nodes[busy].backlog["stopped"])
            answer = await caller.ask("/lookup/x", "r-2")
            self.assertEqual(answer.body, f"i-{5 - busy} ran r-2".encode())
            await stopping
            self.assertLess(loop.time() - started, 4.0)

    async def test_target_of_a_stopping_node_is_used_until_its_ports_close(self):
        """A rolling restart would leave the slots of each target unused for seconds."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.0))
            stopping = asyncio.ensure_future(world.nodes[2].stop())
            await world.until(lambda: world.nodes[2].is_leaving)
            self.assertEqual((await caller.ask("/lookup/x", "r-1")).status, 200)
            self.assertFalse(world.nodes[2].backlog["stopped"])
            await stopping

    async def test_lost_answer_of_a_lookup_is_replaced_by_another_run(self):
        """A lookup whose answer was lost would time out, and its slot would be held until then."""

        def lost_once(target, request, respond):
            if len(target.runs) > 1:
                respond(target.answer(request))

        async with World() as world:
            caller = await self.fleet(world, lost_once)
            for lane in world.nodes[2].backlog["lanes"].values():
                lane["answers"] = MIN_ANSWERS
            loop = asyncio.get_running_loop()
            started = loop.time()
            answer = await caller.ask("/lookup/x", "r-1")
            self.assertEqual((answer.status, answer.body), (200, b"i-2 ran r-1"))
            self.assertLess(loop.time() - started, 2.0)
            self.assertEqual(len(world.targets[2].runs), 2)

    async def test_lost_answer_of_a_charge_is_left_alone(self):
        """A charge would be made twice."""
        async with World() as world:
            caller = await self.fleet(world, never)
            answer = await caller.ask("/brief-charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual(answer.status, 504)
            self.assertEqual(len(world.targets[2].runs), 1)

    async def test_fault_of_the_node_is_answered_and_logged(self):
        """A caller would wait for its whole time, and nobody would learn of the fault."""
        async with World() as world:
            caller = await self.fleet(world, sleeping(0.0))
            world.nodes[1].entry.fleet["routes"] = None
            with self.assertLogs("jacinthsail.callers", "ERROR"):
                answer = await caller.ask("/lookup/x", "r-1")
            self.assertEqual(answer.status, 502)

    async def test_malformed_requests_are_refused(self):
        """A smuggled or oversized request could be read as two, or exhaust the memory."""
        cases = (
            (b"GET /lookup/x HTTP/1.1\r\n\r\n", b"400"),
            (b"nonsense\r\n\r\n", b"400"),
            (
                b"POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
            (b"GET /lookup/" + b"x" * 6000 + b" HTTP/1.1\r\nHost: h.example\r\n\r\n", b"431"),
            (
                b"POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 200000\r\n\r\n"
                + b"x" * 200000,
                b"413",
            ),
        )
        async with World() as world:
            await self.fleet(world, sleeping(0.0))
            for sent, status in cases:
                with self.subTest(status=status, start=sent[:20]):
                    reader, writer = await asyncio.open_connection(world.host(1), 18300)
                    writer.write(sent)
                    line = await asyncio.wait_for(reader.readline(), 3.0)
                    self.assertIn(status, line)
                    writer.close()
            self.assertEqual(world.targets[2].runs, [])
