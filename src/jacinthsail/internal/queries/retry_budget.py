"""Bounds repeats so that the sum over all nodes stays within the shared budget.

Nodes share no counters. All arrivals at a target pass the node beside it, so each of these nodes
counts the arrivals at its target and keeps its part of the budget. The sum over the targets of a
service then keeps the bound without any message, and the callers of a target share its part by
rank.
"""

from jacinthsail.internal.model.retry_budget import Repeat, RepeatState
from jacinthsail.internal.queries.lineage import priority_of_rank

BUCKETS_PER_WINDOW = 10

# Calls of repeated runs are never refused here, and requests move between the targets of a service
# while windows slide, so a part of the budget stays free for them.
USED_SHARE = 0.7

# A request that runs again makes its calls again, which count as repeats of the services behind, so
# repeats of such requests may use only this part. It covers failures of 2% of the requests.
RUN_SHARE = 0.12

# Requests up to this priority may use the whole budget. While more requests fail than the budget
# can mend, it is spent where it matters most.
LAST_IMPORTANT_PRIORITY = 1

# Part that other requests may use while no important one needs a repeat. The rest is for important
# ones at the beginning of a fault.
OTHER_SHARE = 0.6

# The rate at which important requests need repeats is taken over this many buckets.
RATE_BUCKETS = 2

# A target with few requests may still get a repeat in each window.
MIN_REPEATS = 1.0


def new_repeats() -> RepeatState:
    """Return the counts of a node that has just started; its budget is set when it is known."""
    return RepeatState(firsts={}, repeats={}, wanted={}, ratio=0.0, window_s=10.0, extra=0.0)


def bucket_of(repeats: RepeatState, now: float) -> int:
    """Return the number of the bucket that a time falls into."""
    return int(now * BUCKETS_PER_WINDOW / repeats["window_s"])


def is_within_budget(
    repeats: RepeatState, kind: Repeat, rank: int, multiplies: bool, now: float
) -> bool:
    """Tell whether one more arrival fits the budget; only new repeats are ever refused.

    ``multiplies`` tells that the target makes calls for such a request, which another run would
    make again.
    """
    if not is_new_repeat(kind):
        return True
    newest = bucket_of(repeats, now)
    sent = between(repeats["repeats"], newest - BUCKETS_PER_WINDOW, newest)
    usable = USED_SHARE * allowed_repeats(repeats, newest)
    if kind is Repeat.RUN and multiplies:
        return sent + 1 <= max(MIN_REPEATS, RUN_SHARE * usable)
    if is_important(rank):
        return sent + 1 <= max(MIN_REPEATS, usable)
    reserved = min(usable, reserved_repeats(repeats, newest))
    return sent + 1 <= min(usable - reserved, OTHER_SHARE * usable)


def is_new_repeat(kind: Repeat) -> bool:
    """Tell whether an arrival is a repeat that may be refused."""
    return kind is Repeat.OFFER or kind is Repeat.RUN


def is_important(rank: int) -> bool:
    """Tell whether a request may use the whole budget."""
    return priority_of_rank(rank) <= LAST_IMPORTANT_PRIORITY


def reserved_repeats(repeats: RepeatState, newest: int) -> float:
    """Return the repeats that important requests will need in a window at their present rate."""
    recent = between(repeats["wanted"], newest - RATE_BUCKETS + 1, newest)
    return recent * BUCKETS_PER_WINDOW / RATE_BUCKETS


def allowed_repeats(repeats: RepeatState, newest: int) -> float:
    """Return the repeats that the budget allows in the window that ends with a bucket.

    Requests are counted in that window, in the one before it or half a window before it, whichever
    has the most, so that repeats need not stop while a failing service gets fewer requests.
    """
    most = 0
    for shift in (0, BUCKETS_PER_WINDOW // 2, BUCKETS_PER_WINDOW):
        end = newest - shift
        most = max(most, between(repeats["firsts"], end - BUCKETS_PER_WINDOW + 1, end))
    return repeats["ratio"] * most + repeats["extra"]


def between(counts: dict[int, int], first: int, last: int) -> int:
    """Return the sum of the buckets from ``first`` to ``last``."""
    total = 0
    for bucket, count in counts.items():
        if first <= bucket <= last:
            total += count
    return total


def outdated_buckets(counts: dict[int, int], newest: int) -> tuple[int, ...]:
    """Return the buckets that no window reaches any more."""
    oldest = newest - 2 * BUCKETS_PER_WINDOW - 1
    return tuple(bucket for bucket in counts if bucket < oldest)
