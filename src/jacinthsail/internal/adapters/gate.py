"""Lets calls wait for a slot of the own target, as the admission queries decide."""

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
    QueuedCall,
    Refuse,
    Sample,
)
from jacinthsail.internal.model.calls import CallHead, NotRun, Reason
from jacinthsail.internal.queries.admission import (
    RETRY_AFTER_S,
    decide_admission,
    drops_expired,
    is_expired,
    may_start,
    next_to_start,
)
from jacinthsail.internal.queries.lookup import is_same_call

Waiter = asyncio.Future[NotRun | None]


class Entry(NamedTuple):
    """A call that holds a slot, or why it was not run; exactly one of the two is set."""

    started: QueuedCall | None
    refusal: NotRun | None


class AdmissionGate:
    """Holds the futures of waiting calls; the state and the decisions are elsewhere."""

    def __init__(self, admission: AdmissionState) -> None:
        self.admission = admission
        self.waiters: dict[int, Waiter] = {}

    async def enter(self, head: CallHead, now: float) -> Entry:
        """Return the started call once it has a slot, or why it was not run."""
        observe_queue(self.admission, now)
        decision = decide_admission(self.admission, head, now)
        refusal = _apply(decision, self)
        if refusal is not None:
            return Entry(None, refusal._replace(retries_left=head.retries_left))
        queued = QueuedCall(self.admission["next_ticket"], head, now)
        needs_no_place = may_start(self.admission, head, now)
        enqueue_call(self.admission, queued)
        if needs_no_place:
            start_call(self.admission, queued, now)
            return Entry(queued, None)
        return await self._wait(queued)

    async def _wait(self, queued: QueuedCall) -> Entry:
        loop = asyncio.get_running_loop()
        waiter: Waiter = loop.create_future()
        self.waiters[queued.ticket] = waiter
        expiry = None
        if drops_expired(self.admission):
            expiry = loop.call_at(queued.head.deadline, self._expire, queued)
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
            return Entry(None, refusal)
        return Entry(queued, None)

    def _abandon(self, queued: QueuedCall, now: float) -> None:
        remove_queued(self.admission, queued)
        if queued.ticket in self.admission["in_flight"]:
            self.leave(queued, None, now)

    def _expire(self, queued: QueuedCall) -> None:
        self.refuse_queued(queued, Reason.DEADLINE_EXPIRED)

    def refuse_queued(self, queued: QueuedCall, reason: Reason) -> None:
        """Take a waiting call out of the queue and tell it that it was not run."""
        remove_queued(self.admission, queued)
        waiter = self.waiters.get(queued.ticket)
        if waiter is None or waiter.done():
            return
        waiter.set_result(NotRun(reason, queued.head.retries_left, RETRY_AFTER_S))

    def leave(self, queued: QueuedCall, sample: Sample | None, now: float) -> None:
        """Free the slot of a call and start those that fit now."""
        finish_call(self.admission, queued, sample, now)
        self.start_waiting(now)
        observe_queue(self.admission, now)

    def start_waiting(self, now: float) -> None:
        """Start queued calls while there is room."""
        while True:
            queued = next_to_start(self.admission, now)
            if queued is None:
                return
            if is_expired(self.admission, queued, now):
                self.refuse_queued(queued, Reason.DEADLINE_EXPIRED)
                continue
            start_call(self.admission, queued, now)
            waiter = self.waiters.get(queued.ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def refuse_abandoned(self, head: CallHead) -> None:
        """Take a waiting call out of the queue whose caller has gone away."""
        for queued in list(self.admission["queue"]):
            if is_same_call(queued.head, head):
                self.refuse_queued(queued, Reason.CALLER_GONE)

    def refuse_all(self, reason: Reason) -> None:
        """Tell every waiting call that it was not run."""
        for queued in list(self.admission["queue"]):
            self.refuse_queued(queued, reason)


@singledispatch
def _apply(decision: object, gate: AdmissionGate) -> NotRun | None:
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@_apply.register
def _(decision: Admit, gate: AdmissionGate) -> NotRun | None:
    return None


@_apply.register
def _(decision: AdmitByEviction, gate: AdmissionGate) -> NotRun | None:
    gate.refuse_queued(decision.victim, Reason.EVICTED)
    return None


@_apply.register
def _(decision: Refuse, gate: AdmissionGate) -> NotRun | None:
    return NotRun(decision.reason, 0, decision.retry_after_s)
