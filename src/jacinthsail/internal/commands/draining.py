"""Changes to the signals that make a node drain its local target."""

from jacinthsail.internal.model.draining import DrainState


def record_stop(drain: DrainState) -> None:
    """Record the stop signal of this process; it is never revoked."""
    drain["stopping"] = True


def record_health(drain: DrainState, reports_draining: bool) -> None:
    """Count consecutive health responses in which the target reports that it is draining."""
    drain["draining_responses"] = drain["draining_responses"] + 1 if reports_draining else 0
