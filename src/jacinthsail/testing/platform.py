"""Stand-in for the platform's configuration service and its VM list.

Operators of the real platform publish; here ``PUT /v1/items/<name>`` does, and nodes never call it.
Only tests call ``/control``.
"""

import asyncio
import time
from collections import deque
from typing import NamedTuple, TypedDict

from aiohttp import web
from aiohttp.typedefs import Handler

READS_PER_S = 2000


class Published(NamedTuple):
    """One item at its newest version."""

    version: int
    body: bytes


class Snapshot(NamedTuple):
    """What the platform answered at one time."""

    revision: int
    as_of_ms: int
    items: dict[str, Published]


class PlatformMode(TypedDict):
    """How the platform answers; ``stale`` is a snapshot that it goes on answering from."""

    down: bool
    delay_ms: float
    stale: Snapshot | None


class PlatformStandIn:
    """Holds published items and answers reads and watches."""

    def __init__(self, behind_s: float = 0.0) -> None:
        self.behind_ms = int(behind_s * 1000)
        self.items: dict[str, Published] = {}
        self.revision = 0
        self.reads = 0
        self.refused = 0
        self.watches = 0
        self.recent: deque[float] = deque()
        self.mode: PlatformMode = {"down": False, "delay_ms": 0.0, "stale": None}
        self.history: list[Snapshot] = [Snapshot(0, self._now_ms(), {})]
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=2 * 1024 * 1024, middlewares=[self.admit_reads]
        )
        application.router.add_get("/v1/items", self.list_items)
        application.router.add_get("/v1/items/{name:.+}", self.read_item)
        application.router.add_put("/v1/items/{name:.+}", self.publish)
        application.router.add_get("/v1/watch", self.watch)
        application.router.add_get("/control/counts", self.counts)
        application.router.add_post("/control", self.control)
        return application

    @web.middleware
    async def admit_reads(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Apply the outage, the delay and the read limit to reads."""
        if request.method != "GET" or not request.path.startswith("/v1/"):
            return await handler(request)
        if self.mode["down"]:
            raise web.HTTPServiceUnavailable()
        now = time.monotonic()
        while self.recent and self.recent[0] <= now - 1:
            self.recent.popleft()
        if len(self.recent) + self.watches >= READS_PER_S:
            self.refused += 1
            raise web.HTTPTooManyRequests()
        if request.path != "/v1/watch":
            self._count_read(now)
        await asyncio.sleep(self.mode["delay_ms"] / 1000)
        return await handler(request)

    def _count_read(self, now: float) -> None:
        self.recent.append(now)
        self.reads += 1

    async def counts(self, _request: web.Request) -> web.Response:
        """Return how much has been read."""
        return web.json_response(
            {"reads": self.reads, "refused": self.refused, "watches": self.watches}
        )

    async def control(self, request: web.Request) -> web.Response:
        """Set the mode: ``normal``, ``down``, ``slow`` with ``delay_ms``, or ``stale``.

        A stale platform answers as it did when ``revision`` was the newest one; by default that is
        the present revision, and ``back`` counts from it.
        """
        change = await request.json()
        name = change["mode"]
        if name not in ("normal", "down", "slow", "stale"):
            raise web.HTTPBadRequest(text="mode is normal, down, slow or stale\n")
        self.mode = {
            "down": name == "down",
            "delay_ms": change.get("delay_ms", 0.0) if name == "slow" else 0.0,
            "stale": self._stale_view(change) if name == "stale" else None,
        }
        self._wake_watches()
        return web.json_response({"mode": name})

    def _stale_view(self, change: dict[str, int]) -> Snapshot:
        revision = change.get("revision", self.revision - change.get("back", 0))
        if revision == self.revision:
            return self._current()
        return self.history[revision]

    def _current(self) -> Snapshot:
        return Snapshot(self.revision, self._now_ms(), dict(self.items))

    def _now_ms(self) -> int:
        return time.time_ns() // 1_000_000 - self.behind_ms

    def _view(self) -> Snapshot:
        return self.mode["stale"] or self._current()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def list_items(self, _request: web.Request) -> web.Response:
        """Return the names and versions of all items."""
        return self._changes_after(0)

    async def read_item(self, request: web.Request) -> web.Response:
        """Return one item."""
        view = self._view()
        headers = {"As-Of-Ms": str(view.as_of_ms)}
        item = view.items.get(request.match_info["name"])
        if item is None:
            raise web.HTTPNotFound(headers=headers)
        return web.Response(body=item.body, headers={**headers, "Item-Version": str(item.version)})

    async def publish(self, request: web.Request) -> web.Response:
        """Publish a new version of an item."""
        body = await request.read()
        self.revision += 1
        self.items[request.match_info["name"]] = Published(self.revision, body)
        self.history.append(self._current())
        self._wake_watches()
        return web.json_response({"version": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for a revision after the given one, then return what changed since."""
        after = int(request.query.get("after", "0"))
        timeout = float(request.query.get("timeout", "10"))
        if self._view().revision <= after:
            await self._wait_for_change(timeout)
        else:
            self._count_read(time.monotonic())
        if self.mode["down"]:
            raise web.HTTPServiceUnavailable()
        return self._changes_after(after)

    async def _wait_for_change(self, timeout_s: float) -> None:
        # A waiting watch counts as one read for as long as it waits.
        self.reads += 1
        self.watches += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            return
        finally:
            self.watches -= 1

    def _changes_after(self, after: int) -> web.Response:
        view = self._view()
        changed = []
        for name, item in view.items.items():
            if item.version > after:
                changed.append({"name": name, "version": item.version})
        return web.json_response(
            {"revision": view.revision, "as_of_ms": view.as_of_ms, "items": changed},
            headers={"As-Of-Ms": str(view.as_of_ms)},
        )
