"""Counts that bound how often requests are sent to a second target."""

from enum import StrEnum
from typing import TypedDict


class Repeat(StrEnum):
    """Why an arrival at a target is beyond the first one of its request, if it is.

    ``INHERITED`` arrivals are calls of a run that is itself a repeat. ``OFFER`` and ``RUN``
    arrivals follow a send that did not run, or may have run.
    """

    NONE = "none"
    INHERITED = "inherited"
    OFFER = "offer"
    RUN = "run"


class RepeatState(TypedDict):
    """Arrivals at the own target in buckets of the budget's window, and the terms of the budget.

    ``extra`` is this target's share of the fixed part. ``wanted`` counts the repeats that important
    requests asked for, whether they were allowed or not.
    """

    firsts: dict[int, int]
    repeats: dict[int, int]
    wanted: dict[int, int]
    ratio: float
    window_s: float
    extra: float
