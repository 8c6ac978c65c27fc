"""Follows what the platform publishes: one loop of reads, each applied as it arrives."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import mode

from jacinthsail.internal.commands.store_reading import apply_answer
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import (
    Changes,
    Listing,
    ReadChanges,
    ReadingState,
    ReadListing,
    StoreAnswer,
    StoreUnavailable,
    Unreadable,
)
from jacinthsail.internal.queries.fleet_view import manifest_version
from jacinthsail.internal.queries.store_reading import next_read, pause_before_read_s

_LOG = logging.getLogger("jacinthsail.store")


class StoreClient(Protocol):
    """The calls of the platform's store."""

    async def read_listing(self) -> StoreAnswer:
        """Read everything."""

    async def read_changes(self, after: int, wait_s: float) -> StoreAnswer:
        """Read what changed after a revision, waiting so long for a change."""


class StoreFollower(mode.Service):
    """Keeps the manifest and the list of targets up to date."""

    def __init__(
        self,
        client: StoreClient,
        reading: ReadingState,
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
            pause_s = pause_before_read_s(self.reading, self.random)
            if pause_s:
                await asyncio.sleep(pause_s)
            answer = await self._read()
            self._apply(answer, loop.time())

    async def _read(self) -> StoreAnswer:
        read = next_read(self.reading, self.fleet)
        if isinstance(read, ReadListing):
            return await self.client.read_listing()
        assert isinstance(read, ReadChanges)
        return await self.client.read_changes(read.after, read.wait_s)

    def _apply(self, answer: StoreAnswer, now: float) -> None:
        failures = self.reading["failures"]
        version = manifest_version(self.fleet)
        apply_answer(answer, self.reading, self.fleet, now)
        self._log(answer, failures, version)
        self.on_change()

    def _log(self, answer: StoreAnswer, failures: int, version: int) -> None:
        if isinstance(answer, StoreUnavailable):
            if failures == 0:
                _LOG.warning("store is out of reach: %s", answer.detail)
            return
        if failures:
            _LOG.info("store answers again after %d failed reads", failures)
        if manifest_version(self.fleet) != version:
            _LOG.info(
                "manifest %08x is in force, after %08x", manifest_version(self.fleet), version
            )
        if not isinstance(answer, Listing | Changes):
            _LOG.info("store has dropped its history; everything is read again")
            return
        for change in answer.changes:
            if isinstance(change, Unreadable):
                _LOG.warning("item %s is ignored: %s", change.key, change.detail)
