"""What the decision log says of a decision."""

from functools import singledispatch

from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.decisions import DecisionKind, DecisionLine
from jacinthsail.internal.model.idempotency import KeyUnknown, RefuseKey, ReplayAnswer, RunKey
from jacinthsail.internal.model.routing import (
    Refused,
    RetryDecision,
    ToOwnTarget,
    ToPeer,
    Unsettled,
)


def decision_line(
    kind: DecisionKind, head: CallHead, chosen: str, reason: Reason, now: float
) -> DecisionLine:
    """Return the line for a decision about one call."""
    return DecisionLine(
        kind, head.request_id, head.service, head.call_class, head.rank, chosen, reason, now
    )


@singledispatch
def line_of(decision: object, head: CallHead, now: float) -> DecisionLine:
    """Return the line for a routing, placement or retry decision."""
    raise NotImplementedError(f"no log line for {type(decision).__name__}; register one")


@line_of.register
def _(decision: ToOwnTarget, head: CallHead, now: float) -> DecisionLine:
    return decision_line(DecisionKind.ROUTE, head, "own-target", Reason.OWN_TARGET, now)


@line_of.register
def _(decision: ToPeer, head: CallHead, now: float) -> DecisionLine:
    reason = Reason.RELAY_ACROSS_REGIONS if decision.crosses_region else Reason.RELAY
    return decision_line(DecisionKind.ROUTE, head, decision.entry.vm, reason, now)


@line_of.register
def _(decision: Refused | Unsettled, head: CallHead, now: float) -> DecisionLine:
    return decision_line(DecisionKind.ROUTE, head, "", decision.reason, now)


@line_of.register
def _(decision: RunKey, head: CallHead, now: float) -> DecisionLine:
    return decision_line(DecisionKind.PLACEMENT, head, "run", Reason.KEY_NEW, now)


@line_of.register
def _(decision: ReplayAnswer, head: CallHead, now: float) -> DecisionLine:
    return decision_line(DecisionKind.PLACEMENT, head, "replay", Reason.KEY_FINISHED, now)


@line_of.register
def _(decision: RefuseKey | KeyUnknown, head: CallHead, now: float) -> DecisionLine:
    return decision_line(DecisionKind.PLACEMENT, head, "", decision.reason, now)


@line_of.register
def _(decision: RetryDecision, head: CallHead, now: float) -> DecisionLine:
    chosen = "again" if decision.again else ""
    return decision_line(DecisionKind.RETRY, head, chosen, decision.reason, now)
