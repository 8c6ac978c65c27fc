"""The deployment of a soak run: the real nodes as processes, stand-ins for everything else."""

import asyncio
import os
import signal
import sys
import time
from functools import singledispatch
from pathlib import Path
from random import Random
from typing import Any
from weakref import WeakSet

from jacinthsail.internal.adapters.http_client import BrokenExchange
from jacinthsail.internal.adapters.http_server import (
    CallerServer,
    HttpRequest,
    HttpResponse,
    RequestHandle,
    ResponseCallback,
)
from jacinthsail.testing.platform_stand_ins import (
    LIMITS,
    CallerStandIn,
    StoreStandIn,
    header_of,
    request_id_header,
)
from jacinthsail.testing.soak_clients import HOST_HEADER
from jacinthsail.testing.soak_model import (
    GRACE_S,
    STILL_RUNNING,
    CutWatches,
    Departure,
    Disturbance,
    Execution,
    FreezeNode,
    KillNode,
    MovedRoute,
    PublishManifest,
    ReloadNode,
    ReplaceTarget,
    SoakPlan,
    StopNode,
    StoreOutage,
    new_record,
)

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

# A target that leaves serves on for this long after the store has accepted it.
SERVES_ON_S = 2.5

CALL_WORK_MS = 15
STATUS_TIMEOUT = 504
STATUS_ERROR = 500

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
inbound = "{host}:{inbound_port}"
outbound = "{host}:{outbound_port}"
ready = "{host}:{ready_port}"
[bounds]
grace = "{grace_s}s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetExtra = 50
[platform]
address = "{store}"
"""


class TargetRun:
    """One execution at a target; ``cancel`` ends it because its node closed the connection."""

    def __init__(self, target: "SoakTarget", request: HttpRequest, respond: ResponseCallback):
        self.target = target
        self.request = request
        self.respond = respond
        self.request_id = header_of(request, b"x-attempt-id")
        self.position = len(target.fleet.record["executions"])
        target.fleet.record["executions"].append(
            Execution(
                self.request_id,
                target.node,
                target.fleet.service(target.node),
                target.incarnation,
                target.fleet.now(),
                STILL_RUNNING,
            )
        )
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        _, _, work_ms, calls, _ = self.request.url.decode("ascii").split("/")
        limit_s = int(header_of(self.request, b"x-deadline-ms")) / 1000
        status = 200
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(int(work_ms) / 1000)
                for number in range(int(calls)):
                    if not await self.target.call(f"{self.request_id}.{number}"):
                        status = STATUS_ERROR
        except TimeoutError:
            status = STATUS_TIMEOUT
        self._record_end()
        self.respond(self.target.response(self.request, status))

    def cancel(self) -> None:
        """End the execution."""
        self.task.cancel()
        self._record_end()

    def _record_end(self) -> None:
        executions = self.target.fleet.record["executions"]
        execution = executions[self.position]
        executions[self.position] = execution._replace(ended_at=self.target.fleet.now())


class SoakTarget:
    """A target that runs requests for the time in their path, and makes calls of its own."""

    def __init__(self, fleet: "SoakFleet", node: int) -> None:
        self.fleet = fleet
        self.node = node
        self.incarnation = f"i-{node}-{fleet.random.getrandbits(32):08x}"
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.port = CallerServer(self.serve, LIMITS)
        self.is_published = True

    def publish(self) -> None:
        """Write the target's entry."""
        self.sequence += 1
        self.fleet.store.put(
            f"servers/{self.incarnation}",
            {
                "service": self.fleet.service(self.node),
                "address": f"{self.fleet.host(self.node)}:{TARGET_PORT}",
                "zone": self.fleet.zone(self.node),
                "version": "v1",
                "concurrency": 60,
                "state": self.state,
                "warmupLeft": "0ms",
                "sequence": self.sequence,
                "born": self.born_ms,
            },
        )

    def serve(self, request: HttpRequest, respond: ResponseCallback) -> RequestHandle | None:
        """Run one request, unless it is addressed to another incarnation."""
        if header_of(request, b"x-expected-instance") not in ("", self.incarnation):
            respond(HttpResponse(421, request_id_header(request), b""))
            return None
        return TargetRun(self, request, respond)

    def response(self, request: HttpRequest, status: int) -> HttpResponse:
        """Return the sealed response to a request."""
        request_id = header_of(request, b"x-attempt-id")
        lines = request_id_header(request) + (
            f"X-Response-Seal: {self.incarnation}.{request_id}\r\n"
        ).encode("ascii")
        return HttpResponse(status, lines, response_body(self.incarnation, request_id))

    async def call(self, request_id: str) -> bool:
        """Make one call through the node of this target; return whether it succeeded."""
        caller = CallerStandIn()
        try:
            await caller.connect(*self.fleet.callers_address(self.node))
        except OSError:
            return False
        result = await caller.send_request(
            f"/lookup/{CALL_WORK_MS}/0/",
            request_id,
            host=HOST_HEADER,
            header_lines="X-Deadline-Ms: 1000\r\nConnection: close\r\n",
        )
        return not isinstance(result, BrokenExchange) and result.status == 200


