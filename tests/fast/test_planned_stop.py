"""Guards planned stops of a node, with callers that keep their connections in use."""

import asyncio
import socket
import unittest

from jacinthsail.testing.platform_stand_ins import TargetStandIn
from tests.common.platform_testbed import CALLERS_PORT, PEERS_PORT, PlatformTestbed

WORK_S = 0.3
PIPELINE_INTERVAL_S = 0.1

# Later than the end of a stop without work, and earlier than that of the grace period.
READ_AFTER_S = 3.6


def respond_after_work(target, request, respond):
    asyncio.get_running_loop().call_later(WORK_S, lambda: respond(target.response_to(request)))


async def start_fleet(testbed, behaviour=respond_after_work):
    """Start a target behind node 2, and node 1 for the callers."""
    await testbed.add_target(2, TargetStandIn("i-2", behaviour))
    await testbed.add_node(2, service="seals")
    await testbed.add_node(1)
    await testbed.wait_until_listed(1)


def lookup(number):
    return f"GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r-{number}\r\n\r\n".encode()


class PipeliningCallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_pipelining_caller_is_told_that_the_connection_closes(self):
        """The connection was cut at the end of the grace period with requests in flight."""
        async with PlatformTestbed() as testbed:
            await start_fleet(testbed)
            reader, writer = await asyncio.open_connection(testbed.host(1), CALLERS_PORT)
            received = asyncio.ensure_future(reader.read())
            for number in range(4):
                writer.write(lookup(number))
                await asyncio.sleep(PIPELINE_INTERVAL_S)
            stopping = asyncio.ensure_future(testbed.nodes[1].stop())
            # The caller does not wait for responses, so the connection never becomes idle.
            for number in range(4, 14):
                writer.write(lookup(number))
                await asyncio.sleep(PIPELINE_INTERVAL_S)
            text = await asyncio.wait_for(received, 3.0)
            writer.close()
            await stopping
            executed = len(testbed.targets[2].executions)
            self.assertEqual(text.count(b"HTTP/1.1 200 "), executed)
            self.assertEqual(text.count(b"Connection: close"), 1)
            self.assertIn(f"ran r-{executed - 1}".encode(), text.rpartition(b"\r\n\r\n")[2])
            self.assertLess(executed, 14)


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_slow_reader_gets_the_whole_response(self):
        """The connection was closed as soon as the response was handed to the transport."""
        size = 4_000_000

        def respond_with_much(target, request, respond):
            respond(target.response_to(request, body=b"x" * size))

        async with PlatformTestbed() as testbed:
            await start_fleet(testbed, respond_with_much)
            loop = asyncio.get_running_loop()
            with socket.socket() as connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
                connection.setblocking(False)
                await loop.sock_connect(connection, (testbed.host(1), CALLERS_PORT))
                await loop.sock_sendall(connection, lookup(1))
                received = len(await loop.sock_recv(connection, 1024))
                stopping = asyncio.ensure_future(testbed.nodes[1].stop())
                # Nothing is read until the port for callers has closed.
                await asyncio.sleep(READ_AFTER_S)
                while data := await loop.sock_recv(connection, 65536):
                    received += len(data)
            await stopping
            self.assertGreater(received, size)


class EndOfGraceTest(unittest.IsolatedAsyncioTestCase):
    async def test_response_that_arrives_at_the_end_of_the_grace_period_is_delivered(self):
        """It left its target in time and was cut while it crossed to the node of its caller."""
        grace_s = 3.0
        # The target is done just before the last sixth of the grace period.
        travel_s = 0.03
        arrives_s = grace_s * 5 / 6 + travel_s

        async with PlatformTestbed() as testbed:
            stopping = []

            def respond_late(target, request, respond):
                loop = asyncio.get_running_loop()
                node = testbed.nodes[1]
                node.settings = node.settings._replace(grace_s=grace_s)
                stopping.append(asyncio.ensure_future(node.stop()))
                loop.call_later(arrives_s, lambda: respond(target.response_to(request)))

            await start_fleet(testbed, respond_late)
            caller = await testbed.caller(1)
            charge = await caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            await stopping[0]
            self.assertEqual(getattr(charge, "status", charge), 200)


class LateRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_on_a_kept_connection_after_the_port_closed_is_refused(self):
        """It was passed on and cut at the end of the grace period, or cut without an answer."""

        async def is_closed():
            try:
                _, writer = await asyncio.open_connection(testbed.host(1), CALLERS_PORT)
            except OSError:
                return True
            writer.close()
            return False

        def respond_late(target, request, respond):
            delay_s = WORK_S if request.url.startswith(b"/lookup/") else 4.0
            asyncio.get_running_loop().call_later(
                delay_s, lambda: respond(target.response_to(request))
            )

        async with PlatformTestbed() as testbed:
            await start_fleet(testbed, respond_late)
            idle = await testbed.caller(1)
            caller = await testbed.caller(1)
            charge = asyncio.ensure_future(
                caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            )
            await testbed.wait_until(lambda: testbed.targets[2].executions)
            stopping = asyncio.ensure_future(testbed.nodes[1].stop())
            while not await is_closed():
                await asyncio.sleep(0.05)
            late = await idle.send_request("/charge/x", "r-2", method="POST", body=b"1")
            self.assertEqual(late.status, 503)
            self.assertIn((b"connection", b"close"), late.headers)
            self.assertEqual((await charge).status, 200)
            await stopping
            self.assertEqual(len(testbed.targets[2].executions), 1)


class PeerOfStoppingNodeTest(unittest.IsolatedAsyncioTestCase):
    async def start_paused(self, testbed):
        """Start a charge that node 2 has not read when it stops; return the charge and the stop."""
        await start_fleet(testbed)
        caller = await testbed.caller(1)
        await caller.send_request("/lookup/x", "r-0")
        node = testbed.nodes[2]
        for connection in node.links.inbound:
            connection.transport.pause_reading()
        charge = asyncio.ensure_future(
            caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
        )
        link = testbed.nodes[1].links.link_to(testbed.host(2))
        await testbed.wait_until(lambda: link.pending)
        node.settings = node.settings._replace(grace_s=1.0)
        return charge, asyncio.ensure_future(node.stop())

    async def test_request_that_the_node_did_not_read_is_known_not_to_have_run(self):
        """The caller got 502 for a charge that no target had received."""
        async with PlatformTestbed() as testbed:
            charge, stopping = await self.start_paused(testbed)
            self.assertEqual((await charge).status, 503)
            await stopping
            self.assertEqual(len(testbed.targets[2].executions), 1)

    async def test_request_in_progress_at_the_end_is_not_reported_as_not_run(self):
        """A charge that its target still executes would be sent to another target as well."""

        def respond_late(target, request, respond):
            asyncio.get_running_loop().call_later(3.0, lambda: respond(target.response_to(request)))

        async with PlatformTestbed() as testbed:
            await start_fleet(testbed, respond_late)
            caller = await testbed.caller(1)
            charge = asyncio.ensure_future(
                caller.send_request("/charge/x", "r-1", method="POST", body=b"1")
            )
            await testbed.wait_until(lambda: testbed.targets[2].executions)
            node = testbed.nodes[2]
            node.settings = node.settings._replace(grace_s=1.0)
            await node.stop()
            self.assertEqual((await charge).status, 502)

    async def test_no_connection_is_accepted_after_the_last_message(self):
        """Requests on it would get neither a reply nor the last message, and count as executed."""
        async with PlatformTestbed() as testbed:
            await start_fleet(testbed)
            testbed.nodes[2].links.finish_inbound()
            with self.assertRaises(OSError):
                await asyncio.open_connection(testbed.host(2), PEERS_PORT)
