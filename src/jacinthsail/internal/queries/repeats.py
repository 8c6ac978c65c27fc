"""Bounds repeats so that the sum over all nodes stays within the shared budget.

Nodes share no counters. Each spends a part of what its own first sends allow, and its share of the
fixed part, so that the sum over all nodes keeps the bound without any message.
"""

from jacinthsail.internal.model.repeats import RepeatCounts, RepeatState

BUCKETS_PER_WINDOW = 10

# Share of the budget that this node's own counts may use. Calls that a repeated request makes again
# count as repeats of the services behind, so most of the budget is left to them.
OWN_SHARE = 0.4


def bucket_of(repeats: RepeatState, now: float) -> int:
    """Return the number of the bucket that a time falls into."""
    return int(now * BUCKETS_PER_WINDOW / repeats["window_s"])


def may_repeat(repeats: RepeatState, service: str, now: float) -> bool:
    """Tell whether one more repeat to a service fits the budget."""
    counts = repeats["by_service"].get(service)
    if counts is None:
        return False
    oldest = bucket_of(repeats, now) - BUCKETS_PER_WINDOW
    allowed = OWN_SHARE * (repeats["ratio"] * recent(counts["firsts"], oldest) + repeats["extra"])
    return recent(counts["repeats"], oldest) + 1 <= max(1.0, allowed)


def recent(counts: dict[int, int], oldest: int) -> int:
    """Return the sum of the buckets that are not older than ``oldest``."""
    total = 0
    for bucket, count in counts.items():
        if bucket < oldest:
            continue
        total += count
    return total


def outdated_buckets(counts: RepeatCounts, oldest: int) -> tuple[int, ...]:
    """Return the buckets that no window reaches any more."""
    old = [bucket for bucket in counts["firsts"] if bucket < oldest]
    old += [bucket for bucket in counts["repeats"] if bucket < oldest]
    return tuple(old)
