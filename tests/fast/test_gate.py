"""Guards the queue of calls that wait for a slot of the local target."""

import asyncio
import unittest

from jacinthsail.internal.adapters.gate import AdmissionGate
from jacinthsail.internal.model.admission import FixedLimit
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.admission import is_idle
from jacinthsail.internal.queries.initial import initial_admission
from tests.common.call_factories import call_context

# Far longer than the event loop needs to run all ready callbacks.
LONG_S = 60.0


def new_gate(disabled=frozenset()):
    admission = initial_admission(0.0, disabled)
    admission["limiter"] = FixedLimit(1)
    admission["queue_length"] = 2
    return AdmissionGate(admission)


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()

    async def acquire_slot(self, gate, request_id, importance=3, remaining_s=LONG_S):
        now = self.loop.time()
        return await gate.acquire_slot(
            call_context(request_id, importance, deadline=now + remaining_s), now
        )

    async def enqueue(self, gate, request_id, **options):
        """Return the task of a call once it is queued."""
        task = asyncio.ensure_future(self.acquire_slot(gate, request_id, **options))
        await asyncio.sleep(0)
        return task

    async def test_freed_slot_goes_to_the_highest_rank(self):
        """A freed slot that is not given to a queued call would stall the queue."""
        gate = new_gate()
        first = await self.acquire_slot(gate, "first")
        low = await self.enqueue(gate, "low", importance=1)
        high = await self.enqueue(gate, "high", importance=6)
        gate.release_slot(first.started, None, self.loop.time())
        self.assertEqual((await high).started.context.request_id, "high")
        self.assertFalse(low.done())
        gate.release_slot(high.result().started, None, self.loop.time())
        gate.release_slot((await low).started, None, self.loop.time())
        self.assertTrue(is_idle(gate.admission))
        self.assertEqual(gate.waiters, {})

    async def test_evicted_call_is_refused(self):
        """An evicted call would otherwise wait until its deadline."""
        gate = new_gate()
        await self.acquire_slot(gate, "first")
        tasks = [await self.enqueue(gate, name, importance=1) for name in ("a", "b")]
        await self.enqueue(gate, "high", importance=6)
        await asyncio.sleep(0)
        refusals = [task.result().refusal for task in tasks if task.done()]
        self.assertEqual([refusal.reason for refusal in refusals], [Reason.EVICTED])
        self.assertEqual(refusals[0].retries_left, 2)

    async def test_queued_call_is_refused_at_its_deadline(self):
        """A caller would wait past its deadline although its call can no longer run."""
        gate = new_gate()
        await self.acquire_slot(gate, "first")
        result = await self.acquire_slot(gate, "late", remaining_s=0.02)
        self.assertEqual(result.refusal.reason, Reason.DEADLINE_EXPIRED)
        self.assertEqual(len(gate.admission["queue"]), 0)

    async def test_cancelled_call_leaves_the_queue_and_frees_its_slot(self):
        """A caller that disconnects would keep a slot that no call uses."""
        gate = new_gate()
        first = await self.acquire_slot(gate, "first")
        waiting = await self.enqueue(gate, "waiting")
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(len(gate.admission["queue"]), 0)
        started = await self.enqueue(gate, "started")
        gate.release_slot(first.started, None, self.loop.time())
        started.cancel()
        await asyncio.gather(started, return_exceptions=True)
        self.assertTrue(is_idle(gate.admission))

    async def test_without_deadline_drop_a_late_call_still_starts(self):
        """The negative control of the deadline scenarios must run expired calls."""
        gate = new_gate(frozenset({Mechanism.DEADLINE_DROP}))
        first = await self.acquire_slot(gate, "first")
        late = await self.enqueue(gate, "late", remaining_s=0.01)
        await asyncio.sleep(0.03)
        gate.release_slot(first.started, None, self.loop.time())
        self.assertIsNotNone((await late).started)
