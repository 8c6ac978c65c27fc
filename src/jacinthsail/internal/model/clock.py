"""A node's observations of its clocks, from which it detects pauses of the process."""

from typing import NamedTuple, TypedDict


class ClockState(TypedDict):
    """The last readings of the clocks, and the number of pauses detected so far."""

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
