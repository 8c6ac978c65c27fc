"""Chooses the watchers of the platform and the gossip peers, and limits cross-region traffic."""

from collections.abc import Iterable
from functools import lru_cache
from heapq import nlargest

import xxhash

from jacinthsail.internal.model.membership import LinkBudget, VmEntry, VmStatus
from jacinthsail.internal.model.replication import StoreState
from jacinthsail.internal.model.settings import NodeSettings

# With two watchers, the failure of one does not make its whole failure domain read the platform.
WATCHERS_PER_DOMAIN = 2

# With 6 random links per node, an update reaches the 273 nodes of a failure domain in about 4 hops.
PEERS_IN_DOMAIN = 6
PEERS_IN_REGION = 2
PEERS_PER_OTHER_REGION = 1

# Size of the token bucket for cross-region bytes, in seconds of its rate.
LINK_BURST_S = 1.0


# Scores never change, and a node needs only those for its own name and its failure domain. VM lists
# change often in a large fleet, and scoring 3,000 VMs each time would delay calls.
@lru_cache(maxsize=8192)
def rendezvous_score(key: str, vm: str) -> int:
    """Return the rendezvous hash of a VM for a key; the VMs with the highest scores are chosen."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{vm}".encode())


def highest_scores(key: str, entries: Iterable[VmEntry], count: int) -> list[VmEntry]:
    """Return the entries with the highest scores; nodes with the same list get the same ones."""
    return nlargest(count, entries, lambda entry: (rendezvous_score(key, entry.vm), entry.vm))


def watchers_of(store: StoreState, failure_domain: str) -> list[VmEntry]:
    """Return the VMs of a failure domain that should watch the platform."""
    live = []
    for vm_list in store["vm_lists"].values():
        if vm_list.failure_domain != failure_domain:
            continue
        live.extend(_live(vm_list.entries))
    return highest_scores(failure_domain, live, WATCHERS_PER_DOMAIN)


def is_watcher(store: StoreState, settings: NodeSettings) -> bool:
    """Return whether this node should watch the platform for its failure domain."""
    watchers = watchers_of(store, settings.failure_domain)
    return any(entry.vm == settings.vm for entry in watchers)


def gossip_peers(store: StoreState, settings: NodeSettings) -> list[VmEntry]:
    """Return the peers with which this node exchanges copies of sections and VM lists.

    They are 6 in its own failure domain, 2 in other domains of its region and 1 in each other
    region, chosen by rendezvous hash so that a change of the list moves few links.
    """
    own_domain = []
    own_region = []
    other_regions: dict[str, list[VmEntry]] = {}
    for vm_list in store["vm_lists"].values():
        for entry in _live(vm_list.entries):
            if entry.vm == settings.vm:
                continue
            if entry.failure_domain == settings.failure_domain:
                own_domain.append(entry)
                continue
            if entry.region == settings.region:
                own_region.append(entry)
                continue
            other_regions.setdefault(entry.region, []).append(entry)
    peers = highest_scores(settings.vm, own_domain, PEERS_IN_DOMAIN)
    peers += highest_scores(settings.vm, own_region, PEERS_IN_REGION)
    for region in sorted(other_regions):
        peers += highest_scores(settings.vm, other_regions[region], PEERS_PER_OTHER_REGION)
    return peers


def _live(entries: Iterable[VmEntry]) -> list[VmEntry]:
    return [entry for entry in entries if entry.status is VmStatus.LIVE]


def link_tokens(budget: LinkBudget, bytes_per_s: int, now: float) -> float:
    """Return the number of tokens, in bytes, that the cross-region budget holds now."""
    earned = (now - budget["updated_at"]) * bytes_per_s
    return min(LINK_BURST_S * bytes_per_s, budget["tokens"] + earned)


def can_cross_region(budget: LinkBudget, bytes_per_s: int, now: float) -> bool:
    """Return whether a call may be sent to another region.

    A call may overdraw the bucket, since one larger than the bucket would otherwise never be sent;
    the debt delays the calls after it.
    """
    return link_tokens(budget, bytes_per_s, now) > 0.0
