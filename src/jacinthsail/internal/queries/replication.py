"""Decides whether copies replace what is in force, and what to exchange with whom."""

from functools import singledispatch
from random import Random

import xxhash
from returns.result import Failure, Success

from jacinthsail.errors import ConfigurationError
from jacinthsail.internal.model.messages import Ask, Heartbeat, Offer
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
from jacinthsail.internal.queries.documents import parse_section
from jacinthsail.internal.queries.membership import is_watcher
from jacinthsail.internal.queries.vm_lists import parse_vm_list

SECTION_PREFIX = "section/"
VM_LIST_PREFIX = "vms/"

# A node without a confirmation for this long reads the platform itself. Watchers confirm every 2 s
# and a confirmation needs about 4 heartbeats of 2 s to reach every node of a failure domain.
SILENCE_S = 8.0

# Spreads the reads of a failure domain whose watchers failed together.
SILENCE_JITTER_S = 4.0

# Without the budget, 3,000 nodes that all lose their peers would exceed the platform's 2,000
# reads/s; at one read in 4 s each they make 750 reads/s.
PLATFORM_READS_PER_S = 0.25
PLATFORM_READ_BURST = 3.0

# The first delay after a failed read or connection; each further failure doubles it. With the
# bound, a node notices the end of an outage well within 16 s.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0

# An offer of all versions takes about 20 KB at 220 sections, so it is sent only when a difference
# outlasts one heartbeat, and not more often than this to one peer.
OFFER_ALL_INTERVAL_S = 5.0
MISMATCH_PATIENCE_S = 1.5

# A new VM that knows only a rejected version of a section waits this long for the last good copy.
LAST_GOOD_WAIT_S = 5.0


# A new VM that knows gossip peers waits this long to compare its copies with theirs, since the
# platform may have answered from an older state. A VM that is cut off from them serves after that.
START_WAIT_S = 5.0


# The digest of a store without any item.
EMPTY_DIGEST = xxhash.xxh3_64_intdigest(b"")


