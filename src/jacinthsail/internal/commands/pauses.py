"""Changes after an observation of the clock."""

from functools import singledispatch

from jacinthsail.internal.commands.placement import drop_confirmation
from jacinthsail.internal.model.clock import ClockDecision, NoPause, Paused
from jacinthsail.internal.model.state import NodeState


def observe_clock(state: NodeState, decision: ClockDecision, now: float, now_ms: int) -> None:
    """Record the clock readings, and discard state that a pause has made unreliable."""
    clock = state["clock"]
    clock["last_seen"] = now
    clock["last_seen_ms"] = now_ms
    _apply(decision, state)


@singledispatch
def _apply(decision: object, state: NodeState) -> None:
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@_apply.register
def _(decision: NoPause, state: NodeState) -> None:
    return


@_apply.register
def _(decision: Paused, state: NodeState) -> None:
    state["clock"]["pauses"] += 1
    drop_confirmation(state["store"])
    for peer in state["peers"].values():
        peer["threshold"] = 0
        peer["failures"] = 0
        peer["suspected_until"] = 0.0
        peer["draining"] = False
