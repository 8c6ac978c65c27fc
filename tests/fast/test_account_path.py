"""Guards the path of requests with keys through nodes, with stand-ins for the platform."""

import asyncio
import unittest

from jacinthsail.internal.adapters.boot_clock import boot_time
from jacinthsail.internal.commands.caps import open_bucket
from jacinthsail.internal.model.accounts import AccountCap
from jacinthsail.testing.platform_stand_ins import TargetStandIn, header_of
from tests.common.platform_testbed import (
    CALLERS_PORT,
    CHARGE_ROUTE,
    METRICS_PORT,
    ROUTE,
    PlatformTestbed,
    manifest,
)

KEY = "k-secret-1"
KEY_LINE = f"X-Api-Key: {KEY}\r\n"
ACCOUNTS = [{"name": "opera", "apiKeys": [KEY], "priority": 0}]
PUBLIC_ROUTE = {**ROUTE, "name": "open", "prefix": "/open/", "public": True}


def with_accounts(version, accounts=ACCOUNTS):
    return {**manifest(version, (ROUTE, CHARGE_ROUTE, PUBLIC_ROUTE)), "tenants": accounts}


class AccountPathTest(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, testbed, revocation_s=None):
        """Start node 1 without a target and node 2 with one; return a caller of node 1."""
        testbed.store.put("op/config", with_accounts(2))
        await testbed.add_target(2, TargetStandIn("i-2"))
        for number in (1, 2):
            await testbed.add_node(number, revocation_s=revocation_s)
        await testbed.wait_until_listed(1)
        return await testbed.caller(1)

    async def test_target_gets_the_account_and_never_the_key(self):
        """A key at a target could be used by whoever operates it."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed)
            lines = KEY_LINE + "X-Tenant-Id: choir\r\nx-tenant-id: choir\r\n"
            response = await caller.send_request("/lookup/1", "r-1", header_lines=lines)
            self.assertEqual(response.status, 200)
            (execution,) = testbed.targets[2].executions
            names = [name.lower() for name, _ in execution.headers]
            self.assertEqual(names.count(b"x-tenant-id"), 1)
            self.assertEqual(header_of(execution, b"x-tenant-id"), "opera")
            self.assertNotIn(KEY, str(execution))
            page = await self.metrics_page(testbed)
            self.assertNotIn(KEY.encode(), page)
            self.assertIn(b"jacinthsail_accounts 1", page)
            self.assertIn(b"jacinthsail_knowledge_age_s ", page)

    async def metrics_page(self, testbed):
        reader, writer = await asyncio.open_connection(testbed.host(1), METRICS_PORT)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")
        page = await reader.read()
        writer.close()
        return page

    async def test_callers_without_a_valid_key_are_refused(self):
        """Callers that nobody knows would be served; two keys could be those of two accounts."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed)
            for lines in ("", "X-Api-Key: \r\n", "X-Api-Key: k-other\r\n", KEY_LINE * 2):
                with self.subTest(lines=lines):
                    response = await caller.send_request("/charge/1", "r-1", header_lines=lines)
                    self.assertEqual(response.status, 401)
            self.assertEqual(testbed.targets[2].executions, [])

    async def test_public_route_needs_no_key(self):
        """Callers of a public page have no account."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed)
            lines = "X-Tenant-Id: choir\r\n"
            response = await caller.send_request("/open/1", "r-1", header_lines=lines)
            self.assertEqual(response.status, 200)
            (execution,) = testbed.targets[2].executions
            self.assertEqual(header_of(execution, b"x-tenant-id"), "")

    async def test_trailers_are_not_headers_of_the_request(self):
        """A trailer could replace the id, the account or the time of the request."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            reader, writer = await asyncio.open_connection(testbed.host(1), CALLERS_PORT)
            writer.write(
                b"POST /charge/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r-1\r\n"
                b"X-Api-Key: " + KEY.encode() + b"\r\n"
                b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                b"3\r\nabc\r\n0\r\nX-Attempt-Id: r-2\r\nX-Tenant-Id: choir\r\nX-Evil: 1\r\n\r\n"
            )
            response = await reader.read()
            writer.close()
            self.assertIn(b"200 OK", response)
            (execution,) = testbed.targets[2].executions
            self.assertEqual(header_of(execution, b"x-attempt-id"), "r-1")
            self.assertEqual(header_of(execution, b"x-tenant-id"), "opera")
            self.assertEqual(header_of(execution, b"x-evil"), "")
            self.assertEqual(execution.body, b"abc")

    async def test_account_at_its_cap_is_refused_at_every_node(self):
        """An account could multiply its cap by the number of nodes."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed)
            other = await testbed.caller(2)
            capped = [{**ACCOUNTS[0], "ratePerS": 0.01, "burst": 3}]
            testbed.store.put("op/config", with_accounts(3, capped))
            for node in testbed.nodes.values():
                await testbed.wait_until(lambda node=node: node.fleet["manifest"].version == 3)
                # The bucket fills slowly, so the test opens it filled.
                open_bucket(node.caps.home, "opera", AccountCap(3.0, 3.0), 0.0, boot_time())
            statuses = []
            for number in range(6):
                one = (caller, other)[number % 2]
                response = await one.send_request("/lookup/1", "r-1", header_lines=KEY_LINE)
                statuses.append(response.status)
            self.assertEqual(statuses.count(200), 3)
            self.assertEqual(statuses.count(429), 3)
            retry_after = dict(response.headers)[b"retry-after"]
            self.assertGreater(float(retry_after), 0.0)
            self.assertEqual(len(testbed.targets[2].executions), 3)

    async def test_withdrawn_key_is_refused(self):
        """A customer whose contract ended would go on to call."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, revocation_s=3.0)
            await self.wait_until_served(caller)
            testbed.store.put("op/config", with_accounts(3, []))
            node = testbed.nodes[1]
            await testbed.wait_until(lambda: node.fleet["manifest"].version == 3)
            response = await caller.send_request("/lookup/1", "r-1", header_lines=KEY_LINE)
            self.assertEqual(response.status, 401)

    async def wait_until_served(self, caller):
        async with asyncio.timeout(5.0):
            while True:
                response = await caller.send_request("/lookup/1", "r-0", header_lines=KEY_LINE)
                if response.status == 200:
                    return
                await asyncio.sleep(0.05)

    async def test_keys_are_refused_without_proof_and_public_routes_are_not(self):
        """A node that is cut off from the store would serve keys that were withdrawn since."""
        async with PlatformTestbed() as testbed:
            caller = await self.fleet(testbed, revocation_s=1.5)
            await self.wait_until_served(caller)
            testbed.store.status = 503
            for node in testbed.nodes.values():
                await testbed.wait_until(lambda node=node: not node.router.check_keys(0).is_proven)
            response = await caller.send_request("/lookup/1", "r-1", header_lines=KEY_LINE)
            self.assertEqual(response.status, 503)
            response = await caller.send_request("/open/1", "r-2")
            self.assertEqual(response.status, 200)
            testbed.store.status = 200
            await self.wait_until_served(caller)


class StoreEraPathTest(unittest.IsolatedAsyncioTestCase):
    async def test_store_that_went_back_loses_neither_the_manifest_nor_later_writes(self):
        """Revisions that are given out again would be taken for known ones, so that a target that
        left, or the manifest that was lost, stayed in force as the old copy had it."""
        async with PlatformTestbed() as testbed:
            await testbed.add_target(2, TargetStandIn("i-2"))
            for number in (1, 2, 3):
                await testbed.add_node(number)
            await testbed.wait_until_listed(1)
            store = testbed.store
            copy, revision = dict(store.items), store.revision
            store.put("op/config", manifest(2))
            await testbed.add_target(3, TargetStandIn("i-3"))
            await testbed.wait_until_listed(2)
            store.go_back(copy, revision)
            nodes = testbed.nodes.values()
            for node in nodes:
                await testbed.wait_until(lambda node=node: node.copy["era"] == 1)
                self.assertEqual(node.fleet["manifest"].version, 2)
            # The lost write of the target is never repeated, so its entry is dropped.
            await testbed.wait_until_listed(1)
            store.put("op/config", manifest(3))
            for node in nodes:
                await testbed.wait_until(lambda node=node: node.fleet["manifest"].version == 3)
