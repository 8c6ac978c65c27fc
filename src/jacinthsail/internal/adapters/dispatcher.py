"""Carries one call from its arrival at this node to its outcome.

The dispatcher asks the queries, applies the commands and does the I/O that they decide on; it
decides nothing itself.
"""

import asyncio
from functools import singledispatch
from itertools import count
from random import Random

import aiohttp

from jacinthsail.internal.adapters.decision_log import log_decision
from jacinthsail.internal.adapters.gate import AdmissionGate
from jacinthsail.internal.adapters.relay import RelayPool
from jacinthsail.internal.adapters.target import call_target
from jacinthsail.internal.commands.retries import (
    close_allowance,
    end_retries,
    open_allowance,
    record_success,
    return_allowance,
    spend_retry,
    take_allowance,
)
from jacinthsail.internal.model.admission import QueuedCall
from jacinthsail.internal.model.calls import Call, NotRun, Outcome
from jacinthsail.internal.model.decisions import DecisionKind
from jacinthsail.internal.model.document import ClassPolicy
from jacinthsail.internal.model.routing import Refused, ToOwnTarget, ToPeer
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.decision_lines import decision_line, line_of
from jacinthsail.internal.queries.limits import is_overload, sample_of
from jacinthsail.internal.queries.lookup import class_policy, reason_without_policy
from jacinthsail.internal.queries.retries import allowance_of, decide_retry
from jacinthsail.internal.queries.routing import decide_route, vm_of


class Dispatcher:
    """Serves the calls of one node."""

    def __init__(
        self,
        state: NodeState,
        session: aiohttp.ClientSession,
        relay_pool: RelayPool,
        random: Random,
    ) -> None:
        self.node_state = state
        self.session = session
        self.relay_pool = relay_pool
        self.random = random
        self.gate = AdmissionGate(state["admission"])
        self.loop = asyncio.get_running_loop()

    async def serve_entry(self, call: Call) -> Outcome:
        """Serve a call from a caller or from the own target, with retries."""
        head = call.head
        policy = class_policy(self.node_state["store"], head.service, head.call_class)
        if policy is None:
            return NotRun(reason_without_policy(self.node_state["store"]), 0)
        if head.depth > 0:
            return await self._serve_with_retries(call, policy)
        retries = self.node_state["retries"]
        open_allowance(retries, head.request_id, head.retries_left)
        try:
            return await self._serve_with_retries(call, policy)
        finally:
            close_allowance(retries, head.request_id)

    async def _serve_with_retries(self, call: Call, policy: ClassPolicy) -> Outcome:
        retries = self.node_state["retries"]
        tried: frozenset[str] = frozenset()
        for attempt in count(1):
            head = call.head._replace(retries_left=allowance_of(retries, call.head.request_id))
            take_allowance(retries, head.request_id)
            route = decide_route(self.node_state, head, tried, self.loop.time(), self.random)
            log_decision(line_of(route, head, self.loop.time()))
            outcome = await execute_route(route, self, call._replace(head=head))
            now = self.loop.time()
            return_allowance(retries, head.request_id, outcome.retries_left)
            if not is_overload(outcome):
                record_success(retries, head, now)
            decision = decide_retry(outcome, retries, head, policy, attempt, now, self.random)
            if not decision.again:
                end_retries(retries, head.request_id, decision)
                return outcome._replace(retries_left=allowance_of(retries, head.request_id))
            log_decision(line_of(decision, head, now))
            spend_retry(retries, head, now)
            tried = tried | {vm_of(route, self.node_state)}
            await asyncio.sleep(decision.delay_s)
        raise AssertionError("attempts are counted without end")

    async def serve_own(self, call: Call) -> Outcome:
        """Run a call at the own target once admission gives it a slot."""
        head = call.head
        entry = await self.gate.enter(head, self.loop.time())
        if entry.refusal is not None:
            reason = entry.refusal.reason
            now = self.loop.time()
            log_decision(decision_line(DecisionKind.ADMISSION, head, "", reason, now))
            return entry.refusal
        assert entry.started is not None
        retries = self.node_state["retries"]
        open_allowance(retries, head.request_id, head.retries_left)
        try:
            outcome = await self._run_at_target(call, entry.started)
            return outcome._replace(retries_left=allowance_of(retries, head.request_id))
        finally:
            close_allowance(retries, head.request_id)

    async def _run_at_target(self, call: Call, started: QueuedCall) -> Outcome:
        started_at = self.loop.time()
        outcome: Outcome | None = None
        try:
            settings = self.node_state["settings"]
            outcome = await call_target(self.session, settings, call, started_at)
            return outcome
        finally:
            now = self.loop.time()
            in_flight = len(self.node_state["admission"]["in_flight"])
            self.gate.leave(started, sample_of(outcome, now - started_at, in_flight), now)


@singledispatch
async def execute_route(route: object, dispatcher: Dispatcher, call: Call) -> Outcome:
    """Carry out a routing decision and return the outcome of the call."""
    raise NotImplementedError(f"no execution for {type(route).__name__}; register one")


@execute_route.register
async def _(route: ToOwnTarget, dispatcher: Dispatcher, call: Call) -> Outcome:
    return await dispatcher.serve_own(call)


@execute_route.register
async def _(route: ToPeer, dispatcher: Dispatcher, call: Call) -> Outcome:
    return await dispatcher.relay_pool.call(route.entry, call)


@execute_route.register
async def _(route: Refused, dispatcher: Dispatcher, call: Call) -> Outcome:
    return NotRun(route.reason, call.head.retries_left)
