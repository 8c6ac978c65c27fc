"""Measures the propagation of changes and the cost of control for a node.

    python -m jacinthsail.testing.measure_replication --nodes 10,30 [--target_document]

For each number of nodes it starts that many node processes without targets and one platform
stand-in on loopback. With ``--target_document`` the nodes hold the document and the VM lists of the
target size, the size that the system is designed for.
"""

import hashlib
import json
import os
import statistics
import time
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple

from absl import app, flags

from jacinthsail.testing.mesh import (
    LISTED_AGO_MS,
    PLATFORM,
    Mesh,
    MeshVm,
    process_name,
)

_NODES = flags.DEFINE_string("nodes", "10,30", "Numbers of nodes, separated by commas.")
_CHANGES = flags.DEFINE_integer(
    "changes", 10, "Number of changes to publish for each number of nodes."
)
_IDLE_S = flags.DEFINE_float("idle_s", 20.0, "Duration of the idle measurement in s.")

_TARGET_DOCUMENT = flags.DEFINE_bool(
    "target_document", False, "Hold 220 sections and 11 VM lists of 273 entries."
)

DOMAINS = (("manila", "luzon"), ("baguio", "luzon"), ("davao", "mindanao"), ("cagayan", "mindanao"))
SECTIONS = 20

# The target size: 3,000 VMs in 11 failure domains of 3 regions, and a document of 1 MB.
TARGET_SECTIONS = 220
TARGET_VMS_PER_DOMAIN = 273
TARGET_DOMAINS = tuple((f"domain-{number}", f"region-{number // 4}") for number in range(11))
SECTION_BYTES = 4_500
SETTLE_S = 5.0
PROPAGATION_POLL_S = 2.0

# Changes must be in force on all nodes within this time; nodes that exceed it count as missed.
PROPAGATION_TIMEOUT_S = 16.0

SECTION_TEXT = """owner = "team"

[services.service-{number}]
slots = {slots}
connections = 560

[services.service-{number}.classes.view]
importance = 1
execution = "repeatable"
deadline_ms = 2000
"""


class ResourceUsage(NamedTuple):
    """Resources used by the nodes since their start."""

    taken_at: float
    platform_reads: int
    cpu_s: tuple[float, ...]
    rss_mb: tuple[float, ...]
    bytes_by_distance: dict[str, int]


class SizeMeasurement(NamedTuple):
    """The figures for one number of nodes."""

    nodes: int
    propagation_s: tuple[float, ...]
    missed_count: int
    reads_per_s: float
    bytes_per_s: dict[str, float]
    cpu_percent: tuple[float, ...]
    rss_mb: tuple[float, ...]
    change_bytes: dict[str, float]
    change_cpu_ms: float


class ChangeCost(NamedTuple):
    """Cost of one change for a node beyond its idle use: control bytes by distance, CPU time."""

    bytes_by_distance: dict[str, float]
    cpu_ms: float


class MeshWithoutTargets(Mesh):
    """A mesh without targets, since this measurement sends no calls."""

    def start_vm(self, vm: str) -> None:
        """Start the node of one VM."""
        self.start_process(vm, "node")


class TargetSizeMesh(MeshWithoutTargets):
    """A mesh whose nodes hold VM lists of the target size.

    Entries without a node are draining, so that no node tries to exchange copies with them.
    """

    def publish_vm_lists(
        self, leaving: frozenset[str] = frozenset(), listed_ago_ms: int = LISTED_AGO_MS
    ) -> None:
        """Publish the list of each failure domain, padded with entries of VMs without a node."""
        listed_at_ms = time.time_ns() // 1_000_000 - listed_ago_ms
        for domain, region in TARGET_DOMAINS:
            self.publish(f"vms/{domain}", self.vm_list(domain, region, listed_at_ms).encode())

    def vm_list(self, domain: str, region: str, listed_at_ms: int) -> str:
        """Return the text of a VM list of the target size."""
        entries = []
        for vm in self.vms.values():
            if vm.failure_domain == domain:
                self.listed_at_ms.setdefault(vm.vm, listed_at_ms)
                entries.append(self._list_entry(vm))
        for number in range(len(entries), TARGET_VMS_PER_DOMAIN):
            entries.append(vacant_entry(domain, region, number, listed_at_ms))
        return json.dumps({"failure_domain": domain, "vms": entries})


