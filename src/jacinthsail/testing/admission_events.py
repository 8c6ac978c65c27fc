"""Drives the admission decisions in virtual time, as the gate does on the event loop."""

from functools import singledispatch
from typing import NamedTuple, TypedDict

from jacinthsail.internal.commands.admission import (
    enqueue_call,
    finish_call,
    observe_queue,
    remove_queued,
    start_call,
)
from jacinthsail.internal.model.admission import (
    AdmissionDecision,
    AdmissionState,
    Admit,
    AdmitByEviction,
    FixedLimit,
    LatencySample,
    QueuedCall,
    Refuse,
)
from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.admission import (
    can_bypass_queue,
    decide_admission,
    next_call_to_start,
    should_drop_queued,
)
from jacinthsail.internal.queries.initial import initial_admission


class RefusedCall(NamedTuple):
    """A rejected or dropped call, and the calls that were queued at that time."""

    context: CallContext
    reason: Reason
    waiting: tuple[CallContext, ...]


class AdmissionRun(TypedDict):
    """Admission state with a record of started and refused calls."""

    admission: AdmissionState
    started: list[QueuedCall]
    refused: list[RefusedCall]


def new_run(
    limit: int = 2, queue_length: int = 4, disabled: frozenset[Mechanism] = frozenset()
) -> AdmissionRun:
    """Return a run whose limiter has a fixed limit."""
    admission = initial_admission(0.0, disabled)
    admission["limiter"] = FixedLimit(limit)
    admission["queue_length"] = queue_length
    return AdmissionRun(admission=admission, started=[], refused=[])


def queued_contexts(run: AdmissionRun) -> tuple[CallContext, ...]:
    """Return the contexts of the queued calls, in the order of the queue."""
    return tuple(queued.context for queued in run["admission"]["queue"])


def record_refused_call(run: AdmissionRun, context: CallContext, reason: Reason) -> None:
    """Record a call that was refused before execution."""
    run["refused"].append(RefusedCall(context, reason, queued_contexts(run)))


def arrive(run: AdmissionRun, context: CallContext, now: float) -> AdmissionDecision:
    """Apply and return the admission decision for an arriving call."""
    admission = run["admission"]
    observe_queue(admission, now)
    decision = decide_admission(admission, context, now)
    apply_admission_decision(decision, run, context, now)
    return decision


@singledispatch
def apply_admission_decision(
    decision: object, run: AdmissionRun, context: CallContext, now: float
) -> None:
    """Apply an admission decision to an arriving call."""
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@apply_admission_decision.register
def _(decision: Admit, run: AdmissionRun, context: CallContext, now: float) -> None:
    admission = run["admission"]
    queued = QueuedCall(admission["next_ticket"], context, now)
    bypasses_queue = can_bypass_queue(admission, context, now)
    enqueue_call(admission, queued)
    if bypasses_queue:
        start_call(admission, queued, now)
        run["started"].append(queued)


@apply_admission_decision.register
def _(decision: AdmitByEviction, run: AdmissionRun, context: CallContext, now: float) -> None:
    admission = run["admission"]
    remove_queued(admission, decision.victim)
    record_refused_call(run, decision.victim.context, Reason.EVICTED)
    enqueue_call(admission, QueuedCall(admission["next_ticket"], context, now))


@apply_admission_decision.register
def _(decision: Refuse, run: AdmissionRun, context: CallContext, now: float) -> None:
    record_refused_call(run, context, decision.reason)


def start_queued_calls(run: AdmissionRun, now: float) -> None:
    """Start queued calls while slots are free, and drop expired ones."""
    admission = run["admission"]
    while True:
        queued = next_call_to_start(admission, now)
        if queued is None:
            return
        if should_drop_queued(admission, queued, now):
            remove_queued(admission, queued)
            record_refused_call(run, queued.context, Reason.DEADLINE_EXPIRED)
            continue
        start_call(admission, queued, now)
        run["started"].append(queued)


def finish(run: AdmissionRun, queued: QueuedCall, sample: LatencySample | None, now: float) -> None:
    """Finish a call and start queued calls in the freed slots."""
    finish_call(run["admission"], queued, sample, now)
    start_queued_calls(run, now)
    observe_queue(run["admission"], now)
