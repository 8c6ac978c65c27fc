"""Gives a call that the own target makes the rank of the request that it is made for.

A nested call brings nothing of its parent but the parent's deadline. It is matched with the request
at the own target whose deadline is nearest, so that every hop of a request chain sheds by the same
importance. A wrong match only changes an order.
"""

from bisect import bisect_left

from jacinthsail.internal.model.lineage import LineageState, RunningParent

# Deadlines travel in whole milliseconds, and each hop through an event loop adds some.
DEADLINE_TOLERANCE_S = 0.02

# Even ranks are nested calls, which go before a new request of the same importance, because the
# work behind them is lost if they are refused.
RANKS_PER_PRIORITY = 2


def rank_of_new(priority: int) -> int:
    """Return the rank of a request that no other one caused.

    >>> rank_of_new(0), rank_of_new(2)
    (1, 5)
    """
    return priority * RANKS_PER_PRIORITY + 1


def rank_of_nested(parent_rank: int) -> int:
    """Return the rank of a call made for a request.

    >>> rank_of_nested(5), rank_of_nested(4)
    (4, 4)
    """
    return parent_rank - parent_rank % RANKS_PER_PRIORITY


def priority_of_rank(rank: int) -> int:
    """Return the priority that a rank stands for."""
    return rank // RANKS_PER_PRIORITY


def parent_of(lineage: LineageState, time_left_s: float | None, now: float) -> RunningParent | None:
    """Return the request at the own target that a call with this time left is made for.

    The time left is the one that the call states. The time-out of the call's own route may be
    shorter and says nothing of the parent.
    """
    if time_left_s is None:
        return None
    deadline = now + time_left_s
    running = lineage["running"]
    place = bisect_left(running, (deadline,))
    nearest = None
    for candidate in running[max(0, place - 1) : place + 1]:
        distance_s = abs(candidate.deadline - deadline)
        if distance_s > DEADLINE_TOLERANCE_S:
            continue
        if nearest is None or distance_s < abs(nearest.deadline - deadline):
            nearest = candidate
    return nearest


def rank_on_arrival(parent: RunningParent | None, priority: int) -> int:
    """Return the rank of a request that arrives from this VM."""
    if parent is None:
        return rank_of_new(priority)
    return rank_of_nested(parent.rank)
