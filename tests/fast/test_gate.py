"""Guards the futures of calls that wait for a slot."""

import asyncio
import unittest

from jacinthsail.internal.adapters.gate import AdmissionGate
from jacinthsail.internal.model.admission import FixedLimit
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.admission import is_idle
from jacinthsail.internal.queries.initial import initial_admission
from tests.common.call_factories import call_head

# Far longer than the loop needs to run what is ready.
LONG_S = 60.0


def new_gate(disabled=frozenset()):
    admission = initial_admission(0.0, disabled)
    admission["limiter"] = FixedLimit(1)
    admission["queue_length"] = 2
    return AdmissionGate(admission)


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()

    async def enter(self, gate, request_id, importance=3, lasts_s=LONG_S):
        now = self.loop.time()
        return await gate.enter(call_head(request_id, importance, deadline=now + lasts_s), now)

    async def wait_in(self, gate, request_id, **options):
        """Return the task of a call once it waits."""
        task = asyncio.ensure_future(self.enter(gate, request_id, **options))
        await asyncio.sleep(0)
        return task

    async def test_freed_slot_goes_to_the_highest_rank(self):
        """A freed slot that is not handed on would stop the queue."""
        gate = new_gate()
        first = await self.enter(gate, "first")
        low = await self.wait_in(gate, "low", importance=1)
        high = await self.wait_in(gate, "high", importance=6)
        gate.leave(first.started, None, self.loop.time())
        self.assertEqual((await high).started.head.request_id, "high")
        self.assertFalse(low.done())
        gate.leave(high.result().started, None, self.loop.time())
        gate.leave((await low).started, None, self.loop.time())
        self.assertTrue(is_idle(gate.admission))
        self.assertEqual(gate.waiters, {})

    async def test_evicted_call_is_told(self):
        """An evicted call would otherwise wait until its deadline."""
        gate = new_gate()
        await self.enter(gate, "first")
        tasks = [await self.wait_in(gate, name, importance=1) for name in ("a", "b")]
        await self.wait_in(gate, "high", importance=6)
        await asyncio.sleep(0)
        refusals = [task.result().refusal for task in tasks if task.done()]
        self.assertEqual([refusal.reason for refusal in refusals], [Reason.EVICTED])
        self.assertEqual(refusals[0].retries_left, 2)

    async def test_waiting_call_is_dropped_at_its_deadline(self):
        """A caller must hear that its call did not run, not wait for a slot any longer."""
        gate = new_gate()
        await self.enter(gate, "first")
        entry = await self.enter(gate, "late", lasts_s=0.02)
        self.assertEqual(entry.refusal.reason, Reason.DEADLINE_EXPIRED)
        self.assertEqual(len(gate.admission["queue"]), 0)

    async def test_cancelled_call_frees_its_place_and_its_slot(self):
        """A caller that leaves must not hold a slot that no call uses."""
        gate = new_gate()
        first = await self.enter(gate, "first")
        waiting = await self.wait_in(gate, "waiting")
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(len(gate.admission["queue"]), 0)
        started = await self.wait_in(gate, "started")
        gate.leave(first.started, None, self.loop.time())
        started.cancel()
        await asyncio.gather(started, return_exceptions=True)
        self.assertTrue(is_idle(gate.admission))

    async def test_without_deadline_drop_a_late_call_still_starts(self):
        """The control of scenarios on deadlines must run what is too late."""
        gate = new_gate(frozenset({Mechanism.DEADLINE_DROP}))
        first = await self.enter(gate, "first")
        late = await self.wait_in(gate, "late", lasts_s=0.01)
        await asyncio.sleep(0.03)
        gate.leave(first.started, None, self.loop.time())
        self.assertIsNotNone((await late).started)
