"""Issues idempotency keys whose owner is this node or a peer."""

import asyncio
from functools import singledispatch
from random import Random
from typing import NamedTuple

from returns.result import Failure, Result, Success

from jacinthsail.internal.adapters.clock import wall_clock_ms
from jacinthsail.internal.adapters.relay import RelayPool
from jacinthsail.internal.commands.idempotency import record_issued
from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.idempotency import IssuedKey
from jacinthsail.internal.model.routing import RouteRefused, RouteToLocalTarget, RouteToPeer
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.idempotency import next_issued_key
from jacinthsail.internal.queries.routing import decide_route, route_vm

# More unreachable owners in a row indicate a partition, which further attempts do not avoid.
MAX_OWNERS_TRIED = 3


class KeyOwner(NamedTuple):
    """The process that owns a key and records the outcome of its call."""

    vm: str
    incarnation: str


class KeyIssuer:
    """Issues keys without a request to the owner, whose incarnation is known from its ``Hello``."""

    def __init__(self, state: NodeState, relay_pool: RelayPool, random: Random) -> None:
        self.node_state = state
        self.relay_pool = relay_pool
        self.random = random

    async def issue(self, context: CallContext) -> Result[IssuedKey, RouteRefused]:
        """Return a new key, owned by the node that the call would be routed to without a key."""
        loop = asyncio.get_running_loop()
        tried_vms: frozenset[str] = frozenset()
        for _ in range(MAX_OWNERS_TRIED):
            route = decide_route(self.node_state, context, tried_vms, loop.time(), self.random)
            reason = _refusal_reason(route)
            if reason is not None:
                return Failure(RouteRefused(reason))
            owner = await find_key_owner(route, self)
            if owner is not None:
                return Success(self._issue_for(owner))
            tried_vms = tried_vms | {route_vm(route, self.node_state)}
        return Failure(RouteRefused(Reason.PEER_UNREACHABLE))

    def _issue_for(self, owner: KeyOwner) -> IssuedKey:
        ledger = self.node_state["ledger"]
        key = next_issued_key(ledger, owner.vm, owner.incarnation, wall_clock_ms())
        record_issued(ledger, key)
        return key


@singledispatch
async def find_key_owner(route: object, issuer: KeyIssuer) -> KeyOwner | None:
    """Return the process at the end of a route, or None if it is unreachable."""
    raise NotImplementedError(f"no process for {type(route).__name__}; register one")


@find_key_owner.register
async def _(route: RouteToLocalTarget, issuer: KeyIssuer) -> KeyOwner | None:
    state = issuer.node_state
    return KeyOwner(state["settings"].vm, state["ledger"]["incarnation"])


@find_key_owner.register
async def _(route: RouteToPeer, issuer: KeyIssuer) -> KeyOwner | None:
    incarnation = await issuer.relay_pool.fetch_incarnation(route.entry)
    if not incarnation:
        return None
    return KeyOwner(route.entry.vm, incarnation)


@singledispatch
def _refusal_reason(route: object) -> Reason | None:
    return None


@_refusal_reason.register
def _(route: RouteRefused) -> Reason | None:
    return route.reason
