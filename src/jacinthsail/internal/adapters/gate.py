"""Queues calls for a slot of the local target, as the admission queries decide."""

import asyncio
from functools import singledispatch
from typing import NamedTuple

from jacinthsail.internal.commands.admission import (
    enqueue_call,
    finish_call,
    observe_queue,
    remove_queued,
    start_call,
)
from jacinthsail.internal.model.admission import (
    AdmissionState,
    Admit,
    AdmitByEviction,
    LatencySample,
    QueuedCall,
    Refuse,
)
from jacinthsail.internal.model.calls import CallContext, NotRun, Reason
from jacinthsail.internal.queries.admission import (
    RETRY_AFTER_S,
    can_bypass_queue,
    decide_admission,
    is_deadline_drop_enabled,
    next_call_to_start,
    should_drop_queued,
)
from jacinthsail.internal.queries.lookup import is_same_call

Waiter = asyncio.Future[NotRun | None]


class AdmissionResult(NamedTuple):
    """A call that holds a slot, or its refusal; exactly one of the two is set."""

    started: QueuedCall | None
    refusal: NotRun | None


class AdmissionGate:
    """Holds the futures of queued calls; commands change the state and queries decide."""

    def __init__(self, admission: AdmissionState) -> None:
        self.admission = admission
        self.waiters: dict[int, Waiter] = {}

    async def acquire_slot(self, context: CallContext, now: float) -> AdmissionResult:
        """Wait for a slot; return the started call, or why it was refused."""
        observe_queue(self.admission, now)
        decision = decide_admission(self.admission, context, now)
        refusal = _apply_decision(decision, self)
        if refusal is not None:
            return AdmissionResult(None, refusal._replace(retries_left=context.retries_left))
        queued = QueuedCall(self.admission["next_ticket"], context, now)
        starts_immediately = can_bypass_queue(self.admission, context, now)
        enqueue_call(self.admission, queued)
        if starts_immediately:
            start_call(self.admission, queued, now)
            return AdmissionResult(queued, None)
        return await self._wait(queued)

    async def _wait(self, queued: QueuedCall) -> AdmissionResult:
        loop = asyncio.get_running_loop()
        waiter: Waiter = loop.create_future()
        self.waiters[queued.ticket] = waiter
        expiry = None
        if is_deadline_drop_enabled(self.admission):
            expiry = loop.call_at(queued.context.deadline, self._expire, queued)
        try:
            refusal = await waiter
        except asyncio.CancelledError:
            self._abandon(queued, loop.time())
            raise
        finally:
            if expiry is not None:
                expiry.cancel()
            self.waiters.pop(queued.ticket, None)
        if refusal is not None:
            return AdmissionResult(None, refusal)
        return AdmissionResult(queued, None)

    def _abandon(self, queued: QueuedCall, now: float) -> None:
        remove_queued(self.admission, queued)
        if queued.ticket in self.admission["in_flight"]:
            self.release_slot(queued, None, now)

    def _expire(self, queued: QueuedCall) -> None:
        self.refuse_queued(queued, Reason.DEADLINE_EXPIRED)

    def refuse_queued(self, queued: QueuedCall, reason: Reason) -> None:
        """Remove a queued call and report its refusal to the waiter."""
        remove_queued(self.admission, queued)
        waiter = self.waiters.get(queued.ticket)
        if waiter is None or waiter.done():
            return
        waiter.set_result(NotRun(reason, queued.context.retries_left, RETRY_AFTER_S))

    def release_slot(self, queued: QueuedCall, sample: LatencySample | None, now: float) -> None:
        """Free the slot of a call and start queued calls that now fit."""
        finish_call(self.admission, queued, sample, now)
        self.start_queued(now)
        observe_queue(self.admission, now)

    def start_queued(self, now: float) -> None:
        """Start queued calls while slots are free; refuse expired ones."""
        while True:
            queued = next_call_to_start(self.admission, now)
            if queued is None:
                return
            if should_drop_queued(self.admission, queued, now):
                self.refuse_queued(queued, Reason.DEADLINE_EXPIRED)
                continue
            start_call(self.admission, queued, now)
            waiter = self.waiters.get(queued.ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def refuse_abandoned(self, context: CallContext) -> None:
        """Refuse a queued call whose caller has disconnected."""
        for queued in list(self.admission["queue"]):
            if is_same_call(queued.context, context):
                self.refuse_queued(queued, Reason.CALLER_GONE)

    def refuse_all(self, reason: Reason) -> None:
        """Refuse every queued call."""
        for queued in list(self.admission["queue"]):
            self.refuse_queued(queued, reason)


@singledispatch
def _apply_decision(decision: object, gate: AdmissionGate) -> NotRun | None:
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@_apply_decision.register
def _(decision: Admit, gate: AdmissionGate) -> NotRun | None:
    return None


@_apply_decision.register
def _(decision: AdmitByEviction, gate: AdmissionGate) -> NotRun | None:
    gate.refuse_queued(decision.victim, Reason.EVICTED)
    return None


@_apply_decision.register
def _(decision: Refuse, gate: AdmissionGate) -> NotRun | None:
    return NotRun(decision.reason, 0, decision.retry_after_s)
