"""Tracks the requests in flight at the local target."""

from jacinthsail.internal.model.lineage import LineageState, ParentRequest


def add_parent(lineage: LineageState, parent: ParentRequest) -> None:
    """Add a request that is sent to the local target."""
    lineage["next_ticket"] = parent["ticket"] + 1
    lineage["running"][parent["request_id"]] = parent


def record_nested_call(parent: ParentRequest) -> None:
    """Count a nested call that the target makes for a request."""
    parent["calls"] += 1


def record_shed_call(parent: ParentRequest, lacks_room: bool) -> None:
    """Record that a nested call of a request was shed, and whether for lack of room."""
    parent["is_shed"] = True
    parent["lacks_room"] = parent["lacks_room"] or lacks_room


def record_parent_retry(parent: ParentRequest) -> None:
    """Record that a request is retried, so that its nested calls count as retries."""
    parent["is_retry"] = True


def remove_parent(lineage: LineageState, parent: ParentRequest) -> None:
    """Remove a request that left the local target, unless it was sent there again meanwhile."""
    if lineage["running"].get(parent["request_id"]) is parent:
        del lineage["running"][parent["request_id"]]
