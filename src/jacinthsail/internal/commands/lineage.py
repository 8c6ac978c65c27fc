"""Keeps the requests that run at the own target."""

from jacinthsail.internal.model.lineage import LineageState, RunningParent


def add_parent(lineage: LineageState, parent: RunningParent) -> None:
    """Remember a request that was sent to the own target."""
    lineage["next_ticket"] = parent.ticket + 1
    lineage["running"][parent.request_id] = parent


def remove_parent(lineage: LineageState, parent: RunningParent) -> None:
    """Forget a request that left the own target, unless it was sent there again meanwhile."""
    if lineage["running"].get(parent.request_id) == parent:
        del lineage["running"][parent.request_id]
