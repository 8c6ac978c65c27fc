"""Carries one call from its arrival at this node to its outcome.

The dispatcher asks the queries, applies the commands and does the I/O that they decide on; it
decides nothing itself.
"""

import asyncio
from functools import singledispatch
from itertools import count
from random import Random

import aiohttp
from returns.result import Failure, Success

from jacinthsail.internal.adapters.clock import wall_clock_ms
from jacinthsail.internal.adapters.decision_log import log_decision
from jacinthsail.internal.adapters.gate import AdmissionGate
from jacinthsail.internal.adapters.key_issuer import KeyIssuer
from jacinthsail.internal.adapters.relay import RelayPool
from jacinthsail.internal.adapters.target import call_target
from jacinthsail.internal.commands.idempotency import (
    record_interrupted,
    record_outcome,
    record_running,
    record_waiting,
)
from jacinthsail.internal.commands.nested import record_nested_refusal
from jacinthsail.internal.commands.retries import (
    close_allowance,
    end_retries,
    open_allowance,
    record_nested_call,
    record_success,
    return_allowance,
    spend_retry,
    take_allowance,
)
from jacinthsail.internal.model.admission import QueuedCall
from jacinthsail.internal.model.calls import Call, KeyedOutcome, NotRun, Outcome, Reason, Unknown
from jacinthsail.internal.model.decisions import DecisionKind
from jacinthsail.internal.model.document import ClassPolicy
from jacinthsail.internal.model.idempotency import (
    IdempotencyKey,
    KeyUnknown,
    RefuseKey,
    ReplayAnswer,
    RunKey,
)
from jacinthsail.internal.model.retries import Attempt
from jacinthsail.internal.model.routing import Refused, Route, ToOwnTarget, ToPeer, Unsettled
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import RETRY_AFTER_S
from jacinthsail.internal.queries.decision_lines import decision_line, line_of
from jacinthsail.internal.queries.idempotency import (
    decide_key,
    fingerprint_of,
    key_text,
    needs_key,
    outcome_for_given_key,
    outcome_without_route,
    parse_key,
)
from jacinthsail.internal.queries.limits import is_overload, sample_of
from jacinthsail.internal.queries.lookup import class_policy, reason_without_policy
from jacinthsail.internal.queries.nested import (
    is_nested_refusal,
    limits_nested_calls,
    parents_of,
)
from jacinthsail.internal.queries.outcomes import settle, settle_at_target
from jacinthsail.internal.queries.retries import allowance_of, decide_retry, has_nested_call
from jacinthsail.internal.queries.routing import decide_route, reason_to_refuse, vm_of


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
        self.key_issuer = KeyIssuer(state, relay_pool, random)
        self.gate = AdmissionGate(state["admission"])
        self.loop = asyncio.get_running_loop()

    async def serve_caller(self, call: Call) -> KeyedOutcome:
        """Serve a call from a caller or from the own target, and learn from what it met."""
        served = await self._serve_caller(call)
        admission = self.node_state["admission"]
        if is_nested_refusal(served.outcome) and limits_nested_calls(admission):
            for parent in parents_of(admission, call.head):
                record_nested_refusal(admission, parent, self.loop.time())
        return served

    async def _serve_caller(self, call: Call) -> KeyedOutcome:
        """Serve a call, which gets a key if it needs one."""
        head = call.head
        now = self.loop.time()
        reason = reason_to_refuse(self.node_state, head, now)
        if reason is not None:
            route = Refused(reason)
            log_decision(line_of(route, head, now))
            return KeyedOutcome(outcome_without_route(head, route), head.idempotency_key)
        if not needs_key(self.node_state, head):
            return KeyedOutcome(await self.serve_entry(call), "")
        if head.idempotency_key:
            return KeyedOutcome(await self.serve_entry(call), head.idempotency_key)
        match await self.key_issuer.issue(head):
            case Success(key):
                head = head._replace(idempotency_key=key_text(key))
                outcome = await self.serve_entry(call._replace(head=head), key_is_new=True)
                return KeyedOutcome(outcome, head.idempotency_key)
            case Failure(refused):
                return KeyedOutcome(NotRun(refused.reason, head.retries_left, RETRY_AFTER_S), "")
        raise AssertionError("a result is a success or a failure")

    async def serve_entry(self, call: Call, *, key_is_new: bool = False) -> Outcome:
        """Serve a call with retries; ``key_is_new`` when no earlier call can have used its key."""
        outcome, route = await self._serve_entry(call)
        head = call.head
        if key_is_new or not head.idempotency_key:
            return outcome
        if not needs_key(self.node_state, head):
            return outcome
        return outcome_for_given_key(outcome, route)

    async def _serve_entry(self, call: Call) -> tuple[Outcome, Route]:
        head = call.head
        policy = class_policy(self.node_state["store"], head.service, head.call_class)
        if policy is None:
            reason = reason_without_policy(self.node_state["store"])
            return NotRun(reason, 0), Refused(reason)
        if head.depth > 0:
            record_nested_call(self.node_state["retries"], head.request_id)
            return await self._serve_with_retries(call, policy)
        retries = self.node_state["retries"]
        open_allowance(retries, head.request_id, head.retries_left)
        try:
            return await self._serve_with_retries(call, policy)
        finally:
            close_allowance(retries, head.request_id)

    async def _serve_with_retries(self, call: Call, policy: ClassPolicy) -> tuple[Outcome, Route]:
        retries = self.node_state["retries"]
        tried: frozenset[str] = frozenset()
        earlier: tuple[Outcome, ...] = ()
        for number in count(1):
            head = call.head._replace(retries_left=allowance_of(retries, call.head.request_id))
            take_allowance(retries, head.request_id)
            route = decide_route(self.node_state, head, tried, self.loop.time(), self.random)
            log_decision(line_of(route, head, self.loop.time()))
            outcome = await execute_route(route, self, call._replace(head=head))
            now = self.loop.time()
            return_allowance(retries, head.request_id, outcome.retries_left)
            if not is_overload(outcome):
                record_success(retries, head, now)
            decision = decide_retry(
                outcome, retries, Attempt(head, policy, number), now, self.random
            )
            if not decision.again:
                end_retries(retries, head.request_id, decision)
                remaining = allowance_of(retries, head.request_id)
                return settle(outcome._replace(retries_left=remaining), earlier), route
            log_decision(line_of(decision, head, now))
            spend_retry(retries, head, now)
            tried = tried | {vm_of(route, self.node_state)}
            earlier = (*earlier, outcome)
            await asyncio.sleep(decision.delay_s)
        raise AssertionError("attempts are counted without end")

    async def serve_own(self, call: Call) -> Outcome:
        """Run a call at the own target, unless its key says that it may have run already."""
        head = call.head
        if not needs_key(self.node_state, head):
            return await self._serve_admitted(call, None)
        if not head.idempotency_key:
            return NotRun(Reason.KEY_REQUIRED, head.retries_left)
        match parse_key(head.idempotency_key):
            case Success(key):
                return await self._serve_keyed(call, key)
            case Failure(_):
                return NotRun(Reason.KEY_MALFORMED, head.retries_left)
        raise AssertionError("a result is a success or a failure")

    async def _serve_keyed(self, call: Call, key: IdempotencyKey) -> Outcome:
        head = call.head
        fingerprint = fingerprint_of(call)
        decision = decide_key(key, self.node_state, head.service, fingerprint, wall_clock_ms())
        log_decision(line_of(decision, head, self.loop.time()))
        return await execute_key_decision(decision, self, call, key)

    async def run_keyed(self, call: Call, key: IdempotencyKey) -> Outcome:
        """Run a call whose key is new, and keep the ledger true whichever way the call ends.

        The entry precedes admission, so that a second call with the key is not admitted while the
        first one waits.
        """
        ledger = self.node_state["ledger"]
        record_waiting(ledger, key, fingerprint_of(call))
        try:
            outcome = await self._serve_admitted(call, key)
        except BaseException:
            record_interrupted(ledger, key)
            raise
        record_outcome(ledger, key, outcome)
        return outcome

    async def _serve_admitted(self, call: Call, key: IdempotencyKey | None) -> Outcome:
        """Run a call at the own target once admission gives it a slot."""
        head = call.head
        entry = await self.gate.enter(head, self.loop.time())
        if entry.refusal is not None:
            reason = entry.refusal.reason
            now = self.loop.time()
            log_decision(decision_line(DecisionKind.ADMISSION, head, "", reason, now))
            return entry.refusal
        assert entry.started is not None
        if key is not None:
            record_running(self.node_state["ledger"], key)
        retries = self.node_state["retries"]
        open_allowance(retries, head.request_id, head.retries_left)
        try:
            outcome = await self._run_at_target(call, entry.started)
            outcome = settle_at_target(outcome, has_nested_call(retries, head.request_id))
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


@execute_route.register
async def _(route: Unsettled, dispatcher: Dispatcher, call: Call) -> Outcome:
    return Unknown(route.reason, call.head.retries_left)


@singledispatch
async def execute_key_decision(
    decision: object, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    """Carry out what the home of a key decided and return the outcome of the call."""
    raise NotImplementedError(f"no execution for {type(decision).__name__}; register one")


@execute_key_decision.register
async def _(decision: RunKey, dispatcher: Dispatcher, call: Call, key: IdempotencyKey) -> Outcome:
    return await dispatcher.run_keyed(call, key)


@execute_key_decision.register
async def _(
    decision: ReplayAnswer, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    return decision.answer._replace(retries_left=call.head.retries_left)


@execute_key_decision.register
async def _(
    decision: RefuseKey, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    return NotRun(decision.reason, call.head.retries_left)


@execute_key_decision.register
async def _(
    decision: KeyUnknown, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    return Unknown(decision.reason, call.head.retries_left)
