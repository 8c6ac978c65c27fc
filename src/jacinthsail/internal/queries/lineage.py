"""Derives the rank of a call made by the local target from the rank of its parent request.

Every hop of a request chain then sheds load by the same importance. A lower rank here means greater
importance, unlike the ranks of ``queries.rank``, where a higher one does.
"""

from jacinthsail.internal.model.lineage import LineageState, ParentRequest

# Even ranks are nested calls. They precede new requests of the same importance, because the work
# already done for them is lost if they are refused.
RANKS_PER_PRIORITY = 2


def new_parent(
    request_id: str, ticket: int, rank: int, is_retry: bool, admitted_share: float = 1.0
) -> ParentRequest:
    """Return the entry of a request for which the target has made no nested call yet."""
    return ParentRequest(
        request_id=request_id,
        ticket=ticket,
        rank=rank,
        is_retry=is_retry,
        calls=0,
        is_shed=False,
        lacks_room=False,
        admitted_share=admitted_share,
    )


def new_request_rank(priority: int) -> int:
    """Return the rank of a request that has no parent request.

    >>> new_request_rank(0), new_request_rank(2)
    (1, 5)
    """
    return priority * RANKS_PER_PRIORITY + 1


def nested_call_rank(parent_rank: int) -> int:
    """Return the rank of a nested call, given the rank of its parent request.

    >>> nested_call_rank(5), nested_call_rank(4)
    (4, 4)
    """
    return parent_rank - parent_rank % RANKS_PER_PRIORITY


def priority_of_rank(rank: int) -> int:
    """Return the priority from which a rank was derived."""
    return rank // RANKS_PER_PRIORITY


def find_parent(lineage: LineageState, parent_id: str) -> ParentRequest | None:
    """Return the request at the local target that a call names as its parent, or None."""
    return lineage["running"].get(parent_id)


def arrival_rank(parent: ParentRequest | None, priority: int) -> int:
    """Return the rank of a request that arrives from this VM, with or without a parent request."""
    if parent is None:
        return new_request_rank(priority)
    return nested_call_rank(parent["rank"])
