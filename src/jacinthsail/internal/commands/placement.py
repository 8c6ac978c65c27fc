"""Changes to the record of removed VMs and of the confirmations of VM lists."""

from jacinthsail.internal.model.idempotency import PLACEMENT_RULES, PlacementState, RemovedVm
from jacinthsail.internal.model.membership import VmList
from jacinthsail.internal.model.replication import StoreState

# A removed VM is kept this long; keys from before that are refused as too old.
REMOVED_VM_RETENTION_MS = 600_000


def record_removed_vms(store: StoreState, name: str, vm_list: VmList) -> None:
    """Keep the VMs that are in the list in force but not in its successor ``vm_list``.

    A copy from a peer may carry an older ``as_of_ms`` than the last confirmation of the list that
    held the VM, so the later of the two is the earliest time at which the VM can have been removed.
    """
    placement = store["placement"]
    previous = store["vm_lists"].get(name)
    if previous is None:
        return
    present = {(entry.vm, entry.listed_at_ms) for entry in vm_list.entries}
    last_listed_ms = placement["last_confirmed_ms"]
    first_unlisted_ms = max(vm_list.as_of_ms, last_listed_ms)
    for entry in previous.entries:
        identity = (entry.vm, entry.listed_at_ms)
        if identity in present:
            continue
        placement["removed"][identity] = RemovedVm(entry, last_listed_ms, first_unlisted_ms)


def record_confirmation(store: StoreState, as_of_ms: int) -> None:
    """Record that the lists in force are complete up to ``as_of_ms``.

    The caller must have put every list that was current at ``as_of_ms`` into force before. After a
    gap of more than the lead, and at the first confirmation, the floor is raised, since VMs may
    have been listed and removed unseen before.
    """
    placement = store["placement"]
    if as_of_ms <= placement["confirmed_ms"] or as_of_ms < placement["last_confirmed_ms"]:
        return
    lead_ms = PLACEMENT_RULES.lead_ms
    if as_of_ms - placement["last_confirmed_ms"] > lead_ms:
        placement["floor_ms"] = max(placement["floor_ms"], as_of_ms + lead_ms)
    placement["confirmed_ms"] = as_of_ms
    placement["last_confirmed_ms"] = as_of_ms
    _drop_old_removals(placement, as_of_ms - REMOVED_VM_RETENTION_MS)


def drop_confirmation(store: StoreState) -> None:
    """Accept no timed key until the lists are confirmed again."""
    store["placement"]["confirmed_ms"] = 0


def _drop_old_removals(placement: PlacementState, removed_before_ms: int) -> None:
    """Drop VMs that were removed long ago, and refuse the keys that they could own."""
    for identity, removed in list(placement["removed"].items()):
        if removed.first_unlisted_ms >= removed_before_ms:
            continue
        del placement["removed"][identity]
        last_created_ms = removed.first_unlisted_ms + PLACEMENT_RULES.lead_ms
        placement["floor_ms"] = max(placement["floor_ms"], last_created_ms)
