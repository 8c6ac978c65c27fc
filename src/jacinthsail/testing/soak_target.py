"""Targets of the fault soak: they run requests, make calls of their own, and spoil responses."""

import asyncio
import time
from functools import singledispatch
from random import Random
from typing import Any, NamedTuple, Protocol

from jacinthsail.internal.adapters.caller_connection import (
    encode_response,
)
from jacinthsail.internal.adapters.http_client import BrokenExchange
from jacinthsail.internal.adapters.http_messages import (
    HttpRequest,
    HttpResponse,
    RequestHandle,
    ResponseCallback,
)
from jacinthsail.internal.adapters.http_server import (
    CallerServer,
)
from jacinthsail.testing.platform_stand_ins import (
    LIMITS,
    CallerStandIn,
    StoreStandIn,
    header_of,
    request_id_header,
)
from jacinthsail.testing.soak_clients import HOST_HEADER
from jacinthsail.testing.soak_model import STILL_RUNNING, Execution, SoakPlan, SoakRecord

CALL_WORK_MS = 15
STATUS_TIMEOUT = 504
STATUS_ERROR = 500
STATUS_REFUSED = 503

SLOTS = 60

# With few slots requests wait, and take over connections as soon as a response has arrived.
FEW_SLOTS = 2

# While a target spoils responses, this share of them; and when it writes a copy of one.
SPOILED_SHARE = 0.3
COPY_AFTER_S = 0.25

# A response of a target has a head of about 110 bytes.
MIN_HEAD_BYTES = 100
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: queue full\r\n\r\n"
SMALL_CHUNKS = b"2\r\nab\r\n" * 2000
ENDLESS_BODY_GAP_S = 0.05


