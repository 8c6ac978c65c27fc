"""Reads and watches the platform's configuration service."""

import asyncio
from typing import Any

import aiohttp
import mode

from jacinthsail.internal.commands.admission import apply_service_policy
from jacinthsail.internal.commands.placement import record_confirmation
from jacinthsail.internal.commands.replication import accept_item
from jacinthsail.internal.model.replication import Item
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.documents import digest_of
from jacinthsail.internal.queries.lookup import service_policy
from jacinthsail.internal.queries.placement import lists_are_current
from jacinthsail.internal.queries.replication import decide_item

WATCH_TIMEOUT_S = 10.0
RETRY_S = 0.5


class PlatformClient(mode.Service):
    """Keeps the copies of published items up to date."""

    def __init__(self, state: NodeState, session: aiohttp.ClientSession, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.session = session
        platform = state["settings"].platform
        self.base_url = f"http://{platform.host}:{platform.port}/v1"
        self.revision = 0

    @mode.Service.task
    async def follow(self) -> None:
        """Read all items, then wait for changes."""
        while not self.should_stop:
            try:
                await self._watch_once()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                await self.sleep(RETRY_S)

    async def _watch_once(self) -> None:
        url = f"{self.base_url}/watch?after={self.revision}&timeout={WATCH_TIMEOUT_S}"
        async with asyncio.timeout(2 * WATCH_TIMEOUT_S):
            async with self.session.get(url) as response:
                change = await response.json()
        for version in change["items"]:
            await self._fetch(version["name"])
        self.revision = change["revision"]
        if lists_are_current(self.node_state["store"]):
            record_confirmation(self.node_state["store"], change["as_of_ms"])

    async def _fetch(self, name: str) -> None:
        async with self.session.get(f"{self.base_url}/items/{name}") as response:
            body = await response.read()
            version = int(response.headers["Item-Version"])
            as_of_ms = int(response.headers["As-Of-Ms"])
        item = Item(name, version, digest_of(body), body)
        now = asyncio.get_running_loop().time()
        accept_item(
            self.node_state["store"], decide_item(self.node_state["store"], item, as_of_ms), now
        )
        policy = service_policy(self.node_state["store"], self.node_state["settings"].service)
        if policy is not None:
            apply_service_policy(self.node_state["admission"], policy)
