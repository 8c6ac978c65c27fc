"""Stand-in for a target: serves calls after a delay and records every execution."""

import asyncio
from collections import Counter

from aiohttp import ClientSession, web

# Headers that a target copies from the call that it serves into the calls that it makes.
CONTEXT_HEADERS = (
    "Jacinthsail-Request-Id",
    "Jacinthsail-Deadline-Ms",
    "Jacinthsail-Retries-Left",
    "Jacinthsail-Rank",
    "Jacinthsail-Depth",
    "Jacinthsail-Caller",
)


class TargetStandIn:
    """Answers each call with the service, the class and the body that it was given."""

    def __init__(self, name: str, node_url: str, delay_s: float) -> None:
        self.name = name
        self.node_url = node_url
        self.delay_s = delay_s
        self.executions: Counter[str] = Counter()
        self.session: ClientSession | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_get("/executions", self.list_executions)
        application.router.add_post("/{service}/{call_class}", self.run)
        return application

    async def list_executions(self, _request: web.Request) -> web.Response:
        """Return how often each idempotency key or request id was run."""
        return web.json_response(self.executions)

    async def run(self, request: web.Request) -> web.Response:
        """Run one call; ``?then=service/class`` in the body's first line makes a nested call."""
        body = await request.text()
        key = request.headers.get("Idempotency-Key") or request.headers["Jacinthsail-Request-Id"]
        self.executions[key] += 1
        await asyncio.sleep(self.delay_s)
        nested = ""
        if body.startswith("then="):
            path, _, rest = body.removeprefix("then=").partition("\n")
            nested = await self._call_through_node(path, rest, request)
        text = f"{self.name} ran {request.path.lstrip('/')} for {body!r}{nested}"
        return web.Response(text=text)

    async def _call_through_node(self, path: str, body: str, request: web.Request) -> str:
        if self.session is None:
            self.session = ClientSession()
        context = {}
        for name in CONTEXT_HEADERS:
            if name in request.headers:
                context[name] = request.headers[name]
        url = f"{self.node_url}/v1/services/{path}"
        async with self.session.post(url, data=body, headers=context) as response:
            return f"; nested: {await response.text()}"
