"""Keeps the memory and the connections of all callers of a process within their limits."""

import logging
from typing import Protocol

from jacinthsail.internal.commands.held_memory import hold, record_eviction
from jacinthsail.internal.model.held_memory import HeldMemory, HolderView
from jacinthsail.internal.queries.held_memory import (
    Holding,
    choose_eviction,
    is_exceeded,
    new_parsing_budget,
)

_LOG = logging.getLogger("jacinthsail.callers")

# At most one line about evictions in this time.
LOG_INTERVAL_S = 10.0


class CallerHolder(Protocol):
    """A connection of a caller that holds memory."""

    idle_since: float

    def holding(self) -> HolderView:
        """Return what the connection holds."""

    def is_idle(self) -> bool:
        """Return whether no request is in progress or arriving."""

    def evict(self, holding: Holding) -> None:
        """Give up what the connection holds, and close it."""

    def close_idle(self) -> None:
        """Close the connection, on which no request is in progress."""


class CallerMemory:
    """The connections of callers at all ports of a process, and what they hold together."""

    def __init__(self, memory: HeldMemory, max_connections: int) -> None:
        self.memory = memory
        self.max_connections = max_connections
        self.holders: set[CallerHolder] = set()
        self.parsing = new_parsing_budget(0.0)
        self.logged_at = float("-inf")
        self.evicted_since_log = 0

    def change(self, difference: int, now: float) -> None:
        """Count a change in what a connection holds, and give up what exceeds the limit."""
        hold(self.memory, difference)
        if difference > 0 and is_exceeded(self.memory):
            self._relieve(now)

    def _relieve(self, now: float) -> None:
        while is_exceeded(self.memory):
            holders = tuple(self.holders)
            choice = choose_eviction(holder.holding() for holder in holders)
            if choice is None:
                return
            position, holding = choice
            held_before = self.memory["held"]
            holders[position].evict(holding)
            self._record(holding, now)
            if self.memory["held"] >= held_before:
                # The connection is closing already, so nothing more can be given up now.
                return

    def _record(self, cause: str, now: float) -> None:
        record_eviction(self.memory)
        self.evicted_since_log += 1
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = now
        _LOG.warning(
            "closed %d connections of callers, the last for %s; %d of %d bytes are held",
            self.evicted_since_log,
            cause,
            self.memory["held"],
            self.memory["limit"],
        )
        self.evicted_since_log = 0

    def make_room(self, now: float) -> bool:
        """Close the connection that has been idle longest if there are too many.

        Return whether one more may be accepted.
        """
        if len(self.holders) < self.max_connections:
            return True
        idle = [holder for holder in self.holders if holder.is_idle()]
        if not idle:
            self._record("too-many-connections", now)
            return False
        oldest = min(idle, key=lambda holder: holder.idle_since)
        self.holders.discard(oldest)
        oldest.close_idle()
        self._record("too-many-connections", now)
        return True
