"""Detects that the process, or its whole VM, stood still."""

from jacinthsail.internal.model.clock import Awake, ClockDecision, ClockState, Paused

# While the process runs, the clock is observed at least this often.
TICK_S = 0.5

# A longer gap between two observations is a pause. Shorter ones occur on a busy machine.
PAUSE_S = 2.0


def decide_pause(clock: ClockState, now: float, now_ms: int) -> ClockDecision:
    """Return whether there was a pause since the last observation.

    The monotonic clock stands still while a VM is suspended, and the wall clock does not, so the
    longer of the two gaps counts. A wall clock that was set forward looks the same and costs one
    needless confirmation.
    """
    gap_s = max(now - clock["last_seen"], (now_ms - clock["last_seen_ms"]) / 1000)
    if gap_s <= PAUSE_S:
        return Awake()
    return Paused(gap_s)
