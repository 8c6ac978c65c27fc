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
from jacinthsail.internal.queries.documents import digest_of
from jacinthsail.internal.queries.replication import (
    decide_item,
    decide_platform_action,
    draw_silence,
    is_caught_up,
    is_news,
    is_stale,
    names_to_read,
    needs_read,
    retry_delay,
)

# Each answer confirms the versions in force. Keys need a confirmation younger than 15 s on every
# node, and it travels over several heartbeats of 2 s.
WATCH_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 5.0

# A node that waits for its peers looks this often whether it has become a watcher.
ROLE_CHECK_S = 2.0

OnNews = Callable[[Item], None]


class PlatformClient(mode.Service):
    """Keeps the copies of published items up to date from the platform."""

    def __init__(
        self,
        state: NodeState,
        session: aiohttp.ClientSession,
        random: Random,
        on_news: OnNews,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.session = session
        self.random = random
        self.on_news = on_news
        self.current: asyncio.Task[None] | None = None
        platform = state["settings"].platform
        self.base_url = f"http://{platform.host}:{platform.port}/v1"

    @mode.Service.task
    async def follow(self) -> None:
        """Watch the platform, read it once, or wait for peers, as the queries decide."""
        loop = asyncio.get_running_loop()
        silence_s = draw_silence(self.random)
        confirmed_at = self.node_state["store"]["confirmed_at"]
        while not self.should_stop:
            if self.node_state["store"]["confirmed_at"] != confirmed_at:
                confirmed_at = self.node_state["store"]["confirmed_at"]
                silence_s = draw_silence(self.random)
            action = decide_platform_action(self.node_state, silence_s, loop.time())
            self.current = asyncio.ensure_future(perform(action, self))
            try:
                # The wait leaves alone an action that was cancelled by a restart.
                await asyncio.wait([self.current])
            finally:
                self.current.cancel()
            if not self.current.cancelled():
                self.current.result()

    def read_at_once(self) -> None:
        """End the present watch, read or wait, so that the next action is decided at once."""
        if self.current is not None:
            self.current.cancel()

    async def read_changes(self, wait_s: float) -> None:
        """Read what changed, waiting up to ``wait_s`` for it; delays after a failure."""
        platform = self.node_state["platform"]
        record_read_after_pause(platform, self.node_state["clock"]["pauses"])
        try:
            change = await self._changes(wait_s, platform["revision"])
            if is_stale(self.node_state["store"], platform, change):
                await self._take_stale(change)
            else:
                await self._take_change(change)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError):
            record_platform_failure(platform)
        if platform["failures"] > 0:
            await self.sleep(retry_delay(platform["failures"], self.random))

    async def _changes(self, wait_s: float, after: int) -> PlatformChange:
        count_platform_read(self.node_state["platform"], asyncio.get_running_loop().time())
        url = f"{self.base_url}/watch?after={after}&timeout={wait_s}"
        async with asyncio.timeout(wait_s + READ_TIMEOUT_S), self.session.get(url) as response:
            response.raise_for_status()
            table = await response.json()
        versions = tuple((str(item["name"]), int(item["version"])) for item in table["items"])
        return PlatformChange(int(table["revision"]), int(table["as_of_ms"]), versions)

    async def _take_stale(self, change: PlatformChange) -> None:
        record_stale_platform(self.node_state["platform"])
        if Mechanism.VERSION_ORDER in self.node_state["settings"].disabled:
            # Without the mechanism the node follows the platform back to its older versions.
            change = await self._changes(0.0, after=0)
        # What an old platform holds is still news to a node that holds less.
        await self._read_items(change)

    async def _take_change(self, change: PlatformChange) -> None:
        await self._read_items(change)
        store = self.node_state["store"]
        if not is_caught_up(store, change):
            # A replica of the platform served an item older than the list of changes promised.
            record_stale_platform(self.node_state["platform"])
            return
        now = asyncio.get_running_loop().time()
        record_platform_change(self.node_state["platform"], change.revision)
        confirm_versions(store, change.as_of_ms, now)

    async def _read_items(self, change: PlatformChange) -> None:
        store = self.node_state["store"]
        disabled = self.node_state["settings"].disabled
        published = dict(change.versions)
        for name in names_to_read(store, change, disabled):
            # A peer may have brought the copy while the platform was slow or refused reads.
            if needs_read(store, name, published[name], disabled):
                await self._read_item(name)

    async def _read_item(self, name: str) -> None:
        count_platform_read(self.node_state["platform"], asyncio.get_running_loop().time())
        url = f"{self.base_url}/items/{name}"
        async with asyncio.timeout(READ_TIMEOUT_S), self.session.get(url) as response:
            response.raise_for_status()
            body = await response.read()
            version = int(response.headers["Item-Version"])
            as_of_ms = int(response.headers["As-Of-Ms"])
        item = Item(name, version, digest_of(body), body, as_of_ms)
        disabled = self.node_state["settings"].disabled
        decision = decide_item(self.node_state["store"], item, disabled)
        install_item(self.node_state, decision, asyncio.get_running_loop().time())
        if is_news(decision):
            self.on_news(item)


@singledispatch
async def perform(action: object, client: PlatformClient) -> None:
    """Carry out what was decided about the platform."""
    raise NotImplementedError(f"no rule for {type(action).__name__}; register one")


@perform.register
async def _(action: WatchPlatform, client: PlatformClient) -> None:
    await client.read_changes(WATCH_TIMEOUT_S)


@perform.register
async def _(action: ReadPlatform, client: PlatformClient) -> None:
    await client.read_changes(0.0)
    if client.node_state["platform"]["failures"] == 0:
        await client.sleep(ROLE_CHECK_S)


@perform.register
async def _(action: AwaitPeers, client: PlatformClient) -> None:
    await client.sleep(min(action.delay_s, ROLE_CHECK_S))
