"""Reads the system clocks and detects pauses of the process."""

import asyncio
import logging
import time
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import mode

from jacinthsail.internal.commands.pauses import observe_clock
from jacinthsail.internal.model.clock import Paused
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.pauses import CLOCK_CHECK_INTERVAL_S, detect_pause

_LOG = logging.getLogger(__name__)


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def observe_time(state: NodeState) -> None:
    """Observe the clocks at the start of an event, before any decision uses stale state."""
    if Mechanism.PAUSE_DETECTION in state["settings"].disabled:
        return
    now = asyncio.get_running_loop().time()
    now_ms = wall_clock_ms()
    decision = detect_pause(state["clock"], now, now_ms)
    _log_pause(decision)
    observe_clock(state, decision, now, now_ms)


class ClockService(mode.Service):
    """Observes the clocks at intervals, so that an idle process is not taken for a paused one."""

    def __init__(self, state: NodeState, on_pause: Callable[[], None], **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.on_pause = on_pause
        self.reported_pauses = state["clock"]["pauses"]

    @mode.Service.task
    async def tick(self) -> None:
        """Observe the clocks until the node stops."""
        while not self.should_stop:
            observe_time(self.node_state)
            self._notify_pause()
            await self.sleep(CLOCK_CHECK_INTERVAL_S)

    def _notify_pause(self) -> None:
        # An event handler may have detected the pause before this service did.
        pauses = self.node_state["clock"]["pauses"]
        if pauses == self.reported_pauses:
            return
        self.reported_pauses = pauses
        self.on_pause()


@singledispatch
def _log_pause(decision: object) -> None:
    """Log a pause; other decisions are not logged."""


@_log_pause.register
def _(decision: Paused) -> None:
    _LOG.warning(
        "process was paused for %.1f s; placement and peer health are unconfirmed",
        decision.length_s,
    )
