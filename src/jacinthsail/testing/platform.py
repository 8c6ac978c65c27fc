"""Stand-in for the platform's configuration service and its VM list.

Items are published with ``PUT /v1/items/<name>``, as an operator of the platform would do; nodes
never call it. Only tests call ``/control``.
"""

import asyncio
import time
from collections import deque
from typing import NamedTuple, TypedDict

from aiohttp import web
from aiohttp.typedefs import Handler

READS_PER_S = 2000


class PublishedItem(NamedTuple):
    """One item at its newest version."""

    version: int
    body: bytes


class Snapshot(NamedTuple):
    """All items that the platform held at one time."""

    revision: int
    as_of_ms: int
    items: dict[str, PublishedItem]


class PlatformMode(TypedDict):
    """How the platform responds; with ``stale`` it serves this snapshot instead of the newest."""

    down: bool
    delay_ms: float
    stale: Snapshot | None


class PlatformStandIn:
    """Holds published items and serves reads and watches."""

    def __init__(self, behind_s: float = 0.0) -> None:
        self.clock_lag_ms = int(behind_s * 1000)
        self.items: dict[str, PublishedItem] = {}
        self.revision = 0
        self.reads = 0
        self.refused = 0
        self.watches = 0
        self.recent_reads: deque[float] = deque()
        self.mode: PlatformMode = {"down": False, "delay_ms": 0.0, "stale": None}
        self.history: list[Snapshot] = [Snapshot(0, self._now_ms(), {})]
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=2 * 1024 * 1024, middlewares=[self.limit_reads]
        )
        application.router.add_get("/v1/items", self.list_items)
        application.router.add_get("/v1/items/{name:.+}", self.read_item)
        application.router.add_put("/v1/items/{name:.+}", self.publish)
        application.router.add_get("/v1/watch", self.watch)
        application.router.add_get("/control/counts", self.counts)
        application.router.add_post("/control", self.control)
        return application

    @web.middleware
    async def limit_reads(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Apply the configured outage and delay, and the read limit, to reads."""
        if request.method != "GET" or not request.path.startswith("/v1/"):
            return await handler(request)
        if self.mode["down"]:
            raise web.HTTPServiceUnavailable()
        now = time.monotonic()
        while self.recent_reads and self.recent_reads[0] <= now - 1:
            self.recent_reads.popleft()
        if len(self.recent_reads) + self.watches >= READS_PER_S:
            self.refused += 1
            raise web.HTTPTooManyRequests()
        if request.path != "/v1/watch":
            self._count_read(now)
        await asyncio.sleep(self.mode["delay_ms"] / 1000)
        return await handler(request)

    def _count_read(self, now: float) -> None:
        self.recent_reads.append(now)
        self.reads += 1

    async def counts(self, _request: web.Request) -> web.Response:
        """Return the counts of reads, refused reads and pending watches."""
        return web.json_response(
            {"reads": self.reads, "refused": self.refused, "watches": self.watches}
        )

    async def control(self, request: web.Request) -> web.Response:
        """Set the mode: ``normal``, ``down``, ``slow`` with ``delay_ms``, or ``stale``.

        A stale platform serves the snapshot of ``revision``. The default is the current revision
        minus ``back``, which is 0 if it is not given.
        """
        change = await request.json()
        name = change["mode"]
        if name not in ("normal", "down", "slow", "stale"):
            raise web.HTTPBadRequest(text="mode must be normal, down, slow or stale\n")
        self.mode = {
            "down": name == "down",
            "delay_ms": change.get("delay_ms", 0.0) if name == "slow" else 0.0,
            "stale": self._stale_snapshot(change) if name == "stale" else None,
        }
        self._wake_watches()
        return web.json_response({"mode": name})

    def _stale_snapshot(self, change: dict[str, int]) -> Snapshot:
        revision = change.get("revision", self.revision - change.get("back", 0))
        if revision == self.revision:
            return self._current_snapshot()
        return self.history[revision]

    def _current_snapshot(self) -> Snapshot:
        return Snapshot(self.revision, self._now_ms(), dict(self.items))

    def _now_ms(self) -> int:
        return time.time_ns() // 1_000_000 - self.clock_lag_ms

    def _visible_snapshot(self) -> Snapshot:
        return self.mode["stale"] or self._current_snapshot()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def list_items(self, _request: web.Request) -> web.Response:
        """Return the names and versions of all items."""
        return self._changes_after(0)

    async def read_item(self, request: web.Request) -> web.Response:
        """Return one item."""
        snapshot = self._visible_snapshot()
        headers = {"As-Of-Ms": str(snapshot.as_of_ms)}
        item = snapshot.items.get(request.match_info["name"])
        if item is None:
            raise web.HTTPNotFound(headers=headers)
        return web.Response(body=item.body, headers={**headers, "Item-Version": str(item.version)})

    async def publish(self, request: web.Request) -> web.Response:
        """Publish a new version of an item."""
        body = await request.read()
        self.revision += 1
        self.items[request.match_info["name"]] = PublishedItem(self.revision, body)
        self.history.append(self._current_snapshot())
        self._wake_watches()
        return web.json_response({"version": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for a newer revision than the given one, then return the items changed since."""
        after = int(request.query.get("after", "0"))
        timeout = float(request.query.get("timeout", "10"))
        if self._visible_snapshot().revision <= after:
            await self._wait_for_change(timeout)
        else:
            self._count_read(time.monotonic())
        if self.mode["down"]:
            raise web.HTTPServiceUnavailable()
        return self._changes_after(after)

    async def _wait_for_change(self, timeout_s: float) -> None:
        # A pending watch counts as one read for as long as it is pending.
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
        snapshot = self._visible_snapshot()
        changed = []
        for name, item in snapshot.items.items():
            if item.version > after:
                changed.append({"name": name, "version": item.version})
        return web.json_response(
            {"revision": snapshot.revision, "as_of_ms": snapshot.as_of_ms, "items": changed},
            headers={"As-Of-Ms": str(snapshot.as_of_ms)},
        )
