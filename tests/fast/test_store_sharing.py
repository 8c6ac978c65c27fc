"""Tests that few nodes read the store and all learn its changes, with nodes on loopback."""

import asyncio
import unittest
from unittest import mock

from jacinthsail.internal.adapters import store_follower
from jacinthsail.internal.model.store_sources import StoreRole
from jacinthsail.testing.platform_stand_ins import TargetStandIn
from tests.common.platform_testbed import PlatformTestbed, manifest

NODES = 6
READERS = 2

# Changes must be in force within this time after the store acknowledged them.
APPLY_WITHIN_S = 2.0

# Within this time readers recover from changes that they cannot read.
RECOVERY_S = 20.0


def freeze_links(node):
    """Stop reading and writing on all connections to peers, as if the process were frozen."""
    links = node.links
    outbound = [link.connection for link in links.links.values() if link.connection is not None]
    for connection in [*links.inbound, *outbound]:
        connection.transport.pause_reading()
        connection.send_frame = lambda *_arguments: None
    # The kernel still completes new connections.
    for listener in links.server.sockets:
        links.loop.remove_reader(listener.fileno())


class StoreSharingTest(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, testbed):
        for number in range(1, NODES + 1):
            await testbed.add_target(number, TargetStandIn(f"i-{number}"))
        for number in range(1, NODES + 1):
            await testbed.add_node(number, service="seals")
        await testbed.wait_until_listed(NODES)
        await testbed.wait_until(lambda: len(self.readers(testbed)) == READERS)

    def readers(self, testbed):
        return [
            number
            for number, node in testbed.nodes.items()
            if not node.should_stop and node.sources["role"] is StoreRole.READER
        ]

    def followers(self, testbed):
        roles = [node.sources["role"] for node in testbed.nodes.values()]
        return roles.count(StoreRole.FOLLOWER)

    async def wait_for_version(self, testbed, version):
        for node in testbed.nodes.values():
            if node.should_stop:
                continue
            await testbed.wait_until(lambda node=node: node.fleet["manifest"].version == version)

    async def test_two_nodes_read_and_all_learn_a_change(self):
        """The calls to the store would grow with the number of nodes."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            await asyncio.sleep(1.0)
            before = testbed.store.calls
            testbed.store.put("op/config", manifest(2))
            await self.wait_for_version(testbed, 2)
            await asyncio.sleep(2.0)
            # Each of two readers calls at most once per pause of 0.4 s.
            self.assertLessEqual(testbed.store.calls - before, READERS * 5 + 2)

    async def test_change_is_learned_after_both_readers_ended(self):
        """The other nodes would keep the manifest that they had."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            for number in self.readers(testbed):
                node = testbed.nodes.pop(number)
                node.settings = node.settings._replace(grace_s=0.0)
                await node.stop()
            testbed.store.put("op/config", manifest(2))
            await self.wait_for_version(testbed, 2)

    async def test_change_is_learned_in_time_while_the_readers_are_silent(self):
        """Frozen readers keep their connections open; their followers waited 3 s for them."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            await testbed.wait_until(lambda: self.followers(testbed) == NODES - READERS)
            # Reads that the followers began before still return the next change.
            await asyncio.sleep(2.5)
            for number in self.readers(testbed):
                node = testbed.nodes.pop(number)
                freeze_links(node)
                self.addAsyncCleanup(node.stop)
                node.settings = node.settings._replace(grace_s=0.0)
            testbed.store.put("op/config", manifest(2))
            async with asyncio.timeout(APPLY_WITHIN_S):
                await self.wait_for_version(testbed, 2)

    async def test_odd_entries_do_not_stop_the_followers(self):
        """One unreadable entry of another writer could end the nodes or stop their updates."""
        odd = (
            b"[" * 100_000,
            b'{"concurrency": ' + b"9" * 10_000 + b"}",
            b'{"service": "seals", "address": "127.7.1.9:70000", "zone": "manila",'
            b' "concurrency": 1, "state": "ready", "warmupLeft": "0ms"}',
            b"\xff\xfe",
            b"null",
        )
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            for number, body in enumerate(odd):
                testbed.store.put(f"servers/odd-{number}", body)
            testbed.store.put("op/config", manifest(2))
            await self.wait_for_version(testbed, 2)
            testbed.store.drop_history()
            testbed.store.put("op/config", manifest(3))
            await self.wait_for_version(testbed, 3)
            for node in testbed.nodes.values():
                self.assertEqual(len(node.fleet["targets"]), NODES)

    async def test_large_entries_do_not_stop_the_followers(self):
        """Nodes kept 24 MB of unreadable entries, more than one message between nodes can carry."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            for number in range(24):
                testbed.store.put(f"servers/i-odd-{number}", b"[" * 1_000_000)
                if number % 4 == 3:
                    testbed.store.put("op/config", manifest(number))
                    await self.wait_for_version(testbed, number)
            # A node that lacks the older changes gets all items in one message.
            late = NODES + 1
            await testbed.add_target(late, TargetStandIn(f"i-{late}"))
            node = await testbed.add_node(late, service="seals")
            await testbed.wait_until(lambda: node.is_ready())
            testbed.store.put("op/config", manifest(30))
            await self.wait_for_version(testbed, 30)
            for node in testbed.nodes.values():
                held = sum(len(item.body) for item in node.copy["items"].values())
                self.assertLess(held, 100_000)

    async def test_changes_too_large_for_one_response_do_not_stop_the_readers(self):
        """Each read of them failed until the store forgot its history."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            for number in range(24):
                testbed.store.put(f"servers/i-odd-{number}", b"[" * 1_000_000)
            testbed.store.put("op/config", manifest(2))
            async with asyncio.timeout(RECOVERY_S):
                while any(node.fleet["manifest"].version != 2 for node in testbed.nodes.values()):
                    await asyncio.sleep(0.05)

    async def test_unexpected_error_does_not_stop_the_followers(self):
        """One error in the code that applies a change would end the process, at every node."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            for node in testbed.nodes.values():
                client = node.dialects.store
                decode, failures = client.decode, [RuntimeError("unexpected")]

                def decode_or_fail(item, decode=decode, failures=failures):
                    if failures:
                        raise failures.pop()
                    return decode(item)

                client.decode = decode_or_fail
            testbed.store.put("op/config", manifest(2))
            await asyncio.sleep(1.5)
            testbed.store.put("op/config", manifest(3))
            await self.wait_for_version(testbed, 3)

    async def test_removed_target_leaves_every_node_after_a_failed_read(self):
        """One failed read of one reader kept removed targets in use at all nodes that follow it."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            reader = testbed.nodes[self.readers(testbed)[0]]
            await testbed.wait_until(lambda: testbed.store.watches)
            for connection in list(testbed.store.port.connections):
                connection.abort()
            await testbed.wait_until(lambda: reader.reading["failures"] > 0)
            await testbed.wait_until(lambda: reader.reading["failures"] == 0)
            testbed.store.delete("servers/i-1")
            async with asyncio.timeout(2.0):
                for node in testbed.nodes.values():
                    await testbed.wait_until(lambda node=node: "i-1" not in node.fleet["targets"])

    async def test_unexpected_error_of_a_periodic_task_does_not_end_the_node(self):
        """The exception of one check of timeouts or settings would end the process."""
        async with PlatformTestbed() as testbed:
            node = await testbed.add_node(1)
            await testbed.wait_until(node.is_ready)

            def fail(*_arguments):
                raise RuntimeError("unexpected")

            node.callers_port.sweep = fail
            node.read_settings = fail
            with self.assertLogs("jacinthsail.node", "ERROR") as logged:
                await testbed.wait_until(
                    lambda: len({line.partition("\n")[0] for line in logged.output}) > 1
                )
            self.assertFalse(node.should_stop)

    async def test_unexpected_error_of_the_pause_does_not_end_the_node(self):
        """An exception between two reads of the store would end the process."""
        async with PlatformTestbed() as testbed:
            node = await testbed.add_node(1)
            await testbed.wait_until(node.is_ready)
            failing = mock.patch.object(store_follower, "read_delay_s", side_effect=RuntimeError)
            with failing, self.assertLogs("jacinthsail.store", "ERROR"):
                await asyncio.sleep(1.5)
            testbed.store.put("op/config", manifest(2))
            await self.wait_for_version(testbed, 2)

    async def test_removed_target_leaves_every_node(self):
        """A node that follows others would send requests to a target that has left."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            testbed.store.delete("servers/i-1")
            for node in testbed.nodes.values():
                await testbed.wait_until(lambda node=node: "i-1" not in node.fleet["targets"])

    async def test_node_that_starts_without_the_store_learns_from_its_callers(self):
        """It would refuse the calls of its target until the store is back."""
        async with PlatformTestbed() as testbed:
            await self.fleet(testbed)
            restarted = testbed.nodes.pop(1)
            restarted.settings = restarted.settings._replace(grace_s=0.0)
            await restarted.stop()
            testbed.store.status = 503
            node = await testbed.add_node(1, service="seals")
            peer = testbed.nodes[2]
            peer.links.link_to(testbed.host(1)).open()
            await testbed.wait_until(node.is_ready)
            self.assertEqual(len(node.fleet["targets"]), NODES)
            testbed.store.status = 200
            testbed.store.put("op/config", manifest(2))
            await self.wait_for_version(testbed, 2)
