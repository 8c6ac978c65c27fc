"""Decides whether the own target takes new work."""

from jacinthsail.internal.model.membership import VmStatus
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.lookup import vm_entry

# One answer may be a leftover of an earlier state; the second one comes a second later.
DRAINING_ANSWERS_NEEDED = 2


def is_leaving(state: NodeState) -> bool:
    """Tell whether the own target is to take no new work, whichever evidence comes first.

    Health answers that say otherwise never outweigh the other evidence, since they may lag.
    """
    leaving = state["leaving"]
    if leaving["stopping"]:
        return True
    if Mechanism.LEAVING in state["settings"].disabled:
        return False
    if leaving["draining_answers"] >= DRAINING_ANSWERS_NEEDED:
        return True
    entry = vm_entry(state["store"], state["settings"].vm)
    return entry is not None and entry.status is VmStatus.LEAVING