def vacant_entry(domain: str, region: str, number: int, listed_at_ms: int) -> dict[str, object]:
    """Return the entry of a VM that has no node.

    Address and time differ between entries, since the compressed size of a copy depends on them.
    """
    digits = int(hashlib.sha256(f"{domain} {number}".encode()).hexdigest()[:8], 16)
    listed_at_ms -= digits % 100_000_000
    return {
        "vm": f"{domain}-vacant-{number}",
        "host": f"127.{digits >> 16 & 255}.{digits >> 8 & 255}.{digits & 255}",
        "callers_port": 1,
        "relay_port": 1,
        "failure_domain": domain,
        "region": region,
        "service": f"service-{number % TARGET_SECTIONS}",
        "status": "leaving",
        "listed_at_ms": listed_at_ms,
        "leaving_at_ms": listed_at_ms,
    }


def section_text(number: int, slots: int) -> str:
    """Return the text of one short section."""
    return SECTION_TEXT.format(number=number, slots=slots)


def full_section_text(number: int, slots: int) -> str:
    """Return the text of one section, padded with comments to its share of a 1 MB document.

    The comments contain hexadecimal digits, which zlib compresses to half their size and thus less
    than prose.
    """
    lines = [section_text(number, slots)]
    size = len(lines[0])
    while size < SECTION_BYTES:
        digits = hashlib.sha256(f"{number} {size}".encode()).hexdigest()[:24]
        lines.append(f"# {digits} is a note\n")
        size += len(lines[-1])
    return "".join(lines)


def published_text(number: int, slots: int) -> str:
    """Return the text of one section in the size selected by ``--target_document``."""
    if _TARGET_DOCUMENT.value:
        return full_section_text(number, slots)
    return section_text(number, slots)


def measure(nodes: int, changes: int, idle_s: float) -> SizeMeasurement:
    """Return the figures for a number of nodes."""
    is_target_size = _TARGET_DOCUMENT.value
    domains = TARGET_DOMAINS if is_target_size else DOMAINS
    section_count = TARGET_SECTIONS if is_target_size else SECTIONS
    vms = []
    for index in range(nodes):
        domain, region = domains[index % len(domains)]
        vms.append(MeshVm(f"vm-{index}", f"service-{index % section_count}", domain, region))
    sections = {str(number): published_text(number, 80) for number in range(section_count)}
    mesh_type = TargetSizeMesh if is_target_size else MeshWithoutTargets
    with mesh_type(vms, sections) as mesh:
        time.sleep(SETTLE_S)
        before = read_usage(mesh)
        time.sleep(idle_s)
        after = read_usage(mesh)
        times_s: list[float] = []
        missed_count = 0
        for change in range(changes):
            times = propagation_times(mesh, change)
            times_s.extend(times)
            missed_count += nodes - len(times)
        last = read_usage(mesh)
    cost = cost_of_change(nodes, changes, before, after, last)
    return summarize(nodes, times_s, missed_count, before, after, cost)


def cost_of_change(
    nodes: int, changes: int, before: ResourceUsage, after: ResourceUsage, last: ResourceUsage
) -> ChangeCost:
    """Return the cost of one change for a node: the use during changes minus the idle use.

    The nodes are idle from ``before`` to ``after``, and get the changes from ``after`` to ``last``.
    """
    duration_ratio = (last.taken_at - after.taken_at) / (after.taken_at - before.taken_at)
    extra_bytes = {}
    for distance, total in last.bytes_by_distance.items():
        idle = (
            after.bytes_by_distance[distance] - before.bytes_by_distance[distance]
        ) * duration_ratio
        extra_bytes[distance] = (total - after.bytes_by_distance[distance] - idle) / nodes / changes
    idle_cpu_s = (sum(after.cpu_s) - sum(before.cpu_s)) * duration_ratio
    extra_cpu_s = sum(last.cpu_s) - sum(after.cpu_s) - idle_cpu_s
    return ChangeCost(extra_bytes, 1000 * extra_cpu_s / nodes / changes)


