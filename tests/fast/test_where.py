import asyncio
import contextlib
import copy
import io
import json
import unittest

from jacinthsail import cli
from jacinthsail.internal.commands.fleet import record_node_draining, record_target_unreachable
from jacinthsail.internal.model.where import WhereQuestion
from jacinthsail.internal.queries.where import answer_where, describe_where
from jacinthsail.testing.platform_stand_ins import TargetStandIn
from tests.common.platform_testbed import METRICS_PORT, ROUTE, PlatformTestbed, manifest

KEY_LINE = "X-Api-Key: k-1\r\n"
ACCOUNTS = [{"name": "opera", "apiKeys": ["k-1"], "priority": 0, "ratePerS": 9, "burst": 9}]


class WhereTest(unittest.IsolatedAsyncioTestCase):
    """Load: an operator who asks during an incident, when each further request does harm."""

    async def fleet(self, testbed, accounts=None):
        content = manifest(2, (ROUTE,))
        if accounts is not None:
            content["tenants"] = accounts
        testbed.store.put("op/config", content)
        for number in range(2, 6):
            await testbed.add_target(number, TargetStandIn(f"i-{number}"))
        await testbed.add_node(1)
        for number in range(2, 6):
            await testbed.add_node(number)
        await testbed.wait_until_listed(4)
        return testbed.nodes[1], await testbed.caller(1)

    def ask(self, node, path="/lookup/1", account=""):
        now = asyncio.get_running_loop().time()
        question = WhereQuestion("h.example", path, account, None)
        return answer_where(question, node._node_view(), now)

    async def test_answer_and_the_next_real_choice_agree(self):
        """An answer from rules of its own would mislead when it matters."""
        async with PlatformTestbed() as testbed:
            node, caller = await self.fleet(testbed)
            for number in range(12):
                answer = self.ask(node)
                response = await caller.send_request("/lookup/1", f"r-{number}")
                self.assertEqual(response.status, 200)
                ran = [name for name in testbed.targets if testbed.targets[name].executions]
                self.assertEqual([f"i-{name}" for name in ran], [answer["chosen"]])
                for target in testbed.targets.values():
                    target.executions.clear()

    async def test_question_changes_nothing(self):
        """A question that counted would change the choice that it explains."""
        async with PlatformTestbed() as testbed:
            node, _ = await self.fleet(testbed, ACCOUNTS)
            before = copy.deepcopy((node.fleet, node.target_queue, node.caps.home))
            random_state = node.router.random.getstate()
            first = self.ask(node, account="opera")
            for _ in range(5):
                self.assertEqual(self.ask(node, account="opera")["chosen"], first["chosen"])
            self.assertEqual((node.fleet, node.target_queue, node.caps.home), before)
            self.assertEqual(node.router.random.getstate(), random_state)
            self.assertEqual((first["account"], first["cap_per_s"]), ("opera", 9.0))
            self.assertIn(first["cap_home"], {testbed.host(number) for number in range(2, 6)})

    async def test_targets_that_are_left_out_have_a_reason(self):
        """An operator would not see why a target gets no requests."""
        async with PlatformTestbed() as testbed:
            node, _ = await self.fleet(testbed)
            now = asyncio.get_running_loop().time()
            record_target_unreachable(node.fleet, "i-2", now)
            record_node_draining(node.fleet, ("i-3",), now)
            answer = self.ask(node)
            reasons = {one["target"]: one["left_out"] for one in answer["candidates"]}
            self.assertIn("unreachable", reasons["i-2"])
            self.assertIn("stopping", reasons["i-3"])
            self.assertEqual((reasons["i-4"], reasons["i-5"]), ("", ""))
            self.assertIn(answer["chosen"], ("i-4", "i-5"))

    async def test_refusals_are_those_of_real_requests(self):
        """The answer would say that a request is sent that the node refuses."""
        async with PlatformTestbed() as testbed:
            node, caller = await self.fleet(testbed, ACCOUNTS)
            for path, account, lines in (
                ("/none/1", "", ""),
                ("/lookup/1", "", ""),
                ("/lookup/1", "nobody", "X-Api-Key: k-9\r\n"),
            ):
                with self.subTest(path=path, account=account):
                    answer = self.ask(node, path, account)
                    response = await caller.send_request(path, "r-1", header_lines=lines)
                    self.assertEqual(answer["status"], response.status)
                    self.assertNotEqual(answer["decision"], "send")
                    self.assertIn("refused", describe_where(answer)[0])

    async def test_command_asks_the_node(self):
        """The tool would show the answer of another request, or none."""
        async with PlatformTestbed() as testbed:
            node, _ = await self.fleet(testbed)
            arguments = ["where", "--node", f"{testbed.host(1)}:{METRICS_PORT}"]
            arguments += ["--host", "h.example", "--path", "/lookup/1", "--json"]
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                status = await asyncio.to_thread(cli.run, arguments)
            self.assertEqual(status, 0)
            answer = json.loads(output.getvalue())
            self.assertEqual(answer["route"], "lookup")
            self.assertEqual(len(answer["candidates"]), 4)
            self.assertEqual(answer["chosen"], self.ask(node)["chosen"])
