"""The deployment of a soak run: the real nodes as processes, stand-ins for everything else."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from random import Random
from typing import Any
from weakref import WeakSet

from jacinthsail.internal.adapters.http_client import BrokenExchange
from jacinthsail.testing.platform_stand_ins import CallerStandIn, StoreStandIn
from jacinthsail.testing.soak_accounts import SETTINGS_LINES, SoakAccounts
from jacinthsail.testing.soak_clients import HOST_HEADER
from jacinthsail.testing.soak_model import (
    GRACE_S,
    Disturbance,
    MovedRoute,
    SoakPlan,
    new_record,
)
from jacinthsail.testing.soak_proxy import LinkProxy
from jacinthsail.testing.soak_target import SoakTarget, response_body

OUTBOUND_PORT = 18400
INBOUND_PORT = 18401
READY_PORT = 18402
TARGET_PORT = 18403
STORE_PORT = 18404

HEARTBEAT_S = 1.5
READY_INTERVAL_S = 1.0
READY_TIMEOUT_S = 0.8
MISSES_UNTIL_OUT = 2
START_TIMEOUT_S = 20.0

# Last parts of the addresses of the store and of what is behind proxies.
STORE_HOST = 250
HIDDEN_HOSTS = 100

SERVICES = ("filings", "drafts")
ZONES = ("manila", "baguio", "davao", "cagayan")
REGIONS = {"manila": "luzon", "baguio": "luzon", "davao": "luzon", "cagayan": "luzon"}

_SETTINGS = """\
nodeName = "vm-{node}"
role = "node"
ip = "{host}"
zone = "{zone}"
region = "luzon"
heartbeat = "1500ms"
appAddr = "{host}:{target_port}"
service = "{service}"
[zones]
{zones}
[listenAddrs]
inbound = "{peers_host}:{inbound_port}"
outbound = "{host}:{outbound_port}"
ready = "{host}:{ready_port}"
[bounds]
grace = "{grace_s}s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetExtra = 50
{accounts}[platform]
address = "{store}"
"""


class SoakFleet:
    """The processes and stand-ins of one run, and what they record."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.random = Random(plan.seed)
        self.work_ms = plan.clients.work_ms
        self.record = new_record()
        self.stopping = asyncio.Event()
        self.connections: WeakSet[asyncio.StreamWriter] = WeakSet()
        self.store = StoreStandIn(page_size=500)
        self.targets: dict[int, SoakTarget] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.misses: dict[int, int] = {}
        self.stops: set[int] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 1
        self.accounts = SoakAccounts(plan.seed, self.record) if plan.has_accounts else None
        # In front of the ports for peers, and of the store as each node sees it.
        self.peer_proxies: dict[int, LinkProxy] = {}
        self.store_proxies: dict[int, LinkProxy] = {}
        # Runs side by side have different addresses.
        self.network = f"127.{os.getpid() % 200 + 20}.{plan.seed % 250 + 1}"

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def host(self, node: int) -> str:
        """Return the address of a node's VM."""
        return f"{self.network}.{node}"

    def hidden_host(self, node: int) -> str:
        """Return the address behind the proxies of a node."""
        return self.host(HIDDEN_HOSTS + node)

    def peers_host(self, node: int) -> str:
        """Return the address at which a node accepts peers."""
        return self.hidden_host(node) if self.plan.has_proxies else self.host(node)

    def store_address(self, node: int) -> tuple[str, int]:
        """Return the address at which a node reads the store."""
        host = self.hidden_host(node) if self.plan.has_proxies else self.host(STORE_HOST)
        return host, STORE_PORT

    def target_address(self, node: int) -> tuple[str, int]:
        """Return the address of a node's target."""
        return self.host(node), TARGET_PORT

    def callers_address(self, node: int) -> tuple[str, int]:
        """Return the address to which a node's clients connect."""
        return self.host(node), OUTBOUND_PORT

    def service(self, node: int) -> str:
        """Return the service of a node's target."""
        return SERVICES[node % len(SERVICES)]

    def zone(self, node: int) -> str:
        """Return the failure domain of a node."""
        return ZONES[node % len(ZONES)]

    def is_in_use(self, node: int) -> bool:
        """Return whether the clients of a node receive new work."""
        if self.misses.get(node, 0) < MISSES_UNTIL_OUT:
            return True
        members = [each for each in self.processes if self.zone(each) == self.zone(node)]
        ready = sum(self.misses.get(each, 0) < MISSES_UNTIL_OUT for each in members)
        return ready < len(members) / 2

    def key_line(self, request_id: str) -> str:
        """Return the header line with the key of a request, if callers need one."""
        return "" if self.accounts is None else self.accounts.header_line(request_id)

    def check_headers(self, request_id: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Check the account that a target was told."""
        if self.accounts is not None:
            self.accounts.check_headers(request_id, headers)

    def is_whole(self, request_id: str, seal: str, body: bytes) -> bool:
        """Return whether a response is the complete one of a target."""
        incarnation, _, sealed_id = seal.partition(".")
        return sealed_id == request_id and body == response_body(incarnation, request_id)

    def publish_manifest(self) -> None:
        """Publish the next version of the manifest, which moves one route to another service."""
        self.version += 2
        moved_to = SERVICES[self.version // 2 % len(SERVICES)]
        routes = []
        for name, service, kind in (
            ("filing", "filings", "non_idempotent"),
            ("moved", moved_to, "non_idempotent"),
            ("lookup", "drafts", "idempotent"),
        ):
            routes.append(
                {
                    "name": name,
                    "hostname": HOST_HEADER,
                    "prefix": f"/{name}/",
                    "routeType": kind,
                    "timeout": "5000ms",
                    "targetLatency": "1500ms",
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                }
            )
        services = [
            {"name": name, "healthPath": "/healthz", "maxConnections": 640} for name in SERVICES
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeout": "3000ms",
            "idleTimeout": "15s",
        }
        manifest: dict[str, Any] = {
            "version": f"{self.version:08x}",
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        if self.accounts is not None:
            manifest["tenants"] = self.accounts.tenants()
        self.store.put("op/config", manifest)
        if self.accounts is not None:
            self.accounts.record_published(self.now())
        self.record["moves"].append(MovedRoute(moved_to, self.now()))

    async def start(self) -> None:
        """Start the store, the targets and the nodes, and wait until all nodes are ready."""
        await self.store.port.listen(self.host(STORE_HOST), STORE_PORT)
        self.publish_manifest()
        for node in range(1, self.plan.nodes + 1):
            await self.add_target(node)
        for node in range(1, self.plan.nodes + 1):
            if self.plan.has_proxies:
                await self._add_proxies(node)
            await self.start_node(node)
        self.keep(self._heartbeats())
        self.keep(self._check_readiness())
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(self.misses.get(node, 1) for node in self.processes):
                await asyncio.sleep(0.1)

    async def _add_proxies(self, node: int) -> None:
        delay_s = self.plan.link_delay_s
        peers = LinkProxy((self.hidden_host(node), INBOUND_PORT), delay_s)
        await peers.listen(self.host(node), INBOUND_PORT)
        self.peer_proxies[node] = peers
        store = LinkProxy((self.host(STORE_HOST), STORE_PORT), delay_s)
        await store.listen(*self.store_address(node))
        self.store_proxies[node] = store

    def keep(self, coroutine: Any) -> None:
        """Run a coroutine in the background until the end of the run."""
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def add_target(self, node: int) -> None:
        """Start a target on a VM, and publish its entry."""
        target = SoakTarget(self, node)
        await target.port.listen(*self.target_address(node))
        target.publish()
        self.targets[node] = target

    async def start_node(self, node: int) -> None:
        """Start the process of a node."""
        self.disturb(node, "start", is_planned=True)
        settings = self.folder / f"node-{node}.toml"
        settings.write_text(self._settings(node), encoding="utf-8")
        with open(self.folder / f"node-{node}.log", "ab") as log:
            self.processes[node] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "jacinthsail.platform.daemon",
                env={**os.environ, "JACINTHSAIL_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )
        self.keep(self._watch_exit(node, self.processes[node]))

    def _settings(self, node: int) -> str:
        return _SETTINGS.format(
            node=node,
            grace_s=GRACE_S,
            host=self.host(node),
            peers_host=self.peers_host(node),
            zone=self.zone(node),
            service=self.service(node),
            zones="\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items()),
            target_port=TARGET_PORT,
            inbound_port=INBOUND_PORT,
            outbound_port=OUTBOUND_PORT,
            ready_port=READY_PORT,
            store="{}:{}".format(*self.store_address(node)),
            accounts="" if self.accounts is None else SETTINGS_LINES,
        )

    async def _watch_exit(self, node: int, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if node not in self.stops and not self.stopping.is_set():
            self.record["unexpected_exits"].append(f"node {node} ended with status {status}")

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.status != 200:
                continue
            for target in self.targets.values():
                if target.is_published:
                    target.publish()

    async def _check_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._probe(node) for node in list(self.processes)))
            await asyncio.sleep(READY_INTERVAL_S)

    async def _probe(self, node: int) -> None:
        probe = CallerStandIn()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await probe.connect(self.host(node), READY_PORT)
                result = await probe.send_request("/-/ready", "", header_lines="")
        except (OSError, TimeoutError):
            self.misses[node] = self.misses.get(node, 1) + 1
            return
        finally:
            if probe.connection is not None:
                probe.connection.abort()
        is_ready = not isinstance(result, BrokenExchange) and result.status == 200
        self.misses[node] = 0 if is_ready else self.misses.get(node, 1) + 1

    def disturb(self, node: int, name: str, is_planned: bool) -> None:
        """Record something that happens to a node."""
        self.record["disturbances"].append(Disturbance(node, name, self.now(), is_planned))

    async def close(self) -> None:
        """End the processes and stand-ins of this run."""
        self.stopping.set()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in list(self.connections):
            writer.transport.abort()
        for process in self.processes.values():
            if process.returncode is None:
                # Only processes that this run started are ended, by their ids.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for port in [self.store.port, *(target.port for target in self.targets.values())]:
            port.close_listener()
            port.abort_all()
        for proxy in (*self.peer_proxies.values(), *self.store_proxies.values()):
            proxy.close()
        # The event loop reports the end of each aborted connection.
        await asyncio.sleep(0.1)
