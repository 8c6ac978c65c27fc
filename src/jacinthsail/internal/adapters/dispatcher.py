"""Serves calls from their arrival at this node to their outcome.

The dispatcher evaluates the queries, applies the commands and performs the I/O that they decide on;
it makes no decisions itself.
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
    record_queued,
    record_running,
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
    KeyIndeterminate,
    RefuseKey,
    ReplayResponse,
    RunKey,
)
from jacinthsail.internal.model.retries import Attempt
from jacinthsail.internal.model.routing import (
    Route,
    RouteIndeterminate,
    RouteRefused,
    RouteToLocalTarget,
    RouteToPeer,
)
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import RETRY_AFTER_S
from jacinthsail.internal.queries.decision_lines import decision_line, line_for_decision
from jacinthsail.internal.queries.idempotency import (
    decide_key,
    fingerprint_of,
    key_text,
    outcome_for_caller_key,
    outcome_of_unrouted_call,
    parse_key,
    requires_key_check,
)
from jacinthsail.internal.queries.limits import is_overload, limiter_sample
from jacinthsail.internal.queries.lookup import class_policy, missing_policy_reason
from jacinthsail.internal.queries.nested import (
    is_nested_limiting_enabled,
    is_nested_refusal,
    parent_calls,
)
from jacinthsail.internal.queries.outcomes import final_outcome, outcome_at_target
from jacinthsail.internal.queries.retries import decide_retry, has_nested_call, remaining_retries
from jacinthsail.internal.queries.routing import decide_route, refusal_reason, route_vm


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
        """Serve a call from a caller or from the local target, and record refused nested calls."""
        served = await self._serve_caller(call)
        admission = self.node_state["admission"]
        if is_nested_refusal(served.outcome) and is_nested_limiting_enabled(admission):
            for parent in parent_calls(admission, call.context):
                record_nested_refusal(admission, parent, self.loop.time())
        return served

    async def _serve_caller(self, call: Call) -> KeyedOutcome:
        """Serve a call; issue an idempotency key if it needs one."""
        context = call.context
        now = self.loop.time()
        reason = refusal_reason(self.node_state, context, now)
        if reason is not None:
            route = RouteRefused(reason)
            log_decision(line_for_decision(route, context, now))
            return KeyedOutcome(outcome_of_unrouted_call(context, route), context.idempotency_key)
        if not requires_key_check(self.node_state, context):
            return KeyedOutcome(await self.serve_call(call), "")
        if context.idempotency_key:
            return KeyedOutcome(await self.serve_call(call), context.idempotency_key)
        match await self.key_issuer.issue(context):
            case Success(key):
                context = context._replace(idempotency_key=key_text(key))
                outcome = await self.serve_call(call._replace(context=context), key_is_new=True)
                return KeyedOutcome(outcome, context.idempotency_key)
            case Failure(refused):
                return KeyedOutcome(NotRun(refused.reason, context.retries_left, RETRY_AFTER_S), "")
        raise AssertionError("a result is a success or a failure")

    async def serve_call(self, call: Call, *, key_is_new: bool = False) -> Outcome:
        """Serve a call with retries; ``key_is_new`` if no earlier call can have used its key."""
        outcome, route = await self._serve_routed(call)
        context = call.context
        if key_is_new or not context.idempotency_key:
            return outcome
        if not requires_key_check(self.node_state, context):
            return outcome
        return outcome_for_caller_key(outcome, route)

    async def _serve_routed(self, call: Call) -> tuple[Outcome, Route]:
        context = call.context
        policy = class_policy(self.node_state["store"], context.service, context.call_class)
        if policy is None:
            reason = missing_policy_reason(self.node_state["store"])
            return NotRun(reason, 0), RouteRefused(reason)
        if context.depth > 0:
            record_nested_call(self.node_state["retries"], context.request_id)
            return await self._serve_with_retries(call, policy)
        retries = self.node_state["retries"]
        open_allowance(retries, context.request_id, context.retries_left)
        try:
            return await self._serve_with_retries(call, policy)
        finally:
            close_allowance(retries, context.request_id)

    async def _serve_with_retries(self, call: Call, policy: ClassPolicy) -> tuple[Outcome, Route]:
        retries = self.node_state["retries"]
        tried_vms: frozenset[str] = frozenset()
        earlier_outcomes: tuple[Outcome, ...] = ()
        for attempt_number in count(1):
            context = call.context._replace(
                retries_left=remaining_retries(retries, call.context.request_id)
            )
            take_allowance(retries, context.request_id)
            route = decide_route(self.node_state, context, tried_vms, self.loop.time(), self.random)
            log_decision(line_for_decision(route, context, self.loop.time()))
            outcome = await execute_route(route, self, call._replace(context=context))
            now = self.loop.time()
            return_allowance(retries, context.request_id, outcome.retries_left)
            if not is_overload(outcome):
                record_success(retries, context, now)
            decision = decide_retry(
                outcome, retries, Attempt(context, policy, attempt_number), now, self.random
            )
            if not decision.should_retry:
                end_retries(retries, context.request_id, decision)
                remaining = remaining_retries(retries, context.request_id)
                return (
                    final_outcome(outcome._replace(retries_left=remaining), earlier_outcomes),
                    route,
                )
            log_decision(line_for_decision(decision, context, now))
            spend_retry(retries, context, now)
            tried_vms = tried_vms | {route_vm(route, self.node_state)}
            earlier_outcomes = (*earlier_outcomes, outcome)
            await asyncio.sleep(decision.delay_s)
        raise AssertionError("the attempt counter never ends")

    async def serve_locally(self, call: Call) -> Outcome:
        """Run a call at the local target, unless its key shows that it may already have run."""
        context = call.context
        if not requires_key_check(self.node_state, context):
            return await self._serve_admitted(call, None)
        if not context.idempotency_key:
            return NotRun(Reason.KEY_REQUIRED, context.retries_left)
        match parse_key(context.idempotency_key):
            case Success(key):
                return await self._serve_keyed(call, key)
            case Failure(_):
                return NotRun(Reason.KEY_MALFORMED, context.retries_left)
        raise AssertionError("a result is a success or a failure")

    async def _serve_keyed(self, call: Call, key: IdempotencyKey) -> Outcome:
        context = call.context
        fingerprint = fingerprint_of(call)
        decision = decide_key(key, self.node_state, context.service, fingerprint, wall_clock_ms())
        log_decision(line_for_decision(decision, context, self.loop.time()))
        return await execute_key_decision(decision, self, call, key)

    async def execute_keyed_call(self, call: Call, key: IdempotencyKey) -> Outcome:
        """Run a call with a new key, and update the ledger however the call ends.

        The ledger entry is written before admission, so that a second call with the same key is not
        admitted while the first one is queued.
        """
        ledger = self.node_state["ledger"]
        record_queued(ledger, key, fingerprint_of(call))
        try:
            outcome = await self._serve_admitted(call, key)
        except BaseException:
            record_interrupted(ledger, key)
            raise
        record_outcome(ledger, key, outcome)
        return outcome

    async def _serve_admitted(self, call: Call, key: IdempotencyKey | None) -> Outcome:
        """Run a call at the local target once admission grants it a slot."""
        context = call.context
        admission_result = await self.gate.acquire_slot(context, self.loop.time())
        if admission_result.refusal is not None:
            reason = admission_result.refusal.reason
            now = self.loop.time()
            log_decision(decision_line(DecisionKind.ADMISSION, context, "", reason, now))
            return admission_result.refusal
        assert admission_result.started is not None
        if key is not None:
            record_running(self.node_state["ledger"], key)
        retries = self.node_state["retries"]
        open_allowance(retries, context.request_id, context.retries_left)
        try:
            outcome = await self._run_at_target(call, admission_result.started)
            outcome = outcome_at_target(outcome, has_nested_call(retries, context.request_id))
            return outcome._replace(retries_left=remaining_retries(retries, context.request_id))
        finally:
            close_allowance(retries, context.request_id)

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
            self.gate.release_slot(
                started, limiter_sample(outcome, now - started_at, in_flight), now
            )


@singledispatch
async def execute_route(route: object, dispatcher: Dispatcher, call: Call) -> Outcome:
    """Execute a routing decision and return the outcome of the call."""
    raise NotImplementedError(f"no execution for {type(route).__name__}; register one")


@execute_route.register
async def _(route: RouteToLocalTarget, dispatcher: Dispatcher, call: Call) -> Outcome:
    return await dispatcher.serve_locally(call)


@execute_route.register
async def _(route: RouteToPeer, dispatcher: Dispatcher, call: Call) -> Outcome:
    return await dispatcher.relay_pool.call(route.entry, call)


@execute_route.register
async def _(route: RouteRefused, dispatcher: Dispatcher, call: Call) -> Outcome:
    return NotRun(route.reason, call.context.retries_left)


@execute_route.register
async def _(route: RouteIndeterminate, dispatcher: Dispatcher, call: Call) -> Outcome:
    return Unknown(route.reason, call.context.retries_left)


@singledispatch
async def execute_key_decision(
    decision: object, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    """Execute the decision of the key owner and return the outcome of the call."""
    raise NotImplementedError(f"no execution for {type(decision).__name__}; register one")


@execute_key_decision.register
async def _(decision: RunKey, dispatcher: Dispatcher, call: Call, key: IdempotencyKey) -> Outcome:
    return await dispatcher.execute_keyed_call(call, key)


@execute_key_decision.register
async def _(
    decision: ReplayResponse, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    return decision.response._replace(retries_left=call.context.retries_left)


@execute_key_decision.register
async def _(
    decision: RefuseKey, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    return NotRun(decision.reason, call.context.retries_left)


@execute_key_decision.register
async def _(
    decision: KeyIndeterminate, dispatcher: Dispatcher, call: Call, key: IdempotencyKey
) -> Outcome:
    return Unknown(decision.reason, call.context.retries_left)
