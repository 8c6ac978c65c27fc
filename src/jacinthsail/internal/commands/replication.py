"""Changes to the copies of published items."""

from functools import singledispatch

from jacinthsail.internal.commands.admission import apply_service_policy
from jacinthsail.internal.commands.placement import (
    drop_confirmation,
    record_confirmation,
    record_removed_vms,
)
from jacinthsail.internal.model.document import Section
from jacinthsail.internal.model.membership import VmEntry, VmList
from jacinthsail.internal.model.replication import (
    GossipState,
    Item,
    ItemDecision,
    ItemVersion,
    NewSection,
    NewVmList,
    PlatformState,
    Rejected,
    RejectedVersion,
    ServiceInForce,
    StoreState,
    Superseded,
    Withdrawn,
)
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.lookup import service_policy
from jacinthsail.internal.queries.placement import are_vm_lists_current
from jacinthsail.internal.queries.replication import (
    contradicts_confirmation,
    platform_tokens,
    store_digest,
)


def install_item(state: NodeState, decision: ItemDecision, now: float) -> None:
    """Apply a decision about a copy, and the changes that follow for the local target.

    The limiter is reset when its policy is applied, so an edit that does not change the local
    service must not apply it.
    """
    store = state["store"]
    service = state["settings"].service
    before = service_policy(store, service)
    accept_item(store, decision, now)
    after = service_policy(store, service)
    if after is not None and after != before:
        apply_service_policy(state["admission"], after, now)


def accept_item(store: StoreState, decision: ItemDecision, now: float) -> None:
    """Apply a decision about a copy of an item to the store."""
    _accept(decision, store, now)


@singledispatch
def _accept(decision: object, store: StoreState, now: float) -> None:
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@_accept.register
def _(decision: NewSection, store: StoreState, now: float) -> None:
    _record_copy(store, decision.item, now)
    previous = store["sections"].get(decision.item.name)
    store["sections"][decision.item.name] = decision.section
    _index_section(store, decision.item.name, previous, decision.section)


@_accept.register
def _(decision: NewVmList, store: StoreState, now: float) -> None:
    record_removed_vms(store, decision.item.name, decision.vm_list)
    _record_copy(store, decision.item, now)
    previous = store["vm_lists"].get(decision.item.name)
    store["vm_lists"][decision.item.name] = decision.vm_list
    store["membership_changes"] += 1
    _index_vm_list(store, decision.item.name, previous, decision.vm_list)


@_accept.register
def _(decision: Rejected, store: StoreState, now: float) -> None:
    item = decision.item
    _record_version(store, item)
    store["rejected"][item.name] = RejectedVersion(item.version, decision.errors, item)
    store["digest"] = store_digest(store)
    store["changed_at"] = now


@_accept.register
def _(decision: Withdrawn, store: StoreState, now: float) -> None:
    item = decision.item
    _record_version(store, item)
    store["rejected"][item.name] = RejectedVersion(item.version, decision.errors, item)
    store["items"].pop(item.name, None)
    section = store["sections"].pop(item.name, None)
    _index_section(store, item.name, section, None)
    vm_list = store["vm_lists"].pop(item.name, None)
    _index_vm_list(store, item.name, vm_list, None)
    store["membership_changes"] += 1
    store["digest"] = store_digest(store)
    store["changed_at"] = now


@_accept.register
def _(decision: Superseded, store: StoreState, now: float) -> None:
    return


def _record_copy(store: StoreState, item: Item, now: float) -> None:
    _record_version(store, item)
    store["items"][item.name] = item
    rejected = store["rejected"].get(item.name)
    if rejected is not None and rejected.version <= item.version:
        del store["rejected"][item.name]
    store["digest"] = store_digest(store)
    store["changed_at"] = now


def _record_version(store: StoreState, item: Item) -> None:
    if contradicts_confirmation(store, item):
        store["as_of_ms"] = 0
        drop_confirmation(store)
    store["newest_seen"][item.name] = max(item.version, store["newest_seen"].get(item.name, 0))
    store["revision"] = max(item.version, store["revision"])


def _index_section(
    store: StoreState, name: str, previous: Section | None, section: Section | None
) -> None:
    """Update the index for the services of the previous and the new version of a section.

    Of several sections that define a service, the first by name wins. Versions and arrival order
    cannot decide, since they differ between nodes while copies propagate.
    """
    services_before = previous.services if previous else {}
    services_after = section.services if section else {}
    for service in {**services_before, **services_after}:
        defining_sections = set(store["defining_sections"].get(service, ()))
        defining_sections.discard(name)
        if service in services_after:
            defining_sections.add(name)
        _index_service(store, service, tuple(sorted(defining_sections)))


