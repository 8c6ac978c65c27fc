"""Stand-in for the platform's configuration service and its VM list.

Operators of the real platform publish; here ``PUT /v1/items/<name>`` does, and nodes never call it.
"""

import asyncio
import time
from typing import NamedTuple

from aiohttp import web


class Published(NamedTuple):
    """One item at its newest version."""

    version: int
    body: bytes


class PlatformStandIn:
    """Holds published items and answers reads and watches."""

    def __init__(self) -> None:
        self.items: dict[str, Published] = {}
        self.revision = 0
        self.reads = 0
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=2 * 1024 * 1024)
        application.router.add_get("/v1/items", self.list_items)
        application.router.add_get("/v1/items/{name:.+}", self.read_item)
        application.router.add_put("/v1/items/{name:.+}", self.publish)
        application.router.add_get("/v1/watch", self.watch)
        return application

    async def list_items(self, _request: web.Request) -> web.Response:
        """Return the names and versions of all items."""
        self.reads += 1
        return self._changes_after(0)

    async def read_item(self, request: web.Request) -> web.Response:
        """Return one item."""
        self.reads += 1
        item = self.items.get(request.match_info["name"])
        if item is None:
            raise web.HTTPNotFound()
        headers = {"Item-Version": str(item.version), "As-Of-Ms": str(_now_ms())}
        return web.Response(body=item.body, headers=headers)

    async def publish(self, request: web.Request) -> web.Response:
        """Publish a new version of an item."""
        self.revision += 1
        body = await request.read()
        self.items[request.match_info["name"]] = Published(self.revision, body)
        self.changed.set()
        self.changed = asyncio.Event()
        return web.json_response({"version": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for a revision after the given one, then return what changed since."""
        self.reads += 1
        after = int(request.query.get("after", "0"))
        timeout = float(request.query.get("timeout", "10"))
        if self.revision <= after:
            try:
                async with asyncio.timeout(timeout):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return self._changes_after(after)

    def _changes_after(self, after: int) -> web.Response:
        changed = []
        for name, item in self.items.items():
            if item.version > after:
                changed.append({"name": name, "version": item.version})
        return web.json_response(
            {"revision": self.revision, "as_of_ms": _now_ms(), "items": changed}
        )


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
