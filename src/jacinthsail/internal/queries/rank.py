"""Computes the rank of a request, which decides the order of load shedding: lowest rank first."""

import xxhash

# Number of ranks within one importance level, so that a threshold can shed part of a level.
RANKS_PER_IMPORTANCE = 128

MAX_IMPORTANCE = 7


def request_rank(importance: int, request_id: str) -> int:
    """Return the rank that a request keeps through its whole call chain.

    Importance is the leading part, so a less important call never outranks a more important one.
    The rest is a hash of the request id, so that all nodes shed the same part of a level:

        >>> request_rank(3, "a") // RANKS_PER_IMPORTANCE
        3
    """
    position: int = xxhash.xxh32_intdigest(request_id.encode()) % RANKS_PER_IMPORTANCE
    return importance * RANKS_PER_IMPORTANCE + position
