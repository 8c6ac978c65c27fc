"""Starts a small mesh of processes on loopback addresses: platform, targets, nodes and links."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Mapping, Sequence
from email.message import Message
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

HOST = "127.0.0.1"

# Nothing listens on this address; ports are bound on it only to reserve them.
RESERVATION_HOST = "127.0.0.9"

# Targets use a separate address, by which a node distinguishes calls of its target from those of
# other callers.
TARGET_HOST = "127.0.0.2"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0

# Length of the log tail in an error message; the folder with the log is removed afterwards.
LOG_TAIL_CHARS = 2000

FIRST_PORT = 10_000
LAST_PORT = 32_000

# VMs are published as listed this long ago, so that they can be the owner of keys created now.
LISTED_AGO_MS = 60_000

PLATFORM = "platform"


class MeshVm(NamedTuple):
    """One VM of the mesh, which runs a target and its node."""

    vm: str
    service: str
    failure_domain: str
    region: str


class Ports(NamedTuple):
    """Ports on which the processes of one VM listen."""

    callers: int
    relay: int
    operators: int
    target: int
    link: int
    link_control: int
    platform_link: int
    platform_link_control: int


class Reply(NamedTuple):
    """The response that a caller received."""

    status: int
    outcome: str
    reason: str
    body: str


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now.

    The port is below the range of ephemeral ports, because an outgoing connection could otherwise
    take it before the process that is to listen on it has started.
    """
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


def process_name(vm: str, role: str) -> str:
    """Return the name of one process of a VM."""
    return f"{vm}/{role}"


class ReservedPorts(NamedTuple):
    """Ports that no other mesh uses while the sockets are open."""

    ports: tuple[int, ...]
    sockets: tuple[socket.socket, ...]

    def release(self) -> None:
        """Close the sockets, so that other meshes can use the ports."""
        for sock in self.sockets:
            sock.close()


def reserve_ports(count: int) -> ReservedPorts:
    """Return distinct free ports of 127.0.0.1, reserved against meshes of other processes.

    A port is reserved by binding it on a second loopback address, which leaves it free on the first
    address for the process that is to listen on it.
    """
    ports: list[int] = []
    sockets: list[socket.socket] = []
    while len(ports) < count:
        port = free_port()
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_HOST, port))
        except OSError:
            reservation.close()
            continue
        ports.append(port)
        sockets.append(reservation)
    return ReservedPorts(tuple(ports), tuple(sockets))


