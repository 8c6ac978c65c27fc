"""Measures how changes spread and what control costs a node.

    python -m jacinthsail.testing.measure_replication --nodes 10,30

Each size starts that many node processes without targets and one platform stand-in on loopback.
"""

import json
import os
import statistics
import time
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple

from absl import app, flags

from jacinthsail.testing.mesh import PLATFORM, Mesh, MeshVm, process_name

_NODES = flags.DEFINE_string("nodes", "10,30", "Numbers of nodes, separated by commas.")
_CHANGES = flags.DEFINE_integer("changes", 10, "How many changes to publish at each size.")
_IDLE_S = flags.DEFINE_float("idle_s", 20.0, "How long the cost at idle is measured.")

DOMAINS = (("manila", "luzon"), ("baguio", "luzon"), ("davao", "mindanao"), ("cagayan", "mindanao"))
SECTIONS = 20
SETTLE_S = 5.0
SPREAD_POLL_S = 2.0

# Changes have to be in force everywhere within this time.
SPREAD_TIMEOUT_S = 16.0

SECTION_TEXT = """owner = "team"

[services.service-{number}]
slots = {slots}
connections = 560

[services.service-{number}.classes.view]
importance = 1
execution = "repeatable"
deadline_ms = 2000
"""


class Usage(NamedTuple):
    """What the nodes have used since they started."""

    taken_at: float
    platform_reads: int
    cpu_s: tuple[float, ...]
    rss_mb: tuple[float, ...]
    bytes_by_distance: dict[str, int]


class Measured(NamedTuple):
    """The figures of one size."""

    nodes: int
    spread_s: tuple[float, ...]
    missed: int
    reads_per_s: float
    bytes_per_s: dict[str, float]
    cpu_percent: tuple[float, ...]
    rss_mb: tuple[float, ...]


class NodesWithoutTargets(Mesh):
    """A mesh of nodes only; calls are not measured here."""

    def start_vm(self, vm: str) -> None:
        """Start the node of one VM."""
        self.start_process(vm, "node")


def section_text(number: int, slots: int) -> str:
    """Return the text of one section."""
    return SECTION_TEXT.format(number=number, slots=slots)


def measure(nodes: int, changes: int, idle_s: float) -> Measured:
    """Return the figures for a number of nodes."""
    vms = []
    for index in range(nodes):
        domain, region = DOMAINS[index % len(DOMAINS)]
        vms.append(MeshVm(f"vm-{index}", f"service-{index % SECTIONS}", domain, region))
    sections = {str(number): section_text(number, 80) for number in range(SECTIONS)}
    with NodesWithoutTargets(vms, sections) as mesh:
        time.sleep(SETTLE_S)
        before = usage_of(mesh)
        time.sleep(idle_s)
        after = usage_of(mesh)
        spread: list[float] = []
        missed = 0
        for change in range(changes):
            times = spread_of_change(mesh, change)
            spread.extend(times)
            missed += nodes - len(times)
    return summarised(nodes, spread, missed, before, after)


def spread_of_change(mesh: Mesh, change: int) -> list[float]:
    """Publish one change and return after how many seconds it was in force on each node."""
    name = f"section/{change % SECTIONS}"
    published_at = time.monotonic()
    version = published_version(mesh, name, section_text(change % SECTIONS, 81 + change))
    latest = published_at + SPREAD_TIMEOUT_S
    times: dict[str, float] = {}
    while len(times) < len(mesh.vms) and time.monotonic() < latest:
        # Polling faster would take processor time from the nodes while they exchange copies.
        time.sleep(SPREAD_POLL_S)
        for vm in mesh.vms:
            status: Any = mesh.status(vm)
            if vm in times or status is None or status["sections"][name]["version"] != version:
                continue
            # Both are readings of CLOCK_MONOTONIC, which all processes of a machine share.
            times[vm] = status["changed_at"] - published_at
    return list(times.values())


def published_version(mesh: Mesh, name: str, text: str) -> int:
    """Publish a section and return its version."""
    url = f"http://127.0.0.1:{mesh.platform_port}/v1/items/{name}"
    request = urllib.request.Request(url, data=text.encode(), method="PUT")
    with urllib.request.urlopen(request) as response:
        version: int = json.load(response)["version"]
        return version


def usage_of(mesh: Mesh) -> Usage:
    """Return what the nodes have used so far."""
    cpu_s = []
    rss_mb = []
    bytes_by_distance: dict[str, int] = {}
    for vm in mesh.vms:
        pid = mesh.processes[process_name(vm, "node")].pid
        cpu_s.append(cpu_seconds(pid))
        rss_mb.append(resident_mb(pid))
        status: Any = mesh.status(vm)
        for distance, traffic in status["control_bytes"].items():
            total = traffic["control_bytes_sent"] + traffic["control_bytes_received"]
            bytes_by_distance[distance] = bytes_by_distance.get(distance, 0) + total
    with urllib.request.urlopen(mesh.control_url("", PLATFORM) + "/counts") as response:
        reads = json.load(response)["reads"]
    return Usage(time.monotonic(), reads, tuple(cpu_s), tuple(rss_mb), bytes_by_distance)


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def summarised(
    nodes: int, spread: list[float], missed: int, before: Usage, after: Usage
) -> Measured:
    """Return the figures of one size."""
    seconds = after.taken_at - before.taken_at
    bytes_per_s = {}
    for distance, total in after.bytes_by_distance.items():
        bytes_per_s[distance] = (total - before.bytes_by_distance[distance]) / seconds / nodes
    cpu_percent = []
    for start, end in zip(before.cpu_s, after.cpu_s, strict=True):
        cpu_percent.append(100 * (end - start) / seconds)
    reads_per_s = (after.platform_reads - before.platform_reads) / seconds
    return Measured(
        nodes=nodes,
        spread_s=tuple(sorted(spread)),
        missed=missed,
        reads_per_s=reads_per_s,
        bytes_per_s=bytes_per_s,
        cpu_percent=tuple(cpu_percent),
        rss_mb=after.rss_mb,
    )


def row_of(measured: Measured) -> str:
    """Return the figures of one size as a row of a Markdown table."""
    spread = measured.spread_s
    p99 = spread[min(len(spread) - 1, int(0.99 * len(spread)))]
    cells = [
        str(measured.nodes),
        f"{statistics.median(spread):.3f} / {p99:.3f} / {spread[-1]:.3f}",
        str(measured.missed),
        f"{measured.reads_per_s:.1f}",
        f"{measured.bytes_per_s['own-domain']:.0f}",
        f"{measured.bytes_per_s['own-region']:.0f}",
        f"{measured.bytes_per_s['other-region']:.0f}",
        f"{statistics.mean(measured.cpu_percent):.2f} / {max(measured.cpu_percent):.2f}",
        f"{statistics.mean(measured.rss_mb):.1f} / {max(measured.rss_mb):.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


HEADER = """\
| nodes | change in force after, s (median / p99 / max) | nodes missed | platform reads/s \
| control B/s in domain | in region | across regions | CPU % of a core (mean / max) \
| RSS MB (mean / max) |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |"""


def run(_argv: list[str]) -> None:
    """Measure each size and print a table."""
    print(HEADER)
    for nodes in _NODES.value.split(","):
        print(row_of(measure(int(nodes), _CHANGES.value, _IDLE_S.value)), flush=True)


def main() -> None:
    """Run the measurement."""
    app.run(run)


if __name__ == "__main__":
    main()
