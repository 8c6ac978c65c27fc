"""Changes to what a node knows of past VM lists and of their confirmation."""

from jacinthsail.internal.model.idempotency import PLACEMENT_RULES, DepartedVm, PlacementState
from jacinthsail.internal.model.membership import VmList
from jacinthsail.internal.model.replication import StoreState

# A departed VM is kept this long; keys from before that are refused as too old.
DEPARTED_KEPT_MS = 600_000


def record_departures(store: StoreState, name: str, vm_list: VmList) -> None:
    """Keep the VMs that the list in force holds and its successor ``vm_list`` does not.

    A copy from a peer may carry an older ``as_of_ms`` than the last confirmation of the list that
    held the VM, so the later of the two is the earliest time at which the VM can have gone.
    """
    placement = store["placement"]
    previous = store["vm_lists"].get(name)
    if previous is None:
        return
    present = {(entry.vm, entry.listed_at_ms) for entry in vm_list.entries}
    held_until_ms = placement["last_confirmed_ms"]
    gone_at_ms = max(vm_list.as_of_ms, held_until_ms)
    for entry in previous.entries:
        identity = (entry.vm, entry.listed_at_ms)
        if identity in present:
            continue
        placement["departed"][identity] = DepartedVm(entry, held_until_ms, gone_at_ms)


def record_confirmation(store: StoreState, as_of_ms: int) -> None:
    """Remember that the lists in force are complete up to ``as_of_ms``.

    The caller must have put every list that was current at ``as_of_ms`` into force before. VMs may
    have come and gone unseen during a gap of more than the lead, and before the first confirmation.
    """
    placement = store["placement"]
    if as_of_ms <= placement["confirmed_ms"] or as_of_ms < placement["last_confirmed_ms"]:
        return
    lead_ms = PLACEMENT_RULES.lead_ms
    if as_of_ms - placement["last_confirmed_ms"] > lead_ms:
        placement["floor_ms"] = max(placement["floor_ms"], as_of_ms + lead_ms)
    placement["confirmed_ms"] = as_of_ms
    placement["last_confirmed_ms"] = as_of_ms
    _forget_departed(placement, as_of_ms - DEPARTED_KEPT_MS)


def drop_confirmation(store: StoreState) -> None:
    """Accept no timed key until the lists are confirmed again."""
    store["placement"]["confirmed_ms"] = 0


def _forget_departed(placement: PlacementState, gone_before_ms: int) -> None:
    """Forget VMs that left long ago, and refuse the keys that they could be home to."""
    for identity, departed in list(placement["departed"].items()):
        if departed.gone_at_ms >= gone_before_ms:
            continue
        del placement["departed"][identity]
        last_birth_ms = departed.gone_at_ms + PLACEMENT_RULES.lead_ms
        placement["floor_ms"] = max(placement["floor_ms"], last_birth_ms)
