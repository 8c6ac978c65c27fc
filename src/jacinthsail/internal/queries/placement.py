"""Finds the home of a timed key from the published VM lists."""

import xxhash

from jacinthsail.internal.model.idempotency import PLACEMENT_RULES, PlacementRules, TimedKey
from jacinthsail.internal.model.membership import VmEntry
from jacinthsail.internal.model.replication import StoreState
from jacinthsail.internal.queries.lookup import vms_of_service

VM_LIST_PREFIX = "vms/"


def home_of(store: StoreState, key: TimedKey, service: str) -> VmEntry | None:
    """Return the home of a key by rendezvous hash, or None when no VM was eligible at its birth.

    The VM's name breaks ties, so that every node that knows the same VMs finds the same home.
    """
    home: VmEntry | None = None
    best = (-1, "")
    for entry in eligible_vms(store, service, key.born_at_ms):
        score = (_score(key, entry.vm), entry.vm)
        if score <= best:
            continue
        best = score
        home = entry
    return home


def eligible_vms(store: StoreState, service: str, born_at_ms: int) -> list[VmEntry]:
    """Return the VMs, present and departed, that may be home of a key born at this time."""
    eligible = []
    for entry in vms_of_service(store, service):
        if is_eligible(entry, born_at_ms):
            eligible.append(entry)
    for departed in store["placement"]["departed"].values():
        if departed.entry.service != service or not is_eligible(departed.entry, born_at_ms):
            continue
        if born_at_ms < departed.gone_at_ms + PLACEMENT_RULES.lead_ms:
            eligible.append(departed.entry)
    return eligible


def is_eligible(entry: VmEntry, born_at_ms: int) -> bool:
    """Tell whether the published times of an entry make it eligible for a birth."""
    lead_ms = PLACEMENT_RULES.lead_ms
    if entry.listed_at_ms + lead_ms > born_at_ms:
        return False
    return entry.leaving_at_ms is None or born_at_ms < entry.leaving_at_ms + lead_ms


def may_serve_birth(
    store: StoreState, home: VmEntry, born_at_ms: int, rules: PlacementRules = PLACEMENT_RULES
) -> bool:
    """Tell whether this node, which finds itself to be ``home``, knows enough to run the key.

    Its lists must be complete for the birth, its own listing must have been confirmed for as long
    as the lead, and when it has left the list the birth must be one that it was still home to.
    """
    placement = store["placement"]
    confirmed_ms = placement["confirmed_ms"]
    if not confirmed_ms or born_at_ms > confirmed_ms + rules.horizon_ms:
        return False
    departed = placement["departed"].get((home.vm, home.listed_at_ms))
    held_until_ms = confirmed_ms if departed is None else departed.held_until_ms
    if home.listed_at_ms + rules.own_listing_ms > held_until_ms:
        return False
    return born_at_ms <= held_until_ms + rules.horizon_ms


def lists_are_current(store: StoreState) -> bool:
    """Tell whether no newer VM list was rejected; a rejected one hides VMs from this node."""
    return all(not name.startswith(VM_LIST_PREFIX) for name in store["rejected"])


def _score(key: TimedKey, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key.text}/{vm}".encode())
