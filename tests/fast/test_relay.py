"""Tests that relayed calls get a true outcome when connections fail."""

import asyncio
import unittest
from contextlib import suppress
from unittest.mock import patch

from jacinthsail.internal.adapters import relay
from jacinthsail.internal.adapters.connection import ServedCall
from jacinthsail.internal.adapters.relay import handle_message
from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.messages import CallRequest, Cancel
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.peers import CONNECTION_CHECK_INTERVAL_S, SILENCE_TIMEOUT_S
from tests.common.call_factories import call_context
from tests.common.loopback import (
    RawServer,
    call_with_deadline_in,
    free_endpoint,
    new_pool,
    node_settings,
    start_server,
    vm_entry_at,
    wait_until,
)

# Enough calls to overfill the kernel buffers at both ends of a loopback connection.
CALLS_TO_FILL_THE_KERNEL = 40
LARGE_BODY = b"x" * 500_000


class RelayLossTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.accepted = []
        self.pool = new_pool(node_settings("billing-1", "billing"))
        self.addCleanup(self.end_connections)

    def end_connections(self):
        for connection in self.pool.open_connections():
            connection.abort()

    async def listen(self, vm="drafts-1", **changes):
        changes = {"hello": vm, **changes}
        server, endpoint = await start_server(lambda: RawServer(self.accepted, **changes))
        self.addCleanup(server.close)
        return vm_entry_at(endpoint, vm)

    async def test_refused_connection_is_not_run(self):
        """A call that never left this node must be reported not-run, so that it can be retried."""
        outcome = await self.pool.call(vm_entry_at(free_endpoint()), call_with_deadline_in(5))
        self.assertEqual(outcome, NotRun(Reason.PEER_UNREACHABLE, 2))
        peer = self.pool.node_state["peers"]["drafts-1"]
        self.assertGreater(peer["suspected_until"], asyncio.get_running_loop().time())

    async def test_lost_connection_is_unknown(self):
        """A call whose frame was written may have been executed, so it must not be not-run."""
        entry = await self.listen()
        call = asyncio.ensure_future(self.pool.call(entry, call_with_deadline_in(9)))
        await wait_until(lambda: self.accepted and b"drafts" in self.accepted[0].received)
        self.accepted[0].transport.abort()
        self.assertEqual(await call, Unknown(Reason.CONNECTION_LOST, 0))

    async def lose_with_unsent_frames(self):
        entry = await self.listen(reads=False)
        calls = []
        for number in range(CALLS_TO_FILL_THE_KERNEL):
            call = call_with_deadline_in(9, LARGE_BODY, request_id=f"r{number}")
            calls.append(asyncio.ensure_future(self.pool.call(entry, call)))
        await wait_until(lambda: self.pool.connections and self.pool.connections["drafts-1"].unsent)
        await asyncio.sleep(0)
        self.pool.connections["drafts-1"].abort()
        return await asyncio.gather(*calls)

    async def test_unsent_frame_is_not_run(self):
        """A frame that was never passed to the kernel cannot reach the target; earlier ones can."""
        outcomes = await self.lose_with_unsent_frames()
        self.assertIn(NotRun(Reason.CONNECTION_LOST, 2), outcomes)
        self.assertEqual(outcomes[0], Unknown(Reason.CONNECTION_LOST, 0))

    async def test_without_proof_a_sent_call_is_reported_not_run(self):
        """Negative control: without the proof, a sent call gets the false outcome not-run."""
        disabled = frozenset({Mechanism.NOT_RUN_PROOF})
        self.pool = new_pool(node_settings("billing-1", "billing", disabled))
        outcomes = await self.lose_with_unsent_frames()
        self.assertEqual(outcomes[0], NotRun(Reason.CONNECTION_LOST, 2))

    async def test_deadline_in_the_unsent_queue_is_not_run(self):
        """A call that expired while it was unsent must be discarded, not sent afterwards."""
        entry = await self.listen(reads=False)
        fillers = []
        for _ in range(CALLS_TO_FILL_THE_KERNEL):
            fillers.append(
                asyncio.ensure_future(self.pool.call(entry, call_with_deadline_in(9, LARGE_BODY)))
            )
        await wait_until(lambda: self.pool.connections and self.pool.connections["drafts-1"].unsent)
        outcome = await self.pool.call(entry, call_with_deadline_in(0.05))
        self.assertEqual(type(outcome), NotRun)
        for filler in fillers:
            filler.cancel()
        await asyncio.gather(*fillers, return_exceptions=True)

    async def test_silent_connection_is_replaced_and_the_others_stay(self):
        """A silent connection must end its own calls but no calls of other connections."""
        silent = await self.listen()
        other = await self.listen("drafts-2")
        first = asyncio.ensure_future(self.pool.call(silent, call_with_deadline_in(60)))
        second = asyncio.ensure_future(self.pool.call(other, call_with_deadline_in(60)))
        connections = self.pool.connections
        await wait_until(lambda: [len(each.pending) for each in connections.values()] == [1, 1])
        loop = asyncio.get_running_loop()
        late = loop.time() + SILENCE_TIMEOUT_S + 1
        self.pool.connections["drafts-2"].last_received = late
        dead = self.pool.connections["drafts-1"]
        for connection in self.pool.open_connections():
            self.pool.check_connection(connection, late, late - CONNECTION_CHECK_INTERVAL_S)
        self.assertEqual(await first, Unknown(Reason.PEER_SILENT, 0))
        self.assertFalse(second.done())
        await wait_until(lambda: self.pool.connections.get("drafts-1") not in (None, dead))
        second.cancel()

    async def test_connection_to_another_vm_is_closed(self):
        """A new VM may reuse an address; a call for the previous VM must not be sent to it."""
        other = new_pool(node_settings("drafts-9"))
        await other.start()
        self.addAsyncCleanup(other.stop)
        entry = vm_entry_at(other.node_state["settings"].relay)
        outcome = await self.pool.call(entry, call_with_deadline_in(9))
        self.assertEqual(outcome, NotRun(Reason.PEER_UNREACHABLE, 2))
        self.assertEqual(self.pool.connections, {})

    async def test_frozen_peer_is_not_run(self):
        """The kernel accepts connections for a frozen process; no call may be sent to it."""
        entry = await self.listen(hello=None, reads=False)
        outcome = await self.pool.call(entry, call_with_deadline_in(9))
        self.assertEqual(outcome, NotRun(Reason.PEER_UNREACHABLE, 2))


class RelayServeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pools = {}
        for vm, service in (("drafts-1", "drafts"), ("billing-1", "billing")):
            pool = new_pool(node_settings(vm, service))
            pool.serve_locally = self.responder_for(vm)
            await pool.start()
            self.addAsyncCleanup(pool.stop)
            self.pools[vm] = pool

    def responder_for(self, vm):
        async def respond(call):
            await asyncio.sleep(0)
            return Answered(200, "text/plain", vm.encode() + b" " + call.body, 1)

        return respond

    def entry(self, vm):
        settings = self.pools[vm].node_state["settings"]
        return vm_entry_at(settings.relay, vm, settings.service)

    async def test_calls_in_both_directions_at_once(self):
        """When both ends open a connection at the same time, no call may be lost or mixed up."""
        calls = []
        for number in range(50):
            body = str(number).encode()
            to_drafts = call_with_deadline_in(9, body, service="drafts")
            to_billing = call_with_deadline_in(9, body, service="billing")
            calls.append(self.pools["billing-1"].call(self.entry("drafts-1"), to_drafts))
            calls.append(self.pools["drafts-1"].call(self.entry("billing-1"), to_billing))
        bodies = [outcome.body for outcome in await asyncio.gather(*calls)]
        expected = []
        for number in range(50):
            expected += [f"drafts-1 {number}".encode(), f"billing-1 {number}".encode()]
        self.assertEqual(bodies, expected)
        for pool in self.pools.values():
            for peer in pool.node_state["peers"].values():
                self.assertEqual(peer["in_flight"], 0)

    async def test_call_for_another_service_is_not_run(self):
        """A sender with a stale VM list must not execute a call at a target of another service."""
        call = call_with_deadline_in(9, service="filings")
        outcome = await self.pools["billing-1"].call(self.entry("drafts-1"), call)
        self.assertEqual(type(outcome), NotRun)

    async def test_cancel_immediately_after_its_call(self):
        """A call that is cancelled before its task's first step must not stay in ``serving``."""
        pool = self.pools["billing-1"]
        connection = await self.connected(pool)
        call = call_with_deadline_in(9, service="billing")
        handle_message(CallRequest(7, call, 9.0), pool, connection)
        handle_message(Cancel(7), pool, connection)
        await wait_until(lambda: not connection.serving)

    async def test_refusal_at_the_deadline_is_not_run(self):
        """A call that expired in the peer's queue must be not-run instead of unknown."""

        async def refuse(call):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(call.context.deadline - loop.time())
            return NotRun(Reason.DEADLINE_EXPIRED, 2)

        self.pools["drafts-1"].serve_locally = refuse
        with patch.object(relay, "REPLY_GRACE_S", 5.0):
            outcome = await self.pools["billing-1"].call(
                self.entry("drafts-1"), call_with_deadline_in(0.2)
            )
        self.assertEqual(outcome, NotRun(Reason.DEADLINE_EXPIRED, 2))

    async def test_late_reply_is_not_taken_for_another_call(self):
        """A late reply to an abandoned call must not become the reply to the next call."""
        release = asyncio.Event()

        async def respond(call):
            if call.body == b"slow":
                # A target that ignores its cancellation still replies.
                with suppress(asyncio.CancelledError):
                    await release.wait()
            return Answered(200, "text/plain", call.body, 1)

        self.pools["drafts-1"].serve_locally = respond
        pool = self.pools["billing-1"]
        slow = await pool.call(self.entry("drafts-1"), call_with_deadline_in(0.05, b"slow"))
        self.assertEqual(slow, Unknown(Reason.DEADLINE_EXPIRED, 0))
        release.set()
        for number in range(5):
            body = str(number).encode()
            outcome = await pool.call(self.entry("drafts-1"), call_with_deadline_in(9, body))
            self.assertEqual(outcome.body, body)

    async def test_lost_peer_does_not_cancel_at_most_once_call(self):
        """Cancelling an at-most-once call at the target would lose the record of its response."""
        pool = self.pools["billing-1"]
        abandoned = []
        pool.abandon_local_call = abandoned.append
        blocked = asyncio.Event()
        billing = call_context(service="billing", call_class="claim")
        tasks = {}
        connection = next(iter(pool.open_connections()), None) or await self.connected(pool)
        for call_id, context in ((1, billing), (2, call_context())):
            tasks[call_id] = asyncio.ensure_future(blocked.wait())
            connection.serving[call_id] = ServedCall(context, tasks[call_id])
        connection.abort()
        await wait_until(lambda: tasks[2].cancelled())
        self.assertFalse(tasks[1].done())
        self.assertEqual(abandoned, [billing])
        blocked.set()

    async def connected(self, pool):
        await self.pools["drafts-1"].connection_to(self.entry("billing-1"))
        await wait_until(lambda: pool.inbound)
        return next(iter(pool.inbound))
