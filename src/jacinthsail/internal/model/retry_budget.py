"""Counts that bound the retries of requests at the local target."""

from enum import StrEnum
from typing import TypedDict


class RetryKind(StrEnum):
    """Whether an attempt at a target is a retry, and of what kind.

    ``INHERITED`` marks nested calls of a request that is itself a retry. ``NOT_EXECUTED`` marks a
    retry after an attempt that was not executed, ``POSSIBLY_EXECUTED`` one after an attempt that
    may have been.
    """

    NONE = "none"
    INHERITED = "inherited"
    NOT_EXECUTED = "offer"
    POSSIBLY_EXECUTED = "run"


class TargetRetryBudget(TypedDict):
    """Attempts at the local target in buckets of the budget's window, and the budget's settings.

    ``extra`` is this target's share of the fixed part. ``retry_demand`` counts the retries that
    important requests needed, whether they were allowed or not.
    """

    first_attempts: dict[int, int]
    retries: dict[int, int]
    retry_demand: dict[int, int]
    ratio: float
    window_s: float
    extra: float
