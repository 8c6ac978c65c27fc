"""Decides what a node reads from the platform's store, and when."""

from random import Random

from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import ReadChanges, ReadingState, ReadListing, StoreRead

# Entries change with every heartbeat of a target, so a watch that is renewed at once would be
# answered many times a second. Changes must be in force within 2 s.
WATCH_PAUSE_S = 0.4

# A watch is answered within this time even if nothing changes. A store that goes silent is noticed
# only when that time is over, and changes must be in force within 2 s of its return.
WATCH_WAIT_S = 1.4

# Pause after a failed read; all nodes return together after an outage, hence the jitter.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.5


def new_reading() -> ReadingState:
    """Return the state of a node that has read nothing yet."""
    return ReadingState(needs_listing=True, failures=0, last_read_at=float("-inf"), reads=0)


def next_read(reading: ReadingState, fleet: FleetState) -> StoreRead:
    """Return what is read next."""
    if reading["needs_listing"]:
        return ReadListing()
    # A read that may be lost again must not wait for changes.
    wait_s = 0.0 if reading["failures"] else WATCH_WAIT_S
    return ReadChanges(fleet["revision"], wait_s)


def pause_before_read_s(reading: ReadingState, random: Random) -> float:
    """Return how long to wait before the next read."""
    if reading["failures"]:
        longest_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2.0 ** (reading["failures"] - 1))
        return random.uniform(longest_s / 2, longest_s)
    return 0.0 if reading["needs_listing"] else WATCH_PAUSE_S
