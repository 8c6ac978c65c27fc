"""The HTTP port for callers and for the nested calls of the local target."""

import asyncio
from typing import Any
from uuid import uuid4

import mode
from aiohttp import web
from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage, describe
from jacinthsail.internal.adapters import headers
from jacinthsail.internal.adapters.clock import observe_time
from jacinthsail.internal.adapters.dispatcher import Dispatcher
from jacinthsail.internal.adapters.metrics import NodeMetrics
from jacinthsail.internal.model.calls import Call, CallContext, KeyedOutcome, NotRun, Outcome
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import RETRY_AFTER_S
from jacinthsail.internal.queries.idempotency import key_request_context, key_text
from jacinthsail.internal.queries.lookup import class_policy, is_at_most_once
from jacinthsail.internal.queries.rank import request_rank
from jacinthsail.internal.queries.retries import granted_retries
from jacinthsail.internal.queries.routing import is_draining

# A larger body would occupy a connection between nodes for too long.
MAX_BODY_BYTES = 1024 * 1024

# Maximum nesting of calls; call graphs are up to 6 deep.
MAX_DEPTH = 16

# No call is in progress when the port closes, unless a planned stop exceeded its timeout.
SHUTDOWN_TIMEOUT_S = 0.5

_CALL_PREFIX = "/v1/services/"
_KEY_PREFIX = "/v1/keys/"


class Frontend(mode.Service):
    """Serves calls over HTTP."""

    def __init__(
        self, state: NodeState, dispatcher: Dispatcher, metrics: NodeMetrics, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.calls_in_progress = 0
        self.shielded_tasks: set[asyncio.Task[KeyedOutcome]] = set()
        self.server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        self.listener: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Listen for callers."""
        callers = self.node_state["settings"].callers
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, callers.host, callers.port)

    async def on_stop(self) -> None:
        """Close the port; the calls in progress have already finished or timed out."""
        self.stop_accepting()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)

    def stop_accepting(self) -> None:
        """Close the port, and each keep-alive connection after its current call."""
        if self.listener is not None:
            self.listener.close()
        self.server.pre_shutdown()

    def close_immediately(self) -> None:
        """Close the port and every connection immediately."""
        if self.listener is not None:
            self.listener.close()
        for connection in self.server.connections:
            connection.force_close()

    def has_pending_calls(self) -> bool:
        """Return whether a call received at this node has no outcome yet."""
        return self.calls_in_progress > 0 or bool(self.shielded_tasks)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request."""
        self.calls_in_progress += 1
        try:
            return await self._handle(request)
        finally:
            self.calls_in_progress -= 1

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        observe_time(self.node_state)
        if request.method == "POST" and request.path.startswith(_KEY_PREFIX):
            return await self._issue_key(request.path.removeprefix(_KEY_PREFIX))
        if request.method != "POST" or not request.path.startswith(_CALL_PREFIX):
            return web.Response(status=404, text="POST /v1/services/<service>/<class>\n")
        body = await request.read()
        now = asyncio.get_running_loop().time()
        match parse_call(request, body, self.node_state, now):
            case Success(call):
                served = await self._serve(call)
                self.metrics.count_call(call.context, served.outcome)
                response = http_response(served.outcome, served.key)
                if is_draining(self.node_state):
                    response.force_close()
                return response
            case Failure(error):
                return web.Response(status=400, text=describe(error) + "\n")
        raise AssertionError("a result is a success or a failure")

    async def _serve(self, call: Call) -> KeyedOutcome:
        """Serve a call; if its caller disconnects, a call that has not started is refused."""
        if not is_at_most_once(self.node_state["store"], call.context):
            return await self.dispatcher.serve_caller(call)
        # An at-most-once call is not interrupted once it has reached the target, so that its
        # response is recorded under its key.
        task = asyncio.ensure_future(self.dispatcher.serve_caller(call))
        self.shielded_tasks.add(task)
        task.add_done_callback(self.shielded_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self.dispatcher.gate.refuse_abandoned(call.context)
            self.dispatcher.relay_pool.cancel_abandoned_call(call.context)
            raise

    async def _issue_key(self, service: str) -> web.Response:
        now = asyncio.get_running_loop().time()
        context = key_request_context(self.node_state, service, now)
        if context is None:
            text = f"no section describes {service!r} with an at-most-once class; check its name\n"
            return web.Response(status=404, text=text)
        match await self.dispatcher.key_issuer.issue(context):
            case Success(key):
                text = key_text(key)
                return web.Response(headers={headers.IDEMPOTENCY_KEY: text}, text=text + "\n")
            case Failure(refused):
                return http_response(NotRun(refused.reason, 0, RETRY_AFTER_S), "")
        raise AssertionError("a result is a success or a failure")


def http_response(outcome: Outcome, key: str) -> web.Response:
    """Return the HTTP response for an outcome, with the idempotency key for a retry, if any."""
    reply_headers = headers.reply_headers(outcome)
    if key:
        reply_headers[headers.IDEMPOTENCY_KEY] = key
    return web.Response(
        status=headers.reply_status(outcome),
        headers=reply_headers,
        body=headers.reply_body(outcome),
    )


def parse_call(
    request: web.BaseRequest, body: bytes, state: NodeState, now: float
) -> Result[Call, MalformedMessage]:
    """Return the call described by an HTTP request."""
    parts = request.path[len(_CALL_PREFIX) :].split("/")
    if len(parts) != 2 or not all(parts):
        return Failure(MalformedMessage("caller", f"path {request.path!r}"))
    if len(body) > MAX_BODY_BYTES:
        return Failure(MalformedMessage("caller", f"body of more than {MAX_BODY_BYTES} bytes"))
    service, call_class = parts
    policy = class_policy(state["store"], service, call_class)
    request_headers = request.headers
    request_id = request_headers.get(headers.REQUEST_ID) or uuid4().hex
    importance = policy.importance if policy is not None else 0
    max_deadline_ms = policy.deadline_ms if policy is not None else 0
    max_retries = policy.max_retries if policy is not None else 0
    try:
        depth = int(request_headers.get(headers.DEPTH, 0))
        rank = (
            int(request_headers.get(headers.RANK, 0))
            if depth
            else request_rank(importance, request_id)
        )
        deadline_ms = int(request_headers.get(headers.DEADLINE_MS, max_deadline_ms))
        retries_left = int(request_headers.get(headers.RETRIES_LEFT, max_retries))
    except ValueError as error:
        return Failure(MalformedMessage("caller", f"header is not a number: {error}"))
    if not 0 <= depth <= MAX_DEPTH or rank < 0 or retries_left < 0:
        return Failure(
            MalformedMessage("caller", "depth, rank or number of retries is out of range")
        )
    from_target = request.remote == state["settings"].target.host
    context = CallContext(
        request_id=request_id,
        service=service,
        call_class=call_class,
        caller=request_headers.get(headers.CALLER, ""),
        rank=rank,
        depth=depth,
        deadline=now + min(deadline_ms, max_deadline_ms) / 1000,
        retries_left=granted_retries(min(retries_left, max_retries), depth, from_target),
        idempotency_key=request_headers.get(headers.IDEMPOTENCY_KEY, ""),
    )
    content_type = request_headers.get(headers.CONTENT_TYPE, "application/octet-stream")
    return Success(Call(context, content_type, body))
