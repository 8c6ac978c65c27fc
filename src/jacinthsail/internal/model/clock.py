"""A node's own observation of time."""

from typing import TypedDict


class ClockState(TypedDict):
    """Last observations of the clocks, and how often trust was lost after a pause."""

    started_at: float
    started_at_ms: int
    last_seen: float
    pauses: int
