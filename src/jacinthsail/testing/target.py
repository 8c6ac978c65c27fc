"""Stand-in for a target: serves calls as configured by its behaviour and records executions."""

import asyncio
import json
import time
from collections import Counter
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, TCPConnector, web

from jacinthsail.testing.target_model import Behaviour, Execution

# Headers that a target copies from the call that it serves to its nested calls.
CONTEXT_HEADERS = (
    "Jacinthsail-Request-Id",
    "Jacinthsail-Deadline-Ms",
    "Jacinthsail-Retries-Left",
    "Jacinthsail-Rank",
    "Jacinthsail-Depth",
    "Jacinthsail-Caller",
)

# Relative increase of the service time per waiting call and slot, which models thrashing under
# overload.
CONTENTION = 0.25

STATUS_NESTED_CALL_FAILED = 502


class TargetStandIn:
    """Responds to each call with its service, class and body."""

    def __init__(
        self,
        name: str,
        node_url: str,
        behaviour: Behaviour,
        record: Path | None = None,
        host: str = "127.0.0.1",
    ) -> None:
        self.name = name
        self.node_url = node_url
        self.host = host
        self.behaviour = behaviour
        self.record = record
        self.executions: list[Execution] = []
        self.calls = 0
        self.in_flight = 0
        self.executing = 0
        self.slot_freed = asyncio.Condition()
        self.started_at = time.monotonic()
        self.states: list[tuple[float, str]] = [(self.started_at, "serving")]
        self.session: ClientSession | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_get("/executions", self.count_executions)
        application.router.add_get("/control/record", self.list_executions)
        application.router.add_post("/control", self.control)
        application.router.add_get("/health", self.health)
        application.router.add_get("/load", self.load)
        application.router.add_post("/{service}/{call_class}", self.serve)
        application.on_cleanup.append(self.close)
        return application

    async def close(self, _application: web.Application) -> None:
        """Close the connection to the node."""
        if self.session is not None:
            await self.session.close()

    async def count_executions(self, _request: web.Request) -> web.Response:
        """Return the number of executions of each idempotency key or request id."""
        counts = Counter(
            execution["key"] or execution["request_id"] for execution in self.executions
        )
        return web.json_response(counts)

    async def list_executions(self, _request: web.Request) -> web.Response:
        """Return every execution since this process started."""
        return web.json_response(self.executions)

    async def control(self, request: web.Request) -> web.Response:
        """Change fields of the behaviour."""
        changes = await request.json()
        unknown = changes.keys() - self.behaviour.keys()
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown fields {sorted(unknown)}; see Behaviour\n")
        self.behaviour.update(changes)
        state = "draining" if self.behaviour["draining"] else "serving"
        self.states.append((time.monotonic(), state))
        return web.json_response(self.behaviour)

    async def health(self, _request: web.Request) -> web.Response:
        """Return the state, delayed by ``health_lag_s`` or replaced by ``health_lie``."""
        return web.json_response({"state": self.behaviour["health_lie"] or self._lagged_state()})

    def _lagged_state(self) -> str:
        as_of = time.monotonic() - self.behaviour["health_lag_s"]
        reported = self.states[0][1]
        for changed_at, state in self.states:
            if changed_at <= as_of:
                reported = state
        return reported

    async def load(self, _request: web.Request) -> web.Response:
        """Return the number of calls in flight, or ``load_lie`` if it is set."""
        lie = self.behaviour["load_lie"]
        in_flight = self.in_flight if lie < 0 else lie
        return web.json_response({"in_flight": in_flight, "slots": self.behaviour["slots"]})

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one call, or refuse it before execution."""
        body = await request.text()
        self.calls += 1
        if self.in_flight >= self.behaviour["connections"]:
            return _abort_connection(request)
        if _is_nth(self.calls, self.behaviour["shed_every"]):
            return _not_run_response()
        self.in_flight += 1
        try:
            return await self._serve_admitted(request, body)
        finally:
            self.in_flight -= 1

    async def _serve_admitted(self, request: web.Request, body: str) -> web.StreamResponse:
        arrived_at = time.monotonic()
        call = self.calls
        await self._take_slot()
        try:
            if self._should_skip(request, arrived_at):
                return _not_run_response()
            execution = self._start(request)
            await asyncio.sleep(self._service_time_s())
            response = await self._respond(request, body)
            self._end(execution)
        finally:
            await self._free_slot()
        if self.behaviour["silent"]:
            await asyncio.Event().wait()
        if _is_nth(call, self.behaviour["half_every"]):
            return await _send_half(request, response)
        return response

    async def _take_slot(self) -> None:
        async with self.slot_freed:
            await self.slot_freed.wait_for(lambda: self.executing < self.behaviour["slots"])
            self.executing += 1

    async def _free_slot(self) -> None:
        async with self.slot_freed:
            self.executing -= 1
            self.slot_freed.notify()

    def _should_skip(self, request: web.Request, arrived_at: float) -> bool:
        if self.behaviour["stops_abandoned"] and request.transport is None:
            return True
        deadline_ms = request.headers.get("Jacinthsail-Deadline-Ms")
        if not self.behaviour["stops_expired"] or deadline_ms is None:
            return False
        return (time.monotonic() - arrived_at) * 1000 > int(deadline_ms)

    def _service_time_s(self) -> float:
        behaviour = self.behaviour
        factor = behaviour["slow_factor"]
        if time.monotonic() - self.started_at < behaviour["cold_start_s"]:
            factor *= behaviour["cold_factor"]
        waiting = self.in_flight - self.executing
        factor *= 1 + CONTENTION * waiting / behaviour["slots"]
        return behaviour["service_time_ms"] / 1000 * factor

    def _start(self, request: web.Request) -> Execution:
        execution: Execution = {
            "target": self.name,
            "service": request.match_info["service"],
            "call_class": request.match_info["call_class"],
            "request_id": request.headers.get("Jacinthsail-Request-Id", ""),
            "key": request.headers.get("Idempotency-Key", ""),
            "started_at": time.monotonic(),
            "ended_at": 0.0,
        }
        self.executions.append(execution)
        self._write(execution)
        return execution

    def _end(self, execution: Execution) -> None:
        execution["ended_at"] = time.monotonic()
        self._write(execution)

    def _write(self, execution: Execution) -> None:
        # The record is a file, so that it is not lost when the target is killed.
        if self.record is None:
            return
        with self.record.open("a", encoding="utf-8") as lines:
            lines.write(json.dumps(execution) + "\n")

    async def _respond(self, request: web.Request, body: str) -> web.Response:
        if body.startswith("{"):
            return await self._respond_to_plan(request, json.loads(body))
        nested = ""
        if body.startswith("then="):
            path, _, rest = body.removeprefix("then=").partition("\n")
            _, text = await self._call_through_node(path, rest, request)
            nested = f"; nested: {text}"
        return web.Response(text=f"{self.name} ran {request.path.lstrip('/')} for {body!r}{nested}")

    async def _respond_to_plan(self, request: web.Request, plan: dict[str, Any]) -> web.Response:
        calls = []
        for number, nested in enumerate(plan.get("then", [])):
            nested = {**nested, "id": f"{plan['id']}.{number}"}
            path = f"{nested['service']}/{nested['class']}"
            calls.append(self._call_through_node(path, json.dumps(nested), request))
        replies = await asyncio.gather(*calls)
        status = 200
        if any(reply_status != 200 for reply_status, _ in replies):
            status = STATUS_NESTED_CALL_FAILED
        content = {
            "target": self.name,
            "path": request.path.lstrip("/"),
            "id": plan["id"],
            "nested": [text for _, text in replies],
        }
        return web.json_response(content, status=status)

    async def _call_through_node(
        self, path: str, body: str, request: web.Request
    ) -> tuple[int, str]:
        if self.session is None:
            connector = TCPConnector(limit=0, local_addr=(self.host, 0))
            self.session = ClientSession(connector=connector)
        context = {}
        for name in CONTEXT_HEADERS:
            if self.behaviour["passes_context"] and name in request.headers:
                context[name] = request.headers[name]
        url = f"{self.node_url}/v1/services/{path}"
        try:
            async with self.session.post(url, data=body, headers=context) as response:
                return response.status, await response.text()
        except (ClientError, OSError) as error:
            return STATUS_NESTED_CALL_FAILED, str(error)


def _is_nth(call: int, every: int) -> bool:
    return every > 0 and call % every == 0


def _not_run_response() -> web.Response:
    return web.Response(status=503, headers={"Jacinthsail-Outcome": "not-run"})


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _send_half(request: web.Request, whole: web.Response) -> web.StreamResponse:
    body = whole.body
    assert isinstance(body, bytes)
    half = web.StreamResponse(status=whole.status, headers={"Content-Type": whole.content_type})
    half.content_length = len(body)
    await half.prepare(request)
    await half.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return half
