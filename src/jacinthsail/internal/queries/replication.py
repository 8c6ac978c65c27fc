"""Replication of sections and VM lists: which copies take effect and what to exchange."""

from functools import singledispatch
from random import Random

import xxhash
from returns.result import Failure, Success

from jacinthsail.errors import ConfigurationError
from jacinthsail.internal.model.messages import Heartbeat, ItemRequest, VersionOffer
from jacinthsail.internal.model.replication import (
    AwaitPeers,
    DigestDecision,
    DigestMatch,
    DigestMismatch,
    Item,
    ItemDecision,
    ItemVersion,
    NewSection,
    NewVmList,
    PlatformAction,
    PlatformChange,
    PlatformState,
    ReadPlatform,
    Rejected,
    StoreState,
    Superseded,
    WatchPlatform,
    Withdrawn,
)
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import advertised_threshold
from jacinthsail.internal.queries.backoff import backoff_s
from jacinthsail.internal.queries.documents import parse_section
from jacinthsail.internal.queries.membership import is_watcher
from jacinthsail.internal.queries.vm_lists import parse_vm_list

SECTION_PREFIX = "section/"
VM_LIST_PREFIX = "vms/"

# A node whose copies were not confirmed to be current for this long reads the platform itself.
# Watchers confirm every 2 s, and a confirmation takes about 4 heartbeats of 2 s to reach every node
# of a domain.
CONFIRMATION_TIMEOUT_S = 8.0

# Spreads the reads of a failure domain whose watchers failed together.
CONFIRMATION_JITTER_S = 4.0

# Without this budget, 3,000 nodes that all lose their peers would exceed the platform's limit of
# 2,000 reads/s; at one read per 4 s each they make 750 reads/s.
PLATFORM_READS_PER_S = 0.25
PLATFORM_READ_BURST = 3.0

# Delay after the first failed read or connection; each further failure doubles it. With this
# maximum, a node detects the end of an outage well within 16 s.
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0

# An offer of all versions takes about 20 KB with 220 sections, so it is sent only if a difference
# outlasts one heartbeat, and at most once per this interval to one peer.
OFFER_ALL_INTERVAL_S = 5.0
MISMATCH_GRACE_S = 1.5

# A new VM that knows only a rejected version of a section waits this long for the last good copy.
LAST_GOOD_WAIT_S = 5.0

# A new VM that knows gossip peers waits up to this long to compare its copies with theirs, since
# the platform may have returned an older state. If it cannot reach them, it serves calls after this
# time.
START_WAIT_S = 5.0

# The digest of a store without any item.
EMPTY_DIGEST = xxhash.xxh3_64_intdigest(b"")


def decide_item(
    store: StoreState, item: Item, disabled: frozenset[Mechanism] = frozenset()
) -> ItemDecision:
    """Return what to do with a copy of an item from the platform or from a peer.

    Versions only increase, whatever the source of the copy, so neither a stale platform nor a peer
    that was paused can revert a node. A valid copy between the version in force and a newer
    rejected one is accepted: it is the last good version, which this node has not seen yet.
    """
    if not _may_replace(store, item, disabled):
        return Superseded(item)
    if item.name.startswith(VM_LIST_PREFIX):
        match parse_vm_list(item.name, item.version, item.as_of_ms, item.body):
            case Success(vm_list):
                return NewVmList(item, vm_list)
            case Failure(error):
                return _rejection(store, item, (error,), disabled)
    match parse_section(item.name.removeprefix(SECTION_PREFIX), item.version, item.body):
        case Success(section):
            return NewSection(item, section)
        case Failure(errors):
            return _rejection(store, item, errors, disabled)
    raise AssertionError("a result is a success or a failure")


def _may_replace(store: StoreState, item: Item, disabled: frozenset[Mechanism]) -> bool:
    in_force = version_in_force(store, item.name)
    if Mechanism.VERSION_ORDER in disabled:
        return item.version != in_force
    rejected = store["rejected"].get(item.name)
    if rejected is not None and rejected.version == item.version:
        return False
    return item.version > in_force


def _rejection(
    store: StoreState,
    item: Item,
    errors: tuple[ConfigurationError, ...],
    disabled: frozenset[Mechanism],
) -> ItemDecision:
    if item.version <= store["newest_seen"].get(item.name, 0):
        return Superseded(item)
    if Mechanism.LAST_GOOD_SECTION in disabled:
        return Withdrawn(item, errors)
    return Rejected(item, errors)


@singledispatch
def is_new_version(decision: object) -> bool:
    """Return whether the copy was of a version that this node had not seen before."""
    return True


@is_new_version.register
def _(decision: Superseded) -> bool:
    return False


def version_in_force(store: StoreState, name: str) -> int:
    """Return the version of an item that is in force, or 0 if there is none."""
    item = store["items"].get(name)
    if item is None:
        return 0
    return item.version


def contradicts_confirmation(store: StoreState, item: Item) -> bool:
    """Return whether a copy proves that this node's confirmation was false.

    This node should know all versions published up to its ``as_of_ms``. A newer copy that was read
    from the platform before then shows that this node or one of its peers read a stale platform.
    """
    if item.version <= store["newest_seen"].get(item.name, 0):
        return False
    return 0 < item.as_of_ms < store["as_of_ms"]


