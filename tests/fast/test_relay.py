"""Guards the outcomes of relayed calls when connections fail."""

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
from jacinthsail.internal.queries.peers import CHECK_S, SILENCE_S
from tests.common.call_factories import call_head
from tests.common.loopback import (
    RawServer,
    call_due_in,
    entry_at,
    free_endpoint,
    new_pool,
    node_settings,
    start_server,
    until,
)

# More than the kernel buffers of both ends of a loopback connection hold.
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
        return entry_at(endpoint, vm)

    async def test_refused_connection_is_not_run(self):
        """A call that never left this node must be free to run elsewhere."""
        outcome = await self.pool.call(entry_at(free_endpoint()), call_due_in(5))
        self.assertEqual(outcome, NotRun(Reason.PEER_UNREACHABLE, 2))
        peer = self.pool.node_state["peers"]["drafts-1"]
        self.assertGreater(peer["suspected_until"], asyncio.get_running_loop().time())

    async def test_lost_connection_is_unknown(self):
        """A call whose frame was written may have run."""
        entry = await self.listen()
        call = asyncio.ensure_future(self.pool.call(entry, call_due_in(9)))
        await until(lambda: self.accepted and b"drafts" in self.accepted[0].received)
        self.accepted[0].transport.abort()
        self.assertEqual(await call, Unknown(Reason.CONNECTION_LOST, 0))

    async def lose_with_unsent_frames(self):
        entry = await self.listen(reads=False)
        calls = []
        for number in range(CALLS_TO_FILL_THE_KERNEL):
            call = call_due_in(9, LARGE_BODY, request_id=f"r{number}")
            calls.append(asyncio.ensure_future(self.pool.call(entry, call)))
        await until(lambda: self.pool.connections and self.pool.connections["drafts-1"].unsent)
        await asyncio.sleep(0)
        self.pool.connections["drafts-1"].abort()
        return await asyncio.gather(*calls)

    async def test_unsent_frame_is_not_run(self):
        """A frame that the kernel never took cannot reach the target; the first ones can."""
        outcomes = await self.lose_with_unsent_frames()
        self.assertIn(NotRun(Reason.CONNECTION_LOST, 2), outcomes)
        self.assertEqual(outcomes[0], Unknown(Reason.CONNECTION_LOST, 0))

    async def test_without_proof_a_sent_call_is_called_not_run(self):
        """The negative control must show the false outcome that the proof prevents."""
        disabled = frozenset({Mechanism.NOT_RUN_PROOF})
        self.pool = new_pool(node_settings("billing-1", "billing", disabled))
        outcomes = await self.lose_with_unsent_frames()
        self.assertEqual(outcomes[0], NotRun(Reason.CONNECTION_LOST, 2))

    async def test_deadline_in_the_unsent_queue_is_not_run(self):
        """A call that expired before it was sent must not be sent afterwards."""
        entry = await self.listen(reads=False)
        fillers = []
        for _ in range(CALLS_TO_FILL_THE_KERNEL):
            fillers.append(asyncio.ensure_future(self.pool.call(entry, call_due_in(9, LARGE_BODY))))
        await until(lambda: self.pool.connections and self.pool.connections["drafts-1"].unsent)
        outcome = await self.pool.call(entry, call_due_in(0.05))
        self.assertEqual(type(outcome), NotRun)
        for filler in fillers:
            filler.cancel()
        await asyncio.gather(*fillers, return_exceptions=True)

    async def test_silent_connection_is_replaced_and_the_others_stay(self):
        """One silent connection must settle its own calls and no others."""
        silent = await self.listen()
        other = await self.listen("drafts-2")
        first = asyncio.ensure_future(self.pool.call(silent, call_due_in(60)))
        second = asyncio.ensure_future(self.pool.call(other, call_due_in(60)))
        connections = self.pool.connections
        await until(lambda: [len(each.pending) for each in connections.values()] == [1, 1])
        loop = asyncio.get_running_loop()
        late = loop.time() + SILENCE_S + 1
        self.pool.connections["drafts-2"].last_received = late
        dead = self.pool.connections["drafts-1"]
        for connection in self.pool.open_connections():
            self.pool.check(connection, late, late - CHECK_S)
        self.assertEqual(await first, Unknown(Reason.PEER_SILENT, 0))
        self.assertFalse(second.done())
        await until(lambda: self.pool.connections.get("drafts-1") not in (None, dead))
        second.cancel()

    async def test_address_of_another_vm_is_left(self):
        """A replaced VM may reuse an address; a call for its predecessor must not go there."""
        other = new_pool(node_settings("drafts-9"))
        await other.start()
        self.addAsyncCleanup(other.stop)
        entry = entry_at(other.node_state["settings"].relay)
        outcome = await self.pool.call(entry, call_due_in(9))
        self.assertEqual(outcome, NotRun(Reason.PEER_UNREACHABLE, 2))
        self.assertEqual(self.pool.connections, {})

    async def test_frozen_peer_is_not_run(self):
        """The kernel accepts connections for a frozen process; no call may be sent into it."""
        entry = await self.listen(hello=None, reads=False)
        outcome = await self.pool.call(entry, call_due_in(9))
        self.assertEqual(outcome, NotRun(Reason.PEER_UNREACHABLE, 2))


class RelayServeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pools = {}
        for vm, service in (("drafts-1", "drafts"), ("billing-1", "billing")):
            pool = new_pool(node_settings(vm, service))
            pool.serve_own = self.answer_of(vm)
            await pool.start()
            self.addAsyncCleanup(pool.stop)
            self.pools[vm] = pool

    def answer_of(self, vm):
        async def answer(call):
            await asyncio.sleep(0)
            return Answered(200, "text/plain", vm.encode() + b" " + call.body, 1)

        return answer

    def entry(self, vm):
        settings = self.pools[vm].node_state["settings"]
        return entry_at(settings.relay, vm, settings.service)

    async def test_calls_in_both_directions_at_once(self):
        """Both ends open a connection at the same time; no call may be lost or mixed up."""
        calls = []
        for number in range(50):
            body = str(number).encode()
            to_drafts = call_due_in(9, body, service="drafts")
            to_billing = call_due_in(9, body, service="billing")
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
        """A sender with an old list must not run a call at the target of another service."""
        call = call_due_in(9, service="filings")
        outcome = await self.pools["billing-1"].call(self.entry("drafts-1"), call)
        self.assertEqual(type(outcome), NotRun)

    async def test_cancel_right_behind_its_call(self):
        """A call cancelled before its first step must not count as served for ever."""
        pool = self.pools["billing-1"]
        connection = await self.connected(pool)
        call = call_due_in(9, service="billing")
        handle_message(CallRequest(7, call, 9.0), pool, connection)
        handle_message(Cancel(7), pool, connection)
        await until(lambda: not connection.serving)

    async def test_refusal_at_the_deadline_is_not_run(self):
        """A call that expired in the peer's queue is known not to have run."""

        async def refuse(call):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(call.head.deadline - loop.time())
            return NotRun(Reason.DEADLINE_EXPIRED, 2)

        self.pools["drafts-1"].serve_own = refuse
        with patch.object(relay, "REPLY_GRACE_S", 5.0):
            outcome = await self.pools["billing-1"].call(self.entry("drafts-1"), call_due_in(0.2))
        self.assertEqual(outcome, NotRun(Reason.DEADLINE_EXPIRED, 2))

    async def test_late_reply_meets_no_other_call(self):
        """A reply to an abandoned call must not be taken for the reply to the next one."""
        release = asyncio.Event()

        async def answer(call):
            if call.body == b"slow":
                # A target that does not react to its cancellation replies all the same.
                with suppress(asyncio.CancelledError):
                    await release.wait()
            return Answered(200, "text/plain", call.body, 1)

        self.pools["drafts-1"].serve_own = answer
        pool = self.pools["billing-1"]
        slow = await pool.call(self.entry("drafts-1"), call_due_in(0.05, b"slow"))
        self.assertEqual(slow, Unknown(Reason.DEADLINE_EXPIRED, 0))
        release.set()
        for number in range(5):
            body = str(number).encode()
            outcome = await pool.call(self.entry("drafts-1"), call_due_in(9, body))
            self.assertEqual(outcome.body, body)

    async def test_lost_peer_does_not_cancel_what_must_not_run_twice(self):
        """Cancelling such a call at the target would lose the record of its answer."""
        pool = self.pools["billing-1"]
        abandoned = []
        pool.abandon_own = abandoned.append
        blocked = asyncio.Event()
        billing = call_head(service="billing", call_class="claim")
        tasks = {}
        connection = next(iter(pool.open_connections()), None) or await self.connected(pool)
        for call_id, head in ((1, billing), (2, call_head())):
            tasks[call_id] = asyncio.ensure_future(blocked.wait())
            connection.serving[call_id] = ServedCall(head, tasks[call_id])
        connection.abort()
        await until(lambda: tasks[2].cancelled())
        self.assertFalse(tasks[1].done())
        self.assertEqual(abandoned, [billing])
        blocked.set()

    async def connected(self, pool):
        await self.pools["drafts-1"].connection_to(self.entry("billing-1"))
        await until(lambda: pool.inbound)
        return next(iter(pool.inbound))
