"""Drives the admission decisions in virtual time, as the gate does on the loop."""

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
    QueuedCall,
    Refuse,
    Sample,
)
from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.admission import (
    decide_admission,
    is_expired,
    may_start,
    next_to_start,
)
from jacinthsail.internal.queries.initial import initial_admission


class RefusedCall(NamedTuple):
    """A call that was not run, and the ranks that waited at that time."""

    head: CallHead
    reason: Reason
    waiting: tuple[CallHead, ...]


class Run(TypedDict):
    """Admission state with a record of what became of each call."""

    admission: AdmissionState
    started: list[QueuedCall]
    refused: list[RefusedCall]


def new_run(
    limit: int = 2, queue_length: int = 4, disabled: frozenset[Mechanism] = frozenset()
) -> Run:
    """Return a run in front of a target with a fixed limit."""
    admission = initial_admission(0.0, disabled)
    admission["limiter"] = FixedLimit(limit)
    admission["queue_length"] = queue_length
    return Run(admission=admission, started=[], refused=[])


def waiting_heads(run: Run) -> tuple[CallHead, ...]:
    """Return the heads of the calls that wait, in the order of the queue."""
    return tuple(queued.head for queued in run["admission"]["queue"])


def refuse(run: Run, head: CallHead, reason: Reason) -> None:
    """Record that a call was not run."""
    run["refused"].append(RefusedCall(head, reason, waiting_heads(run)))


def arrive(run: Run, head: CallHead, now: float) -> AdmissionDecision:
    """Decide on an arriving call; return the decision."""
    admission = run["admission"]
    observe_queue(admission, now)
    decision = decide_admission(admission, head, now)
    apply(decision, run, head, now)
    return decision


@singledispatch
def apply(decision: object, run: Run, head: CallHead, now: float) -> None:
    """Do what was decided about an arriving call."""
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@apply.register
def _(decision: Admit, run: Run, head: CallHead, now: float) -> None:
    admission = run["admission"]
    queued = QueuedCall(admission["next_ticket"], head, now)
    needs_no_place = may_start(admission, head, now)
    enqueue_call(admission, queued)
    if needs_no_place:
        start_call(admission, queued, now)
        run["started"].append(queued)


@apply.register
def _(decision: AdmitByEviction, run: Run, head: CallHead, now: float) -> None:
    admission = run["admission"]
    remove_queued(admission, decision.victim)
    refuse(run, decision.victim.head, Reason.EVICTED)
    enqueue_call(admission, QueuedCall(admission["next_ticket"], head, now))


@apply.register
def _(decision: Refuse, run: Run, head: CallHead, now: float) -> None:
    refuse(run, head, decision.reason)


def start_waiting(run: Run, now: float) -> None:
    """Start queued calls while there is room."""
    admission = run["admission"]
    while True:
        queued = next_to_start(admission, now)
        if queued is None:
            return
        if is_expired(admission, queued, now):
            remove_queued(admission, queued)
            refuse(run, queued.head, Reason.DEADLINE_EXPIRED)
            continue
        start_call(admission, queued, now)
        run["started"].append(queued)


def finish(run: Run, queued: QueuedCall, sample: Sample | None, now: float) -> None:
    """Finish a call and start those that fit now."""
    finish_call(run["admission"], queued, sample, now)
    start_waiting(run, now)
    observe_queue(run["admission"], now)
