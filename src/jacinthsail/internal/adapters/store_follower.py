"""Keeps this node's copy of the published items up to date, from the store and from peers."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from functools import singledispatch
from random import Random
from typing import Any, Protocol

import mode

from jacinthsail.internal.adapters.boot_clock import boot_time
from jacinthsail.internal.adapters.peer_links import PeerLinks
from jacinthsail.internal.adapters.store_exchange import StoreExchange
from jacinthsail.internal.commands.fleet import record_store_went_back
from jacinthsail.internal.commands.freshness import record_knowledge
from jacinthsail.internal.commands.store_copy import distrust_copy, record_copied, record_items
from jacinthsail.internal.commands.store_reading import apply_changes, record_response
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.freshness import FreshnessState
from jacinthsail.internal.model.store import (
    ChangesTooLarge,
    HistoryCompacted,
    PublishedItem,
    ReadChanges,
    ReadSnapshot,
    StoreChange,
    StoreCopy,
    StoreDelta,
    StoreDifference,
    StoreReadState,
    StoreResponse,
    StoreSnapshot,
    StoreUnavailable,
    StoreUpdate,
    TargetPublished,
    UndecodableItem,
)
from jacinthsail.internal.model.store_sources import StoreRole
from jacinthsail.internal.queries.fleet_view import is_outdated, manifest_version
from jacinthsail.internal.queries.store_copy import (
    contradicts_copy,
    is_newer,
    items_to_apply,
    no_changes,
    went_back,
)
from jacinthsail.internal.queries.store_reading import (
    MAX_STORE_RETRY_DELAY_S,
    next_read,
    read_delay_s,
)

_LOG = logging.getLogger("jacinthsail.store")

STORE = "the store"

# Faults of a manifest that one log line shows.
MAX_FAULTS_LOGGED = 5


class StoreClient(Protocol):
    """Read operations of the platform's store, and the decoding of its items."""

    async def read_snapshot(self) -> StoreResponse:
        """Read a snapshot of all items."""

    async def read_changes(self, after: int, wait_s: float) -> StoreResponse:
        """Read the changes after a revision, waiting up to ``wait_s`` for one."""

    def decode(self, item: PublishedItem) -> StoreChange:
        """Return the change that an item stands for."""


