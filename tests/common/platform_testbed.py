"""A small fleet on loopback: nodes, targets and a store in one process and one event loop."""

import asyncio

from returns.result import Success

from jacinthsail.internal.adapters.fleet_node import FleetNode, PlatformDialects
from jacinthsail.internal.model.fleet import NodeLocation
from jacinthsail.internal.model.fleet_settings import FleetSettings, RetryBudgetSettings
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.platform.http import CallerHttp, TargetHttp
from jacinthsail.platform.store import PlatformStore
from jacinthsail.testing.platform_stand_ins import CallerStandIn, StoreStandIn

CALLERS_PORT = 18300
PEERS_PORT = 18301
READY_PORT = 18302
METRICS_PORT = 18303
TARGET_PORT = 18304
STORE_PORT = 18305
STORE_HOST = "127.7.0.1"

WAIT_S = 5.0
POLL_S = 0.01

ROUTE = {
    "name": "lookup",
    "hostname": "h.example",
    "prefix": "/lookup/",
    "routeType": "idempotent",
    "timeout": "4000ms",
    "targetLatency": "500ms",
    "priority": 1,
    "service": "seals",
    "maxAttempts": 2,
}
CHARGE_ROUTE = {**ROUTE, "name": "charge", "prefix": "/charge/", "routeType": "non_idempotent"}

# Only tests of the timeout use these routes. On a busy machine the test process may pause for a
# second, and other tests would then fail by the timeout.
SHORT_TIMEOUT_S = 1.0
SHORT_TIMEOUT_ROUTE = {
    **ROUTE,
    "name": "brief",
    "prefix": "/brief/",
    "timeout": f"{SHORT_TIMEOUT_S}s",
}
SHORT_TIMEOUT_CHARGE_ROUTE = {
    **SHORT_TIMEOUT_ROUTE,
    "prefix": "/brief-charge/",
    "routeType": "non_idempotent",
}


def manifest(
    version, routes=(ROUTE, CHARGE_ROUTE, SHORT_TIMEOUT_ROUTE, SHORT_TIMEOUT_CHARGE_ROUTE)
):
    return {
        "version": f"{version:08x}",
        "routes": list(routes),
        "services": [{"name": "seals", "healthPath": "/healthz", "maxConnections": 172}],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 100000,
            "headerTimeout": "1000ms",
            "idleTimeout": "5000ms",
        },
    }


class PlatformTestbed:
    """Starts and stops the components; each VM has a node and, in service seals, a target."""

    def __init__(self):
        self.store = StoreStandIn()
        self.nodes = {}
        self.targets = {}

    async def __aenter__(self):
        await self.store.port.listen(STORE_HOST, STORE_PORT)
        self.store.put("op/config", manifest(1))
        return self

    async def __aexit__(self, *_error):
        for node in self.nodes.values():
            if not node.should_stop:
                node.settings = node.settings._replace(grace_s=0.0)
                await node.stop()
        for port in [self.store.port, *(one.port for one in self.targets.values())]:
            port.close_listener()
            port.abort_all()

    def host(self, number):
        return f"127.7.1.{number}"

    async def add_target(self, number, target, domain="manila", slots=4):
        self.targets[number] = target
        await target.port.listen(self.host(number), TARGET_PORT)
        self.publish(number, domain=domain, slots=slots)

    def publish(self, number, state="ready", domain="manila", slots=4):
        entry = {
            "service": "seals",
            "address": f"{self.host(number)}:{TARGET_PORT}",
            "zone": domain,
            "version": "v1",
            "concurrency": slots,
            "state": state,
            "warmupLeft": "0ms",
            "sequence": 1,
        }
        self.store.put(f"servers/{self.targets[number].incarnation}", entry)

    def settings(self, number, domain="manila", service="drafts"):
        host = self.host(number)
        return FleetSettings(
            location=NodeLocation(f"vm-{number}", host, domain, "luzon", service, TARGET_PORT),
            callers=Endpoint(host, CALLERS_PORT),
            peers=Endpoint(host, PEERS_PORT),
            readiness=Endpoint(host, READY_PORT),
            target=Endpoint(host, TARGET_PORT),
            store=Endpoint(STORE_HOST, STORE_PORT),
            metrics=Endpoint(host, METRICS_PORT),
            budget=RetryBudgetSettings(0.2, 10.0, 50.0),
            grace_s=6.0,
            heartbeat_s=1.5,
            log_buffer_lines=100,
        )

    async def add_node(self, number, domain="manila", service="drafts", **settings_changes):
        settings = self.settings(number, domain, service)._replace(**settings_changes)
        store = PlatformStore(settings.store, {"manila": "luzon", "davao": "mindanao"})
        dialects = PlatformDialects(CallerHttp(), TargetHttp(), store)
        node = FleetNode(settings, dialects, lambda: Success(settings))
        self.nodes[number] = node
        await node.start()
        return node

    async def caller(self, number):
        caller = CallerStandIn()
        await caller.connect(self.host(number), CALLERS_PORT)
        return caller

    async def caller_of(self, target, slots=4):
        """Return a caller at node 1, whose requests reach a target through node 2."""
        await self.add_target(2, target, slots=slots)
        await self.add_node(2, service="seals")
        await self.add_node(1)
        await self.wait_until_listed(1)
        return await self.caller(1)

    async def wait_until(self, condition):
        """Wait until a condition holds; raise ``TimeoutError`` after ``WAIT_S``."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def wait_until_listed(self, targets):
        for node in self.nodes.values():
            await self.wait_until(
                lambda node=node: len(node.fleet["targets"]) == targets and node.is_ready()
            )
