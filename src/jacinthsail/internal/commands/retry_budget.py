"""Counts attempts at the local target for its retry budget."""

from jacinthsail.internal.model.retry_budget import RetryKind, TargetRetryBudget
from jacinthsail.internal.queries.retry_budget import (
    bucket_of,
    is_refusable_retry,
    may_use_whole_budget,
    outdated_buckets,
)


def record_attempt(budget: TargetRetryBudget, kind: RetryKind, now: float) -> None:
    """Count an attempt that was sent to the target."""
    _count(
        budget["first_attempts"] if kind is RetryKind.NONE else budget["retries"],
        bucket_of(budget, now),
    )


def record_retry_demand(budget: TargetRetryBudget, kind: RetryKind, rank: int, now: float) -> None:
    """Count a retry that an important request needs."""
    if is_refusable_retry(kind) and may_use_whole_budget(rank):
        _count(budget["retry_demand"], bucket_of(budget, now))


def _count(counts: dict[int, int], bucket: int) -> None:
    if bucket not in counts:
        for outdated in outdated_buckets(counts, bucket):
            del counts[outdated]
    counts[bucket] = counts.get(bucket, 0) + 1


def set_budget(budget: TargetRetryBudget, ratio: float, window_s: float, extra: float) -> None:
    """Set the bounds of the budget; ``extra`` is this target's share of the fixed part."""
    budget["ratio"] = ratio
    budget["window_s"] = window_s
    budget["extra"] = extra