def propagation_times(mesh: Mesh, change: int) -> list[float]:
    """Publish one change; return the seconds until it was in force on each node."""
    name = f"section/{change % SECTIONS}"
    published_at = time.monotonic()
    version = publish_section(mesh, name, published_text(change % SECTIONS, 81 + change))
    latest = published_at + PROPAGATION_TIMEOUT_S
    times: dict[str, float] = {}
    while len(times) < len(mesh.vms) and time.monotonic() < latest:
        # Faster polling would take CPU time from the nodes while they exchange copies.
        time.sleep(PROPAGATION_POLL_S)
        for vm in mesh.vms:
            status: Any = mesh.status(vm)
            if vm in times or status is None or status["sections"][name]["version"] != version:
                continue
            # Both times are from CLOCK_MONOTONIC, which is common to all processes of a machine.
            times[vm] = status["changed_at"] - published_at
    return list(times.values())


def publish_section(mesh: Mesh, name: str, text: str) -> int:
    """Publish a section and return its version."""
    url = f"http://127.0.0.1:{mesh.platform_port}/v1/items/{name}"
    request = urllib.request.Request(url, data=text.encode(), method="PUT")
    with urllib.request.urlopen(request) as response:
        version: int = json.load(response)["version"]
        return version


def read_usage(mesh: Mesh) -> ResourceUsage:
    """Return the resources used by the nodes so far."""
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
    return ResourceUsage(time.monotonic(), reads, tuple(cpu_s), tuple(rss_mb), bytes_by_distance)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def summarize(
    nodes: int,
    times_s: list[float],
    missed_count: int,
    before: ResourceUsage,
    after: ResourceUsage,
    cost: ChangeCost,
) -> SizeMeasurement:
    """Return the figures for one number of nodes."""
    seconds = after.taken_at - before.taken_at
    bytes_per_s = {}
    for distance, total in after.bytes_by_distance.items():
        bytes_per_s[distance] = (total - before.bytes_by_distance[distance]) / seconds / nodes
    cpu_percent = []
    for start, end in zip(before.cpu_s, after.cpu_s, strict=True):
        cpu_percent.append(100 * (end - start) / seconds)
    reads_per_s = (after.platform_reads - before.platform_reads) / seconds
    return SizeMeasurement(
        nodes=nodes,
        propagation_s=tuple(sorted(times_s)),
        missed_count=missed_count,
        reads_per_s=reads_per_s,
        bytes_per_s=bytes_per_s,
        cpu_percent=tuple(cpu_percent),
        rss_mb=after.rss_mb,
        change_bytes=cost.bytes_by_distance,
        change_cpu_ms=cost.cpu_ms,
    )


def table_row(measured: SizeMeasurement) -> str:
    """Return the figures for one number of nodes as a row of a Markdown table."""
    times_s = measured.propagation_s
    p99 = times_s[min(len(times_s) - 1, int(0.99 * len(times_s)))]
    cells = [
        str(measured.nodes),
        f"{statistics.median(times_s):.3f} / {p99:.3f} / {times_s[-1]:.3f}",
        str(measured.missed_count),
        f"{measured.reads_per_s:.1f}",
        f"{measured.bytes_per_s['own-domain']:.0f}",
        f"{measured.bytes_per_s['own-region']:.0f}",
        f"{measured.bytes_per_s['other-region']:.0f}",
        f"{statistics.mean(measured.cpu_percent):.2f} / {max(measured.cpu_percent):.2f}",
        f"{statistics.mean(measured.rss_mb):.1f} / {max(measured.rss_mb):.1f}",
        f"{measured.change_bytes['own-domain']:.0f}",
        f"{measured.change_bytes['own-region']:.0f}",
        f"{measured.change_bytes['other-region']:.0f}",
        f"{measured.change_cpu_ms:.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


HEADER = """\
| nodes | change in force after, s (median / p99 / max) | nodes missed | platform reads/s \
| control B/s in domain | in region | across regions | CPU % of a core (mean / max) \
| RSS MB (mean / max) | bytes per change in domain | in region | across regions \
| CPU ms per change |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"""


def run(_argv: list[str]) -> None:
    """Measure with each number of nodes and print a table."""
    print(HEADER)
    for nodes in _NODES.value.split(","):
        print(table_row(measure(int(nodes), _CHANGES.value, _IDLE_S.value)), flush=True)


def main() -> None:
    """Run the measurement."""
    app.run(run)


if __name__ == "__main__":
    main()
