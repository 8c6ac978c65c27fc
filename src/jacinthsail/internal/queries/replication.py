"""Decides whether a copy of a published item replaces what is in force."""

from returns.result import Failure, Success

from jacinthsail.internal.model.messages import Heartbeat
from jacinthsail.internal.model.replication import (
    Item,
    ItemDecision,
    NewSection,
    NewVmList,
    Rejected,
    StoreState,
    Superseded,
)
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import advertised_threshold
from jacinthsail.internal.queries.documents import parse_section
from jacinthsail.internal.queries.vm_lists import parse_vm_list

SECTION_PREFIX = "section/"
VM_LIST_PREFIX = "vms/"


def decide_item(store: StoreState, item: Item, as_of_ms: int) -> ItemDecision:
    """Return what to do with a copy of an item, from the platform or from a peer.

    Versions only go up, whoever brings the copy, so neither a stale platform nor a peer that slept
    takes a node back.
    """
    if item.version <= store["newest_seen"].get(item.name, 0):
        return Superseded(item)
    if item.name.startswith(VM_LIST_PREFIX):
        match parse_vm_list(item.name, item.version, as_of_ms, item.body):
            case Success(vm_list):
                return NewVmList(item, vm_list)
            case Failure(error):
                return Rejected(item, (error,))
    name = item.name.removeprefix(SECTION_PREFIX)
    match parse_section(name, item.version, item.body):
        case Success(section):
            return NewSection(item, section)
        case Failure(errors):
            return Rejected(item, errors)
    raise AssertionError("a result is a success or a failure")


def heartbeat_of(state: NodeState) -> Heartbeat:
    """Return the heartbeat that tells peers the state of this node."""
    admission = state["admission"]
    threshold = advertised_threshold(admission)
    return Heartbeat(0, state["store"]["as_of_ms"], threshold, admission["draining"])
