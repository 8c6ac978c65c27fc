"""Schedules the reads of the platform's store."""

from random import Random

from jacinthsail.internal.model.store import (
    ReadChanges,
    ReadSnapshot,
    StoreCopy,
    StoreRead,
    StoreReadState,
)
from jacinthsail.internal.model.store_sources import StoreRole
from jacinthsail.internal.queries.backoff import backoff_s

# Entries change with every heartbeat of a target, so a watch that is renewed at once would return
# many times a second. A longer pause would delay changes, which must be in force within 2 s.
WATCH_PAUSE_S = 0.8

# A watch returns after this time even if nothing changes. An unresponsive store is detected only
# then, and changes must be in force within 2 s.
MAX_WATCH_WAIT_S = 0.3

# The longest time between two successful reads while the store responds, with some margin. The
# nodes that follow a reader turn to another one when its last read is older.
MAX_READ_AGE_S = MAX_WATCH_WAIT_S + WATCH_PAUSE_S + 0.4

# Delay after a failed read. Jitter keeps the nodes from reading simultaneously after an outage.
INITIAL_RETRY_DELAY_S = 0.1
MAX_STORE_RETRY_DELAY_S = 0.5

# The same for a node that reads for itself only: the readers of its domain notice the return of the
# store first, and all nodes together would call it hundreds of times a second.
MAX_FALLBACK_RETRY_DELAY_S = 4.0


def new_read_state() -> StoreReadState:
    """Return the initial reading state, before the first read."""
    return StoreReadState(needs_snapshot=True, failures=0, last_read_at=float("-inf"), reads=0)


def next_read(reading: StoreReadState, copy: StoreCopy) -> StoreRead:
    """Return the next read: a snapshot, or the changes since the last revision."""
    if reading["needs_snapshot"]:
        return ReadSnapshot()
    # After a failure, a read does not wait for changes, since it may be lost as well.
    wait_s = 0.0 if reading["failures"] else MAX_WATCH_WAIT_S
    return ReadChanges(copy["revision"], wait_s)


def is_read_current(reading: StoreReadState, now: float) -> bool:
    """Return whether the last read of the store succeeded, and recently enough to rely on."""
    return reading["failures"] == 0 and now - reading["last_read_at"] <= MAX_READ_AGE_S


def read_age_s(reading: StoreReadState, now: float) -> float | None:
    """Return the time since the last successful read of the store, or None before the first."""
    return now - reading["last_read_at"] if reading["reads"] else None


def read_delay_s(reading: StoreReadState, role: StoreRole, random: Random, now: float) -> float:
    """Return the delay before the next read.

    A node that has just become a reader reads at once.
    """
    if reading["failures"] and role is StoreRole.FALLBACK and not reading["needs_snapshot"]:
        return random.uniform(MAX_FALLBACK_RETRY_DELAY_S / 2, MAX_FALLBACK_RETRY_DELAY_S)
    if reading["failures"]:
        longest_s = backoff_s(INITIAL_RETRY_DELAY_S, MAX_STORE_RETRY_DELAY_S, reading["failures"])
        return random.uniform(longest_s / 2, longest_s)
    if reading["needs_snapshot"]:
        return 0.0
    return max(0.0, WATCH_PAUSE_S - (now - reading["last_read_at"]))
