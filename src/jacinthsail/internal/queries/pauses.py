"""Detects that the process, or its whole VM, was paused."""

from jacinthsail.internal.model.clock import ClockDecision, ClockState, NoPause, Paused

# While the process runs, it reads the clocks at least this often.
CLOCK_CHECK_INTERVAL_S = 0.5

# A longer gap between two readings is a pause. Shorter gaps occur on a busy machine.
MIN_PAUSE_S = 2.0


def detect_pause(clock: ClockState, now: float, now_ms: int) -> ClockDecision:
    """Return whether the process was paused since the last reading of the clocks.

    While a VM is suspended, the monotonic clock stops and the wall clock does not, so the longer of
    the two gaps counts. Setting the wall clock forward looks the same and costs one needless
    confirmation.
    """
    gap_s = max(now - clock["last_seen"], (now_ms - clock["last_seen_ms"]) / 1000)
    if gap_s <= MIN_PAUSE_S:
        return NoPause()
    return Paused(gap_s)
