"""Measures the latency that nodes add to calls, interleaved with direct calls to the same target.

Usage: ``python -m jacinthsail.testing.measure_latency --calls=1000 --runs=5``. Figures are compared
only within one run, since the speed of the machine varies between runs. Of several runs, the one
with the median added p99 on the local-target path is printed, with the spread of all runs. With
``--rate=80`` it prints instead the CPU and memory use of a node when idle and while calls for its
target arrive at that rate.
"""

import asyncio
import gc
import os
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import aiohttp
from absl import app, flags
from aiohttp import web

from jacinthsail.testing.mesh import HOST, START_TIMEOUT_S, TARGET_HOST, Mesh, MeshVm, process_name

_CALLS = flags.DEFINE_integer("calls", 3000, "Calls on each path.")
_CONCURRENCY = flags.DEFINE_integer("concurrency", 1, "Calls in flight at a time.")
_RUNS = flags.DEFINE_integer("runs", 1, "Runs, each with a new mesh.")
_RATE = flags.DEFINE_integer("rate", 0, "Calls per second for the measurement of CPU and memory.")
_PAUSE_S = flags.DEFINE_float("pause_s", 0.0, "Pause before the calls, to attach a profiler.")

WARM_UP_CALLS = 300
REQUEST_BODY = b"q" * 512
RESPONSE_BODY = b"a" * 1024
NESTED_CALL_DEPTH = "1"

DIRECT = "direct"
# At most 10 characters, the width of the first column of the tables.
LOCAL_TARGET_PATH = "local"

COST_MEASUREMENT_S = 10.0

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


class CallPath(NamedTuple):
    """One path to the measured target."""

    name: str
    url: str
    headers: dict[str, str]


class LatencyFigures(NamedTuple):
    """Latencies of one path in ms."""

    p50: float
    p99: float


def percentile(sorted_values: list[float], share: float) -> float:
    """Return the value that the given share of the sorted values does not exceed."""
    return sorted_values[min(len(sorted_values) - 1, int(len(sorted_values) * share))]


def latency_figures(latencies_s: list[float]) -> LatencyFigures:
    """Return the median and the 99th percentile in ms."""
    ordered = sorted(latencies_s)
    return LatencyFigures(percentile(ordered, 0.5) * 1000, percentile(ordered, 0.99) * 1000)


def measured_paths(mesh: Mesh) -> list[CallPath]:
    """Return the direct path and the paths through nodes.

    A call on the outbound path is a nested call of a target: at depth 1, through the node of the
    calling service, to the node and target of the measured service.
    """
    call = "v1/services/measured/view"
    context = {
        "Jacinthsail-Request-Id": "measured-call",
        "Jacinthsail-Depth": NESTED_CALL_DEPTH,
        "Jacinthsail-Rank": "200",
        "Jacinthsail-Deadline-Ms": "5000",
        "Jacinthsail-Retries-Left": "0",
        "Jacinthsail-Caller": "member-1",
    }
    measured = mesh.ports["measured-1"]
    calling = mesh.ports["calling-1"]
    return [
        CallPath(DIRECT, f"http://{HOST}:{measured.target}/measured/view", context),
        CallPath(LOCAL_TARGET_PATH, f"http://{HOST}:{measured.callers}/{call}", {}),
        CallPath("relayed", f"http://{HOST}:{calling.callers}/{call}", {}),
        CallPath("outbound", f"http://{HOST}:{calling.callers}/{call}", context),
    ]


