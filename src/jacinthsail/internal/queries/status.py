"""What a node reports of itself to operators."""

from typing import TypedDict

from jacinthsail.errors import describe
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.limits import limit_of


class SectionStatus(TypedDict):
    """The version in force of one section, and the newer one that was rejected, if any."""

    version: int
    owner: str
    rejected_version: int | None
    errors: list[str]


class NodeStatus(TypedDict):
    """The status page of a node."""

    vm: str
    incarnation: str
    failure_domain: str
    service: str
    ready: bool
    draining: bool
    sections: dict[str, SectionStatus]
    vm_lists: dict[str, int]
    as_of_ms: int
    in_flight: int
    queued: int
    limit: int
    threshold: int
    peers: int
    pauses: int


def node_status(state: NodeState) -> NodeStatus:
    """Return the status page of a node."""
    settings = state["settings"]
    admission = state["admission"]
    store = state["store"]
    return {
        "vm": settings.vm,
        "incarnation": state["ledger"]["incarnation"],
        "failure_domain": settings.failure_domain,
        "service": settings.service,
        "ready": bool(store["sections"]) and bool(store["vm_lists"]),
        "draining": admission["draining"],
        "sections": _sections(state),
        "vm_lists": {name: vm_list.version for name, vm_list in store["vm_lists"].items()},
        "as_of_ms": store["as_of_ms"],
        "in_flight": len(admission["in_flight"]),
        "queued": len(admission["queue"]),
        "limit": limit_of(admission["limiter"]),
        "threshold": admission["threshold"],
        "peers": len(state["peers"]),
        "pauses": state["clock"]["pauses"],
    }


def _sections(state: NodeState) -> dict[str, SectionStatus]:
    statuses: dict[str, SectionStatus] = {}
    store = state["store"]
    for name, section in store["sections"].items():
        rejected = store["rejected"].get(name)
        statuses[name] = {
            "version": section.version,
            "owner": section.owner,
            "rejected_version": rejected.version if rejected else None,
            "errors": [describe(error) for error in rejected.errors] if rejected else [],
        }
    return statuses
