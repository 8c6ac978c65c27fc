"""Builds the status page that a node shows to operators."""

from typing import TypedDict

from jacinthsail.errors import ConfigurationError, Conflict, describe
from jacinthsail.internal.model.peers import TrafficState
from jacinthsail.internal.model.replication import StoreState
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.limits import current_limit
from jacinthsail.internal.queries.membership import is_watcher
from jacinthsail.internal.queries.replication import reasons_not_ready


class SectionStatus(TypedDict):
    """The version in force of one section, and the newer one that was rejected, if any.

    A section without a version in force has version 0.
    """

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
    not_ready_because: list[str]
    draining: bool
    sections: dict[str, SectionStatus]
    vm_lists: dict[str, int]
    as_of_ms: int
    confirmed_s_ago: float
    changed_at: float
    platform_stale: bool
    platform_reads: int
    is_watcher: bool
    control_bytes: dict[str, TrafficState]
    in_flight: int
    queued: int
    limit: int
    threshold: int
    peers: int
    pauses: int


def node_status(state: NodeState, now: float) -> NodeStatus:
    """Return the status page of a node."""
    settings = state["settings"]
    admission = state["admission"]
    store = state["store"]
    reasons = reasons_not_ready(state, now)
    return {
        "vm": settings.vm,
        "incarnation": state["ledger"]["incarnation"],
        "failure_domain": settings.failure_domain,
        "service": settings.service,
        "ready": not reasons,
        "not_ready_because": reasons,
        "draining": admission["draining"],
        "sections": _sections(state),
        "vm_lists": {name: vm_list.version for name, vm_list in store["vm_lists"].items()},
        "as_of_ms": store["as_of_ms"],
        "confirmed_s_ago": now - store["confirmed_at"],
        "changed_at": store["changed_at"],
        "platform_stale": state["platform"]["stale"],
        "platform_reads": state["platform"]["reads"],
        "is_watcher": is_watcher(store, settings),
        "control_bytes": {
            distance.value: traffic for distance, traffic in state["control"].items()
        },
        "in_flight": len(admission["in_flight"]),
        "queued": len(admission["queue"]),
        "limit": current_limit(admission["limiter"]),
        "threshold": admission["threshold"],
        "peers": len(state["peers"]),
        "pauses": state["clock"]["pauses"],
    }


def _sections(state: NodeState) -> dict[str, SectionStatus]:
    statuses: dict[str, SectionStatus] = {}
    store = state["store"]
    for name in sorted({*store["sections"], *store["rejected"]}):
        section = store["sections"].get(name)
        rejected = store["rejected"].get(name)
        errors = [*rejected.errors] if rejected else []
        errors += section_conflicts(store, name)
        statuses[name] = {
            "version": section.version if section else 0,
            "owner": section.owner if section else "",
            "rejected_version": rejected.version if rejected else None,
            "errors": [describe(error) for error in errors],
        }
    return statuses


def section_conflicts(store: StoreState, name: str) -> list[ConfigurationError]:
    """Return an error for each service of a section that is in force from another section."""
    section = store["sections"].get(name)
    errors: list[ConfigurationError] = []
    if section is None:
        return errors
    for service in section.services:
        in_force = store["services"][service]
        if in_force.section == name:
            continue
        detail = f"{in_force.section} describes the same service and is in force"
        remedy = "remove the service from one of the two sections"
        errors.append(Conflict(name, f"services.{service}", detail, remedy))
    return errors
