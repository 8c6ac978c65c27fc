"""Stand-in for a target: serves calls as its behaviour says and records every execution."""

import asyncio
import json
import time
from collections import Counter
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, TCPConnector, web

from jacinthsail.testing.target_model import Behaviour, Execution

# Headers that a target copies from the call that it serves into the calls that it makes.
CONTEXT_HEADERS = (
    "Jacinthsail-Request-Id",
    "Jacinthsail-Deadline-Ms",
    "Jacinthsail-Retries-Left",
    "Jacinthsail-Rank",
    "Jacinthsail-Depth",
    "Jacinthsail-Caller",
)

# How much each waiting call per slot lengthens the service time: thrashing under overload.
CONTENTION = 0.25

STATUS_NESTED_CALL_FAILED = 502


class TargetStandIn:
    """Answers each call with the service, the class and the body that it was given."""

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
        self.present = 0
        self.running = 0
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
        """Return how often each idempotency key or request id was run."""
        counts = Counter(run["key"] or run["request_id"] for run in self.executions)
        return web.json_response(counts)

    async def list_executions(self, _request: web.Request) -> web.Response:
        """Return every execution of this process."""
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
        """Return the state, as late or as wrong as the behaviour says."""
        return web.json_response({"state": self.behaviour["health_lie"] or self._lagged_state()})

    def _lagged_state(self) -> str:
        seen_at = time.monotonic() - self.behaviour["health_lag_s"]
        lagged = self.states[0][1]
        for changed_at, state in self.states:
            if changed_at <= seen_at:
                lagged = state
        return lagged

    async def load(self, _request: web.Request) -> web.Response:
        """Return the calls in the target, or the lie that the behaviour gives."""
        lie = self.behaviour["load_lie"]
        in_flight = self.present if lie < 0 else lie
        return web.json_response({"in_flight": in_flight, "slots": self.behaviour["slots"]})

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one call, or refuse it before any of it runs."""
        body = await request.text()
        self.calls += 1
        if self.present >= self.behaviour["connections"]:
            return _reset(request)
        if _is_nth(self.calls, self.behaviour["shed_every"]):
            return _not_run()
        self.present += 1
        try:
            return await self._serve_present(request, body)
        finally:
            self.present -= 1

    async def _serve_present(self, request: web.Request, body: str) -> web.StreamResponse:
        arrived_at = time.monotonic()
        call = self.calls
        await self._take_slot()
        try:
            if self._is_pointless(request, arrived_at):
                return _not_run()
            execution = self._start(request)
            await asyncio.sleep(self._service_time_s())
            response = await self._answer(request, body)
            self._end(execution)
        finally:
            await self._free_slot()
        if self.behaviour["silent"]:
            await asyncio.Event().wait()
        if _is_nth(call, self.behaviour["half_every"]):
            return await _half(request, response)
        return response

    async def _take_slot(self) -> None:
        async with self.slot_freed:
            await self.slot_freed.wait_for(lambda: self.running < self.behaviour["slots"])
            self.running += 1

    async def _free_slot(self) -> None:
        async with self.slot_freed:
            self.running -= 1
            self.slot_freed.notify()

    def _is_pointless(self, request: web.Request, arrived_at: float) -> bool:
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
        waiting = self.present - self.running
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
        # The record is a file so that it outlives a killed target.
        if self.record is None:
            return
        with self.record.open("a", encoding="utf-8") as lines:
            lines.write(json.dumps(execution) + "\n")

    async def _answer(self, request: web.Request, body: str) -> web.Response:
        if body.startswith("{"):
            return await self._answer_plan(request, json.loads(body))
        nested = ""
        if body.startswith("then="):
            path, _, rest = body.removeprefix("then=").partition("\n")
            _, text = await self._call_through_node(path, rest, request)
            nested = f"; nested: {text}"
        return web.Response(text=f"{self.name} ran {request.path.lstrip('/')} for {body!r}{nested}")

    async def _answer_plan(self, request: web.Request, plan: dict[str, Any]) -> web.Response:
        calls = []
        for number, nested in enumerate(plan.get("then", [])):
            nested = {**nested, "id": f"{plan['id']}.{number}"}
            path = f"{nested['service']}/{nested['class']}"
            calls.append(self._call_through_node(path, json.dumps(nested), request))
        replies = await asyncio.gather(*calls)
        status = 200
        if any(reply_status != 200 for reply_status, _ in replies):
            status = STATUS_NESTED_CALL_FAILED
        answer = {
            "target": self.name,
            "path": request.path.lstrip("/"),
            "id": plan["id"],
            "nested": [text for _, text in replies],
        }
        return web.json_response(answer, status=status)

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


def _not_run() -> web.Response:
    return web.Response(status=503, headers={"Jacinthsail-Outcome": "not-run"})


def _reset(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _half(request: web.Request, whole: web.Response) -> web.StreamResponse:
    body = whole.body
    assert isinstance(body, bytes)
    half = web.StreamResponse(status=whole.status, headers={"Content-Type": whole.content_type})
    half.content_length = len(body)
    await half.prepare(request)
    await half.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return half
