"""Reads the clock for ages that must include the time for which the VM was suspended."""

import time


def boot_time() -> float:
    """Return the seconds since the boot of the VM; the clock never goes back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
