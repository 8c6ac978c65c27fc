"""Guards the path of a request through two nodes, with stand-ins for the platform."""

import asyncio
import itertools
import unittest

from jacinthsail.internal.adapters.caller_connection import (
    encode_response,
)
from jacinthsail.internal.adapters.http_client import BrokenExchange
from jacinthsail.internal.adapters.http_messages import (
    HttpResponse,
)
from jacinthsail.internal.queries.target_queue import MIN_RESPONSES
from jacinthsail.testing.platform_stand_ins import (
    CallerStandIn,
    TargetStandIn,
    header_of,
    request_id_header,
)
from tests.common.platform_testbed import (
    READY_PORT,
    ROUTE,
    SHORT_TIMEOUT_S,
    PlatformTestbed,
    manifest,
)


def respond_after(seconds):
    def behaviour(target, request, respond):
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, lambda: respond(target.response_to(request)))

    return behaviour


def never_respond(target, request, respond):
    """Execute the request and never respond."""


def respond_with_error(target, request, respond):
    respond(target.response_to(request, status=500))


def shed_first(count):
    """Shed the first requests before execution."""
    remaining = [count]

    def behaviour(target, request, respond):
        if remaining[0] == 0:
            respond(target.response_to(request))
            return
        remaining[0] -= 1
        target.executions.pop()
        respond(HttpResponse(503, request_id_header(request) + b"X-Not-Executed: 1\r\n", b""))

    return behaviour


def duplicate_response_first(target, request, respond):
    """Send a duplicate response to an earlier request, then the response to this one."""
    duplicate = HttpResponse(200, b"X-Response-Seal: old\r\n", b"stray")
    transport = next(iter(target.port.connections)).transport
    transport.write(encode_response(duplicate, False, False))
    respond(target.response_to(request))


def respond_without_seal(target, request, respond):
    respond(target.response_to(request)._replace(head_lines=request_id_header(request)))


