"""Tests the retry allowance of a request while the dispatcher handles its calls."""

import asyncio
import unittest
from random import Random

from jacinthsail.internal.adapters import dispatcher as dispatcher_module
from jacinthsail.internal.adapters.dispatcher import Dispatcher
from jacinthsail.internal.commands.admission import apply_service_policy
from jacinthsail.internal.model.calls import Answered, Call, NotRun, Reason, Unknown
from jacinthsail.internal.model.document import FixedLimitPolicy
from jacinthsail.testing.fake_target import service_policy_with
from tests.common.call_factories import call_context
from tests.fast.test_early_refusal import entry_state


class PoolDouble:
    """Refuses every relayed call and counts the attempts."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.attempts = 0

    async def call(self, entry, call):
        self.attempts += 1
        await asyncio.sleep(0)
        if self.attempts <= self.refusals:
            return NotRun(Reason.QUEUE_FULL, call.context.retries_left)
        return Answered(200, "", b"", call.context.retries_left)


class NestedRetriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.state = entry_state()
        policy = service_policy_with(FixedLimitPolicy(10))
        apply_service_policy(self.state["admission"], policy, self.loop.time())

    def dispatcher(self, refusals):
        return Dispatcher(self.state, None, PoolDouble(refusals), Random(1))

    def call(self, **changes):
        context = call_context(importance=1, deadline=self.loop.time() + 5, **changes)
        return Call(context, "", b"")

    def replace_target(self, target):
        original = dispatcher_module.call_target
        self.addCleanup(setattr, dispatcher_module, "call_target", original)
        dispatcher_module.call_target = target

    async def test_finished_request_leaves_no_entry(self):
        """Allowances of finished requests would exhaust the memory of the node."""
        outcome = await self.dispatcher(refusals=1).serve_call(self.call())
        self.assertEqual(outcome, Answered(200, "", b"", 1))
        self.assertEqual(self.state["retries"]["allowances"], {})

    async def test_cancelled_call_at_the_target_leaves_no_entry(self):
        """Calls cancelled by their callers must not leak allowances."""

        async def never_respond(session, endpoint, call, now):
            await asyncio.Event().wait()

        self.replace_target(never_respond)
        task = asyncio.ensure_future(self.dispatcher(0).serve_locally(self.call()))
        await asyncio.sleep(0)
        self.assertEqual(len(self.state["retries"]["allowances"]), 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.state["retries"]["allowances"], {})
        self.assertEqual(self.state["admission"]["in_flight"], {})

    async def test_parallel_nested_calls_share_one_allowance(self):
        """Separate retries for each nested call would multiply attempts at every level."""
        served = self.dispatcher(refusals=100)

        async def call_three(session, endpoint, call, now):
            nested = [served.serve_call(self.call(depth=1)) for _ in range(3)]
            await asyncio.gather(*nested)
            return Answered(200, "", b"", call.context.retries_left)

        self.replace_target(call_three)
        outcome = await served.serve_locally(self.call(retries_left=2))
        self.assertLessEqual(served.relay_pool.attempts, 3 + 2)
        self.assertEqual(outcome.retries_left, 0)
        self.assertEqual(self.state["retries"]["allowances"], {})

    async def test_reply_to_a_nested_call_is_not_the_outcome_of_its_parent(self):
        """A target that passes on the reply to its nested call has executed the parent call."""
        served = self.dispatcher(refusals=100)

        async def return_nested_reply(session, endpoint, call, now):
            await served.serve_call(self.call(depth=1))
            return NotRun(Reason.TARGET_REFUSED, 0)

        self.replace_target(return_nested_reply)
        outcome = await served.serve_locally(self.call(retries_left=0))
        self.assertEqual(outcome, Unknown(Reason.TARGET_REFUSED, 0))

    async def test_nested_call_that_outlives_its_parent_leaves_no_entry(self):
        """Nested calls that end after their parent must not leak allowances."""
        served = self.dispatcher(refusals=0)
        nested = []

        async def respond_first(session, endpoint, call, now):
            nested.append(asyncio.ensure_future(served.serve_call(self.call(depth=1))))
            return Answered(200, "", b"", call.context.retries_left)

        self.replace_target(respond_first)
        await served.serve_locally(self.call())
        await asyncio.gather(*nested)
        self.assertEqual(self.state["retries"]["allowances"], {})
