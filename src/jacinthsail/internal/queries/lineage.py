"""Gives a call that the own target makes the rank of the request that it is made for.

Every hop of a request chain then sheds by the same importance.
"""

from jacinthsail.internal.model.lineage import LineageState, RunningParent

# Even ranks are nested calls, which go before a new request of the same importance, because the
# work behind them is lost if they are refused.
RANKS_PER_PRIORITY = 2


def new_parent(request_id: str, ticket: int, rank: int, is_repeat: bool) -> RunningParent:
    """Return the entry of a request for which the target has made no call yet."""
    return RunningParent(
        request_id=request_id,
        ticket=ticket,
        rank=rank,
        is_repeat=is_repeat,
        calls=0,
        is_shed=False,
    )


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


def parent_of(lineage: LineageState, parent_id: str) -> RunningParent | None:
    """Return the request at the own target that a call names as its parent."""
    return lineage["running"].get(parent_id)


def rank_on_arrival(parent: RunningParent | None, priority: int) -> int:
    """Return the rank of a request that arrives from this VM."""
    if parent is None:
        return rank_of_new(priority)
    return rank_of_nested(parent["rank"])
