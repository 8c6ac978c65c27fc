"""The signals that make a node drain its local target."""

from typing import TypedDict


class DrainState(TypedDict):
    """Whether this process or its target is going to stop.

    ``draining_responses`` counts the consecutive health responses in which the target reported
    that it is draining.
    """

    stopping: bool
    draining_responses: int
