"""Guards requests at a peer that goes silent, as a paused or overloaded process does."""

import asyncio
import unittest

from jacinthsail.internal.model.calls import NotRun, Unknown
from jacinthsail.internal.model.peer_silence import (
    AwaitPong,
    PeerHeard,
    ReplaceConnection,
    SendPing,
)
from jacinthsail.internal.queries.peer_silence import (
    PING_AFTER_S,
    SILENCE_TIMEOUT_S,
    outcome_at_silent_peer,
    silence_step,
)
from jacinthsail.testing.platform_stand_ins import TargetStandIn, respond_immediately
from tests.common.platform_testbed import PlatformTestbed

# Longer than the time after which a silent connection is replaced.
PAUSE_S = 2.0


async def start_fleet(testbed):
    """Start node 1 for the callers, and the target behind node 2."""
    await testbed.add_target(2, TargetStandIn("i-2"))
    await testbed.add_node(2, service="seals")
    await testbed.add_node(1)
    await testbed.wait_until_listed(1)
    caller = await testbed.caller(1)
    await caller.send_request("/lookup/x", "r-0")
    return caller


def respond_while_paused(target, request, respond):
    asyncio.get_running_loop().call_later(PAUSE_S / 2, lambda: respond(target.response_to(request)))


def respond_never(target, request, respond):
    """Execute a request without an end."""


async def start_lookup(testbed, behaviour):
    """Start a lookup at the target behind node 2, and return it once it is executed."""
    caller = await start_fleet(testbed)
    testbed.targets[2].behaviour = behaviour
    lookup = asyncio.ensure_future(caller.send_request("/lookup/x", "r-1"))
    await testbed.wait_until(lambda: len(testbed.targets[2].executions) == 2)
    return lookup


class PausedPeer:
    """Keeps node 2 from reading and writing on its connections to peers, like a paused process."""

    def __init__(self, testbed):
        self.connections = list(testbed.nodes[2].links.inbound)
        for connection in self.connections:
            connection.transport.pause_reading()
            connection.pause_writing()

    def resume(self):
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.resume_reading()
                connection.resume_writing()


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    async def pause_during_charge(self, testbed):
        """Pause a peer that runs a charge, for longer than it may be silent."""
        caller = await start_fleet(testbed)
        testbed.targets[2].behaviour = respond_while_paused
        charge = asyncio.ensure_future(
            caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
        )
        await testbed.wait_until(lambda: len(testbed.targets[2].executions) == 2)
        peer = PausedPeer(testbed)
        await asyncio.sleep(PAUSE_S)
        return charge, peer

    async def test_charge_at_a_paused_peer_gets_its_response(self):
        """The caller got 502 after 1.2 s for a charge that was executed once and answered."""
        async with PlatformTestbed() as testbed:
            charge, peer = await self.pause_during_charge(testbed)
            self.assertFalse(charge.done())
            link = testbed.nodes[1].links.link_to(testbed.host(2))
            self.assertEqual(len(link.replaced), 1)
            peer.resume()
            response = await charge
            self.assertEqual((response.status, response.body), (200, b"i-2 ran r-1"))
            self.assertEqual(len(testbed.targets[2].executions), 2)
            await testbed.wait_until(lambda: not link.replaced and not link.pending)

    async def test_lookup_of_a_stopping_node_waits_for_a_paused_peer(self):
        """The caller got 502 when no other target could take the lookup."""
        async with PlatformTestbed() as testbed:
            lookup = await start_lookup(testbed, respond_while_paused)
            peer = PausedPeer(testbed)
            stopping = asyncio.ensure_future(testbed.nodes[1].stop())
            await asyncio.sleep(PAUSE_S)
            self.assertFalse(lookup.done())
            peer.resume()
            self.assertEqual((await lookup).body, b"i-2 ran r-1")
            await stopping

    async def test_lookup_at_a_paused_peer_is_sent_elsewhere(self):
        """A lookup may be repeated, so it need not wait for the peer."""
        async with PlatformTestbed() as testbed:
            lookup = await start_lookup(testbed, respond_never)
            await testbed.add_target(3, TargetStandIn("i-3"))
            await testbed.add_node(3, service="seals")
            PausedPeer(testbed)
            self.assertEqual((await lookup).body, b"i-3 ran r-1")
            link = testbed.nodes[1].links.link_to(testbed.host(2))
            self.assertEqual((link.pending, link.replaced), ({}, set()))

    async def test_charge_at_a_peer_that_stays_silent_ends_at_its_deadline(self):
        """The replaced connection would be kept for ever."""
        async with PlatformTestbed() as testbed:
            caller = await start_fleet(testbed)
            testbed.targets[2].behaviour = respond_never
            charge = asyncio.ensure_future(
                caller.send_request(
                    "/charge/x",
                    "r-1",
                    method="POST",
                    body=b"1",
                    header_lines="X-Deadline-Ms: 2000\r\n",
                )
            )
            await testbed.wait_until(lambda: len(testbed.targets[2].executions) == 2)
            PausedPeer(testbed)
            self.assertEqual((await charge).status, 504)
            link = testbed.nodes[1].links.link_to(testbed.host(2))
            await testbed.wait_until(lambda: not link.replaced and not link.pending)

    async def test_new_connection_does_not_end_requests_on_the_replaced_one(self):
        """The requests of a link were settled when any of its connections closed."""
        async with PlatformTestbed() as testbed:
            charge, peer = await self.pause_during_charge(testbed)
            testbed.targets[2].behaviour = respond_immediately
            other = await testbed.caller(1)
            self.assertEqual((await other.send_request("/lookup/x", "r-2")).status, 200)
            link = testbed.nodes[1].links.link_to(testbed.host(2))
            link.connection.abort()
            await testbed.wait_until(lambda: link.connection is None)
            peer.resume()
            self.assertEqual((await charge).status, 200)


class SilenceStepTest(unittest.TestCase):
    def test_steps_of_a_silent_connection(self):
        """A live peer must not be taken for a silent one, and a silent one must be noticed."""
        heard_at = 100.0
        pinged_at = heard_at + PING_AFTER_S
        cases = [
            (0.0, heard_at + PING_AFTER_S / 2, PeerHeard),
            (0.0, pinged_at, SendPing),
            (pinged_at, pinged_at + 0.1, AwaitPong),
            (pinged_at, heard_at + SILENCE_TIMEOUT_S + 0.1, ReplaceConnection),
        ]
        for pinged, now, expected in cases:
            with self.subTest(expected=expected.__name__):
                self.assertIsInstance(silence_step(heard_at, pinged, now), expected)

    def test_pause_of_this_node_is_not_the_silence_of_the_peer(self):
        """After a pause of its own, a node replaced connections whose peers had no time to send."""
        self.assertIsInstance(silence_step(100.0, 0.0, 110.0), SendPing)
        self.assertIsInstance(silence_step(100.0, 110.0, 110.2), AwaitPong)

    def test_outcome_at_a_silent_peer(self):
        """A charge that was sent may run, and one that was not sent certainly does not."""
        for is_stopping in (False, True):
            self.assertIsInstance(outcome_at_silent_peer(False, True, is_stopping), NotRun)
            self.assertIsInstance(outcome_at_silent_peer(True, True, is_stopping), NotRun)
            self.assertIsNone(outcome_at_silent_peer(False, False, is_stopping))
        self.assertIsInstance(outcome_at_silent_peer(True, False, False), Unknown)

    def test_stopping_node_gives_up_no_request_at_a_silent_peer(self):
        """A lookup got 502 while its target ran it, since it could not be sent elsewhere."""
        self.assertIsNone(outcome_at_silent_peer(True, False, True))