def known_versions(store: StoreState) -> tuple[ItemVersion, ...]:
    """Return the versions to offer: all in force, and the newer ones that were rejected."""
    versions = []
    for item in store["items"].values():
        versions.append(ItemVersion(item.name, item.version, item.digest))
    for rejected in store["rejected"].values():
        item = rejected.item
        versions.append(ItemVersion(item.name, item.version, item.digest))
    return tuple(versions)


def store_digest(store: StoreState) -> int:
    """Return a digest over all versions that are in force or were rejected."""
    lines = sorted(f"{version.name} {version.version}" for version in known_versions(store))
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode())


def current_heartbeat(state: NodeState) -> Heartbeat:
    """Return the heartbeat with the present state of this node."""
    store = state["store"]
    admission = state["admission"]
    return Heartbeat(
        store_digest=store["digest"],
        as_of_ms=store["as_of_ms"],
        threshold=advertised_threshold(admission),
        draining=admission["draining"],
    )


def decide_item_request(
    store: StoreState, offer: VersionOffer, disabled: frozenset[Mechanism] = frozenset()
) -> ItemRequest:
    """Return a request for the offered items that this node lacks."""
    names: list[str] = []
    for version in offer.versions:
        if version.name in names or not _lacks(store, version, disabled):
            continue
        names.append(version.name)
    return ItemRequest(tuple(names))


def _lacks(store: StoreState, version: ItemVersion, disabled: frozenset[Mechanism]) -> bool:
    rejected = store["rejected"].get(version.name)
    if rejected is not None and rejected.version == version.version:
        return False
    in_force = version_in_force(store, version.name)
    if Mechanism.VERSION_ORDER in disabled:
        return version.version != in_force
    return version.version > in_force


def decide_counter_offer(store: StoreState, offer: VersionOffer) -> VersionOffer:
    """Return an offer of the versions that the sender of a complete offer lacks."""
    offered = {(version.name, version.version) for version in offer.versions}
    newest: dict[str, int] = {}
    for version in offer.versions:
        newest[version.name] = max(version.version, newest.get(version.name, 0))
    lacking = []
    for version in known_versions(store):
        if (version.name, version.version) in offered:
            continue
        if version.version < newest.get(version.name, 0) and not _is_last_good(offer, version):
            continue
        lacking.append(version)
    return VersionOffer(tuple(lacking), complete=False, is_reply=True)


def _is_last_good(offer: VersionOffer, version: ItemVersion) -> bool:
    """Return whether the sender may know only a rejected version of this item.

    An offer with a single version of a name does not show whether that version is in force, so an
    older valid one is offered too; the receiver requests it only if it has nothing newer in force.
    """
    return sum(1 for offered in offer.versions if offered.name == version.name) == 1


def requested_copies(store: StoreState, request: ItemRequest) -> list[Item]:
    """Return the copies to send for a request: of each item the one in force, then the rejected."""
    copies = []
    for name in request.names:
        item = store["items"].get(name)
        if item is not None:
            copies.append(item)
        rejected = store["rejected"].get(name)
        if rejected is not None:
            copies.append(rejected.item)
    return copies


def item_offer(item: Item) -> VersionOffer:
    """Return the offer that announces one changed item to peers."""
    return VersionOffer((ItemVersion(item.name, item.version, item.digest),), complete=False)


def decide_on_digest(state: NodeState, vm: str, heartbeat: Heartbeat, now: float) -> DigestDecision:
    """Return whether the digest in a peer's heartbeat matches this node's own.

    The decision on a mismatch also contains whether to offer all versions to the peer.
    """
    store = state["store"]
    if heartbeat.store_digest == store["digest"]:
        return DigestMatch(heartbeat.as_of_ms)
    gossip = state["gossip"]
    since = gossip["mismatch_since"].get(vm, now)
    if now - since < MISMATCH_GRACE_S and store["items"]:
        return DigestMismatch(offer_all=False)
    offered_at = gossip["offered_at"].get(vm)
    is_due = offered_at is None or now - offered_at >= OFFER_ALL_INTERVAL_S
    return DigestMismatch(offer_all=is_due)


def is_stale(store: StoreState, platform: PlatformState, change: PlatformChange) -> bool:
    """Return whether the platform returned a state older than one already seen."""
    return change.revision < max(store["revision"], platform["revision"])


def names_to_read(
    store: StoreState, change: PlatformChange, disabled: frozenset[Mechanism] = frozenset()
) -> list[str]:
    """Return the names of the changed items whose published version this node has not seen.

    VM lists come first: they lead a new VM to peers, which have copies of the other items.
    """
    lists = []
    sections = []
    for name, version in change.versions:
        if not needs_read(store, name, version, disabled):
            continue
        if name.startswith(VM_LIST_PREFIX):
            lists.append(name)
            continue
        sections.append(name)
    return lists + sections


