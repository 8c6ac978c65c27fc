"""A node's observations of its clocks, from which it detects pauses of the process."""

from typing import NamedTuple, TypedDict


class ClockState(TypedDict):
    """The readings of the clocks at the start and last, and the number of pauses detected so far.

    Times in milliseconds are readings of the wall clock, times in seconds of the monotonic clock.
    """

    started_at: float
    started_at_ms: int
    last_seen: float
    last_seen_ms: int
    pauses: int


class NoPause(NamedTuple):
    """The process has run without a pause since the last observation."""


class Paused(NamedTuple):
    """The process, or its whole VM, was suspended for about ``length_s``."""

    length_s: float


ClockDecision = NoPause | Paused
