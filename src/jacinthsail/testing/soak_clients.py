"""Clients of the fault soak, which send requests in the ways that the platform's pages allow."""

import asyncio
from collections import deque
from functools import singledispatch
from random import Random
from typing import NamedTuple, Protocol
from weakref import WeakSet

from jacinthsail.testing.soak_model import Attempt, Ending, SoakRecord

HOST_HEADER = "mesh.example"

# Pause of a client between two requests.
PAUSE_S = 0.08

# A client that leaves does so at its time limit; timers fire slightly late.
LATENESS_S = 0.004

# Other clients wait this much longer than their time limit.
PATIENCE_S = 1.0

CONNECT_TIMEOUT_S = 1.0
FILING_LIMIT_MS = 5000
LOOKUP_LIMIT_MS = 2500

# A lookup with this limit takes longer than it, so that its target's timeout arrives as the client
# leaves.
SHORT_LIMIT_MS = 400
SHORT_LIMIT_WORK_MS = 600

PIPELINE_INTERVAL_S = 0.1
PIPELINE_WORK_MS = 250

BODY_PARTS = 4
BODY_PAUSE_S = 0.03


class ClientContext(Protocol):
    """What clients need from the deployment that they call."""

    record: SoakRecord
    random: Random
    work_ms: tuple[int, ...]
    stopping: asyncio.Event
    connections: "WeakSet[asyncio.StreamWriter]"

    def callers_address(self, node: int) -> tuple[str, int]:
        """Return the address to which a node's clients connect."""

    def is_in_use(self, node: int) -> bool:
        """Return whether the clients of a node receive new work."""

    def key_line(self, request_id: str) -> str:
        """Return the header line with the key of a request, if callers need one."""

    def is_whole(self, request_id: str, seal: str, body: bytes) -> bool:
        """Return whether a response is the complete one of a target."""


class KeptClient(NamedTuple):
    """Sends requests one after the other on a connection that it keeps."""

    node: int


class LeavingClient(NamedTuple):
    """Opens a connection for each request and leaves at its time limit."""

    node: int


class PipeliningClient(NamedTuple):
    """Sends lookups without waiting for responses, until one of them closes the connection."""

    node: int


class SlowBodyClient(NamedTuple):
    """Sends filings whose bodies arrive in chunks, with pauses."""

    node: int


class ReadinessIgnoringClient(NamedTuple):
    """Uses its open connection until the process is gone, also after the node is not ready."""

    node: int


Client = KeptClient | LeavingClient | PipeliningClient | SlowBodyClient | ReadinessIgnoringClient


class SentRequest(NamedTuple):
    """A request as it was sent."""

    request_id: str
    is_repeatable: bool
    is_moved: bool
    limit_ms: int
    sent_at: float
    is_behind: bool


class ReceivedResponse(NamedTuple):
    """A complete response."""

    status: int
    seal: str
    closes: bool
    body: bytes


class Connection(NamedTuple):
    """One connection of a client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def open_connection(context: ClientContext, node: int) -> Connection | None:
    """Return a new connection to a node, or None if it accepts none."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = Connection(*await asyncio.open_connection(*context.callers_address(node)))
    except (OSError, TimeoutError):
        return None
    context.connections.add(connection.writer)
    return connection


def new_request(context: ClientContext, is_repeatable: bool, limit_ms: int) -> SentRequest:
    """Return a request with a new id."""
    request_id = f"{context.random.getrandbits(64):016x}"
    now = asyncio.get_running_loop().time()
    return SentRequest(request_id, is_repeatable, False, limit_ms, now, False)


def request_head(
    context: ClientContext, request: SentRequest, work_ms: int, calls: int, framing: str
) -> bytes:
    """Return the head of a request; its path says how long it takes and how many calls it makes."""
    method, name = ("GET", "lookup") if request.is_repeatable else ("POST", "filing")
    if request.is_moved:
        name = "moved"
    framing += context.key_line(request.request_id)
    return (
        f"{method} /{name}/{work_ms}/{calls}/ HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
        f"X-Attempt-Id: {request.request_id}\r\nX-Deadline-Ms: {request.limit_ms}\r\n{framing}\r\n"
    ).encode("ascii")


