"""Finds the owner of a timed key from the published VM lists."""

import xxhash

from jacinthsail.internal.model.idempotency import PLACEMENT_RULES, PlacementRules, TimedKey
from jacinthsail.internal.model.membership import VmEntry
from jacinthsail.internal.model.replication import StoreState
from jacinthsail.internal.queries.lookup import vms_of_service

VM_LIST_PREFIX = "vms/"


def key_owner_vm(store: StoreState, key: TimedKey, service: str) -> VmEntry | None:
    """Return the owner of a key by rendezvous hash, or None if no VM was eligible at its creation.

    The VM name breaks ties, so that all nodes that know the same VMs find the same owner.
    """
    owner: VmEntry | None = None
    best = (-1, "")
    for entry in eligible_vms(store, service, key.created_at_ms):
        score = (_score(key, entry.vm), entry.vm)
        if score <= best:
            continue
        best = score
        owner = entry
    return owner


def eligible_vms(store: StoreState, service: str, created_at_ms: int) -> list[VmEntry]:
    """Return the VMs, listed or removed, that may own a key created at this time."""
    eligible = []
    for entry in vms_of_service(store, service):
        if is_eligible(entry, created_at_ms):
            eligible.append(entry)
    for removed in store["placement"]["removed"].values():
        if removed.entry.service != service or not is_eligible(removed.entry, created_at_ms):
            continue
        if created_at_ms < removed.first_unlisted_ms + PLACEMENT_RULES.lead_ms:
            eligible.append(removed.entry)
    return eligible


def is_eligible(entry: VmEntry, created_at_ms: int) -> bool:
    """Return whether an entry's published times make it eligible for keys created at this time."""
    lead_ms = PLACEMENT_RULES.lead_ms
    if entry.listed_at_ms + lead_ms > created_at_ms:
        return False
    return entry.leaving_at_ms is None or created_at_ms < entry.leaving_at_ms + lead_ms


def can_run_new_key(
    store: StoreState, owner: VmEntry, created_at_ms: int, rules: PlacementRules = PLACEMENT_RULES
) -> bool:
    """Return whether this node, the owner of a key, has the evidence to execute a call with it.

    Its lists must be complete for the creation time of the key, its own listing must have been
    confirmed for at least ``own_listing_ms``, and if it was removed from the list, the key must
    have been created while this node was still its owner.
    """
    placement = store["placement"]
    confirmed_ms = placement["confirmed_ms"]
    if not confirmed_ms or created_at_ms > confirmed_ms + rules.horizon_ms:
        return False
    removed = placement["removed"].get((owner.vm, owner.listed_at_ms))
    last_listed_ms = confirmed_ms if removed is None else removed.last_listed_ms
    if owner.listed_at_ms + rules.own_listing_ms > last_listed_ms:
        return False
    return created_at_ms <= last_listed_ms + rules.horizon_ms


def are_vm_lists_current(store: StoreState) -> bool:
    """Return whether no newer VM list was rejected, since a rejected one may name unknown VMs."""
    return all(not name.startswith(VM_LIST_PREFIX) for name in store["rejected"])


def _score(key: TimedKey, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key.text}/{vm}".encode())
