"""Reads and watches the platform's configuration service."""

import asyncio
from collections.abc import Callable
from functools import singledispatch
from random import Random
from typing import Any

import aiohttp
import mode

from jacinthsail.internal.commands.replication import (
    confirm_versions,
    count_platform_read,
    install_item,
    record_platform_change,
    record_platform_failure,
    record_read_after_pause,
    record_stale_platform,
)
from jacinthsail.internal.model.replication import (
    AwaitPeers,
    Item,
    PlatformChange,
    ReadPlatform,
    WatchPlatform,
)
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.documents import content_digest
from jacinthsail.internal.queries.replication import (
    decide_item,
    decide_platform_action,
    is_caught_up,
    is_new_version,
    is_stale,
    names_to_read,
    needs_read,
    random_confirmation_timeout_s,
    retry_delay,
)

# Each response confirms the versions in force. Idempotency keys need a confirmation younger than
# 15 s on every node, and a confirmation takes several heartbeats of 2 s to reach every node.
WATCH_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 5.0

# Interval at which a node that waits for its peers checks whether it has become a watcher.
ROLE_CHECK_INTERVAL_S = 2.0

OnNewItem = Callable[[Item], None]


class PlatformClient(mode.Service):
    """Keeps the local copies of the platform's published items up to date."""

    def __init__(
        self,
        state: NodeState,
        session: aiohttp.ClientSession,
        random: Random,
        on_new_item: OnNewItem,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.session = session
        self.random = random
        self.on_new_item = on_new_item
        self.current_action: asyncio.Task[None] | None = None
        platform = state["settings"].platform
        self.base_url = f"http://{platform.host}:{platform.port}/v1"

    @mode.Service.task
    async def follow(self) -> None:
        """Watch the platform, read it once, or wait for peers, as decided for each step."""
        loop = asyncio.get_running_loop()
        confirmation_timeout_s = random_confirmation_timeout_s(self.random)
        confirmed_at = self.node_state["store"]["confirmed_at"]
        while not self.should_stop:
            if self.node_state["store"]["confirmed_at"] != confirmed_at:
                confirmed_at = self.node_state["store"]["confirmed_at"]
                confirmation_timeout_s = random_confirmation_timeout_s(self.random)
            action = decide_platform_action(self.node_state, confirmation_timeout_s, loop.time())
            self.current_action = asyncio.ensure_future(perform_action(action, self))
            try:
                # Unlike ``await``, this does not raise when ``read_now`` cancelled the action.
                await asyncio.wait([self.current_action])
            finally:
                self.current_action.cancel()
            if not self.current_action.cancelled():
                self.current_action.result()

    def read_now(self) -> None:
        """Cancel the current watch, read or wait, so that the next action is decided now."""
        if self.current_action is not None:
            self.current_action.cancel()

    async def read_changes(self, wait_s: float) -> None:
        """Read the changes, waiting up to ``wait_s`` for one; delay after a failure."""
        platform = self.node_state["platform"]
        record_read_after_pause(platform, self.node_state["clock"]["pauses"])
        try:
            change = await self._fetch_changes(wait_s, platform["revision"])
            if is_stale(self.node_state["store"], platform, change):
                await self._apply_stale_change(change)
            else:
                await self._apply_change(change)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError):
            record_platform_failure(platform)
        if platform["failures"] > 0:
            await self.sleep(retry_delay(platform["failures"], self.random))

    async def _fetch_changes(self, wait_s: float, after: int) -> PlatformChange:
        count_platform_read(self.node_state["platform"], asyncio.get_running_loop().time())
        url = f"{self.base_url}/watch?after={after}&timeout={wait_s}"
        async with asyncio.timeout(wait_s + READ_TIMEOUT_S), self.session.get(url) as response:
            response.raise_for_status()
            body = await response.json()
        versions = tuple((str(item["name"]), int(item["version"])) for item in body["items"])
        return PlatformChange(int(body["revision"]), int(body["as_of_ms"]), versions)

    async def _apply_stale_change(self, change: PlatformChange) -> None:
        record_stale_platform(self.node_state["platform"])
        if Mechanism.VERSION_ORDER in self.node_state["settings"].disabled:
            # Without the mechanism the node follows the platform back to older versions.
            change = await self._fetch_changes(0.0, after=0)
        # Items of a stale platform may still be newer than the copies of this node.
        await self._fetch_items(change)

    async def _apply_change(self, change: PlatformChange) -> None:
        await self._fetch_items(change)
        store = self.node_state["store"]
        if not is_caught_up(store, change):
            # A replica of the platform served an item older than the version in the change list.
            record_stale_platform(self.node_state["platform"])
            return
        now = asyncio.get_running_loop().time()
        record_platform_change(self.node_state["platform"], change.revision)
        confirm_versions(store, change.as_of_ms, now)

    async def _fetch_items(self, change: PlatformChange) -> None:
        store = self.node_state["store"]
        disabled = self.node_state["settings"].disabled
        published = dict(change.versions)
        for name in names_to_read(store, change, disabled):
            # A peer may have sent the copy while the platform was slow or refused reads.
            if needs_read(store, name, published[name], disabled):
                await self._fetch_item(name)

    async def _fetch_item(self, name: str) -> None:
        count_platform_read(self.node_state["platform"], asyncio.get_running_loop().time())
        url = f"{self.base_url}/items/{name}"
        async with asyncio.timeout(READ_TIMEOUT_S), self.session.get(url) as response:
            response.raise_for_status()
            body = await response.read()
            version = int(response.headers["Item-Version"])
            as_of_ms = int(response.headers["As-Of-Ms"])
        item = Item(name, version, content_digest(body), body, as_of_ms)
        disabled = self.node_state["settings"].disabled
        decision = decide_item(self.node_state["store"], item, disabled)
        install_item(self.node_state, decision, asyncio.get_running_loop().time())
        if is_new_version(decision):
            self.on_new_item(item)


@singledispatch
async def perform_action(action: object, client: PlatformClient) -> None:
    """Carry out a decision about reading the platform."""
    raise NotImplementedError(f"no implementation for {type(action).__name__}; register one")


@perform_action.register
async def _(action: WatchPlatform, client: PlatformClient) -> None:
    await client.read_changes(WATCH_TIMEOUT_S)


@perform_action.register
async def _(action: ReadPlatform, client: PlatformClient) -> None:
    await client.read_changes(0.0)
    if client.node_state["platform"]["failures"] == 0:
        await client.sleep(ROLE_CHECK_INTERVAL_S)


@perform_action.register
async def _(action: AwaitPeers, client: PlatformClient) -> None:
    await client.sleep(min(action.delay_s, ROLE_CHECK_INTERVAL_S))
