import unittest

from jacinthsail.internal.queries.bulk import BULK_BYTES, is_bulk_request
from jacinthsail.testing.platform_stand_ins import TargetStandIn
from tests.common.fleets import request_state, route
from tests.common.platform_testbed import CHARGE_ROUTE, ROUTE, PlatformTestbed, manifest

UPLOAD_ROUTE = {**ROUTE, "name": "up", "prefix": "/up/", "routeType": "upload"}
DOWNLOAD_ROUTE = {**ROUTE, "name": "down", "prefix": "/down/", "routeType": "download"}
BODY = bytes(range(256)) * 350


def respond_with_body(target, request, respond):
    respond(target.response_to(request, body=BODY))


class BulkTest(unittest.IsolatedAsyncioTestCase):
    """Load: uploads and downloads beside small requests of the same two nodes."""

    def test_large_bodies_and_downloads_are_bulk(self):
        """A small request would wait until a large body before it is sent."""
        self.assertTrue(is_bulk_request(request_state(), BULK_BYTES + 1))
        self.assertFalse(is_bulk_request(request_state(), BULK_BYTES))
        download = route()._replace(has_large_responses=True)
        self.assertTrue(is_bulk_request(request_state(download), 0))

    async def test_bulk_requests_use_a_connection_of_their_own(self):
        """One frame of a large body would hold up all small requests behind it."""
        async with PlatformTestbed() as testbed:
            routes = (ROUTE, CHARGE_ROUTE, UPLOAD_ROUTE, DOWNLOAD_ROUTE)
            testbed.store.put("op/config", manifest(2, routes))
            await testbed.add_target(2, TargetStandIn("i-2", respond_with_body))
            for number in (1, 2):
                await testbed.add_node(number)
            await testbed.wait_until_listed(1)
            caller = await testbed.caller(1)
            links = testbed.nodes[1].links
            await caller.send_request("/lookup/1", "r-1")
            self.assertEqual(links.bulk_links, {})
            up = await caller.send_request("/up/1", "r-2", method="POST", body=BODY)
            down = await caller.send_request("/down/1", "r-3")
            self.assertEqual((up.status, down.status), (200, 200))
            self.assertEqual(down.body, BODY)
            self.assertEqual(testbed.targets[2].executions[1].body, BODY)
            bulk = links.bulk_links[testbed.host(2)]
            self.assertEqual(bulk.next_id, 3)
            self.assertEqual(links.link_to(testbed.host(2)).next_id, 2)

    async def test_lost_bulk_connection_does_not_end_the_sharing_of_the_store(self):
        """A node would stop to follow its reader each time a large transfer is cut."""
        async with PlatformTestbed() as testbed:
            testbed.store.put("op/config", manifest(2, (ROUTE, DOWNLOAD_ROUTE)))
            await testbed.add_target(2, TargetStandIn("i-2", respond_with_body))
            for number in (1, 2):
                await testbed.add_node(number)
            await testbed.wait_until_listed(1)
            caller = await testbed.caller(1)
            await caller.send_request("/down/1", "r-1")
            node = testbed.nodes[1]
            lost = []
            node.exchange.link_lost = lost.append
            node.links.bulk_links[testbed.host(2)].connection.abort()
            response = await caller.send_request("/down/1", "r-2")
            self.assertEqual(response.status, 200)
            self.assertEqual(lost, [])