class StoreFollower(mode.Service):
    """Reads the store while this node is a reader, and applies the updates of all sources."""

    def __init__(
        self,
        client: StoreClient,
        reading: StoreReadState,
        copy: StoreCopy,
        fleet: FleetState,
        freshness: FreshnessState,
        exchange: StoreExchange,
        random: Random,
        on_change: Callable[[], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.client = client
        self.reading = reading
        self.copy = copy
        self.fleet = fleet
        self.freshness = freshness
        self.exchange = exchange
        self.random = random
        self.on_change = on_change

    def share_with(self, links: PeerLinks) -> None:
        """Begin to exchange published items with other nodes."""
        self.exchange.start(links, self.apply_update)

    @mode.Service.task
    async def follow(self) -> None:
        """Read until the node stops."""
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            if not self.reading["needs_snapshot"]:
                await self.exchange.reads_store.wait()
            try:
                await self._pause()
                known = (self.copy["era"], self.copy["revision"])
                # A response shows all writes that were acknowledged before it was asked for.
                asked_at = boot_time()
                response = await self._read()
                self._apply_response(response, known, asked_at, loop.time())
            except Exception:
                # Without this, one unexpected message would end the process.
                _LOG.exception("unexpected error while following the store")
                record_response(
                    StoreUnavailable("unexpected error"), self.reading, self.fleet, loop.time()
                )
                # The pause itself may have failed.
                await asyncio.sleep(MAX_STORE_RETRY_DELAY_S)

    async def _pause(self) -> None:
        """Wait before the next read, but not if other nodes come to rely on this one meanwhile."""
        role = self.exchange.sources["role"]
        pause_s = read_delay_s(self.reading, role, self.random, asyncio.get_running_loop().time())
        if role is not StoreRole.FALLBACK:
            await asyncio.sleep(pause_s)
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self.exchange.is_reader.wait()

    async def _read(self) -> StoreResponse:
        read = next_read(self.reading, self.copy)
        if isinstance(read, ReadSnapshot):
            return await self.client.read_snapshot()
        assert isinstance(read, ReadChanges)
        return await self.client.read_changes(read.after, read.wait_s)

    def _apply_response(
        self, response: StoreResponse, known: tuple[int, int], asked_at: float, now: float
    ) -> None:
        """Apply a response; ``known`` is the era and revision of the copy when the read began."""
        failures = self.reading["failures"]
        if went_back(self.copy, response):
            _LOG.warning("the store has lost writes and gone back; reading a new snapshot")
            response = HistoryCompacted()
        record_response(response, self.reading, self.fleet, now)
        _log_response(response, failures)
        if isinstance(response, StoreUnavailable):
            self.exchange.ask_for_first_copy()
        if contradicts_copy(response, known):
            _LOG.error(
                "the copy claims era %d, revision %d, which the store has not reached;"
                " it is replaced",
                *known,
            )
            distrust_copy(self.copy)
        if isinstance(response, StoreSnapshot | StoreDelta):
            has_changes = is_newer(self.copy, response)
            if has_changes:
                self.apply_update(response, STORE)
            record_knowledge(self.freshness, asked_at)
            if has_changes:
                return
        if (failures == 0) != (self.reading["failures"] == 0):
            self.exchange.report(no_changes(self.copy))

    def apply_update(self, update: StoreUpdate, source: str) -> None:
        """Apply an update that leaves no gap, and report it to the nodes that follow this one."""
        now = asyncio.get_running_loop().time()
        if update.era > self.copy["era"] and self.copy["revision"]:
            _LOG.warning("era %d of the store replaces era %d", update.era, self.copy["era"])
            distrust_copy(self.copy)
            record_store_went_back(self.fleet, now)
        before = self.copy["revision"]
        version = manifest_version(self.fleet)
        items = items_to_apply(update, self.copy)
        changes = [self.client.decode(item) for item in items]
        self._log_outdated(changes)
        record_items(self.copy, items)
        record_copied(update, self.copy)
        apply_changes(changes, self.fleet, now)
        self._log_changes(changes, version, source)
        self.exchange.targets_changed()
        self.on_change()
        self.exchange.report(update_for_followers(update, items, before))

    def _log_outdated(self, changes: list[StoreChange]) -> None:
        for change in changes:
            if not isinstance(change, TargetPublished):
                continue
            if is_outdated(self.fleet, change.entry.incarnation, change.version):
                _LOG.warning(
                    "ignoring a late write of target %s: sequence %d",
                    change.entry.incarnation,
                    change.version.sequence,
                )

    def _log_changes(self, changes: list[StoreChange], version: int, source: str) -> None:
        if manifest_version(self.fleet) != version:
            _LOG.info(
                "manifest %08x is in force, previously %08x; revision %d from %s",
                manifest_version(self.fleet),
                version,
                self.copy["revision"],
                source,
            )
            self._log_manifest_faults()
        for change in changes:
            if isinstance(change, UndecodableItem):
                _LOG.warning("ignoring unreadable item %s: %s", change.key, change.detail)

    def _log_manifest_faults(self) -> None:
        manifest = self.fleet["manifest"]
        if manifest is None or not manifest.faults:
            return
        shown = "; ".join(manifest.faults[:MAX_FAULTS_LOGGED])
        _LOG.error("manifest %08x has %d faults: %s", manifest.version, len(manifest.faults), shown)


@singledispatch
def update_for_followers(
    update: object, items: tuple[PublishedItem, ...], before: int
) -> StoreUpdate:
    """Return the update for nodes that know all changes up to revision ``before``."""
    raise NotImplementedError(f"no update for {type(update).__name__}; register one")


@update_for_followers.register
def _(update: StoreDelta, items: tuple[PublishedItem, ...], before: int) -> StoreUpdate:
    # A snapshot may hold an item that changed after its revision. The later delta brings no news of
    # it for this node, but may do so for a follower that learned that revision from another node.
    news = tuple(item for item in update.items if item.revision > before)
    return StoreDelta(news, before, update.revision, update.era)


@update_for_followers.register
def _(
    update: StoreSnapshot | StoreDifference, items: tuple[PublishedItem, ...], before: int
) -> StoreUpdate:
    return StoreDifference(items, before, update.revision, update.era)


@singledispatch
def _log_response(response: object, failures: int) -> None:
    """Log what a response of the store shows; ``failures`` counts the failed reads before it."""
    if failures:
        _LOG.info("store is available again after %d failed reads", failures)


@_log_response.register
def _(response: StoreUnavailable, failures: int) -> None:
    if failures == 0:
        _LOG.warning("store is unavailable: %s", response.detail)


@_log_response.register
def _(response: ChangesTooLarge, failures: int) -> None:
    _LOG.warning("the changes of the store exceed one response; reading a new snapshot")


@_log_response.register
def _(response: HistoryCompacted, failures: int) -> None:
    _LOG.info("store has discarded its change history; reading a new snapshot")
