"""Changes to the memory that a process holds for its clients and peers."""

from jacinthsail.internal.model.held_memory import HeldMemory


def hold(memory: HeldMemory, change: int) -> None:
    """Count bytes that are held from now on, or no longer if the change is negative."""
    memory["held"] += change


def record_eviction(memory: HeldMemory) -> None:
    """Count a connection that was closed because too much is held."""
    memory["evicted"] += 1
