"""Evidence that the own target is to take no new work."""

from typing import TypedDict


class LeavingState(TypedDict):
    """What this node knows of its own planned stop and of its target's.

    ``draining_answers`` counts the target's health answers in a row that said draining.
    """

    stopping: bool
    draining_answers: int
