"""Decides what is given up when clients hold more memory than the process can spare.

The load it answers: a crowd of clients that send large or odd requests and never finish them, or
never read the responses, while ordinary callers go on.
"""

from collections.abc import Iterable
from enum import StrEnum

from jacinthsail.internal.model.held_memory import (
    HeldMemory,
    HolderView,
    MemoryLimits,
    ParsingBudget,
)

# Parts of the memory of a VM. What is held for a request is copied up to twice on its way.
CALLERS_SHARE = 0.20
PEERS_SHARE = 0.12

# Parts of the sockets that callers and peers may use; the others are for the target and the store.
CALLER_SOCKETS_SHARE = 0.6
PEER_SOCKETS_SHARE = 0.3

# Cost of the objects for one header line, apart from its bytes.
HEADER_OBJECT_BYTES = 160

# Requests up to this size are taken while larger ones are refused.
SMALL_REQUEST_BYTES = 16 * 1024
SMALL_REQUESTS_FACTOR = 1.25

# Bytes of chunk sizes and line ends that a body may have for each of its own; the smallest chunk
# has five.
FRAMING_PER_BODY_BYTE = 8

RETRY_AFTER_EVICTION_S = 1.0

# Each chunk of a body costs about 1 us, whatever its size. All callers together may send this many
# in a second, about a tenth of a core, and as many at once.
PIECES_PER_S = 100_000.0

# A connection whose pieces exceed the budget waits for its turn, but not longer than this.
MAX_PARSING_PAUSE_S = 2.0


class Holding(StrEnum):
    """What a connection is closed for."""

    INCOMPLETE_REQUEST = "incomplete-request"
    UNREAD_RESPONSES = "unread-responses"


def new_held_memory(limits: MemoryLimits, share: float) -> HeldMemory:
    """Return the empty account of a part of the memory."""
    return HeldMemory(limit=int(limits.memory_bytes * share), held=0, evicted=0)


def is_exceeded(memory: HeldMemory) -> bool:
    """Return whether more is held than may be."""
    return memory["held"] > memory["limit"]


def may_take_request(memory: HeldMemory, request_bytes: int) -> bool:
    """Return whether a complete request may be served, given that its bytes are counted already."""
    if not is_exceeded(memory):
        return True
    if request_bytes > SMALL_REQUEST_BYTES:
        return False
    return memory["held"] <= memory["limit"] * SMALL_REQUESTS_FACTOR


def may_send_framing(framing_bytes: int, body_bytes: int, max_header_bytes: int) -> bool:
    """Return whether the bytes that a request has sent outside of its head and body are usual."""
    return framing_bytes <= max_header_bytes + FRAMING_PER_BODY_BYTE * body_bytes


def choose_eviction(views: Iterable[HolderView]) -> tuple[int, Holding] | None:
    """Return the position of the connection to give up, and for what, or None if none holds much.

    A request that has not been read costs its caller least, so the largest of them goes first. A
    caller that does not read its responses comes next.

        >>> choose_eviction([HolderView(9, 0), HolderView(0, 70_000), HolderView(50_000, 0)])
        (2, <Holding.INCOMPLETE_REQUEST: 'incomplete-request'>)
    """
    largest: tuple[int, int] | None = None
    most_unread: tuple[int, int] | None = None
    for position, view in enumerate(views):
        if view.incomplete_bytes and (largest is None or view.incomplete_bytes > largest[0]):
            largest = (view.incomplete_bytes, position)
        if view.unread_bytes and (most_unread is None or view.unread_bytes > most_unread[0]):
            most_unread = (view.unread_bytes, position)
    if largest is not None and largest[0] > SMALL_REQUEST_BYTES:
        return largest[1], Holding.INCOMPLETE_REQUEST
    if most_unread is not None and most_unread[0] > SMALL_REQUEST_BYTES:
        return most_unread[1], Holding.UNREAD_RESPONSES
    if largest is not None:
        return largest[1], Holding.INCOMPLETE_REQUEST
    return None


def new_parsing_budget(now: float) -> ParsingBudget:
    """Return a full budget."""
    return ParsingBudget(pieces=PIECES_PER_S, filled_at=now)


def pieces_left(budget: ParsingBudget, now: float) -> float:
    """Return how many more pieces may be parsed now."""
    filled = budget["pieces"] + PIECES_PER_S * max(0.0, now - budget["filled_at"])
    return min(PIECES_PER_S, filled)


def parsing_pause_s(budget: ParsingBudget, now: float) -> float:
    """Return how long a connection that has sent many pieces must wait before it is read again."""
    return min(MAX_PARSING_PAUSE_S, max(0.0, -pieces_left(budget, now) / PIECES_PER_S))


def max_caller_connections(limits: MemoryLimits) -> int:
    """Return how many connections callers may have open."""
    return max(1, int(limits.max_sockets * CALLER_SOCKETS_SHARE))


def max_peer_connections(limits: MemoryLimits) -> int:
    """Return how many connections from peers may be open; each peer opens up to two."""
    return max(1, int(limits.max_sockets * PEER_SOCKETS_SHARE))