def needs_read(
    store: StoreState, name: str, version: int, disabled: frozenset[Mechanism] = frozenset()
) -> bool:
    """Return whether this node has not seen the published version of an item."""
    if Mechanism.VERSION_ORDER in disabled and version != version_in_force(store, name):
        return True
    return version > store["newest_seen"].get(name, 0)


def is_caught_up(store: StoreState, change: PlatformChange) -> bool:
    """Return whether this node has seen every version that the platform names."""
    return not names_to_read(store, change)


def decide_platform_action(
    state: NodeState, confirmation_timeout_s: float, now: float
) -> PlatformAction:
    """Return whether to watch the platform, read it once, or wait for peers.

    ``confirmation_timeout_s`` is how long this node waits for a confirmation from its peers; the
    caller obtains it from ``random_confirmation_timeout_s``.
    """
    store = state["store"]
    if is_read_due_after_pause(state, now):
        return ReadPlatform()
    if Mechanism.PEER_LEARNING in state["settings"].disabled:
        return WatchPlatform()
    if is_watcher(store, state["settings"]):
        return WatchPlatform()
    if not store["vm_lists"]:
        return ReadPlatform()
    due_in_s = store["confirmed_at"] + confirmation_timeout_s - now
    if due_in_s > 0.0:
        return AwaitPeers(due_in_s)
    tokens = platform_tokens(state["platform"], now)
    if tokens < 1.0:
        return AwaitPeers((1.0 - tokens) / PLATFORM_READS_PER_S)
    return ReadPlatform()


def is_read_due_after_pause(state: NodeState, now: float) -> bool:
    """Return whether to read the platform at once because this process was paused.

    A watch would respond only after its timeout, and until a peer confirms, the node would accept
    no timed keys.
    """
    platform = state["platform"]
    if platform["pauses_handled"] == state["clock"]["pauses"]:
        return False
    return platform_tokens(platform, now) >= 1.0


def random_confirmation_timeout_s(random: Random) -> float:
    """Return a random time to wait for a confirmation from peers before reading the platform."""
    return CONFIRMATION_TIMEOUT_S + random.uniform(0.0, CONFIRMATION_JITTER_S)


def platform_tokens(platform: PlatformState, now: float) -> float:
    """Return how many platform reads the budget allows now."""
    earned = (now - platform["tokens_at"]) * PLATFORM_READS_PER_S
    return min(PLATFORM_READ_BURST, platform["tokens"] + earned)


def retry_delay(failures: int, random: Random) -> float:
    """Return the exponential backoff after a failed attempt, with jitter."""
    longest = backoff_s(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S, failures + 1)
    return random.uniform(0.5 * longest, longest)


def reasons_not_ready(state: NodeState, now: float) -> list[str]:
    """Return the reasons why this node cannot serve calls yet, each with its remedy."""
    store = state["store"]
    reasons = []
    if not store["vm_lists"]:
        reasons.append("no VM list; check that the platform or a peer or seed can be reached")
    if not store["sections"]:
        reasons.append("no section in force; check that the platform or a peer can be reached")
    if store["vm_lists"] and is_awaiting_peers(state, now):
        reasons.append("copies not yet compared with gossip peers; wait, or check the relay ports")
    if not _may_wait_for_last_good(state, now):
        return reasons
    for name in store["rejected"]:
        if name not in store["items"]:
            reasons.append(f"{name}: waiting for a peer's copy of the last good version")
    return reasons


def is_awaiting_peers(state: NodeState, now: float) -> bool:
    """Return whether this node has just started and not yet compared its copies with its peers."""
    gossip = state["gossip"]
    if gossip["startup_completed"] or Mechanism.PEER_LEARNING in state["settings"].disabled:
        return False
    since = gossip["chosen_at"]
    if since is None:
        since = state["clock"]["started_at"]
    if now - since >= START_WAIT_S:
        return False
    return not has_compared_with_peers(state)


def has_compared_with_peers(state: NodeState) -> bool:
    """Return whether this node holds every version that its reachable gossip peers have offered.

    All reachable peers, at least one, must have offered their versions: a single offer may come
    from a peer that has also just started and knows no more than this node. Without any gossip
    peers, a read of the platform suffices.
    """
    gossip = state["gossip"]
    if not state["store"]["vm_lists"]:
        return state["store"]["as_of_ms"] > 0
    if gossip["chosen_at"] is None:
        return False
    if not gossip["chosen"]:
        return state["store"]["as_of_ms"] > 0
    has_compared = False
    for versions in gossip["startup_offers"].values():
        has_compared = has_compared or _holds_all(state["store"], versions)
    if not has_compared:
        return False
    for vm in gossip["chosen"]:
        if gossip["failures"].get(vm, 0) > 0:
            continue
        if vm not in gossip["startup_offers"] or not _holds_all(
            state["store"], gossip["startup_offers"][vm]
        ):
            return False
    return True


def _holds_all(store: StoreState, versions: tuple[ItemVersion, ...]) -> bool:
    return not any(_lacks(store, version, frozenset()) for version in versions)


def _may_wait_for_last_good(state: NodeState, now: float) -> bool:
    if state["gossip"]["complete_offers_received"] > 0:
        return False
    return now - state["clock"]["started_at"] < LAST_GOOD_WAIT_S
