"""Changes to what a node knows of its own and its target's planned stop."""

from jacinthsail.internal.model.draining import LeavingState


def record_stop(leaving: LeavingState) -> None:
    """Remember that this process was told to stop; nothing takes that back."""
    leaving["stopping"] = True


def record_health(leaving: LeavingState, says_draining: bool) -> None:
    """Remember what the target's health endpoint answered."""
    leaving["draining_answers"] = leaving["draining_answers"] + 1 if says_draining else 0
