"""Bounds repeats so that the sum over all nodes stays within the shared budget.

Nodes share no counters. Each spends a part of what its own first sends allow, and its share of the
fixed part, so that the sum over all nodes keeps the bound without any message.
"""

from jacinthsail.internal.model.repeats import RepeatCounts, RepeatState
from jacinthsail.internal.queries.lineage import priority_of_rank

BUCKETS_PER_WINDOW = 10

# Shares of the budget that this node's own counts may use. A request that runs again makes its
# calls again, which count as repeats of the services behind, so its share is the smaller one.
REPEATED_RUN_SHARE = 0.25
REPEATED_OFFER_SHARE = 0.4

# A node with few requests may still repeat one in each window.
MIN_REPEATS = 1.0

# Part of a share that requests of each priority may use; the last one holds for all others. While
# there are more failures than the budget can mend, it is spent where it matters most.
SHARE_OF_PRIORITY = (1.0, 0.75, 0.4)


def bucket_of(repeats: RepeatState, now: float) -> int:
    """Return the number of the bucket that a time falls into."""
    return int(now * BUCKETS_PER_WINDOW / repeats["window_s"])


def may_repeat(repeats: RepeatState, service: str, rank: int, share: float, now: float) -> bool:
    """Tell whether one more repeat to a service fits the budget."""
    counts = repeats["by_service"].get(service)
    if counts is None:
        return False
    oldest = bucket_of(repeats, now) - BUCKETS_PER_WINDOW
    allowed = repeats["ratio"] * recent(counts["firsts"], oldest) + repeats["extra"]
    place = min(priority_of_rank(rank), len(SHARE_OF_PRIORITY) - 1)
    bound = allowed * share * SHARE_OF_PRIORITY[place]
    return recent(counts["repeats"], oldest) + 1 <= max(MIN_REPEATS, bound)


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