class TargetContext(Protocol):
    """What targets need from their deployment."""

    plan: SoakPlan
    record: SoakRecord
    random: Random
    store: StoreStandIn

    def now(self) -> float:
        """Return the time of the event loop."""

    def check_headers(self, request_id: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Check the account that a target was told."""

    def service(self, node: int) -> str:
        """Return the service of a node's target."""

    def zone(self, node: int) -> str:
        """Return the failure domain of a node."""

    def target_address(self, node: int) -> tuple[str, int]:
        """Return the address of a node's target."""

    def callers_address(self, node: int) -> tuple[str, int]:
        """Return the address to which a node's clients connect."""


class Intact(NamedTuple):
    """The response is written as it is."""


class ResetInstead(NamedTuple):
    """The connection is reset in place of the response."""


class Truncated(NamedTuple):
    """The connection ends in the middle of the response."""


class LateCopy(NamedTuple):
    """The response is written once more, later, on a connection that may be in use again."""


class NoiseBehind(NamedTuple):
    """Bytes that are no response follow the response."""


class RejectionBehind(NamedTuple):
    """The first bytes of a rejection follow the response."""

    kept: int


class BrokenHead(NamedTuple):
    """The connection ends after the first bytes of the head."""

    kept: int


class EndlessBody(NamedTuple):
    """The body consists of small chunks without an end."""


Delivery = (
    Intact
    | ResetInstead
    | Truncated
    | LateCopy
    | NoiseBehind
    | RejectionBehind
    | BrokenHead
    | EndlessBody
)


@singledispatch
def deliver(delivery: object, response: HttpResponse, respond: ResponseCallback) -> None:
    """Write a response in one of the ways in which targets do."""
    raise NotImplementedError(f"no way to deliver {type(delivery).__name__}; register one")


@deliver.register
def _(delivery: Intact, response: HttpResponse, respond: ResponseCallback) -> None:
    respond(response)


@deliver.register
def _(delivery: ResetInstead, response: HttpResponse, respond: ResponseCallback) -> None:
    transport = transport_of(respond)
    if transport is not None:
        transport.abort()


@deliver.register
def _(delivery: Truncated, response: HttpResponse, respond: ResponseCallback) -> None:
    transport = transport_of(respond)
    if transport is not None:
        encoded = encode_response(response, False, False)
        transport.write(encoded[: len(encoded) // 2])
        transport.close()


@deliver.register
def _(delivery: LateCopy, response: HttpResponse, respond: ResponseCallback) -> None:
    transport = transport_of(respond)
    respond(response)
    if transport is not None:
        copy = encode_response(response, False, False)
        asyncio.get_running_loop().call_later(COPY_AFTER_S, _write_if_open, transport, copy)


@deliver.register
def _(delivery: NoiseBehind, response: HttpResponse, respond: ResponseCallback) -> None:
    transport = transport_of(respond)
    respond(response)
    _write_if_open(transport, b"\x00 these bytes are no response \r\n\r\n")


@deliver.register
def _(delivery: RejectionBehind, response: HttpResponse, respond: ResponseCallback) -> None:
    transport = transport_of(respond)
    respond(response)
    _write_if_open(transport, REJECTION[: delivery.kept])


@deliver.register
def _(delivery: BrokenHead, response: HttpResponse, respond: ResponseCallback) -> None:
    transport = transport_of(respond)
    if transport is not None:
        transport.write(encode_response(response, False, False)[: delivery.kept])
        transport.close()


@deliver.register
def _(delivery: EndlessBody, response: HttpResponse, respond: ResponseCallback) -> None:
    transport = transport_of(respond)
    if transport is not None:
        head = b"HTTP/1.1 200 OK\r\n" + response.head_lines
        transport.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        _continue_body(transport)


def _continue_body(transport: asyncio.Transport) -> None:
    if transport.is_closing():
        return
    if transport.get_write_buffer_size() < len(SMALL_CHUNKS):
        transport.write(SMALL_CHUNKS)
    asyncio.get_running_loop().call_later(ENDLESS_BODY_GAP_S, _continue_body, transport)


def transport_of(respond: Any) -> asyncio.Transport | None:
    """Return the connection on which a response callback writes, or None if it is closed."""
    transport: asyncio.Transport | None = respond.__self__.connection.transport
    return transport


def _write_if_open(transport: asyncio.Transport | None, data: bytes) -> None:
    if transport is not None and not transport.is_closing():
        transport.write(data)


class TargetRun:
    """One execution at a target; ``cancel`` ends it because its node closed the connection."""

    def __init__(self, target: "SoakTarget", request: HttpRequest, respond: ResponseCallback):
        self.target = target
        self.request = request
        self.respond = respond
        self.request_id = header_of(request, b"x-attempt-id")
        target.fleet.check_headers(self.request_id, request.headers)
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
        response = self.target.response(self.request, status)
        deliver(self.target.draw_delivery(), response, self.respond)

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

    def __init__(self, fleet: TargetContext, node: int) -> None:
        self.fleet = fleet
        self.node = node
        self.incarnation = f"i-{node}-{fleet.random.getrandbits(32):08x}"
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.port = CallerServer(self.serve, LIMITS)
        self.is_published = True
        self.spoils_until = 0.0

    def publish(self) -> None:
        """Write the target's entry."""
        self.sequence += 1
        self.fleet.store.put(
            f"servers/{self.incarnation}",
            {
                "service": self.fleet.service(self.node),
                "address": "{}:{}".format(*self.fleet.target_address(self.node)),
                "zone": self.fleet.zone(self.node),
                "version": "v1",
                "concurrency": FEW_SLOTS if self.fleet.plan.has_hostile_targets else SLOTS,
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
        delivery = self.draw_delivery()
        if isinstance(delivery, LateCopy):
            # A copy of a refusal must not count for a later request that the target runs.
            lines = request_id_header(request) + b"X-Not-Executed: 1\r\n"
            deliver(delivery, HttpResponse(STATUS_REFUSED, lines, b""), respond)
            return None
        return TargetRun(self, request, respond)

    def draw_delivery(self) -> Delivery:
        """Return the way in which the next response is delivered."""
        random = self.fleet.random
        if self.fleet.now() >= self.spoils_until or random.random() >= SPOILED_SHARE:
            return Intact()
        spoiled: list[Delivery] = [ResetInstead(), Truncated(), LateCopy(), NoiseBehind()]
        if self.fleet.plan.has_hostile_targets:
            spoiled += [
                RejectionBehind(random.randint(1, len(REJECTION))),
                BrokenHead(random.randint(1, MIN_HEAD_BYTES)),
                EndlessBody(),
            ]
        return random.choice(spoiled)

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