async def measure(paths: list[CallPath], calls: int, concurrency: int) -> dict[str, list[float]]:
    """Return the latencies of each path in seconds; calls on the paths are interleaved."""
    latencies: dict[str, list[float]] = {path.name: [] for path in paths}
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        for _ in range(WARM_UP_CALLS):
            for path in paths:
                await _timed_call(session, path)
        workers = [
            _interleave_calls(session, paths, calls // concurrency, latencies)
            for _ in range(concurrency)
        ]
        gc.collect()
        gc.disable()
        await asyncio.gather(*workers)
        gc.enable()
    return latencies


async def _interleave_calls(
    session: aiohttp.ClientSession,
    paths: list[CallPath],
    calls: int,
    latencies: dict[str, list[float]],
) -> None:
    for _ in range(calls):
        for path in paths:
            latencies[path.name].append(await _timed_call(session, path))


async def _timed_call(session: aiohttp.ClientSession, path: CallPath) -> float:
    started = time.perf_counter()
    async with session.post(path.url, data=REQUEST_BODY, headers=path.headers) as response:
        body = await response.read()
    elapsed = time.perf_counter() - started
    if response.status != 200 or body != RESPONSE_BODY:
        raise RuntimeError(f"{path.name}: status {response.status}, body of {len(body)} bytes")
    return elapsed


def report(latencies: dict[str, list[float]]) -> str:
    """Return the figures of all paths as a table."""
    direct = latency_figures(latencies[DIRECT])
    lines = ["path        p50 ms  p99 ms  added p50  added p99  ratio p50  ratio p99"]
    for name, values in latencies.items():
        figures = latency_figures(values)
        lines.append(
            f"{name:10}  {figures.p50:6.3f}  {figures.p99:6.3f}"
            f"  {figures.p50 - direct.p50:9.3f}  {figures.p99 - direct.p99:9.3f}"
            f"  {figures.p50 / direct.p50:9.2f}  {figures.p99 / direct.p99:9.2f}"
        )
    return "\n".join(lines)


def added_p99(latencies: dict[str, list[float]], name: str) -> float:
    """Return the p99 of a path minus the p99 of direct calls, in ms."""
    return latency_figures(latencies[name]).p99 - latency_figures(latencies[DIRECT]).p99


def spread(runs: list[dict[str, list[float]]]) -> str:
    """Return a table of the lowest and highest added p50 and p99 of each path over all runs."""
    lines = ["path        added p50 from..to  added p99 from..to"]
    for name in runs[0]:
        p50s = [latency_figures(run[name]).p50 - latency_figures(run[DIRECT]).p50 for run in runs]
        p99s = [added_p99(run, name) for run in runs]
        lines.append(
            f"{name:10}  {min(p50s):9.3f}..{max(p50s):<7.3f}  {min(p99s):9.3f}..{max(p99s):<7.3f}"
        )
    return "\n".join(lines)


def median_run(runs: list[dict[str, list[float]]]) -> dict[str, list[float]]:
    """Return the run with the median added p99 on the local-target path."""
    ordered = sorted(runs, key=lambda run: added_p99(run, LOCAL_TARGET_PATH))
    return ordered[len(ordered) // 2]


class ProcessCost(NamedTuple):
    """CPU time of a process since its start, and its resident memory."""

    cpu_s: float
    resident_bytes: int


def process_cost(pid: int) -> ProcessCost:
    """Return the CPU time and the resident memory of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessCost(
        ticks / os.sysconf("SC_CLK_TCK"), int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    )


async def call_at_rate(path: CallPath, rate: int, seconds: float) -> None:
    """Send calls on a path at a fixed rate, one at a time."""
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        loop = asyncio.get_running_loop()
        started = loop.time()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
            await _timed_call(session, path)


def report_cost(mesh: Mesh, rate: int) -> str:
    """Return the cost of the measured node when idle and at a rate of calls for its target."""
    pid = mesh.processes[process_name("measured-1", "node")].pid
    path = measured_paths(mesh)[1]
    asyncio.run(call_at_rate(path, rate, 2.0))
    at_start = process_cost(pid)
    time.sleep(COST_MEASUREMENT_S)
    idle_cost = process_cost(pid)
    started = time.monotonic()
    asyncio.run(call_at_rate(path, rate, COST_MEASUREMENT_S))
    elapsed_s = time.monotonic() - started
    at_rate = process_cost(pid)
    idle_share = (idle_cost.cpu_s - at_start.cpu_s) / COST_MEASUREMENT_S
    rate_share = (at_rate.cpu_s - idle_cost.cpu_s) / elapsed_s
    calls_per_s = int(rate * COST_MEASUREMENT_S) / elapsed_s
    return (
        f"idle: {idle_share:.1%} of a core, {idle_cost.resident_bytes / 1e6:.0f} MB\n"
        f"at {calls_per_s:.0f} calls/s: {rate_share:.1%} of a core,"
        f" {at_rate.resident_bytes / 1e6:.0f} MB"
    )


async def _respond(request: web.BaseRequest) -> web.Response:
    await request.read()
    return web.Response(body=RESPONSE_BODY)


async def _serve_target(port: int) -> None:
    server = web.Server(_respond, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, (HOST, TARGET_HOST), port)
    await listener.serve_forever()


def replace_target(mesh: Mesh, vm: str) -> None:
    """Replace a stand-in target by one that responds immediately with a fixed body."""
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
    """Start a mesh, measure and print the table; with ``target <port>`` only run a target."""
    if argv[1:2] == ["target"]:
        asyncio.run(_serve_target(int(argv[2])))
        return
    sys.stdout.write(f"load average {_load()}\n")
    runs = []
    for _ in range(_RUNS.value):
        with _new_mesh() as mesh:
            replace_target(mesh, "measured-1")
            if _RATE.value:
                sys.stdout.write(report_cost(mesh, _RATE.value) + "\n")
                continue
            _pause_for_profiler(mesh)
            runs.append(
                asyncio.run(measure(measured_paths(mesh), _CALLS.value, _CONCURRENCY.value))
            )
    sys.stdout.write(f"load average {_load()}\n")
    if not runs:
        return
    sys.stdout.write(report(median_run(runs)) + "\n")
    if len(runs) > 1:
        sys.stdout.write(spread(runs) + "\n")


def _load() -> str:
    return ", ".join(f"{load:.1f}" for load in os.getloadavg())


def _new_mesh() -> Mesh:
    vms = (
        MeshVm("measured-1", "measured", "manila", "luzon"),
        MeshVm("calling-1", "calling", "manila", "luzon"),
    )
    return Mesh(vms, {"measured": _SECTION})


def _pause_for_profiler(mesh: Mesh) -> None:
    if not _PAUSE_S.value:
        return
    for vm in mesh.vms:
        node = mesh.processes[process_name(vm, "node")]
        sys.stdout.write(f"node {vm}: process {node.pid}\n")
    sys.stdout.flush()
    time.sleep(_PAUSE_S.value)


def main() -> None:
    """Run the measurement."""
    app.run(run)


if __name__ == "__main__":
    main()
