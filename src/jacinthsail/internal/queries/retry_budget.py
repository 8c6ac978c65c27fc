"""Limits retries so that the sum over all nodes stays within the shared retry budget.

Nodes share no counters. All attempts at a target pass through the node beside it, so this node
counts them and enforces the target's part of the budget. The sum over the targets of a service then
stays within the budget without any messages, and the callers of a target share its part by rank.
"""

from jacinthsail.internal.model.retry_budget import RetryKind, TargetRetryBudget
from jacinthsail.internal.queries.lineage import priority_of_rank

BUCKETS_PER_WINDOW = 10

# Nested calls of a retried request are never refused here, and requests move between the targets of
# a service while windows slide, so a part of the budget is kept free for both.
USABLE_SHARE = 0.7

# A retry after a possible execution makes all nested calls again, which count as retries at the
# downstream services, so such retries may use only this part. It covers failures of 2% of the
# requests.
MULTIPLYING_RETRY_SHARE = 0.12

# Requests up to this priority may use the whole budget. While more requests fail than the budget
# covers, it is spent on the most important ones.
LAST_IMPORTANT_PRIORITY = 1

# Part that other requests may use while no important one needs a retry. The rest is reserved for
# important ones at the beginning of a fault.
UNIMPORTANT_SHARE = 0.6

# The rate at which important requests need retries is measured over this many buckets.
RATE_BUCKETS = 2

# A target with few requests may still receive one retry per window.
MIN_RETRIES = 1.0


def new_retry_budget() -> TargetRetryBudget:
    """Return the initial counts; the ratio is 0 until the retry budget is known."""
    return TargetRetryBudget(
        first_attempts={}, retries={}, retry_demand={}, ratio=0.0, window_s=10.0, extra=0.0
    )


def bucket_of(retry_budget: TargetRetryBudget, now: float) -> int:
    """Return the number of the bucket that contains a time."""
    return int(now * BUCKETS_PER_WINDOW / retry_budget["window_s"])


def is_within_retry_budget(
    retry_budget: TargetRetryBudget, kind: RetryKind, rank: int, multiplies: bool, now: float
) -> bool:
    """Return whether one more attempt is within the budget; only retries are ever refused.

    ``multiplies`` is set if the target makes nested calls for such a request, which a retry would
    make again.
    """
    if not is_refusable_retry(kind):
        return True
    newest = bucket_of(retry_budget, now)
    used = sum_buckets(retry_budget["retries"], newest - BUCKETS_PER_WINDOW, newest)
    usable = USABLE_SHARE * allowed_retries(retry_budget, newest)
    if kind is RetryKind.POSSIBLY_EXECUTED and multiplies:
        return used + 1 <= max(MIN_RETRIES, MULTIPLYING_RETRY_SHARE * usable)
    if may_use_whole_budget(rank):
        return used + 1 <= max(MIN_RETRIES, usable)
    reserved = min(usable, reserved_retries(retry_budget, newest))
    return used + 1 <= min(usable - reserved, UNIMPORTANT_SHARE * usable)


def is_refusable_retry(kind: RetryKind) -> bool:
    """Return whether an attempt is itself a retry; nested calls of a retry are never refused."""
    return kind is RetryKind.NOT_EXECUTED or kind is RetryKind.POSSIBLY_EXECUTED


def may_use_whole_budget(rank: int) -> bool:
    """Return whether the importance of a request entitles it to the whole budget."""
    return priority_of_rank(rank) <= LAST_IMPORTANT_PRIORITY


def reserved_retries(retry_budget: TargetRetryBudget, newest: int) -> float:
    """Return the retries that important requests will need in a window at their present rate."""
    recent = sum_buckets(retry_budget["retry_demand"], newest - RATE_BUCKETS + 1, newest)
    return recent * BUCKETS_PER_WINDOW / RATE_BUCKETS


def allowed_retries(retry_budget: TargetRetryBudget, newest: int) -> float:
    """Return the retries that the budget allows in the window that ends with bucket ``newest``.

    Requests are counted in that window, half a window earlier and a whole window earlier, and the
    highest count is used, so that retries remain possible while a failing service receives fewer
    requests.
    """
    most = 0
    for shift in (0, BUCKETS_PER_WINDOW // 2, BUCKETS_PER_WINDOW):
        end = newest - shift
        most = max(
            most, sum_buckets(retry_budget["first_attempts"], end - BUCKETS_PER_WINDOW + 1, end)
        )
    return retry_budget["ratio"] * most + retry_budget["extra"]


def sum_buckets(counts: dict[int, int], first: int, last: int) -> int:
    """Return the sum of the buckets from ``first`` to ``last``."""
    total = 0
    for bucket, count in counts.items():
        if first <= bucket <= last:
            total += count
    return total


def outdated_buckets(counts: dict[int, int], newest: int) -> tuple[int, ...]:
    """Return the buckets that no window includes any longer."""
    oldest = newest - 2 * BUCKETS_PER_WINDOW - 1
    return tuple(bucket for bucket in counts if bucket < oldest)
