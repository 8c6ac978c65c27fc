"""A node's own observation of time."""

from typing import NamedTuple, TypedDict


class ClockState(TypedDict):
    """Last observations of the clocks, and how often trust was lost after a pause."""

    started_at: float
    started_at_ms: int
    last_seen: float
    last_seen_ms: int
    pauses: int


class Awake(NamedTuple):
    """The process ran without a pause since the last observation."""


class Paused(NamedTuple):
    """The process, or its whole VM, stood still for about ``length_s``."""

    length_s: float


ClockDecision = Awake | Paused
