"""Keeps the requests that run at the own target."""

from jacinthsail.internal.model.lineage import LineageState, RunningParent


def add_parent(lineage: LineageState, parent: RunningParent) -> None:
    """Remember a request that is sent to the own target."""
    lineage["next_ticket"] = parent["ticket"] + 1
    lineage["running"][parent["request_id"]] = parent


def record_nested_call(parent: RunningParent) -> None:
    """Count a call that the target makes for a request."""
    parent["calls"] += 1


def record_shed_call(parent: RunningParent) -> None:
    """Remember that a call made for a request was refused for want of room further on."""
    parent["is_shed"] = True


def record_repeated_run(parent: RunningParent) -> None:
    """Remember that a request runs once more, so that its calls count as repeats."""
    parent["is_repeat"] = True


def remove_parent(lineage: LineageState, parent: RunningParent) -> None:
    """Forget a request that left the own target, unless it was sent there again meanwhile."""
    if lineage["running"].get(parent["request_id"]) is parent:
        del lineage["running"][parent["request_id"]]
