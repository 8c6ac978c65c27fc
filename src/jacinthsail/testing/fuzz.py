"""Feeds mutated messages to every decoder and connection state machine; no exception may escape.

A run is repeated by its seed:

    PYTHONPATH=src python -m jacinthsail.testing.fuzz --seed 1 --inputs 1000000
"""

import asyncio
import json
import logging
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from absl import app, flags

from jacinthsail.internal.adapters.caller_connection import (
    CallerConnection,
)
from jacinthsail.internal.adapters.caller_memory import CallerMemory
from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.http_client import (
    ExchangeResult,
    HttpClientConnection,
    HttpClientResponse,
)
from jacinthsail.internal.adapters.http_messages import (
    HttpRequest,
    HttpResponse,
    ResponseCallback,
    ServerLimits,
)
from jacinthsail.internal.adapters.http_server import (
    CallerServer,
)
from jacinthsail.internal.adapters.wire import LENGTH_PREFIX, decode_payload, encode_frame
from jacinthsail.internal.model.caps import GrantStatus
from jacinthsail.internal.model.fleet import KindLoad, LoadReport
from jacinthsail.internal.model.held_memory import HeldMemory
from jacinthsail.internal.model.messages import (
    ForwardReplyMessage,
    ForwardRequestMessage,
    FreshnessReply,
    Hello,
    StoreReport,
    TokenGrant,
)
from jacinthsail.internal.model.request_state import ForwardedRequest, ForwardedResponse
from jacinthsail.internal.model.retry_budget import RetryKind
from jacinthsail.internal.model.store import PublishedItem, StoreSnapshot
from jacinthsail.platform.decoding import decode_manifest, decode_target
from jacinthsail.platform.http import CallerHttp, TargetHttp
from jacinthsail.platform.settings import decode_settings

_SEED = flags.DEFINE_integer("seed", 1, "seed of the run", lower_bound=0)
_INPUTS = flags.DEFINE_integer("inputs", 100_000, "number of inputs", lower_bound=1)

LIMITS = ServerLimits(4096, 8192, 3.0, 15.0)
HELD_LIMIT_BYTES = 64 * 1024

# Bytes that separate parts of a message, or end a number.
_ODD_BYTES = b'\r\n\0 :;,"{}[]0179-\xff\x80'

_LOAD = LoadReport(1, 2, 3, KindLoad(0.1, 0.2), KindLoad(0.3, 0.4))
_FORWARDED = ForwardedRequest(
    "id", "GET", b"/a", "seals", "i-1", True, RetryKind.NONE, 1, 1.0, 1.0, 1.0, b"A: b\r\n", b"x"
)
_MESSAGES = (
    Hello("vm-1", "incarnation", "manila", "seals"),
    ForwardRequestMessage(9, _FORWARDED),
    ForwardReplyMessage(9, ForwardedResponse(200, b"A: b\r\n", b"body"), _LOAD),
    FreshnessReply(1, 2, 3, 0.5),
    TokenGrant("opera", 3, 0.5, GrantStatus.OVER_CAP),
    StoreReport(StoreSnapshot((PublishedItem("op/config", 7, b"{}"),), 9, 1), True, 0.5),
)
_MANIFEST = {
    "version": "0000000c",
    "routes": [
        {
            "name": "r",
            "hostname": "h",
            "prefix": "/a/",
            "routeType": "upload",
            "timeout": "1s",
            "targetLatency": "200ms",
            "priority": 1,
            "trafficSplit": [{"service": "a", "weight": 9}],
            "maxAttempts": 2,
            "public": False,
        }
    ],
    "services": [{"name": "a", "healthPath": "/h", "maxConnections": 9}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 65536,
        "headerTimeout": "3000ms",
        "idleTimeout": "15s",
    },
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 5, "burst": 9}],
}
_ENTRY = {
    "service": "a",
    "address": "10.0.0.9:80",
    "zone": "z",
    "concurrency": 4,
    "state": "ready",
    "warmupLeft": "0ms",
    "sequence": 1,
    "born": 17,
}
SAMPLE_SETTINGS = b"""nodeName = "n"
ip = "10.0.0.1"
zone = "z"
region = "r"
service = "s"
appAddr = "10.0.0.1:80"
heartbeat = "1500ms"
contracts = ["base", "health"]
[zones]
z = "r"
[listenAddrs]
inbound = "10.0.0.1:1"
outbound = "10.0.0.1:2"
ready = "10.0.0.1:3"
[limits]
memoryMb = 200
maxFds = 4100
[bounds]
strictRevoke = true
revoke = "5s"
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetExtra = 5
[platform]
address = "10.0.0.2:4"
"""
_REQUESTS = (
    b"GET /a/b HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r-1\r\nX-Deadline-Ms: 50\r\n\r\n",
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
    b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
)
_RESPONSES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Response-Seal: s\r\n\r\nok",
    b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\nX-Not-Executed: 1\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
)


class Finding(NamedTuple):
    """An input that made a decoder raise, or left its state wrong."""

    decoder: str
    data: bytes
    detail: str


class FuzzTransport(asyncio.Transport):
    """A transport that takes everything."""

    def __init__(self) -> None:
        super().__init__()
        self.closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drop the bytes."""

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self.closed

    def close(self) -> None:
        """Close the connection."""
        self.closed = True

    def abort(self) -> None:
        """Close the connection."""
        self.closed = True

    def write_eof(self) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return 0, since nothing is kept."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing."""


