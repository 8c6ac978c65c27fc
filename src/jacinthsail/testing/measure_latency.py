"""Measures the latency that nodes add to calls, interleaved with direct calls to the same target.

Usage: ``python -m jacinthsail.testing.measure_latency --calls=3000 --concurrency=1``. The figures
of one run are compared with each other only, since the speed of the machine varies between runs.
"""

import asyncio
import gc
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import aiohttp
from absl import app, flags
from aiohttp import web

from jacinthsail.testing.mesh import HOST, START_TIMEOUT_S, Mesh, MeshVm, process_name

_CALLS = flags.DEFINE_integer("calls", 3000, "Calls on each path.")
_CONCURRENCY = flags.DEFINE_integer("concurrency", 1, "Calls in flight at a time.")
_PAUSE_S = flags.DEFINE_float("pause_s", 0.0, "Pause before the calls, to attach a profiler.")

WARM_UP_CALLS = 300
REQUEST_BODY = b"q" * 512
ANSWER_BODY = b"a" * 1024
DEPTH_OF_A_NESTED_CALL = "1"

_SECTION = """
owner = "measurement"
[services.measured]
slots = 80
connections = 560
[services.measured.classes.view]
importance = 1
execution = "repeatable"
deadline_ms = 5000
[services.calling]
slots = 80
connections = 560
[services.calling.classes.view]
importance = 1
execution = "repeatable"
deadline_ms = 5000
"""


class Path(NamedTuple):
    """One way to the measured target."""

    name: str
    url: str
    headers: dict[str, str]


class Figures(NamedTuple):
    """Latencies of one path in ms."""

    p50: float
    p99: float


def percentile(sorted_values: list[float], share: float) -> float:
    """Return the value that this share of the sorted values does not exceed."""
    return sorted_values[min(len(sorted_values) - 1, int(len(sorted_values) * share))]


def figures_of(latencies_s: list[float]) -> Figures:
    """Return median and 99th percentile in ms."""
    ordered = sorted(latencies_s)
    return Figures(percentile(ordered, 0.5) * 1000, percentile(ordered, 0.99) * 1000)


def paths_of(mesh: Mesh) -> list[Path]:
    """Return the direct path and those through nodes.

    The outbound path is measured as a target's own call: at depth 1, through the node of the
    calling service, to the node and target of the measured one.
    """
    call = "v1/services/measured/view"
    context = {
        "Jacinthsail-Request-Id": "measured-call",
        "Jacinthsail-Depth": DEPTH_OF_A_NESTED_CALL,
        "Jacinthsail-Rank": "200",
        "Jacinthsail-Deadline-Ms": "5000",
        "Jacinthsail-Retries-Left": "0",
        "Jacinthsail-Caller": "member-1",
    }
    measured = mesh.ports["measured-1"]
    calling = mesh.ports["calling-1"]
    return [
        Path("direct", f"http://{HOST}:{measured.target}/measured/view", context),
        Path("own target", f"http://{HOST}:{measured.callers}/{call}", {}),
        Path("relayed", f"http://{HOST}:{calling.callers}/{call}", {}),
        Path("outbound", f"http://{HOST}:{calling.callers}/{call}", context),
    ]


async def measure(paths: list[Path], calls: int, concurrency: int) -> dict[str, list[float]]:
    """Return the latencies of each path in seconds; the paths take turns call by call."""
    latencies: dict[str, list[float]] = {path.name: [] for path in paths}
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        for _ in range(WARM_UP_CALLS):
            for path in paths:
                await _one_call(session, path)
        workers = [
            _take_turns(session, paths, calls // concurrency, latencies) for _ in range(concurrency)
        ]
        gc.collect()
        gc.disable()
        await asyncio.gather(*workers)
        gc.enable()
    return latencies


async def _take_turns(
    session: aiohttp.ClientSession,
    paths: list[Path],
    calls: int,
    latencies: dict[str, list[float]],
) -> None:
    for _ in range(calls):
        for path in paths:
            latencies[path.name].append(await _one_call(session, path))


async def _one_call(session: aiohttp.ClientSession, path: Path) -> float:
    started = time.perf_counter()
    async with session.post(path.url, data=REQUEST_BODY, headers=path.headers) as response:
        body = await response.read()
    elapsed = time.perf_counter() - started
    if response.status != 200 or body != ANSWER_BODY:
        raise RuntimeError(f"{path.name}: status {response.status}, body of {len(body)} bytes")
    return elapsed


def report(latencies: dict[str, list[float]]) -> str:
    """Return the table of figures."""
    direct = figures_of(latencies["direct"])
    lines = ["path        p50 ms  p99 ms  added p50  added p99  ratio p50  ratio p99"]
    for name, values in latencies.items():
        figures = figures_of(values)
        lines.append(
            f"{name:10}  {figures.p50:6.3f}  {figures.p99:6.3f}"
            f"  {figures.p50 - direct.p50:9.3f}  {figures.p99 - direct.p99:9.3f}"
            f"  {figures.p50 / direct.p50:9.2f}  {figures.p99 / direct.p99:9.2f}"
        )
    return "\n".join(lines)


async def _answer(request: web.BaseRequest) -> web.Response:
    await request.read()
    return web.Response(body=ANSWER_BODY)


async def _serve_target(port: int) -> None:
    server = web.Server(_answer, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, HOST, port)
    await listener.serve_forever()


def replace_target(mesh: Mesh, vm: str) -> None:
    """Replace a stand-in target by one that answers at once with a fixed body."""
    name = process_name(vm, "target")
    mesh.processes[name].terminate()
    mesh.processes[name].wait()
    port = mesh.ports[vm].target
    command = [sys.executable, "-m", "jacinthsail.testing.measure_latency", "target", str(port)]
    mesh.processes[name] = subprocess.Popen(command)
    latest = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < latest:
        try:
            with socket.create_connection((HOST, port)):
                return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"the target does not listen on port {port} after {START_TIMEOUT_S} s")


def run(argv: list[str]) -> None:
    """Start a mesh, measure and print the table; with ``target <port>`` only serve as a target."""
    if argv[1:2] == ["target"]:
        asyncio.run(_serve_target(int(argv[2])))
        return
    vms = (
        MeshVm("measured-1", "measured", "manila", "luzon"),
        MeshVm("calling-1", "calling", "manila", "luzon"),
    )
    with Mesh(vms, {"measured": _SECTION}) as mesh:
        replace_target(mesh, "measured-1")
        for vm in mesh.vms:
            node = mesh.processes[process_name(vm, "node")]
            sys.stdout.write(f"node {vm}: process {node.pid}\n")
        sys.stdout.flush()
        time.sleep(_PAUSE_S.value)
        latencies = asyncio.run(measure(paths_of(mesh), _CALLS.value, _CONCURRENCY.value))
    sys.stdout.write(report(latencies) + "\n")


def main() -> None:
    """Run the measurement."""
    app.run(run)


if __name__ == "__main__":
    main()
