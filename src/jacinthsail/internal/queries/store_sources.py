"""Decides which nodes read the store and from which nodes the others learn its changes.

The first node in an order that all nodes of a failure domain share reads the store. Each node
follows it and the reader of a neighbouring domain, so a change still arrives at once while one of
them fails. A node that finds a reader not working follows the next in the order, which then starts
to read.
"""

from collections.abc import Iterable, Mapping
from itertools import zip_longest

from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import StoreReadState
from jacinthsail.internal.model.store_sources import (
    SourceChanges,
    SourceState,
    StoreRole,
    StoreSources,
)
from jacinthsail.internal.queries.membership import rendezvous_score

# With two sources, the failure of one delays no change.
SOURCES_PER_NODE = 2

# Bounds the number of readers while the store itself is unavailable and no reader works.
MAX_SOURCES = 4

# Changes must be in force within 2 s, also if all sources of a node fail at once. The steps until
# then are SOURCE_SILENCE_S, FALLBACK_DELAY_S with its jitter, two checks and a read of the store.

# A reader reports this often even if nothing changes.
REPORT_INTERVAL_S = 0.4

# A source that sent nothing for this long is frozen, or its connection is dead.
SOURCE_SILENCE_S = 1.0

# A new source has this long to connect and to read the store for the first time.
SOURCE_TRIAL_S = 1.2

# Without a working source for this long, a node reads the store itself. If its sources still report
# that they cannot read, the store is probably unavailable for it as well, so it waits longer.
FALLBACK_DELAY_S = 0.3
UNAVAILABLE_FALLBACK_DELAY_S = 3.0

# Spreads the reads of a failure domain that lost all its readers, as a share of the delay.
FALLBACK_JITTER_SHARE = 0.6

SOURCES_CHECK_INTERVAL_S = 0.1


def new_store_sources() -> StoreSources:
    """Return the state of a node that knows no other nodes yet."""
    return StoreSources(
        order=(),
        sources={},
        suspected_until={},
        failures={},
        followers=0,
        working_at=float("-inf"),
        role=StoreRole.READER,
    )


def reader_order(fleet: FleetState) -> tuple[str, ...]:
    """Return the hosts that may read the store for this node, in the order of preference.

    Hosts of the own failure domain alternate with those of the next domain of the region, so that
    one reader per domain is enough for two sources per node. A domain that is cut off from the
    others still finds both sources among its own hosts.
    """
    location = fleet["location"]
    hosts: dict[str, set[str]] = {location.failure_domain: {location.host}}
    for entry in fleet["targets"].values():
        if entry.region == location.region and not entry.is_draining:
            hosts.setdefault(entry.failure_domain, set()).add(entry.host)
    own = _by_preference(location.failure_domain, hosts)
    neighbours = _by_preference(_next_domain(location.failure_domain, hosts), hosts)
    order: list[str] = []
    for pair in zip_longest(own, neighbours):
        order.extend(host for host in pair if host is not None and host not in order)
    return tuple(order)


def _next_domain(domain: str, hosts: Mapping[str, set[str]]) -> str:
    """Return the domain that follows in the sorted circle of domains; it may be the same one."""
    domains = sorted(hosts)
    return domains[(domains.index(domain) + 1) % len(domains)]


def _by_preference(domain: str, hosts: Mapping[str, set[str]]) -> list[str]:
    return sorted(hosts[domain], key=lambda host: (-rendezvous_score(domain, host), host))


def preferred_sources(
    state: StoreSources, reading: StoreReadState, own_host: str, now: float
) -> tuple[str, ...]:
    """Return the hosts that this node should learn from, possibly including itself.

    Sources that do not work at present stay included, so that their recovery is noticed, but
    further ones are added until enough of them work.
    """
    preferred: list[str] = []
    working = 0
    for host in state["order"]:
        if working >= SOURCES_PER_NODE or len(preferred) >= MAX_SOURCES:
            break
        if now < state["suspected_until"].get(host, 0.0):
            continue
        preferred.append(host)
        if host == own_host:
            working += reading["failures"] == 0
            continue
        source = state["sources"].get(host)
        if source is None or is_working(source, now) or is_on_trial(source, now):
            working += 1
    return tuple(preferred)


def is_working(source: SourceState, now: float) -> bool:
    """Return whether a source reads the store successfully and its reports arrive."""
    return source["is_current"] and not is_silent(source, now)


def is_on_trial(source: SourceState, now: float) -> bool:
    """Return whether a source has been followed too briefly for a judgement."""
    return now - source["followed_at"] <= SOURCE_TRIAL_S


def is_silent(source: SourceState, now: float) -> bool:
    """Return whether a source has sent nothing for longer than a live reader would."""
    return now - max(source["received_at"], source["followed_at"]) > SOURCE_SILENCE_S


def is_reporting(source: SourceState, now: float) -> bool:
    """Return whether the reports of a source arrive, whatever they say."""
    return now - source["received_at"] <= SOURCE_SILENCE_S


def source_changes(
    state: StoreSources, reading: StoreReadState, own_host: str, now: float
) -> SourceChanges:
    """Return how the followed sources have to change."""
    preferred = preferred_sources(state, reading, own_host, now)
    follow = []
    for host in preferred:
        if host != own_host and host not in state["sources"]:
            follow.append(host)
    # A substitute is kept until enough preferred sources work: the ones that went silent are tried
    # again from time to time, and no change would arrive during the trial.
    has_enough = working_sources(state, reading, own_host, preferred, now) >= SOURCES_PER_NODE
    unfollow = []
    replace = []
    for host, source in state["sources"].items():
        if is_silent(source, now):
            replace.append(host)
            continue
        if host in preferred:
            continue
        if has_enough or host not in state["order"] or not is_working(source, now):
            unfollow.append(host)
    return SourceChanges(tuple(follow), tuple(unfollow), tuple(replace))


def working_sources(
    state: StoreSources,
    reading: StoreReadState,
    own_host: str,
    hosts: Iterable[str],
    now: float,
) -> int:
    """Return how many of the hosts are known to read the store successfully."""
    working = 0
    for host in hosts:
        if host == own_host:
            working += reading["failures"] == 0
            continue
        source = state["sources"].get(host)
        working += source is not None and is_working(source, now)
    return working


def decide_role(
    state: StoreSources,
    reading: StoreReadState,
    own_host: str,
    fallback_jitter: float,
    now: float,
) -> StoreRole:
    """Return whether this node has to read the store itself.

    It is a reader by the common order or because another node follows it. ``fallback_jitter`` is
    between 0 and 1 and differs between nodes.
    """
    if state["followers"] or own_host in preferred_sources(state, reading, own_host, now):
        return StoreRole.READER
    delay_s = FALLBACK_DELAY_S
    if any(is_reporting(source, now) for source in state["sources"].values()):
        delay_s = UNAVAILABLE_FALLBACK_DELAY_S
    delay_s *= 1.0 + FALLBACK_JITTER_SHARE * fallback_jitter
    if now - state["working_at"] > delay_s:
        return StoreRole.FALLBACK
    return StoreRole.FOLLOWER


def has_working_source(state: StoreSources, now: float) -> bool:
    """Return whether at least one followed node is known to be current."""
    return any(is_working(source, now) for source in state["sources"].values())