class PlatformPathTest(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, testbed, *behaviours):
        """Start node 1 without a target, and a node with a target for each behaviour.

        Return a caller that is connected to node 1.
        """
        for number, behaviour in enumerate(behaviours, 2):
            await testbed.add_target(number, TargetStandIn(f"i-{number}", behaviour))
            await testbed.add_node(number, service="seals")
        await testbed.add_node(1)
        await testbed.wait_until_listed(len(behaviours))
        return await testbed.caller(1)

    async def test_request_reaches_a_target_through_its_node(self):
        """Without this path no request would be served."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.0))
            response = await caller.send_request(
                "/lookup/x?q=1",
                "r-1",
                method="POST",
                body=b"abc",
                header_lines="X-Deadline-Ms: 800\r\n",
            )
            self.assertEqual((response.status, response.body), (200, b"i-2 ran r-1"))
            self.assertIn((b"x-response-seal", b"seal-i-2"), response.headers)
            received = testbed.targets[2].executions[0]
            self.assertEqual(
                (received.method, received.url, received.body), ("POST", b"/lookup/x?q=1", b"abc")
            )
            self.assertEqual(header_of(received, b"x-caller-service"), "drafts")
            self.assertEqual(header_of(received, b"x-expected-instance"), "i-2")
            self.assertLessEqual(int(header_of(received, b"x-deadline-ms")), 800)

    async def test_route_that_does_not_exist_is_not_found(self):
        """A request that matches no route would be executed by a target of another route."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.0))
            self.assertEqual((await caller.send_request("/nowhere/x", "r-1")).status, 404)

    async def test_failed_lookup_is_retried_at_another_target(self):
        """All callers routed to a failing target would get its error."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_with_error, respond_after(0.0))
            testbed.publish(3, domain="davao")
            node = testbed.nodes[1]
            await testbed.wait_until(lambda: node.fleet["targets"]["i-3"].failure_domain == "davao")
            response = await caller.send_request("/lookup/x", "r-1")
            self.assertEqual((response.status, response.body), (200, b"i-3 ran r-1"))
            self.assertEqual(len(testbed.targets[2].executions), 1)

    async def test_shed_charge_is_retried(self):
        """A target sheds requests at random; callers would get an error for each of them."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, shed_first(3))
            response = await caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual(response.status, 200)
            self.assertEqual(len(testbed.targets[2].executions), 1)

    async def test_duplicate_response_to_a_shed_attempt_is_not_accepted_for_the_next_attempt(self):
        """The caller would get the duplicate, which carries the id of its request.

        The duplicate arrives while the retry is still in progress.
        """

        def shed_first_with_duplicate(target, request, respond):
            if len(target.executions) > 1:
                respond_after(0.05)(target, request, respond)
                return
            transport = next(iter(target.port.connections)).transport
            duplicate = target.response_to(request, body=b"stray")
            not_run = HttpResponse(503, request_id_header(request) + b"X-Not-Executed: 1\r\n", b"")
            respond(not_run)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, transport.write, encode_response(duplicate, False, False))

        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, shed_first_with_duplicate)
            response = await caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual((response.status, response.body), (200, b"i-2 ran r-1"))

    async def test_late_copy_of_a_refusal_is_not_accepted_after_another_request(self):
        """The target was executing the charge when the node sent it once more.

        The connection on which the charge was refused carries another request before the charge is
        sent again.
        """
        transports = []

        def refuse_first(target, request, respond):
            name = header_of(request, b"x-attempt-id")
            not_run = HttpResponse(503, request_id_header(request) + b"X-Not-Executed: 1\r\n", b"")
            attempts = [header_of(one, b"x-attempt-id") for one in target.executions].count(name)
            if name != "r-1":
                respond(target.response_to(request))
                return
            if attempts == 1:
                transports.extend(one.transport for one in target.port.connections)
                respond(not_run)
                return
            # The copy arrives on the first connection while the charge is being executed.
            transports[0].write(encode_response(not_run, False, False))
            respond_after(0.2)(target, request, respond)

        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, refuse_first)
            local = testbed.nodes[2].local_target
            schedule = local.loop.call_later

            def delay_retry(delay_s, callback, *arguments):
                is_retry = getattr(callback, "__name__", "") == "_attempt"
                return schedule(0.3 if is_retry else delay_s, callback, *arguments)

            local.loop.call_later = delay_retry
            self.addCleanup(setattr, local.loop, "call_later", schedule)
            charge = asyncio.ensure_future(
                caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            )
            await testbed.wait_until(lambda: testbed.targets[2].executions)
            await asyncio.sleep(0.1)
            other = await testbed.caller(1)
            self.assertEqual((await other.send_request("/lookup/x", "r-2")).status, 200)
            response = await charge
            self.assertEqual((response.status, response.body), (200, b"i-2 ran r-1"))
            # The refused attempt, the lookup, and one execution of the charge.
            self.assertEqual(len(testbed.targets[2].executions), 3)

    async def test_response_without_the_id_of_the_request_is_discarded(self):
        """A caller would get a duplicate response to the request of another caller."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, duplicate_response_first)
            response = await caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual((response.status, response.body), (200, b"i-2 ran r-1"))

    async def test_charge_is_never_retried_after_execution(self):
        """A retry would execute the charge twice."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_without_seal, respond_without_seal)
            response = await caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual(response.status, 502)
            execution_count = sum(len(target.executions) for target in testbed.targets.values())
            self.assertEqual(execution_count, 1)

    async def test_timeout_is_reported_on_time_and_cancels_the_target(self):
        """The caller would wait past its timeout, and the target would do useless work."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, never_respond)
            loop = asyncio.get_running_loop()
            started = loop.time()
            response = await caller.send_request("/brief/x", "r-1")
            self.assertEqual(response.status, 504)
            self.assertLess(abs(loop.time() - started - SHORT_TIMEOUT_S), 0.4)
            await testbed.wait_until(lambda: testbed.targets[2].cancelled == 1)

    async def test_disconnected_caller_cancels_the_request_at_the_target(self):
        """A request of a disconnected caller would occupy a slot that a waiting request needs."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, never_respond)
            pending = asyncio.ensure_future(caller.send_request("/lookup/x", "r-1"))
            await testbed.wait_until(lambda: testbed.targets[2].executions)
            caller.connection.transport.abort()
            self.assertIsInstance(await pending, BrokenExchange)
            await testbed.wait_until(lambda: testbed.targets[2].cancelled == 1)

    async def test_pipelined_requests_get_responses_in_order(self):
        """A caller would match the second response to the first request."""

        def slow_first(target, request, respond):
            delay = 0.2 if header_of(request, b"x-attempt-id") == "r-1" else 0.0
            respond_after(delay)(target, request, respond)

        async with PlatformTestbed() as testbed:
            await self.fleet(testbed, slow_first)
            reader, writer = await asyncio.open_connection(testbed.host(1), 18300)
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

    async def test_nested_call_has_the_rank_of_its_parent_request(self):
        """A nested call ranked by its own route would be shed although its parent is important."""
        ranks = []

        def call_local_node(target, request, respond):
            if header_of(request, b"x-attempt-id") == "r-1.call":
                respond_after(0.1)(target, request, respond)
                return

            async def call():
                nested = await testbed.caller(2)
                pending = asyncio.ensure_future(nested.send_request("/short/x", "r-1.call"))
                await testbed.wait_until(lambda: testbed.nodes[2].router.open_requests)
                ranks.extend(
                    one.request_state["rank"] for one in testbed.nodes[2].router.open_requests
                )
                await pending
                respond(target.response_to(request))

            self.call = asyncio.ensure_future(call())

        async with PlatformTestbed() as testbed:
            short = {**ROUTE, "prefix": "/short/", "timeout": "1300ms", "priority": 2}
            first = {**ROUTE, "priority": 0}
            testbed.store.put("op/config", manifest(2, (first, short)))
            caller = await self.fleet(testbed, call_local_node)
            response = await caller.send_request(
                "/lookup/x", "r-1", header_lines="X-Deadline-Ms: 3900\r\n"
            )
            self.assertEqual(response.status, 200)
            self.assertIn(0, ranks)

    async def test_target_whose_calls_cannot_be_routed_gets_no_new_requests(self):
        """A node restarted during a store outage has no routes for the calls of its target.

        Every request whose target makes nested calls through that node would fail.
        """

        async def respond_after_call(target, request, respond):
            nested = await testbed.caller(2)
            name = header_of(request, b"x-attempt-id")
            response = await nested.send_request("/brief/x", f"{name}.call")
            respond(target.response_to(request, status=500 if response.status == 503 else 200))

        def call_local_node(target, request, respond):
            if header_of(request, b"x-attempt-id").endswith(".call"):
                respond(target.response_to(request))
                return
            self.call = asyncio.ensure_future(respond_after_call(target, request, respond))

        async with PlatformTestbed() as testbed:
            await testbed.add_target(2, TargetStandIn("i-2", call_local_node))
            await testbed.add_node(1)
            await testbed.wait_until_listed(1)
            testbed.store.status = 503
            # Node 2 would learn the routes from node 1 at its next failed read of the store.
            testbed.nodes[1].exchange.reply_once = lambda *_arguments: None
            node = await testbed.add_node(2, service="seals")
            caller = await testbed.caller(1)
            with self.assertLogs("jacinthsail.decisions", "INFO") as logged:
                self.assertEqual((await caller.send_request("/lookup/x", "r-1")).status, 500)
            lines = [record.request_line for record in logged.records]
            # The parent links the log line of the nested call to the lookup.
            self.assertIn("r-1", [line["parent"] for line in lines if "parent" in line])
            self.assertEqual((await caller.send_request("/lookup/x", "r-2")).status, 503)
            self.assertEqual(len(testbed.targets[2].executions), 1)
            testbed.store.status = 200
            await testbed.wait_until(lambda: not node.target_queue["blocked"])

            async def served():
                return (await caller.send_request("/lookup/x", f"r-{next(numbers)}")).status == 200

            numbers = itertools.count(3)
            async with asyncio.timeout(10.0):
                while not await served():
                    await asyncio.sleep(0.1)

    async def test_draining_target_gets_no_new_requests(self):
        """The target would be stopped with requests in flight."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.0), respond_after(0.0))
            testbed.publish(2, state="draining")
            node = testbed.nodes[1]
            await testbed.wait_until(lambda: node.fleet["targets"]["i-2"].is_draining)
            before = len(testbed.targets[2].executions)
            for number in range(6):
                self.assertEqual(
                    (await caller.send_request("/lookup/x", f"r-{number}")).status, 200
                )
            self.assertEqual(len(testbed.targets[2].executions), before)

    async def test_queued_request_is_not_sent_to_a_target_whose_entry_was_removed(self):
        """It reached the target after the target had left, when a slot became free."""
        responses = []

        def respond_on_demand(target, request, respond):
            responses.append(lambda: respond(target.response_to(request)))

        async with PlatformTestbed() as testbed:
            # Requests of this route may wait for 2 s.
            testbed.store.put("op/config", manifest(2, [{**ROUTE, "targetLatency": "4000ms"}]))
            caller = await self.fleet(testbed, respond_on_demand)
            testbed.publish(2, slots=1)
            node = testbed.nodes[2]
            await testbed.wait_until(lambda: node.target_queue["slots"] == 1)
            first = asyncio.ensure_future(caller.send_request("/lookup/x", "r-1"))
            await testbed.wait_until(lambda: responses)
            other = await testbed.caller(2)
            queued = asyncio.ensure_future(other.send_request("/lookup/x", "r-2"))
            await testbed.wait_until(lambda: node.target_queue["waiting_by_ticket"])
            testbed.store.delete("servers/i-2")
            await testbed.wait_until(lambda: not node.fleet["targets"])
            responses[0]()
            self.assertEqual((await first).status, 200)
            self.assertEqual((await queued).status, 503)
            self.assertEqual(len(testbed.targets[2].executions), 1)

    async def test_request_for_a_replaced_target_is_not_executed_at_the_same_address(self):
        """A request would be executed by a service that its route does not contain."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.0))
            testbed.targets[2].incarnation = "i-other"
            response = await caller.send_request("/lookup/x", "r-1")
            self.assertEqual(response.status, 503)
            self.assertEqual(testbed.targets[2].executions, [])

    async def test_new_manifest_is_applied(self):
        """Requests would be routed by an outdated manifest.

        A later item with an older version or an invalid value must not replace it.
        """
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.0))
            testbed.store.put("op/config", manifest(2, ({**ROUTE, "prefix": "/new/"},)))
            await testbed.wait_until(lambda: testbed.nodes[1].fleet["manifest"].version == 2)
            self.assertEqual((await caller.send_request("/new/x", "r-1")).status, 200)
            self.assertEqual((await caller.send_request("/lookup/x", "r-2")).status, 404)
            testbed.store.put("op/config", manifest(1))
            testbed.store.put("op/config", b"not json")
            testbed.store.put("servers/i-9", b"{}")
            await testbed.wait_until(
                lambda: testbed.nodes[1].copy["revision"] == testbed.store.revision
            )
            self.assertEqual(testbed.nodes[1].fleet["manifest"].version, 2)
            self.assertNotIn("i-9", testbed.nodes[1].fleet["targets"])

    async def test_store_without_the_needed_history_is_read_in_full(self):
        """A node that misses a removal in the gap would send requests to the removed target."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed, respond_after(0.0), respond_after(0.0))
            node = testbed.nodes[1]
            testbed.store.status = 503
            testbed.store.put("op/config", manifest(2))
            await testbed.wait_until(lambda: node.reading["failures"] > 0)
            testbed.store.delete("servers/i-2")
            testbed.store.put("op/config", manifest(3))
            testbed.store.drop_history()
            testbed.store.status = 200
            await testbed.wait_until(lambda: node.fleet["manifest"].version == 3)
            await testbed.wait_until(lambda: "i-2" not in node.fleet["targets"])
            self.assertIn("i-3", node.fleet["targets"])

    async def test_planned_stop_finishes_requests_in_flight_and_redirects_new_ones(self):
        """A rolling restart would interrupt requests that must not be retried."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.3), respond_after(0.3))
            pending = asyncio.ensure_future(
                caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            )
            await testbed.wait_until(
                lambda: testbed.targets[2].executions or testbed.targets[3].executions
            )
            busy = 2 if testbed.targets[2].executions else 3
            stopping = asyncio.ensure_future(testbed.nodes[busy].stop())
            self.assertEqual((await pending).status, 200)
            probe = CallerStandIn()
            await probe.connect(testbed.host(busy), READY_PORT)
            self.assertEqual((await probe.send_request("/-/ready", "")).status, 503)
            loop = asyncio.get_running_loop()
            started = loop.time()
            await testbed.wait_until(lambda: testbed.nodes[busy].target_queue["stopped"])
            response = await caller.send_request("/lookup/x", "r-2")
            self.assertEqual(response.body, f"i-{5 - busy} ran r-2".encode())
            await stopping
            self.assertLess(loop.time() - started, 4.0)

    async def test_target_of_a_draining_node_is_used_until_its_ports_close(self):
        """Each target's slots would be unused for seconds during a rolling restart."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.0))
            stopping = asyncio.ensure_future(testbed.nodes[2].stop())
            await testbed.wait_until(lambda: testbed.nodes[2].is_draining)
            self.assertEqual((await caller.send_request("/lookup/x", "r-1")).status, 200)
            self.assertFalse(testbed.nodes[2].target_queue["stopped"])
            await stopping

    async def test_lookup_is_retried_after_a_lost_response(self):
        """A lookup with a lost response would time out and occupy its slot until then."""

        def lose_first_response(target, request, respond):
            if len(target.executions) > 1:
                respond(target.response_to(request))

        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, lose_first_response)
            for work_queue in testbed.nodes[2].target_queue["work_queues"].values():
                work_queue["response_count"] = MIN_RESPONSES
            loop = asyncio.get_running_loop()
            started = loop.time()
            response = await caller.send_request("/lookup/x", "r-1")
            self.assertEqual((response.status, response.body), (200, b"i-2 ran r-1"))
            self.assertLess(loop.time() - started, 2.0)
            self.assertEqual(len(testbed.targets[2].executions), 2)

    async def test_charge_is_not_retried_after_a_lost_response(self):
        """A retry would execute the charge twice."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, never_respond)
            response = await caller.send_request("/brief-charge/x", "r-1", method="POST", body=b"1")
            self.assertEqual(response.status, 504)
            self.assertEqual(len(testbed.targets[2].executions), 1)

    async def test_internal_error_of_the_node_is_reported_and_logged(self):
        """The caller would wait until its timeout, and the error would go unnoticed."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, respond_after(0.0))
            testbed.nodes[1].router.fleet["routes"] = None
            with self.assertLogs("jacinthsail.callers", "ERROR"):
                response = await caller.send_request("/lookup/x", "r-1")
            self.assertEqual(response.status, 502)

    async def test_malformed_requests_are_rejected(self):
        """A malformed request could be parsed as two requests (request smuggling).

        An oversized request could exhaust the memory.
        """
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
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed, respond_after(0.0))
            for sent, status in cases:
                with self.subTest(status=status, start=sent[:20]):
                    reader, writer = await asyncio.open_connection(testbed.host(1), 18300)
                    writer.write(sent)
                    line = await asyncio.wait_for(reader.readline(), 3.0)
                    self.assertIn(status, line)
                    writer.close()
            self.assertEqual(testbed.targets[2].executions, [])

    async def test_connection_closes_after_a_request_to_switch_protocols(self):
        """Nothing was read after it, so the next request on the connection got no response."""
        lookup = b"GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r-1\r\n"
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed, respond_after(0.0))
            reader, writer = await asyncio.open_connection(testbed.host(1), 18300)
            writer.write(lookup + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            self.assertIn(b" 200 ", head)
            self.assertIn(b"Connection: close", head)
            await asyncio.wait_for(reader.read(), 3.0)
            writer.close()
