"""Issues idempotency keys for homes on this VM or on a peer."""

import asyncio
from functools import singledispatch
from random import Random
from typing import NamedTuple

from returns.result import Failure, Result, Success

from jacinthsail.internal.adapters.clock import wall_clock_ms
from jacinthsail.internal.adapters.relay import RelayPool
from jacinthsail.internal.commands.idempotency import record_issued
from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.idempotency import IssuedKey
from jacinthsail.internal.model.routing import Refused, ToOwnTarget, ToPeer
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.idempotency import next_issued_key
from jacinthsail.internal.queries.routing import decide_route, vm_of

# More unreachable homes in a row mean a partition, which a further one does not get around.
MAX_HOMES_TRIED = 3


class HomeProcess(NamedTuple):
    """The process that a key is issued for."""

    vm: str
    incarnation: str


class KeyIssuer:
    """Issues keys without asking the home, whose incarnation is known from its ``Hello``."""

    def __init__(self, state: NodeState, relay_pool: RelayPool, random: Random) -> None:
        self.node_state = state
        self.relay_pool = relay_pool
        self.random = random

    async def issue(self, head: CallHead) -> Result[IssuedKey, Refused]:
        """Return a new key whose home is where the call would be routed without a key."""
        loop = asyncio.get_running_loop()
        tried: frozenset[str] = frozenset()
        for _ in range(MAX_HOMES_TRIED):
            route = decide_route(self.node_state, head, tried, loop.time(), self.random)
            reason = _refusal_of(route)
            if reason is not None:
                return Failure(Refused(reason))
            home = await home_process(route, self)
            if home is not None:
                return Success(self._issue_for(home))
            tried = tried | {vm_of(route, self.node_state)}
        return Failure(Refused(Reason.PEER_UNREACHABLE))

    def _issue_for(self, home: HomeProcess) -> IssuedKey:
        ledger = self.node_state["ledger"]
        key = next_issued_key(ledger, home.vm, home.incarnation, wall_clock_ms())
        record_issued(ledger, key)
        return key


@singledispatch
async def home_process(route: object, issuer: KeyIssuer) -> HomeProcess | None:
    """Return the process that a route leads to, or None when it cannot be reached."""
    raise NotImplementedError(f"no process for {type(route).__name__}; register one")


@home_process.register
async def _(route: ToOwnTarget, issuer: KeyIssuer) -> HomeProcess | None:
    state = issuer.node_state
    return HomeProcess(state["settings"].vm, state["ledger"]["incarnation"])


@home_process.register
async def _(route: ToPeer, issuer: KeyIssuer) -> HomeProcess | None:
    incarnation = await issuer.relay_pool.incarnation_of(route.entry)
    if not incarnation:
        return None
    return HomeProcess(route.entry.vm, incarnation)


@singledispatch
def _refusal_of(route: object) -> Reason | None:
    return None


@_refusal_of.register
def _(route: Refused) -> Reason | None:
    return route.reason