class Mesh:
    """A running mesh; use it as a context manager so that every process is terminated.

    with Mesh(vms, sections) as mesh:
        reply = mesh.call("drafts-1", "drafts", "view", b"page 7")
    """

    def __init__(
        self,
        vms: Sequence[MeshVm],
        sections: Mapping[str, str],
        node_settings: str = "",
        vm_settings: Mapping[str, str] | None = None,
        behaviour: Mapping[str, object] | None = None,
        has_links: bool = False,
        platform_behind_s: float = 0.0,
    ) -> None:
        self.vms = {vm.vm: vm for vm in vms}
        self.sections = sections
        self.node_settings = node_settings
        self.vm_settings = vm_settings or {}
        self.behaviour = behaviour or {}
        self.has_links = has_links
        self.platform_behind_s = platform_behind_s
        self.folder = tempfile.TemporaryDirectory(prefix="jacinthsail-mesh-")
        width = len(Ports._fields)
        self.reserved_ports = reserve_ports(1 + width * len(vms))
        self.platform_port, *ports = self.reserved_ports.ports
        self.ports = {}
        for number, vm in enumerate(vms):
            self.ports[vm.vm] = Ports(*ports[number * width : (number + 1) * width])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.listed_at_ms: dict[str, int] = {}
        self.leaving_at_ms: dict[str, int] = {}
        self.removed: set[str] = set()

    def __enter__(self) -> "Mesh":
        try:
            self._start_all()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def _start_all(self) -> None:
        self._start_platform()
        for name, text in self.sections.items():
            self.publish(f"section/{name}", text.encode())
        self.publish_vm_lists()
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            self._wait_for_stand_ins(vm)
            self.wait_until_ready(vm)

    def _wait_for_stand_ins(self, vm: str) -> None:
        """Wait until the target and links of a VM listen; its node can be ready before them."""
        ports = self.ports[vm]
        control_ports = {
            "target": ports.target,
            "link": ports.link_control,
            "platform-link": ports.platform_link_control,
        }
        for role, port in control_ports.items():
            if process_name(vm, role) in self.processes:
                _wait_until_listening(port)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self.processes.values():
            _resume(process)
            process.terminate()
        for process in self.processes.values():
            _wait_or_kill(process)
        self.reserved_ports.release()
        self.folder.cleanup()

    def _start_platform(self) -> None:
        arguments = [f"--port={self.platform_port}", f"--behind_s={self.platform_behind_s}"]
        self._start_standin(PLATFORM, "platform", arguments)
        _wait_until_available(f"http://{HOST}:{self.platform_port}/v1/items")

    def _start_standin(self, name: str, role: str, arguments: list[str]) -> None:
        command = [sys.executable, "-m", "jacinthsail.testing.standin", "--role", role, *arguments]
        self.processes[name] = subprocess.Popen(command)

    def start_vm(self, vm: str) -> None:
        """Start the processes of one VM."""
        self.start_process(vm, "target")
        if self.has_links:
            self.start_process(vm, "link")
            self.start_process(vm, "platform-link")
        self.start_process(vm, "node")

    def start_process(self, vm: str, role: str) -> None:
        """Start one process of a VM; ``role`` is node, target, link or platform-link."""
        starters = {
            "node": self._start_node,
            "target": self._start_target,
            "link": self._start_link,
            "platform-link": self._start_platform_link,
        }
        starters[role](vm)

    def _start_target(self, vm: str) -> None:
        ports = self.ports[vm]
        arguments = {
            "port": ports.target,
            "name": vm,
            "node_url": f"http://{HOST}:{ports.callers}",
            "behaviour": json.dumps(dict(self.behaviour)),
            "record": self.record_path(vm),
        }
        flags = [f"--{name}={value}" for name, value in arguments.items()]
        self._start_standin(process_name(vm, "target"), "target", flags)

    def _start_link(self, vm: str) -> None:
        ports = self.ports[vm]
        flags = _link_flags(ports.link_control, ports.link, ports.relay)
        self._start_standin(process_name(vm, "link"), "link", flags)

    def _start_platform_link(self, vm: str) -> None:
        ports = self.ports[vm]
        flags = _link_flags(ports.platform_link_control, ports.platform_link, self.platform_port)
        self._start_standin(process_name(vm, "platform-link"), "link", flags)

    def _start_node(self, vm: str) -> None:
        settings = Path(self.folder.name) / f"{vm}.toml"
        settings.write_text(self._settings_text(vm), encoding="utf-8")
        with self.log_path(vm).open("ab") as log:
            self.processes[process_name(vm, "node")] = subprocess.Popen(
                [sys.executable, "-m", "jacinthsail.daemon", "--settings", str(settings)],
                stderr=log,
            )

    def _settings_text(self, vm: str) -> str:
        mesh_vm = self.vms[vm]
        ports = self.ports[vm]
        lines = [
            "[node]",
            f'vm = "{vm}"',
            f'failure_domain = "{mesh_vm.failure_domain}"',
            f'region = "{mesh_vm.region}"',
            f'service = "{mesh_vm.service}"',
        ]
        endpoints = {
            "callers": ports.callers,
            "relay": ports.relay,
            "operators": ports.operators,
            "target": ports.target,
            "platform": ports.platform_link if self.has_links else self.platform_port,
        }
        for name, port in endpoints.items():
            host = TARGET_HOST if name == "target" else HOST
            lines += [f"[{name}]", f'host = "{host}"', f"port = {port}"]
        extra_settings = self.vm_settings.get(vm, "")
        return "\n".join([*lines, self.node_settings, extra_settings, ""])

    def signal_process(self, vm: str, role: str, number: signal.Signals) -> None:
        """Send a signal to one process of a VM, for example SIGSTOP to freeze it."""
        os.kill(self.processes[process_name(vm, role)].pid, number)

    def exit_code(self, vm: str, role: str) -> int | None:
        """Return the exit code of a process, or None while it runs."""
        return self.processes[process_name(vm, role)].poll()

    def log_path(self, vm: str) -> Path:
        """Return the path of a node's log."""
        return Path(self.folder.name) / f"{vm}.log"

    def record_path(self, vm: str) -> Path:
        """Return the path of a target's record of executions."""
        return Path(self.folder.name) / f"{vm}.executions"

    def publish(self, name: str, body: bytes) -> int:
        """Publish an item on the platform and return its version."""
        url = f"http://{HOST}:{self.platform_port}/v1/items/{name}"
        request = urllib.request.Request(url, data=body, method="PUT")
        with urllib.request.urlopen(request) as response:
            version: int = json.load(response)["version"]
            return version

    def publish_vm_lists(
        self, leaving: frozenset[str] = frozenset(), listed_ago_ms: int = LISTED_AGO_MS
    ) -> None:
        """Publish the VM list of each failure domain; a VM once published as leaving stays so."""
        now_ms = time.time_ns() // 1_000_000 - int(self.platform_behind_s * 1000)
        for vm in self.vms:
            self.listed_at_ms.setdefault(vm, now_ms - listed_ago_ms)
        for vm in leaving:
            self.leaving_at_ms.setdefault(vm, now_ms)
        domains = sorted({vm.failure_domain for vm in self.vms.values()})
        for domain in domains:
            entries = []
            for mesh_vm in self.vms.values():
                if mesh_vm.failure_domain == domain and mesh_vm.vm not in self.removed:
                    entries.append(self._list_entry(mesh_vm))
            body = json.dumps({"failure_domain": domain, "vms": entries})
            self.publish(f"vms/{domain}", body.encode())

    def remove_from_lists(self, vms: Sequence[str]) -> None:
        """Publish the VM lists without these VMs."""
        self.removed.update(vms)
        self.publish_vm_lists()

    def relist_vms(self, vms: Sequence[str]) -> None:
        """Publish removed VMs again, as newly listed."""
        for vm in vms:
            self.removed.discard(vm)
            self.listed_at_ms.pop(vm, None)
            self.leaving_at_ms.pop(vm, None)
        self.publish_vm_lists(listed_ago_ms=0)

    def _list_entry(self, vm: MeshVm) -> dict[str, object]:
        ports = self.ports[vm.vm]
        entry: dict[str, object] = {
            "vm": vm.vm,
            "host": HOST,
            "callers_port": ports.callers,
            "relay_port": ports.link if self.has_links else ports.relay,
            "failure_domain": vm.failure_domain,
            "region": vm.region,
            "service": vm.service,
            "status": "live",
            "listed_at_ms": self.listed_at_ms[vm.vm],
        }
        if vm.vm in self.leaving_at_ms:
            entry |= {"status": "leaving", "leaving_at_ms": self.leaving_at_ms[vm.vm]}
        return entry

    def wait_until_ready(self, vm: str) -> None:
        """Wait until a node reports that it is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            status = self.status(vm)
            if status is not None and status["ready"]:
                return
            ended = [name for name in self.processes if self.processes[name].poll() is not None]
            if ended:
                raise RuntimeError(
                    f"{ended} exited while node {vm} was starting; its log: {self._log_tail(vm)}"
                )
            time.sleep(0.05)
        raise TimeoutError(
            f"node {vm} is not ready after {START_TIMEOUT_S} s; its log: {self._log_tail(vm)}"
        )

    def wait_for_section(self, name: str, version: int) -> None:
        """Wait until a version of a section is in force on every node."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(self._section_version(vm, name) == version for vm in self.vms):
                return
            time.sleep(0.05)
        raise TimeoutError(
            f"{name} version {version} is not in force on all nodes after {START_TIMEOUT_S} s"
        )

    def _section_version(self, vm: str, name: str) -> int:
        status = self.status(vm)
        if status is None:
            return 0
        sections: Any = status["sections"]
        version: int = sections[name]["version"]
        return version

    def _log_tail(self, vm: str) -> str:
        path = self.log_path(vm)
        return path.read_text(encoding="utf-8")[-LOG_TAIL_CHARS:] if path.exists() else ""

    def status_url(self, vm: str) -> str:
        """Return the URL of a node's status page."""
        return f"http://{HOST}:{self.ports[vm].operators}/status"

    def status(self, vm: str) -> dict[str, object] | None:
        """Return the status page of a node, or None when the node does not respond."""
        try:
            with urllib.request.urlopen(self.status_url(vm), timeout=5) as response:
                status: dict[str, object] = json.load(response)
                return status
        except OSError:
            return None

    def callers_url(self, vm: str) -> str:
        """Return the base URL of a node's port for callers."""
        return f"http://{HOST}:{self.ports[vm].callers}/v1"

    def control_url(self, vm: str, role: str) -> str:
        """Return the control URL of a stand-in; ``vm`` is empty for the platform."""
        ports = {PLATFORM: self.platform_port}
        if vm:
            ports |= {
                "target": self.ports[vm].target,
                "link": self.ports[vm].link_control,
                "platform-link": self.ports[vm].platform_link_control,
            }
        return f"http://{HOST}:{ports[role]}/control"

    def call(
        self,
        vm: str,
        service: str,
        call_class: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Call a service through the node of a VM."""
        url = f"{self.callers_url(vm)}/services/{service}/{call_class}"
        request = urllib.request.Request(url, data=body, headers=headers or {}, method="POST")
        try:
            with urllib.request.urlopen(request, timeout=30) as response:
                return _parse_reply(response.status, response.headers, response.read())
        except urllib.error.HTTPError as error:
            return _parse_reply(error.code, error.headers, error.read())


def _parse_reply(status: int, headers: Message, body: bytes) -> Reply:
    outcome = headers.get("Jacinthsail-Outcome", "")
    reason = headers.get("Jacinthsail-Reason", "")
    return Reply(status, outcome, reason, body.decode())


def _link_flags(control_port: int, relay_port: int, to_port: int) -> list[str]:
    return [f"--port={control_port}", f"--relay_port={relay_port}", f"--to_port={to_port}"]


def _wait_until_listening(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with socket.create_connection((HOST, port), timeout=5):
                return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens on port {port} after {START_TIMEOUT_S} s")


def _wait_until_available(url: str) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(url, timeout=5):
                return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"{url} does not respond after {START_TIMEOUT_S} s")


def _resume(process: subprocess.Popen[bytes]) -> None:
    # A stopped process would not handle SIGTERM.
    if process.poll() is None:
        os.kill(process.pid, signal.SIGCONT)


def _wait_or_kill(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
