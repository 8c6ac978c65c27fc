"""Decides whether the local target is draining."""

from jacinthsail.internal.model.membership import VmStatus
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.lookup import vm_entry

# A single health response may report an outdated state; the next one follows 1 s later.
MIN_DRAINING_RESPONSES = 2


def should_drain(state: NodeState) -> bool:
    """Return whether the local target must accept no new requests.

    Any one sign suffices: the node is stopping, the target reports that it is draining, or the VM
    list does. Health responses never overrule the other signs, since they may be outdated.
    """
    drain = state["drain"]
    if drain["stopping"]:
        return True
    if Mechanism.LEAVING in state["settings"].disabled:
        return False
    if drain["draining_responses"] >= MIN_DRAINING_RESPONSES:
        return True
    entry = vm_entry(state["store"], state["settings"].vm)
    return entry is not None and entry.status is VmStatus.LEAVING