def mutate(data: bytes, random: Random) -> bytes:
    """Return the bytes with a few of them changed, inserted, removed or repeated."""
    changed = bytearray(data)
    for _ in range(random.randint(0, 4)):
        at = random.randint(0, len(changed))
        action = random.randint(0, 4)
        if action == 0:
            changed[at : at + 1] = bytes([random.randint(0, 255)])
        elif action == 1:
            changed[at:at] = bytes([random.choice(_ODD_BYTES)]) * random.choice((1, 2, 40))
        elif action == 2:
            del changed[at : at + random.randint(1, 8)]
        elif action == 3:
            changed[at:at] = changed[at : at + random.randint(1, 40)]
        else:
            del changed[at:]
    return bytes(changed)


def pieces(data: bytes, random: Random) -> list[bytes]:
    """Return the bytes as they may arrive."""
    parts = []
    at = 0
    while at < len(data):
        size = random.choice((1, 3, 20, 1000))
        parts.append(data[at : at + size])
        at += size
    return parts


def fuzz_caller(data: bytes, random: Random) -> str:
    """Feed a connection of a caller; nothing may stay counted when it is gone."""
    memory = CallerMemory(HeldMemory(limit=HELD_LIMIT_BYTES, held=0, evicted=0), 10)
    dialect = CallerHttp()

    def serve(request: HttpRequest, respond: ResponseCallback) -> None:
        dialect.parse_request_info(request)
        dialect.head_lines(request, "a", "t")
        if random.random() < 0.8:
            respond(HttpResponse(200, b"", b"ok"))

    connection = CallerConnection(CallerServer(serve, LIMITS, memory))
    connection.connection_made(FuzzTransport())
    for part in pieces(data, random):
        connection.data_received(part)
    connection.enforce_timeouts(connection.received_at + random.choice((0.0, 100.0)))
    connection.connection_lost(None)
    held = memory.memory["held"]
    return "" if held == 0 else f"{held} bytes are still counted"


def fuzz_target(data: bytes, random: Random) -> str:
    """Feed a connection to a target; its request must have exactly one result in the end."""
    dialect = TargetHttp()
    results: list[ExchangeResult] = []
    connection = HttpClientConnection(lambda _: None, lambda _: None)
    connection.connection_made(FuzzTransport())
    connection.send(b"", results.append, lambda response: random.random() < 0.9)
    for part in pieces(data, random):
        connection.data_received(part)
    connection.eof_received()
    connection.connection_lost(None)
    for result in results:
        if isinstance(result, HttpClientResponse):
            dialect.decode(result)
    return "" if len(results) == 1 else f"{len(results)} results for one request"


def fuzz_peer(data: bytes, random: Random) -> str:
    """Feed a connection of a peer."""
    connection = PeerConnection(
        lambda _connection, _message: None,
        lambda _connection: None,
        {"control_bytes_sent": 0, "control_bytes_received": 0},
    )
    connection.connection_made(FuzzTransport())
    for part in pieces(data, random):
        connection.data_received(part)
    connection.connection_lost(None)
    return ""


def fuzz_frame(data: bytes, random: Random) -> str:
    """Decode a frame without its length."""
    decode_payload(data[LENGTH_PREFIX.size :], "peer")
    return ""


def fuzz_manifest(data: bytes, random: Random) -> str:
    """Decode a manifest."""
    decode_manifest(data)
    return ""


def fuzz_entry(data: bytes, random: Random) -> str:
    """Decode the entry of a target."""
    decode_target("i-1", data, {})
    return ""


def fuzz_settings(data: bytes, random: Random) -> str:
    """Decode the settings of a node."""
    decode_settings(data.decode("utf-8", "replace"), "settings")
    return ""


FuzzCase = tuple[Callable[[bytes, Random], str], tuple[bytes, ...]]
_FRAMES = tuple(encode_frame(message) for message in _MESSAGES)
_CASES: tuple[FuzzCase, ...] = (
    (fuzz_caller, (*_REQUESTS, b"".join(_REQUESTS))),
    (fuzz_target, (*_RESPONSES, _RESPONSES[0] * 2)),
    (fuzz_peer, (*_FRAMES, b"".join(_FRAMES))),
    (fuzz_frame, _FRAMES),
    (fuzz_manifest, (json.dumps(_MANIFEST).encode(),)),
    (fuzz_entry, (json.dumps(_ENTRY).encode(),)),
    (fuzz_settings, (SAMPLE_SETTINGS,)),
)


async def run_fuzz(seed: int, inputs: int) -> list[Finding]:
    """Feed a number of inputs to all decoders in turn and return what was found."""
    random = Random(seed)
    findings = []
    for number in range(inputs):
        decoder, samples = _CASES[number % len(_CASES)]
        data = mutate(random.choice(samples), random)
        try:
            detail = decoder(data, random)
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
        if detail:
            findings.append(Finding(decoder.__name__, data, detail))
        if number % 1000 == 0:
            # Timers that the connections have set would pile up.
            await asyncio.sleep(0)
    return findings


def main(_arguments: list[str]) -> int:
    """Run the fuzzer and print its findings."""
    logging.disable(logging.CRITICAL)
    findings = asyncio.run(run_fuzz(_SEED.value, _INPUTS.value))
    for finding in findings[:20]:
        print(f"{finding.decoder}: {finding.detail}: {finding.data!r}")
    print(f"{_INPUTS.value} inputs with seed {_SEED.value}, {len(findings)} findings")
    return 1 if findings else 0


if __name__ == "__main__":
    app.run(main)