def _index_service(store: StoreState, service: str, defining_sections: tuple[str, ...]) -> None:
    if not defining_sections:
        store["defining_sections"].pop(service, None)
        store["services"].pop(service, None)
        return
    winner = defining_sections[0]
    store["defining_sections"][service] = defining_sections
    policy = store["sections"][winner].services[service]
    store["services"][service] = ServiceInForce(winner, policy)


def _index_vm_list(
    store: StoreState, name: str, previous: VmList | None, vm_list: VmList | None
) -> None:
    entries_before = previous.entries if previous else ()
    entries_after = vm_list.entries if vm_list else ()
    for entry in entries_before:
        # The VM may have moved to another list, whose entry stays.
        if store["vm_entries"].get(entry.vm) == entry:
            del store["vm_entries"][entry.vm]
        lists_of_service = store["service_vms"].get(entry.service, {})
        lists_of_service.pop(name, None)
        if not lists_of_service:
            store["service_vms"].pop(entry.service, None)
    by_service: dict[str, list[VmEntry]] = {}
    for entry in entries_after:
        store["vm_entries"][entry.vm] = entry
        by_service.setdefault(entry.service, []).append(entry)
    for service, entries in by_service.items():
        store["service_vms"].setdefault(service, {})[name] = tuple(entries)


def confirm_versions(store: StoreState, as_of_ms: int, now: float) -> None:
    """Record that every version published up to ``as_of_ms`` is known here."""
    if as_of_ms <= store["as_of_ms"]:
        return
    store["as_of_ms"] = as_of_ms
    store["confirmed_at"] = now
    if are_vm_lists_current(store):
        record_confirmation(store, as_of_ms)


def record_platform_change(platform: PlatformState, revision: int) -> None:
    """Record that every change up to a revision of the platform was read."""
    platform["revision"] = max(revision, platform["revision"])
    platform["stale"] = False
    platform["failures"] = 0


def record_stale_platform(platform: PlatformState) -> None:
    """Record that the platform responded with an older state than one already seen."""
    platform["stale"] = True
    platform["failures"] += 1


def record_platform_failure(platform: PlatformState) -> None:
    """Record that a read of the platform failed."""
    platform["failures"] += 1


def count_platform_read(platform: PlatformState, now: float) -> None:
    """Count one read of the platform and charge it to the budget."""
    platform["tokens"] = max(0.0, platform_tokens(platform, now) - 1.0)
    platform["tokens_at"] = now
    platform["reads"] += 1


def record_read_after_pause(platform: PlatformState, pauses: int) -> None:
    """Record that the platform is read after this many pauses."""
    platform["pauses_handled"] = pauses


def record_digest_match(gossip: GossipState, vm: str) -> None:
    """Record that a peer holds the same versions."""
    gossip["mismatch_since"].pop(vm, None)


def record_digest_mismatch(gossip: GossipState, vm: str, now: float) -> None:
    """Record the time since which a peer has held other versions."""
    gossip["mismatch_since"].setdefault(vm, now)


def record_offer_sent(gossip: GossipState, vm: str, now: float) -> None:
    """Record when all versions were last offered to a peer."""
    gossip["offered_at"][vm] = now


def record_complete_offer(gossip: GossipState) -> None:
    """Count an offer that named all versions of a peer."""
    gossip["complete_offers_received"] += 1


def record_startup_offer(gossip: GossipState, vm: str, versions: tuple[ItemVersion, ...]) -> None:
    """Keep the versions in a peer's reply to the complete offer that this node sent at startup."""
    if gossip["startup_completed"]:
        return
    gossip["startup_offers"][vm] = versions


def complete_startup(gossip: GossipState) -> None:
    """Record that the copies were compared with peers, and drop the offers kept for that.

    Peers that are chosen later must not make a node unready again.
    """
    gossip["startup_completed"] = True
    gossip["startup_offers"].clear()


def record_gossip_attempt(gossip: GossipState, vm: str, next_attempt: float, opened: bool) -> None:
    """Record the outcome of a connection attempt to a gossip peer and the time of the next one."""
    gossip["next_attempt"][vm] = next_attempt
    if opened:
        gossip["failures"][vm] = 0
        return
    gossip["failures"][vm] = gossip["failures"].get(vm, 0) + 1


def choose_gossip_peers(
    gossip: GossipState, chosen: frozenset[str], has_list: bool, now: float
) -> None:
    """Set the gossip peers and drop the state of others, to bound its size.

    Without a VM list the chosen peers are seeds.
    """
    gossip["chosen"] = chosen
    if has_list and gossip["chosen_at"] is None:
        gossip["chosen_at"] = now
    for per_peer in (
        gossip["next_attempt"],
        gossip["failures"],
        gossip["offered_at"],
        gossip["mismatch_since"],
    ):
        for vm in [vm for vm in per_peer if vm not in chosen]:
            del per_peer[vm]
