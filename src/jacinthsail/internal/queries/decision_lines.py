"""Converts decisions to lines of the decision log."""

from functools import singledispatch

from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.decisions import DecisionKind, DecisionLine
from jacinthsail.internal.model.idempotency import (
    KeyIndeterminate,
    RefuseKey,
    ReplayResponse,
    RunKey,
)
from jacinthsail.internal.model.routing import (
    RetryDecision,
    RouteIndeterminate,
    RouteRefused,
    RouteToLocalTarget,
    RouteToPeer,
)


def decision_line(
    kind: DecisionKind, context: CallContext, chosen: str, reason: Reason, now: float
) -> DecisionLine:
    """Return the log line for a decision about one call."""
    return DecisionLine(
        kind,
        context.request_id,
        context.service,
        context.call_class,
        context.rank,
        chosen,
        reason,
        now,
    )


@singledispatch
def line_for_decision(decision: object, context: CallContext, now: float) -> DecisionLine:
    """Return the log line for a routing, placement or retry decision."""
    raise NotImplementedError(f"no log line for {type(decision).__name__}; register one")


@line_for_decision.register
def _(decision: RouteToLocalTarget, context: CallContext, now: float) -> DecisionLine:
    return decision_line(DecisionKind.ROUTE, context, "own-target", Reason.OWN_TARGET, now)


@line_for_decision.register
def _(decision: RouteToPeer, context: CallContext, now: float) -> DecisionLine:
    reason = Reason.RELAY_ACROSS_REGIONS if decision.crosses_region else Reason.RELAY
    return decision_line(DecisionKind.ROUTE, context, decision.entry.vm, reason, now)


@line_for_decision.register
def _(
    decision: RouteRefused | RouteIndeterminate, context: CallContext, now: float
) -> DecisionLine:
    return decision_line(DecisionKind.ROUTE, context, "", decision.reason, now)


@line_for_decision.register
def _(decision: RunKey, context: CallContext, now: float) -> DecisionLine:
    return decision_line(DecisionKind.PLACEMENT, context, "run", Reason.KEY_NEW, now)


@line_for_decision.register
def _(decision: ReplayResponse, context: CallContext, now: float) -> DecisionLine:
    return decision_line(DecisionKind.PLACEMENT, context, "replay", Reason.KEY_FINISHED, now)


@line_for_decision.register
def _(decision: RefuseKey | KeyIndeterminate, context: CallContext, now: float) -> DecisionLine:
    return decision_line(DecisionKind.PLACEMENT, context, "", decision.reason, now)


@line_for_decision.register
def _(decision: RetryDecision, context: CallContext, now: float) -> DecisionLine:
    chosen = "again" if decision.should_retry else ""
    return decision_line(DecisionKind.RETRY, context, chosen, decision.reason, now)