def decide_item(
    store: StoreState, item: Item, disabled: frozenset[Mechanism] = frozenset()
) -> ItemDecision:
    """Return what to do with a copy of an item, from the platform or from a peer.

    Versions only go up, whoever brings the copy, so neither a stale platform nor a peer that slept
    takes a node back. A valid copy between the version in force and a newer rejected one is
    accepted: it is the last good version, which this node has not seen yet.
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
def is_news(decision: object) -> bool:
    """Tell whether the copy brought something that this node did not know."""
    return True


@is_news.register
def _(decision: Superseded) -> bool:
    return False


def version_in_force(store: StoreState, name: str) -> int:
    """Return the version in force of an item, or 0."""
    item = store["items"].get(name)
    if item is None:
        return 0
    return item.version


def contradicts_confirmation(store: StoreState, item: Item) -> bool:
    """Tell whether a copy proves that the confirmation held here was false.

    All versions published up to ``as_of_ms`` should be known. A newer copy that was read from the
    platform before then shows that a stale platform answered this node or one of its peers.
    """
    if item.version <= store["newest_seen"].get(item.name, 0):
        return False
    return 0 < item.as_of_ms < store["as_of_ms"]


def versions_held(store: StoreState) -> tuple[ItemVersion, ...]:
    """Return the versions to offer: all in force, and the newer ones that were rejected."""
    versions = []
    for item in store["items"].values():
        versions.append(ItemVersion(item.name, item.version, item.digest))
    for rejected in store["rejected"].values():
        item = rejected.item
        versions.append(ItemVersion(item.name, item.version, item.digest))
    return tuple(versions)


def store_digest(store: StoreState) -> int:
    """Return one digest over all versions in force and all rejected ones."""
    lines = sorted(f"{version.name} {version.version}" for version in versions_held(store))
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode())


def heartbeat_of(state: NodeState) -> Heartbeat:
    """Return the heartbeat that this node sends now."""
    store = state["store"]
    admission = state["admission"]
    return Heartbeat(
        store_digest=store["digest"],
        as_of_ms=store["as_of_ms"],
        threshold=advertised_threshold(admission),
        draining=admission["draining"],
    )


def decide_ask(
    store: StoreState, offer: Offer, disabled: frozenset[Mechanism] = frozenset()
) -> Ask:
    """Return a request for what the offer holds and this node lacks."""
    names: list[str] = []
    for version in offer.versions:
        if version.name in names or not _lacks(store, version, disabled):
            continue
        names.append(version.name)
    return Ask(tuple(names))


def _lacks(store: StoreState, version: ItemVersion, disabled: frozenset[Mechanism]) -> bool:
    rejected = store["rejected"].get(version.name)
    if rejected is not None and rejected.version == version.version:
        return False
    in_force = version_in_force(store, version.name)
    if Mechanism.VERSION_ORDER in disabled:
        return version.version != in_force
    return version.version > in_force


def decide_counter_offer(store: StoreState, offer: Offer) -> Offer:
    """Return an offer of what the sender of a complete offer lacks."""
    offered = {(version.name, version.version) for version in offer.versions}
    newest: dict[str, int] = {}
    for version in offer.versions:
        newest[version.name] = max(version.version, newest.get(version.name, 0))
    lacking = []
    for version in versions_held(store):
        if (version.name, version.version) in offered:
            continue
        if version.version < newest.get(version.name, 0) and not _is_last_good(offer, version):
            continue
        lacking.append(version)
    return Offer(tuple(lacking), complete=False, is_answer=True)


def _is_last_good(offer: Offer, version: ItemVersion) -> bool:
    """Tell whether the sender may know only a rejected version of this item.

    An offer with one version of a name does not say whether that version is in force, so an older
    valid one is offered too; the receiver asks for it only when it has nothing newer in force.
    """
    return sum(1 for offered in offer.versions if offered.name == version.name) == 1


def copies_of(store: StoreState, ask: Ask) -> list[Item]:
    """Return the copies to send for a request: in force first, then rejected."""
    copies = []
    for name in ask.names:
        item = store["items"].get(name)
        if item is not None:
            copies.append(item)
        rejected = store["rejected"].get(name)
        if rejected is not None:
            copies.append(rejected.item)
    return copies


def offer_of_item(item: Item) -> Offer:
    """Return the offer that tells peers of one changed item."""
    return Offer((ItemVersion(item.name, item.version, item.digest),), complete=False)


def decide_on_digest(state: NodeState, vm: str, heartbeat: Heartbeat, now: float) -> DigestDecision:
    """Return what to make of the digest in a peer's heartbeat."""
    store = state["store"]
    if heartbeat.store_digest == store["digest"]:
        return DigestMatch(heartbeat.as_of_ms)
    gossip = state["gossip"]
    since = gossip["mismatch_since"].get(vm, now)
    if now - since < MISMATCH_PATIENCE_S and store["items"]:
        return DigestMismatch(offer_all=False)
    offered_at = gossip["offered_at"].get(vm)
    is_due = offered_at is None or now - offered_at >= OFFER_ALL_INTERVAL_S
    return DigestMismatch(offer_all=is_due)


def is_stale(store: StoreState, platform: PlatformState, change: PlatformChange) -> bool:
    """Tell whether the platform answers from a state older than one already seen."""
    return change.revision < max(store["revision"], platform["revision"])


def names_to_read(
    store: StoreState, change: PlatformChange, disabled: frozenset[Mechanism] = frozenset()
) -> list[str]:
    """Return the changed items of which this node has not seen the published version.

    VM lists come first: with them a new VM finds peers, which have copies of the rest.
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
    """Tell whether the published version of an item has not been seen here."""
    if Mechanism.VERSION_ORDER in disabled and version != version_in_force(store, name):
        return True
    return version > store["newest_seen"].get(name, 0)


def is_caught_up(store: StoreState, change: PlatformChange) -> bool:
    """Tell whether every version that the platform names has been seen here."""
    return not names_to_read(store, change)


def decide_platform_action(state: NodeState, silence_s: float, now: float) -> PlatformAction:
    """Return whether to watch the platform, read it once, or leave it alone.

    ``silence_s`` is how long this node waits for its peers; the caller draws it with
    ``draw_silence``.
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
    due_in_s = store["confirmed_at"] + silence_s - now
    if due_in_s > 0.0:
        return AwaitPeers(due_in_s)
    tokens = platform_tokens(state["platform"], now)
    if tokens < 1.0:
        return AwaitPeers((1.0 - tokens) / PLATFORM_READS_PER_S)
    return ReadPlatform()


