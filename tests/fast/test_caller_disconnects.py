"""Guards the requests of other callers while one caller disconnects or one callback fails."""

import asyncio
import socket
import unittest

from jacinthsail.testing.platform_stand_ins import TargetStandIn
from tests.common.platform_testbed import CALLERS_PORT, PlatformTestbed

SLOW_S = 0.4
QUICK_S = 0.1


def respond_by_path(target, request, respond):
    """Respond to charges later than to lookups."""
    delay_s = SLOW_S if request.url.startswith(b"/charge/") else QUICK_S
    asyncio.get_running_loop().call_later(delay_s, lambda: respond(target.response_to(request)))


async def start_fleet(testbed, node_of_target=2):
    """Start a target behind one node, and node 1 for the callers; return a caller."""
    await testbed.add_target(node_of_target, TargetStandIn("i-2", respond_by_path))
    await testbed.add_node(node_of_target, service="seals")
    if node_of_target != 1:
        await testbed.add_node(1)
    await testbed.wait_until_listed(1)
    return await testbed.caller(1)


async def open_socket(testbed):
    """Open a blocking socket to node 1, which a test can close without the event loop."""
    connection = socket.socket()
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (testbed.host(1), CALLERS_PORT))
    return connection


async def send_last_lookup(connection):
    """Send a lookup after whose response the node closes its sending side."""
    head = (
        b"GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r-1\r\n"
        b"Connection: close\r\n\r\n"
    )
    await asyncio.get_running_loop().sock_sendall(connection, head)


class DisconnectAtResponseTest(unittest.IsolatedAsyncioTestCase):
    """A caller closes its connection just before the node writes its response.

    The kernel then resets the connection during the write, and closing its sending side fails.
    """

    async def test_requests_on_the_same_peer_connection_get_their_responses(self):
        """The node closed its connection to the peer, and other callers got 502 for charges."""
        async with PlatformTestbed() as testbed:
            caller = await start_fleet(testbed)
            await caller.send_request("/lookup/x", "r-0")
            charge = asyncio.ensure_future(
                caller.send_request("/charge/x", "r-2", method="POST", body=b"1")
            )
            leaving = await open_socket(testbed)
            await send_last_lookup(leaving)
            connection = testbed.nodes[1].links.link_to(testbed.host(2)).connection
            deliver = connection.on_message

            def close_and_deliver(peer, message):
                leaving.close()
                deliver(peer, message)

            connection.on_message = close_and_deliver
            response = await charge
            self.assertEqual((response.status, response.body), (200, b"i-2 ran r-2"))
            self.assertEqual(leaving.fileno(), -1)

    async def test_queued_request_of_the_local_target_is_started(self):
        """The node did not start the next queued request, which then expired."""
        async with PlatformTestbed() as testbed:
            caller = await start_fleet(testbed, node_of_target=1)
            testbed.publish(1, slots=1)
            node = testbed.nodes[1]
            await testbed.wait_until(lambda: node.target_queue["slots"] == 1)
            leaving = await open_socket(testbed)
            await send_last_lookup(leaving)
            await testbed.wait_until(lambda: node.router.open_requests)
            queued = asyncio.ensure_future(caller.send_request("/lookup/x", "r-2"))
            await testbed.wait_until(lambda: len(node.router.open_requests) == 2)
            first = next(
                one
                for one in node.router.open_requests
                if one.request_state["request_info"].request_id == "r-1"
            )
            respond = first.respond

            def close_and_respond(response):
                leaving.close()
                respond(response)

            first.respond = close_and_respond
            self.assertEqual((await queued).body, b"i-2 ran r-2")


class FailingCallbackTest(unittest.IsolatedAsyncioTestCase):
    """An unexpected exception concerns the request in which it is raised, and no other."""

    async def test_other_requests_of_a_lost_connection_get_their_outcome(self):
        """All requests after the failing one would have waited for their timeout."""
        async with PlatformTestbed() as testbed:
            caller = await start_fleet(testbed)
            await caller.send_request("/lookup/x", "r-0")
            other = await testbed.caller(1)
            first = asyncio.ensure_future(
                caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            )
            await testbed.wait_until(lambda: len(testbed.targets[2].executions) == 2)
            second = asyncio.ensure_future(
                other.send_request("/charge/x", "r-2", method="POST", body=b"1")
            )
            await testbed.wait_until(lambda: len(testbed.targets[2].executions) == 3)
            router = testbed.nodes[1].router

            def fail(*_arguments):
                raise RuntimeError("unexpected")

            for one in router.open_requests:
                if one.request_state["request_info"].request_id == "r-1":
                    one.respond = fail
            with self.assertLogs("jacinthsail.callers", "ERROR"):
                testbed.nodes[1].links.link_to(testbed.host(2)).connection.abort()
                self.assertEqual((await second).status, 502)
            caller.connection.transport.abort()
            await first

    async def test_exception_in_a_message_handler_keeps_the_connection(self):
        """The event loop closed the connection and all requests in flight on it were lost."""
        async with PlatformTestbed() as testbed:
            caller = await start_fleet(testbed)
            await caller.send_request("/lookup/x", "r-0")
            charge = asyncio.ensure_future(
                caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            )
            await testbed.wait_until(lambda: len(testbed.targets[2].executions) == 2)
            link = testbed.nodes[1].links.link_to(testbed.host(2))
            deliver = link.connection.on_message

            def fail_once(peer, message):
                peer.on_message = deliver
                raise RuntimeError("unexpected")

            link.connection.on_message = fail_once
            with self.assertLogs("jacinthsail.peers", "ERROR"):
                self.assertEqual((await caller_sends_lookup(testbed)).status, 504)
            self.assertEqual((await charge).status, 200)


async def caller_sends_lookup(testbed):
    other = await testbed.caller(1)
    return await other.send_request("/lookup/x", "r-9", header_lines="X-Deadline-Ms: 300\r\n")
