"""Decides to which VM a call is routed."""

from functools import singledispatch
from random import Random

from returns.result import Failure, Success

from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.document import ClassPolicy, SpillOver
from jacinthsail.internal.model.idempotency import IssuedKey, TimedKey
from jacinthsail.internal.model.membership import VmEntry, VmStatus
from jacinthsail.internal.model.peers import PeerState
from jacinthsail.internal.model.routing import (
    Route,
    RouteIndeterminate,
    RouteRefused,
    RouteToLocalTarget,
    RouteToPeer,
)
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.idempotency import parse_key, requires_key_check
from jacinthsail.internal.queries.lookup import class_policy, missing_policy_reason, vms_of_service
from jacinthsail.internal.queries.placement import key_owner_vm
from jacinthsail.internal.queries.replication import is_awaiting_peers

# A peer that receives no calls sends no replies, so its last threshold would cause refusals until
# its next heartbeat. After this time a call is sent to learn the current threshold.
THRESHOLD_VALID_S = 0.5


def refusal_reason(state: NodeState, context: CallContext, now: float) -> Reason | None:
    """Return why a call cannot be routed at all, or None if it can.

    A node that has not compared its copies with its peers yet may hold an outdated section.
    """
    if is_awaiting_peers(state, now):
        return Reason.NOT_READY
    if class_policy(state["store"], context.service, context.call_class) is None:
        return missing_policy_reason(state["store"])
    return None


def decide_route(
    state: NodeState, context: CallContext, attempted: frozenset[str], now: float, random: Random
) -> Route:
    """Return the next route of a call; ``attempted`` contains the VMs of earlier attempts.

    The local target comes first, then the failure domain, then the region, and other regions only
    if the spill-over policy of the class allows them.
    """
    store = state["store"]
    settings = state["settings"]
    policy = class_policy(store, context.service, context.call_class)
    if policy is None:
        return RouteRefused(missing_policy_reason(store))
    if now >= context.deadline:
        return RouteRefused(Reason.DEADLINE_EXPIRED)
    if context.idempotency_key and requires_key_check(state, context):
        return _route_to_key_owner(state, context)
    serves_locally = settings.service == context.service and not is_draining(state)
    if serves_locally and settings.vm not in attempted:
        return RouteToLocalTarget()
    groups = _by_distance(
        state, _available(state, vms_of_service(store, context.service), now), policy
    )
    if serves_locally and not groups:
        # With no other VM available, the local target is the only place for a retry.
        return RouteToLocalTarget()
    if serves_locally or sum(len(group) for group in groups) > 1:
        groups = _exclude_attempted(groups, attempted)
    for candidates_at_distance in groups:
        accepting = _accepting(state, candidates_at_distance, context, now)
        if not accepting:
            continue
        entry = _least_loaded_of_two(state, accepting, random)
        return RouteToPeer(entry, crosses_region=entry.region != settings.region)
    return RouteRefused(Reason.BELOW_EVERY_THRESHOLD if groups else Reason.NO_TARGET)


def _route_to_key_owner(state: NodeState, context: CallContext) -> Route:
    """Return the route to the owner of the call's key; no other node may execute the call.

    Spill-over does not apply, since the key determines the owner. A draining VM still responds for
    the keys that it has executed.
    """
    match parse_key(context.idempotency_key):
        case Success(key):
            owner = key_owner_entry(key, state, context.service)
        case Failure(_):
            return RouteRefused(Reason.KEY_MALFORMED)
    if owner is None:
        return RouteIndeterminate(_unknown_owner_reason(key))
    if owner.vm == state["settings"].vm:
        return RouteToLocalTarget()
    return RouteToPeer(owner, crosses_region=owner.region != state["settings"].region)


@singledispatch
def key_owner_entry(key: object, state: NodeState, service: str) -> VmEntry | None:
    """Return the published entry of the key owner, or None if this node knows none."""
    raise NotImplementedError(f"no owner for {type(key).__name__}; register one")


@key_owner_entry.register
def _(key: IssuedKey, state: NodeState, service: str) -> VmEntry | None:
    for entry in vms_of_service(state["store"], service):
        if entry.vm == key.owner_vm:
            return entry
    return None


@key_owner_entry.register
def _(key: TimedKey, state: NodeState, service: str) -> VmEntry | None:
    return key_owner_vm(state["store"], key, service)


@singledispatch
def _unknown_owner_reason(key: object) -> Reason:
    return Reason.PLACEMENT_UNCONFIRMED


@_unknown_owner_reason.register
def _(key: IssuedKey) -> Reason:
    return Reason.KEY_HOME_GONE


def is_draining(state: NodeState) -> bool:
    """Return whether this node accepts no new calls for its local target."""
    return state["admission"]["draining"]


def _exclude_attempted(
    groups: list[list[VmEntry]], attempted: frozenset[str]
) -> list[list[VmEntry]]:
    remaining = [[entry for entry in group if entry.vm not in attempted] for group in groups]
    return [group for group in remaining if group]


def _available(state: NodeState, entries: list[VmEntry], now: float) -> list[VmEntry]:
    available = []
    excludes_draining = Mechanism.LEAVING not in state["settings"].disabled
    for entry in entries:
        if entry.vm == state["settings"].vm:
            continue
        peer = state["peers"].get(entry.vm)
        if excludes_draining and is_vm_draining(state, entry):
            continue
        if peer is not None and now < peer["suspected_until"]:
            continue
        available.append(entry)
    return available


def _accepting(
    state: NodeState, entries: list[VmEntry], context: CallContext, now: float
) -> list[VmEntry]:
    if Mechanism.IMPORTANCE in state["settings"].disabled:
        return entries
    accepting = []
    for entry in entries:
        peer = state["peers"].get(entry.vm)
        if peer is not None and is_below_peer_threshold(peer, context, now):
            continue
        accepting.append(entry)
    return accepting


def is_below_peer_threshold(peer: PeerState, context: CallContext, now: float) -> bool:
    """Return whether a peer has recently reported a threshold above the rank of a call."""
    if now - peer["threshold_at"] > THRESHOLD_VALID_S:
        return False
    return context.rank < peer["threshold"]


def is_vm_draining(state: NodeState, entry: VmEntry) -> bool:
    """Return whether a VM is draining, according to its VM list or its own node."""
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
    """Pick two entries at random and return the one with fewer calls in flight from this node.

    If all nodes chose the least loaded VM, they would overload it together.
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
def route_vm(route: object, state: NodeState) -> str:
    """Return the name of the VM that a route leads to, or an empty string."""
    return ""


@route_vm.register
def _(route: RouteToLocalTarget, state: NodeState) -> str:
    return state["settings"].vm


@route_vm.register
def _(route: RouteToPeer, state: NodeState) -> str:
    return route.entry.vm
