"""Clients that send what costs a node most, and a node process that has to survive them.

The node is a real process on a loopback address; its store and its target are stand-ins. Its limits
are low, so that a small crowd shows what a large one does to a VM.
"""

import asyncio
import os
import resource
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from jacinthsail.internal.adapters.http_client import BrokenExchange
from jacinthsail.testing.platform_stand_ins import (
    Behaviour,
    CallerStandIn,
    StoreStandIn,
    TargetStandIn,
    respond_immediately,
)

MEMORY_MB = 96
MAX_DESCRIPTORS = 300
# The platform states the descriptors for files too, which a process does not use up for sockets.
FILE_DESCRIPTORS = 200
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024

CALLERS_PORT = 18500
PEERS_PORT = 18501
READY_PORT = 18502
TARGET_PORT = 18503
STORE_PORT = 18504
METRICS_PORT = 9464

# A connection that accepts no byte for this long is paused, and its client has done what it can.
STALL_S = 1.0
PIECE_BYTES = 64 * 1024

START_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 30.0
POLL_S = 0.1

_HOST = "h.example"
_SETTINGS = f"""\
nodeName = "vm-1"
role = "node"
ip = "{{host}}"
zone = "manila"
region = "luzon"
heartbeat = "1500ms"
appAddr = "{{host}}:{TARGET_PORT}"
service = "seals"
[zones]
manila = "luzon"
[listenAddrs]
inbound = "{{host}}:{PEERS_PORT}"
outbound = "{{host}}:{CALLERS_PORT}"
ready = "{{host}}:{READY_PORT}"
[limits]
memoryMb = {MEMORY_MB}
maxFds = {MAX_DESCRIPTORS + FILE_DESCRIPTORS}
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetExtra = 50
[platform]
address = "{{host}}:{STORE_PORT}"
"""

_MANIFEST = {
    "version": "00000001",
    "routes": [
        {
            "name": "charge",
            "hostname": _HOST,
            "prefix": "/charge/",
            "routeType": "non_idempotent",
            "timeout": "20s",
            "targetLatency": "10s",
            "priority": 1,
            "service": "seals",
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "seals", "healthPath": "/healthz", "maxConnections": 1000}],
    "limits": {
        "maxHeaderBytes": MAX_HEADER_BYTES,
        "maxBodyBytes": MAX_BODY_BYTES,
        # Long, so that what is held does not depend on how fast the crowd is.
        "headerTimeout": "60s",
        "idleTimeout": "60s",
    },
}


class Crowd(NamedTuple):
    """A number of clients that each send the same parts to a port, in order, and stay open."""

    size: int
    parts: Callable[[], list[bytes]]
    port: int = CALLERS_PORT


def head(*lines: str, path: str = "/charge/x") -> bytes:
    """Return the head of a request with further header lines, without its empty line."""
    text = f"POST {path} HTTP/1.1\r\nHost: {_HOST}\r\nX-Attempt-Id: hostile\r\n"
    return (text + "".join(f"{line}\r\n" for line in lines)).encode("ascii")


class HostileDeployment:
    """A node process with its store and target; use it as an asynchronous context manager."""

    def __init__(self, folder: Path, behaviour: Behaviour = respond_immediately) -> None:
        self.folder = folder
        self.host = f"127.{os.getpid() % 200 + 20}.9.1"
        self.store = StoreStandIn()
        self.target = TargetStandIn("i-1", behaviour)
        self.process: asyncio.subprocess.Process | None = None
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "HostileDeployment":
        """Start the stand-ins and the node, and wait until it answers a request."""
        await self.store.port.listen(self.host, STORE_PORT)
        await self.target.port.listen(self.host, TARGET_PORT)
        self.store.put("op/config", _MANIFEST)
        entry = {
            "service": "seals",
            "address": f"{self.host}:{TARGET_PORT}",
            "zone": "manila",
            "version": "v1",
            "concurrency": 64,
            "state": "ready",
            "warmupLeft": "0ms",
            "sequence": 1,
        }
        self.store.put(f"servers/{self.target.incarnation}", entry)
        settings = self.folder / "node.toml"
        settings.write_text(_SETTINGS.format(host=self.host), encoding="utf-8")
        with open(self.folder / "node.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "jacinthsail.platform.daemon",
                env={**os.environ, "JACINTHSAIL_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )
        limit = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limit)
        await self.answer_to_ordinary_caller(START_TIMEOUT_S)
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End the node and close everything."""
        for writer in self.writers:
            writer.transport.abort()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for port in (self.store.port, self.target.port):
            port.close_listener()
            port.abort_all()

    def is_alive(self) -> bool:
        """Return whether the node process runs."""
        return self.process is not None and self.process.returncode is None

    def peak_memory_mb(self) -> float:
        """Return the most memory that the node process has held so far."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def descriptors(self) -> int:
        """Return the open descriptors of the node process."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def send_crowds(self, *crowds: Crowd) -> None:
        """Let all clients send at the same time; their connections stay open."""
        clients = []
        for crowd in crowds:
            for _ in range(crowd.size):
                clients.append(self._send(crowd))
        await asyncio.gather(*clients)

    async def _send(self, crowd: Crowd) -> None:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                _, writer = await asyncio.open_connection(self.host, crowd.port)
            writer.transport.set_write_buffer_limits(high=0)
            # What the node sends is never read.
            transport = writer.transport
            assert isinstance(transport, asyncio.Transport)
            transport.pause_reading()
            self.writers.append(writer)
            for part in crowd.parts():
                for at in range(0, len(part), PIECE_BYTES):
                    writer.write(part[at : at + PIECE_BYTES])
                    async with asyncio.timeout(STALL_S):
                        await writer.drain()

    async def answer_to_ordinary_caller(self, timeout_s: float = ANSWER_TIMEOUT_S) -> int:
        """Return the status of an ordinary request, which comes back when it is refused."""
        status = 0
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while status != 200:
                    status = await self._ordinary_request()
                    await asyncio.sleep(POLL_S)
        return status

    async def _ordinary_request(self) -> int:
        caller = CallerStandIn()
        try:
            await caller.connect(self.host, CALLERS_PORT)
        except OSError:
            return 0
        result = await caller.send_request("/charge/1", "r-1", method="POST", body=b"x", host=_HOST)
        assert caller.connection is not None
        caller.connection.abort()
        return 0 if isinstance(result, BrokenExchange) else result.status
