"""Memory that a process holds for its clients and peers."""

from typing import NamedTuple, TypedDict


class MemoryLimits(NamedTuple):
    """What a process may use: bytes of memory, and descriptors for sockets."""

    memory_bytes: int
    max_sockets: int


class HeldMemory(TypedDict):
    """Bytes held for one kind of connection, and the most that may be held.

    ``evicted`` counts the connections that were closed to stay within it.
    """

    limit: int
    held: int
    evicted: int


class ParsingBudget(TypedDict):
    """Pieces of bodies that may be parsed before connections wait; negative if overdrawn."""

    pieces: float
    filled_at: float


class HolderView(NamedTuple):
    """What one connection holds: the part of a request that it has sent, and unread responses."""

    incomplete_bytes: int
    unread_bytes: int