def is_read_due_after_pause(state: NodeState, now: float) -> bool:
    """Tell whether the platform is to be read at once because this process stood still.

    A watch would answer only after its time limit, and a node that waits for its peers would accept
    no timed key meanwhile.
    """
    platform = state["platform"]
    if platform["pauses_answered"] == state["clock"]["pauses"]:
        return False
    return platform_tokens(platform, now) >= 1.0


def draw_silence(random: Random) -> float:
    """Return how long to wait for a confirmation from peers before reading the platform."""
    return SILENCE_S + random.uniform(0.0, SILENCE_JITTER_S)


def platform_tokens(platform: PlatformState, now: float) -> float:
    """Return how many reads of the platform the budget allows now."""
    earned = (now - platform["tokens_at"]) * PLATFORM_READS_PER_S
    return min(PLATFORM_READ_BURST, platform["tokens"] + earned)


def retry_delay(failures: int, random: Random) -> float:
    """Return how long to wait after a failed attempt; doubles up to a bound, with jitter."""
    longest = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** min(failures, 10))
    return random.uniform(0.5 * longest, longest)


def reasons_not_ready(state: NodeState, now: float) -> list[str]:
    """Return what this node still lacks before it can serve, each with its remedy."""
    store = state["store"]
    reasons = []
    if not store["vm_lists"]:
        reasons.append("no VM list; check that the platform or a peer or seed can be reached")
    if not store["sections"]:
        reasons.append("no section in force; check that the platform or a peer can be reached")
    if store["vm_lists"] and awaits_peers(state, now):
        reasons.append("copies not yet compared with gossip peers; wait, or check the relay ports")
    if not _may_wait_for_last_good(state, now):
        return reasons
    for name in store["rejected"]:
        if name not in store["items"]:
            reasons.append(f"{name}: waiting for a peer's copy of the last good version")
    return reasons


def awaits_peers(state: NodeState, now: float) -> bool:
    """Tell whether this node has just started and has yet to compare its copies with its peers."""
    gossip = state["gossip"]
    if gossip["start_settled"] or Mechanism.PEER_LEARNING in state["settings"].disabled:
        return False
    since = gossip["chosen_at"]
    if since is None:
        since = state["clock"]["started_at"]
    if now - since >= START_WAIT_S:
        return False
    return not has_compared_with_peers(state)


def has_compared_with_peers(state: NodeState) -> bool:
    """Tell whether every gossip peer that can be reached has answered, and one at least has.

    One answer alone may come from a peer that has just started too and knows no more than this
    node. Without any peer the answer of the platform has to do.
    """
    gossip = state["gossip"]
    if not state["store"]["vm_lists"]:
        return state["store"]["as_of_ms"] > 0
    if gossip["chosen_at"] is None:
        return False
    if not gossip["chosen"]:
        return state["store"]["as_of_ms"] > 0
    has_answer = False
    for versions in gossip["answers"].values():
        has_answer = has_answer or _holds_all(state["store"], versions)
    if not has_answer:
        return False
    for vm in gossip["chosen"]:
        if gossip["failures"].get(vm, 0) > 0:
            continue
        if vm not in gossip["answers"] or not _holds_all(state["store"], gossip["answers"][vm]):
            return False
    return True


def _holds_all(store: StoreState, versions: tuple[ItemVersion, ...]) -> bool:
    return not any(_lacks(store, version, frozenset()) for version in versions)


def _may_wait_for_last_good(state: NodeState, now: float) -> bool:
    if state["gossip"]["complete_offers_heard"] > 0:
        return False
    return now - state["clock"]["started_at"] < LAST_GOOD_WAIT_S
