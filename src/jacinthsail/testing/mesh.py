"""Starts a small mesh of real processes on loopback: platform, targets and nodes."""

import json
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Sequence
from email.message import Message
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, TypedDict

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0


class MeshVm(NamedTuple):
    """One VM of the mesh: a target and its node."""

    vm: str
    service: str
    failure_domain: str
    region: str


class Ports(NamedTuple):
    """Where the processes of one VM listen."""

    callers: int
    relay: int
    operators: int
    target: int


class Reply(NamedTuple):
    """What a caller got for its call."""

    status: int
    outcome: str
    reason: str
    body: str


class VmProcesses(TypedDict):
    """The two processes of one VM."""

    node: subprocess.Popen[bytes]
    target: subprocess.Popen[bytes]


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class Mesh:
    """A running mesh; use it as a context manager so that every process is ended.

    with Mesh(vms, sections) as mesh:
        reply = mesh.call("drafts-1", "drafts", "view", b"page 7")
    """

    def __init__(
        self, vms: Sequence[MeshVm], sections: dict[str, str], node_settings: str = ""
    ) -> None:
        self.vms = {vm.vm: vm for vm in vms}
        self.sections = sections
        self.node_settings = node_settings
        self.folder = tempfile.TemporaryDirectory(prefix="jacinthsail-mesh-")
        self.ports = {
            vm.vm: Ports(free_port(), free_port(), free_port(), free_port()) for vm in vms
        }
        self.platform_port = free_port()
        self.platform: subprocess.Popen[bytes] | None = None
        self.processes: dict[str, VmProcesses] = {}

    def __enter__(self) -> "Mesh":
        self._start_platform()
        for name, text in self.sections.items():
            self.publish(f"section/{name}", text.encode())
        self.publish_vm_lists()
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            self.wait_until_ready(vm)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for vm in self.processes.values():
            vm["node"].terminate()
        for vm in self.processes.values():
            _end(vm["node"])
            _end(vm["target"])
        if self.platform is not None:
            _end(self.platform)
        self.folder.cleanup()

    def _start_platform(self) -> None:
        self.platform = self._start_standin("platform", ["--port", str(self.platform_port)])
        _wait_for(f"http://{HOST}:{self.platform_port}/v1/items")

    def _start_standin(self, role: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "jacinthsail.testing.standin", "--role", role, *arguments]
        return subprocess.Popen(command)

    def start_vm(self, vm: str) -> None:
        """Start the target and the node of one VM."""
        ports = self.ports[vm]
        target = self._start_standin(
            "target",
            [
                "--port",
                str(ports.target),
                "--name",
                vm,
                "--node_url",
                f"http://{HOST}:{ports.callers}",
            ],
        )
        settings = Path(self.folder.name) / f"{vm}.toml"
        settings.write_text(self._settings_of(vm), encoding="utf-8")
        with self.log_path(vm).open("ab") as log:
            node = subprocess.Popen(
                [sys.executable, "-m", "jacinthsail.daemon", "--settings", str(settings)],
                stderr=log,
            )
        self.processes[vm] = {"node": node, "target": target}

    def _settings_of(self, vm: str) -> str:
        place = self.vms[vm]
        ports = self.ports[vm]
        lines = [
            "[node]",
            f'vm = "{vm}"',
            f'failure_domain = "{place.failure_domain}"',
            f'region = "{place.region}"',
            f'service = "{place.service}"',
        ]
        endpoints = {**ports._asdict(), "platform": self.platform_port}
        for name, port in endpoints.items():
            lines += [f"[{name}]", f'host = "{HOST}"', f"port = {port}"]
        return "\n".join(lines) + "\n" + self.node_settings

    def log_path(self, vm: str) -> Path:
        """Return the path of a node's log."""
        return Path(self.folder.name) / f"{vm}.log"

    def publish(self, name: str, body: bytes) -> None:
        """Publish an item on the platform."""
        url = f"http://{HOST}:{self.platform_port}/v1/items/{name}"
        request = urllib.request.Request(url, data=body, method="PUT")
        with urllib.request.urlopen(request):
            pass

    def publish_vm_lists(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the VM list of each failure domain."""
        domains = sorted({vm.failure_domain for vm in self.vms.values()})
        for domain in domains:
            entries = [
                self._list_entry(vm, leaving)
                for vm in self.vms.values()
                if vm.failure_domain == domain
            ]
            body = json.dumps({"failure_domain": domain, "vms": entries})
            self.publish(f"vms/{domain}", body.encode())

    def _list_entry(self, vm: MeshVm, leaving: frozenset[str]) -> dict[str, object]:
        ports = self.ports[vm.vm]
        return {
            "vm": vm.vm,
            "host": HOST,
            "callers_port": ports.callers,
            "relay_port": ports.relay,
            "failure_domain": vm.failure_domain,
            "region": vm.region,
            "service": vm.service,
            "status": "leaving" if vm.vm in leaving else "live",
            "listed_at_ms": 0,
        }

    def wait_until_ready(self, vm: str) -> None:
        """Wait until a node has its sections and VM lists."""
        latest = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < latest:
            status = self.status(vm)
            if status is not None and status["ready"]:
                return
            time.sleep(0.05)
        raise TimeoutError(f"node {vm} is not ready after {START_TIMEOUT_S} s; read its log")

    def status(self, vm: str) -> dict[str, object] | None:
        """Return the status page of a node, or None when it does not answer."""
        url = f"http://{HOST}:{self.ports[vm].operators}/status"
        try:
            with urllib.request.urlopen(url, timeout=5) as response:
                status: dict[str, object] = json.load(response)
                return status
        except OSError:
            return None

    def call(
        self,
        vm: str,
        service: str,
        call_class: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Call a service through the node of a VM."""
        url = f"http://{HOST}:{self.ports[vm].callers}/v1/services/{service}/{call_class}"
        request = urllib.request.Request(url, data=body, headers=headers or {}, method="POST")
        try:
            with urllib.request.urlopen(request, timeout=30) as response:
                return _reply_of(response.status, response.headers, response.read())
        except urllib.error.HTTPError as error:
            return _reply_of(error.code, error.headers, error.read())


def _reply_of(status: int, headers: Message, body: bytes) -> Reply:
    outcome = headers.get("Jacinthsail-Outcome", "")
    reason = headers.get("Jacinthsail-Reason", "")
    return Reply(status, outcome, reason, body.decode())


def _wait_for(url: str) -> None:
    latest = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < latest:
        try:
            with urllib.request.urlopen(url, timeout=5):
                return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"{url} does not answer after {START_TIMEOUT_S} s")


def _end(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