def response_body(incarnation: str, request_id: str) -> bytes:
    """Return the body that belongs to a request."""
    return f"{incarnation} ran {request_id}\n".encode("ascii") * 20


class SoakFleet:
    """The processes and stand-ins of one run, and what they record."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.random = Random(plan.seed)
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
        # Runs side by side have different addresses.
        self.network = f"127.{os.getpid() % 200 + 20}.{plan.seed % 250 + 1}"

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def host(self, node: int) -> str:
        """Return the address of a node's VM."""
        return f"{self.network}.{node}"

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
        self.store.put(
            "op/config",
            {
                "version": f"{self.version:08x}",
                "routes": routes,
                "services": services,
                "limits": limits,
            },
        )
        self.record["moves"].append(MovedRoute(moved_to, self.now()))

    async def start(self) -> None:
        """Start the store, the targets and the nodes, and wait until all nodes are ready."""
        await self.store.port.listen(self.host(250), STORE_PORT)
        self.publish_manifest()
        for node in range(1, self.plan.nodes + 1):
            await self.add_target(node)
        for node in range(1, self.plan.nodes + 1):
            await self.start_node(node)
        self.keep(self._heartbeats())
        self.keep(self._check_readiness())
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(self.misses.get(node, 1) for node in self.processes):
                await asyncio.sleep(0.1)

    def keep(self, coroutine: Any) -> None:
        """Run a coroutine in the background until the end of the run."""
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def add_target(self, node: int) -> None:
        """Start a target on a VM, and publish its entry."""
        target = SoakTarget(self, node)
        await target.port.listen(self.host(node), TARGET_PORT)
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
            zone=self.zone(node),
            service=self.service(node),
            zones="\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items()),
            target_port=TARGET_PORT,
            inbound_port=INBOUND_PORT,
            outbound_port=OUTBOUND_PORT,
            ready_port=READY_PORT,
            store=f"{self.host(250)}:{STORE_PORT}",
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
        # The event loop reports the end of each aborted connection.
        await asyncio.sleep(0.1)


@singledispatch
async def execute(action: object, fleet: SoakFleet) -> None:
    """Execute one action of the plan."""
    raise NotImplementedError(f"no execution for {type(action).__name__}; register one")


@execute.register
async def _(action: StopNode, fleet: SoakFleet) -> None:
    if action.node in fleet.stops:
        return
    process = fleet.processes[action.node]
    fleet.stops.add(action.node)
    fleet.disturb(action.node, "stop", is_planned=True)
    process.terminate()
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        fleet.record["unexpected_exits"].append(f"node {action.node} outlived its grace period")
        process.kill()
        await process.wait()
    await fleet.start_node(action.node)
    fleet.stops.discard(action.node)


@execute.register
async def _(action: KillNode, fleet: SoakFleet) -> None:
    if action.node in fleet.stops:
        return
    fleet.stops.add(action.node)
    fleet.disturb(action.node, "kill", is_planned=False)
    fleet.processes[action.node].kill()
    await fleet.processes[action.node].wait()
    await fleet.start_node(action.node)
    fleet.stops.discard(action.node)


@execute.register
async def _(action: FreezeNode, fleet: SoakFleet) -> None:
    if action.node in fleet.stops:
        return
    fleet.stops.add(action.node)
    fleet.disturb(action.node, "freeze", is_planned=False)
    fleet.processes[action.node].send_signal(signal.SIGSTOP)
    await asyncio.sleep(action.for_s)
    fleet.processes[action.node].send_signal(signal.SIGCONT)
    fleet.disturb(action.node, "wake", is_planned=False)
    fleet.stops.discard(action.node)


@execute.register
async def _(action: ReloadNode, fleet: SoakFleet) -> None:
    if action.node not in fleet.stops:
        fleet.processes[action.node].send_signal(signal.SIGHUP)


@execute.register
async def _(action: PublishManifest, fleet: SoakFleet) -> None:
    fleet.publish_manifest()


@execute.register
async def _(action: ReplaceTarget, fleet: SoakFleet) -> None:
    target = fleet.targets[action.node]
    if not target.is_published or target.state != "ready":
        return
    key = f"servers/{target.incarnation}"
    if action.announces:
        target.state = "draining"
        target.publish()
    else:
        target.is_published = False
        fleet.store.delete(key)
    fleet.record["departures"].append(Departure(target.incarnation, fleet.now()))
    await asyncio.sleep(SERVES_ON_S)
    target.is_published = False
    if action.announces:
        fleet.store.delete(key)
    target.port.close_listener()
    # It ends once its last request has ended.
    while any(connection.pending for connection in target.port.connections):
        await asyncio.sleep(0.05)
    target.port.abort_all()
    await fleet.add_target(action.node)


@execute.register
async def _(action: CutWatches, fleet: SoakFleet) -> None:
    for connection in list(fleet.store.port.connections):
        connection.abort()


@execute.register
async def _(action: StoreOutage, fleet: SoakFleet) -> None:
    fleet.disturb(0, "store outage", is_planned=False)
    fleet.store.status = 503
    await asyncio.sleep(action.for_s)
    fleet.store.status = 200
    fleet.disturb(0, "store return", is_planned=False)
