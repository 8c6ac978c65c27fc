"""Counts sends for the budget of repeats."""

from jacinthsail.internal.model.repeats import RepeatCounts, RepeatState
from jacinthsail.internal.queries.repeats import BUCKETS_PER_WINDOW, bucket_of, outdated_buckets


def record_first(repeats: RepeatState, service: str, now: float) -> None:
    """Count the first send of a request."""
    counts = repeats["by_service"].setdefault(service, RepeatCounts(firsts={}, repeats={}))
    bucket = bucket_of(repeats, now)
    if bucket not in counts["firsts"]:
        drop_outdated(counts, bucket - BUCKETS_PER_WINDOW)
    counts["firsts"][bucket] = counts["firsts"].get(bucket, 0) + 1


def record_repeat(repeats: RepeatState, service: str, now: float) -> None:
    """Count one more send of a request that was sent before."""
    counts = repeats["by_service"].setdefault(service, RepeatCounts(firsts={}, repeats={}))
    bucket = bucket_of(repeats, now)
    counts["repeats"][bucket] = counts["repeats"].get(bucket, 0) + 1


def drop_outdated(counts: RepeatCounts, oldest: int) -> None:
    """Forget buckets that no window reaches any more."""
    for bucket in outdated_buckets(counts, oldest):
        counts["firsts"].pop(bucket, None)
        counts["repeats"].pop(bucket, None)


def set_budget(repeats: RepeatState, ratio: float, window_s: float, extra: float) -> None:
    """Set the terms of the budget; ``extra`` is this node's share of the fixed part."""
    repeats["ratio"] = ratio
    repeats["window_s"] = window_s
    repeats["extra"] = extra
