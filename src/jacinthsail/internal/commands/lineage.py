"""Keeps the requests that run at the own target."""

from bisect import bisect_left, insort

from jacinthsail.internal.model.lineage import LineageState, RunningParent


def add_parent(lineage: LineageState, parent: RunningParent) -> None:
    """Remember a request that was sent to the own target."""
    lineage["next_ticket"] = parent.ticket + 1
    insort(lineage["running"], parent)


def remove_parent(lineage: LineageState, parent: RunningParent) -> None:
    """Forget a request that left the own target."""
    running = lineage["running"]
    place = bisect_left(running, parent)
    if place < len(running) and running[place] == parent:
        del running[place]
