"""Follows the platform's store: one loop reads changes and applies each response."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import mode

from jacinthsail.internal.commands.store_reading import apply_store_response
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import (
    ReadChanges,
    ReadSnapshot,
    StoreDelta,
    StoreReadState,
    StoreResponse,
    StoreSnapshot,
    StoreUnavailable,
    UndecodableItem,
)
from jacinthsail.internal.queries.fleet_view import manifest_version
from jacinthsail.internal.queries.store_reading import next_read, read_delay_s

_LOG = logging.getLogger("jacinthsail.store")


class StoreClient(Protocol):
    """Read operations of the platform's store."""

    async def read_snapshot(self) -> StoreResponse:
        """Read a snapshot of all items."""

    async def read_changes(self, after: int, wait_s: float) -> StoreResponse:
        """Read the changes after a revision, waiting up to ``wait_s`` for one."""


class StoreFollower(mode.Service):
    """Keeps the manifest and the list of targets up to date."""

    def __init__(
        self,
        client: StoreClient,
        reading: StoreReadState,
        fleet: FleetState,
        random: Random,
        on_change: Callable[[], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.client = client
        self.reading = reading
        self.fleet = fleet
        self.random = random
        self.on_change = on_change

    @mode.Service.task
    async def follow(self) -> None:
        """Read until the node stops."""
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            pause_s = read_delay_s(self.reading, self.random)
            if pause_s:
                await asyncio.sleep(pause_s)
            response = await self._read()
            self._apply(response, loop.time())

    async def _read(self) -> StoreResponse:
        read = next_read(self.reading, self.fleet)
        if isinstance(read, ReadSnapshot):
            return await self.client.read_snapshot()
        assert isinstance(read, ReadChanges)
        return await self.client.read_changes(read.after, read.wait_s)

    def _apply(self, response: StoreResponse, now: float) -> None:
        failures = self.reading["failures"]
        version = manifest_version(self.fleet)
        apply_store_response(response, self.reading, self.fleet, now)
        self._log(response, failures, version)
        self.on_change()

    def _log(self, response: StoreResponse, failures: int, version: int) -> None:
        if isinstance(response, StoreUnavailable):
            if failures == 0:
                _LOG.warning("store is unavailable: %s", response.detail)
            return
        if failures:
            _LOG.info("store is available again after %d failed reads", failures)
        if manifest_version(self.fleet) != version:
            _LOG.info(
                "manifest %08x is in force, previously %08x", manifest_version(self.fleet), version
            )
        if not isinstance(response, StoreSnapshot | StoreDelta):
            _LOG.info("store has discarded its change history; reading a new snapshot")
            return
        for change in response.changes:
            if isinstance(change, UndecodableItem):
                _LOG.warning("ignoring unreadable item %s: %s", change.key, change.detail)
