"""Changes to the memory that a process holds for its clients and peers."""

from jacinthsail.internal.model.held_memory import HeldMemory, ParsingBudget
from jacinthsail.internal.queries.held_memory import pieces_left


def spend_pieces(budget: ParsingBudget, pieces: int, now: float) -> None:
    """Count parsed pieces of bodies; the budget may be overdrawn."""
    budget["pieces"] = pieces_left(budget, now) - pieces
    budget["filled_at"] = now


def hold(memory: HeldMemory, change: int) -> None:
    """Count bytes that are held from now on, or no longer if the change is negative."""
    memory["held"] += change


def record_eviction(memory: HeldMemory) -> None:
    """Count a connection that was closed because too much is held."""
    memory["evicted"] += 1
