"""Counts that bound how often requests are sent to a second target."""

from typing import TypedDict


class RepeatCounts(TypedDict):
    """First sends and repeats to one service, each in buckets of the budget's window."""

    firsts: dict[int, int]
    repeats: dict[int, int]


class RepeatState(TypedDict):
    """What this node has sent, by service, and the terms of the budget that all nodes share."""

    by_service: dict[str, RepeatCounts]
    ratio: float
    window_s: float
    extra: float
