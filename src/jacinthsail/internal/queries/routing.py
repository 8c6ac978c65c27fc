"""Decides where a call goes next."""

from functools import singledispatch
from random import Random

from returns.result import Failure, Success

from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.document import ClassPolicy, SpillOver
from jacinthsail.internal.model.idempotency import IssuedKey, TimedKey
from jacinthsail.internal.model.membership import VmEntry, VmStatus
from jacinthsail.internal.model.peers import PeerState
from jacinthsail.internal.model.routing import Refused, Route, ToOwnTarget, ToPeer, Unsettled
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.idempotency import needs_key, parse_key
from jacinthsail.internal.queries.lookup import class_policy, reason_without_policy, vms_of_service
from jacinthsail.internal.queries.placement import home_of

# A peer that gets no calls sends no replies, so an old threshold would keep refusing for it until
# its next heartbeat; after this time a call is sent to learn the present one.
THRESHOLD_VALID_S = 0.5


def decide_route(
    state: NodeState, head: CallHead, tried: frozenset[str], now: float, random: Random
) -> Route:
    """Return where the call goes next; ``tried`` holds the VMs that refused it already.

    The own target comes first, then the failure domain, then the region; other regions only where
    the class's spill-over policy allows them.
    """
    store = state["store"]
    settings = state["settings"]
    policy = class_policy(store, head.service, head.call_class)
    if policy is None:
        return Refused(reason_without_policy(store))
    if now >= head.deadline:
        return Refused(Reason.DEADLINE_EXPIRED)
    if head.idempotency_key and needs_key(state, head):
        return _route_to_home(state, head)
    serves_own = settings.service == head.service and not is_draining(state)
    if serves_own and settings.vm not in tried:
        return ToOwnTarget()
    groups = _by_distance(state, _usable(state, vms_of_service(store, head.service), now), policy)
    if serves_own and not groups:
        # A service with one VM in reach can be tried again nowhere else.
        return ToOwnTarget()
    if serves_own or sum(len(group) for group in groups) > 1:
        groups = _without(groups, tried)
    for candidates_at_distance in groups:
        willing = _willing(state, candidates_at_distance, head, now)
        if not willing:
            continue
        entry = _least_loaded_of_two(state, willing, random)
        return ToPeer(entry, crosses_region=entry.region != settings.region)
    return Refused(Reason.BELOW_EVERY_THRESHOLD if groups else Reason.NO_TARGET)


def _route_to_home(state: NodeState, head: CallHead) -> Route:
    """Return the way to the home of the call's key; no other node may run the call.

    Spill-over does not apply, since the home was chosen before. A VM that leaves still answers for
    the keys that it ran.
    """
    match parse_key(head.idempotency_key):
        case Success(key):
            home = home_entry(key, state, head.service)
        case Failure(_):
            return Refused(Reason.KEY_MALFORMED)
    if home is None:
        return Unsettled(_reason_without_home(key))
    if home.vm == state["settings"].vm:
        return ToOwnTarget()
    return ToPeer(home, crosses_region=home.region != state["settings"].region)


@singledispatch
def home_entry(key: object, state: NodeState, service: str) -> VmEntry | None:
    """Return the published entry of a key's home, or None when this node knows of none."""
    raise NotImplementedError(f"no home for {type(key).__name__}; register one")


@home_entry.register
def _(key: IssuedKey, state: NodeState, service: str) -> VmEntry | None:
    for entry in vms_of_service(state["store"], service):
        if entry.vm == key.home_vm:
            return entry
    return None


@home_entry.register
def _(key: TimedKey, state: NodeState, service: str) -> VmEntry | None:
    return home_of(state["store"], key, service)


@singledispatch
def _reason_without_home(key: object) -> Reason:
    return Reason.PLACEMENT_UNCONFIRMED


@_reason_without_home.register
def _(key: IssuedKey) -> Reason:
    return Reason.KEY_HOME_GONE


def is_draining(state: NodeState) -> bool:
    """Tell whether this node takes no new work for its own target."""
    return state["admission"]["draining"]


def _without(groups: list[list[VmEntry]], tried: frozenset[str]) -> list[list[VmEntry]]:
    untried = [[entry for entry in group if entry.vm not in tried] for group in groups]
    return [group for group in untried if group]


def _usable(state: NodeState, entries: list[VmEntry], now: float) -> list[VmEntry]:
    usable = []
    heeds_leaving = Mechanism.LEAVING not in state["settings"].disabled
    for entry in entries:
        if entry.vm == state["settings"].vm:
            continue
        peer = state["peers"].get(entry.vm)
        if heeds_leaving and takes_no_new_work(state, entry):
            continue
        if peer is not None and now < peer["suspected_until"]:
            continue
        usable.append(entry)
    return usable


def _willing(state: NodeState, entries: list[VmEntry], head: CallHead, now: float) -> list[VmEntry]:
    if Mechanism.IMPORTANCE in state["settings"].disabled:
        return entries
    willing = []
    for entry in entries:
        peer = state["peers"].get(entry.vm)
        if peer is not None and is_below_peer_threshold(peer, head, now):
            continue
        willing.append(entry)
    return willing


def is_below_peer_threshold(peer: PeerState, head: CallHead, now: float) -> bool:
    """Tell whether a peer said lately that it refuses calls of this rank."""
    if now - peer["threshold_at"] > THRESHOLD_VALID_S:
        return False
    return head.rank < peer["threshold"]


def takes_no_new_work(state: NodeState, entry: VmEntry) -> bool:
    """Tell whether a VM takes no new work, from its list or from its own node."""
    if entry.status is VmStatus.LEAVING:
        return True
    peer = state["peers"].get(entry.vm)
    return peer is not None and peer["draining"]


def _by_distance(
    state: NodeState, candidates: list[VmEntry], policy: ClassPolicy
) -> list[list[VmEntry]]:
    settings = state["settings"]
    same_domain = []
    same_region = []
    elsewhere = []
    for entry in candidates:
        if entry.failure_domain == settings.failure_domain:
            same_domain.append(entry)
            continue
        if entry.region == settings.region:
            same_region.append(entry)
            continue
        elsewhere.append(entry)
    groups = [same_domain]
    if policy.spill_over is not SpillOver.NEVER:
        groups.append(same_region)
    if policy.spill_over is SpillOver.ANYWHERE:
        groups.append(elsewhere)
    return [group for group in groups if group]


def _least_loaded_of_two(state: NodeState, entries: list[VmEntry], random: Random) -> VmEntry:
    """Pick two at random and return the one with fewer calls in flight from here.

    Two choices avoid the herd that always taking the least loaded would cause.
    """
    first = random.choice(entries)
    second = random.choice(entries)
    if _in_flight(state, second) < _in_flight(state, first):
        return second
    return first


def _in_flight(state: NodeState, entry: VmEntry) -> int:
    peer = state["peers"].get(entry.vm)
    if peer is None:
        return 0
    return peer["in_flight"]


@singledispatch
def vm_of(route: object, state: NodeState) -> str:
    """Return the VM that a route leads to, or an empty text."""
    return ""


@vm_of.register
def _(route: ToOwnTarget, state: NodeState) -> str:
    return state["settings"].vm


@vm_of.register
def _(route: ToPeer, state: NodeState) -> str:
    return route.entry.vm
