"""Counts arrivals at the own target for the budget of repeats."""

from jacinthsail.internal.model.retry_budget import Repeat, RepeatState
from jacinthsail.internal.queries.retry_budget import (
    bucket_of,
    is_important,
    is_new_repeat,
    outdated_buckets,
)


def record_arrival(repeats: RepeatState, kind: Repeat, now: float) -> None:
    """Count a request that was offered to the target."""
    _count(
        repeats["firsts"] if kind is Repeat.NONE else repeats["repeats"], bucket_of(repeats, now)
    )


def record_demand(repeats: RepeatState, kind: Repeat, rank: int, now: float) -> None:
    """Count a repeat that an important request asks for."""
    if is_new_repeat(kind) and is_important(rank):
        _count(repeats["wanted"], bucket_of(repeats, now))


def _count(counts: dict[int, int], bucket: int) -> None:
    if bucket not in counts:
        for outdated in outdated_buckets(counts, bucket):
            del counts[outdated]
    counts[bucket] = counts.get(bucket, 0) + 1


def set_budget(repeats: RepeatState, ratio: float, window_s: float, extra: float) -> None:
    """Set the terms of the budget; ``extra`` is this target's share of the fixed part."""
    repeats["ratio"] = ratio
    repeats["window_s"] = window_s
    repeats["extra"] = extra