async def read_response(reader: asyncio.StreamReader) -> ReceivedResponse:
    """Read one response; raise ``EOFError`` if the connection ends first."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    status = int(lines[0].split(" ")[1])
    closes = headers.get("connection", "").lower() == "close"
    return ReceivedResponse(status, headers.get("x-response-seal", ""), closes, body)


def record_end(
    context: ClientContext,
    node: int,
    request: SentRequest,
    ending: Ending,
    response: ReceivedResponse | None,
) -> None:
    """Record how an attempt ended."""
    is_whole = response is not None and context.is_whole(
        request.request_id, response.seal, response.body
    )
    context.record["attempts"].append(
        Attempt(
            request_id=request.request_id,
            node=node,
            is_repeatable=request.is_repeatable,
            is_moved=request.is_moved,
            sent_at=request.sent_at,
            ended_at=asyncio.get_running_loop().time(),
            limit_s=request.limit_ms / 1000,
            ending=ending,
            status=0 if response is None else response.status,
            is_sealed=response is not None and bool(response.seal),
            is_whole=is_whole,
            is_behind=request.is_behind,
        )
    )


async def exchange(
    context: ClientContext, node: int, connection: Connection, request: SentRequest, wait_s: float
) -> bool:
    """Wait for the response to a request; return whether the connection can be used again."""
    try:
        async with asyncio.timeout(wait_s):
            response = await read_response(connection.reader)
    except TimeoutError:
        record_end(context, node, request, Ending.CLIENT_LEFT, None)
        connection.writer.close()
        return False
    except (OSError, EOFError):
        record_end(context, node, request, Ending.CUT, None)
        connection.writer.close()
        return False
    record_end(context, node, request, Ending.ANSWERED, response)
    if response.closes:
        connection.writer.close()
    return not response.closes


async def send_one(context: ClientContext, node: int, connection: Connection) -> bool:
    """Send a filing or a lookup and wait for its response."""
    random = context.random
    is_repeatable = random.random() < 0.5
    limit_ms = LOOKUP_LIMIT_MS if is_repeatable else FILING_LIMIT_MS
    request = new_request(context, is_repeatable, limit_ms)
    if not is_repeatable:
        request = request._replace(is_moved=random.random() < 0.5)
    body = b"" if is_repeatable else b"filed"
    framing = f"Content-Length: {len(body)}\r\n"
    work_ms = random.choice(context.work_ms)
    head = request_head(context, request, work_ms, random.choice((0, 0, 1, 2)), framing)
    connection.writer.write(head + body)
    return await exchange(context, node, connection, request, limit_ms / 1000 + PATIENCE_S)


@singledispatch
async def run_client(client: object, context: ClientContext) -> None:
    """Send requests until the run stops."""
    raise NotImplementedError(f"no behaviour for {type(client).__name__}; register one")


@run_client.register
async def _(client: KeptClient, context: ClientContext) -> None:
    await _use_one_connection(client.node, context, respects_readiness=True)


@run_client.register
async def _(client: ReadinessIgnoringClient, context: ClientContext) -> None:
    await _use_one_connection(client.node, context, respects_readiness=False)


async def _use_one_connection(node: int, context: ClientContext, respects_readiness: bool) -> None:
    connection: Connection | None = None
    while not context.stopping.is_set():
        await asyncio.sleep(PAUSE_S * context.random.uniform(0.5, 1.5))
        if respects_readiness and not context.is_in_use(node):
            continue
        connection = connection or await open_connection(context, node)
        if connection is None:
            continue
        if not await send_one(context, node, connection):
            connection = None


@run_client.register
async def _(client: LeavingClient, context: ClientContext) -> None:
    while not context.stopping.is_set():
        await asyncio.sleep(PAUSE_S * context.random.uniform(0.5, 1.5))
        if not context.is_in_use(client.node):
            continue
        connection = await open_connection(context, client.node)
        if connection is None:
            continue
        request = new_request(context, True, SHORT_LIMIT_MS)
        connection.writer.write(request_head(context, request, SHORT_LIMIT_WORK_MS, 0, ""))
        wait_s = SHORT_LIMIT_MS / 1000 + context.random.uniform(0.0, LATENESS_S)
        await exchange(context, client.node, connection, request, wait_s)
        connection.writer.close()


@run_client.register
async def _(client: SlowBodyClient, context: ClientContext) -> None:
    while not context.stopping.is_set():
        await asyncio.sleep(PAUSE_S * context.random.uniform(0.5, 1.5))
        if not context.is_in_use(client.node):
            continue
        connection = await open_connection(context, client.node)
        if connection is None:
            continue
        request = new_request(context, False, FILING_LIMIT_MS)
        connection.writer.write(
            request_head(context, request, 30, 0, "Transfer-Encoding: chunked\r\n")
        )
        for number in range(BODY_PARTS):
            await asyncio.sleep(BODY_PAUSE_S)
            connection.writer.write(b"5\r\npart%d\r\n" % number)
        connection.writer.write(b"0\r\n\r\n")
        request = request._replace(sent_at=asyncio.get_running_loop().time())
        await exchange(context, client.node, connection, request, FILING_LIMIT_MS / 1000)
        connection.writer.close()


@run_client.register
async def _(client: PipeliningClient, context: ClientContext) -> None:
    while not context.stopping.is_set():
        await asyncio.sleep(PAUSE_S)
        if not context.is_in_use(client.node):
            continue
        connection = await open_connection(context, client.node)
        if connection is None:
            continue
        await _pipeline(client.node, context, connection)


async def _pipeline(node: int, context: ClientContext, connection: Connection) -> None:
    waiting: deque[SentRequest] = deque()
    ended = asyncio.Event()

    async def read_responses() -> None:
        try:
            while True:
                response = await read_response(connection.reader)
                record_end(context, node, waiting.popleft(), Ending.ANSWERED, response)
                if response.closes:
                    # What was sent behind this response counts as not read and is sent again.
                    waiting.clear()
                    return
        except (OSError, EOFError):
            if context.stopping.is_set():
                # The run itself ended the connection.
                return
            while waiting:
                record_end(context, node, waiting.popleft(), Ending.CUT, None)
        finally:
            ended.set()

    reading = asyncio.create_task(read_responses())
    while not ended.is_set() and not context.stopping.is_set():
        request = new_request(context, True, LOOKUP_LIMIT_MS)._replace(is_behind=bool(waiting))
        waiting.append(request)
        connection.writer.write(request_head(context, request, PIPELINE_WORK_MS, 0, ""))
        await asyncio.sleep(PIPELINE_INTERVAL_S)
    connection.writer.close()
    reading.cancel()
