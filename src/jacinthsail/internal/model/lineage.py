"""Which requests run at the own target, so that the calls that it makes for them are recognised."""

from typing import TypedDict


class RunningParent(TypedDict):
    """A request at the own target.

    ``is_repeat`` tells that it may have run before, so its calls are made once more. ``calls``
    counts the calls that the target made for it so far. ``is_shed`` is set once one of them was
    refused because a service further on has no room.
    """

    request_id: str
    ticket: int
    rank: int
    is_repeat: bool
    calls: int
    is_shed: bool


class LineageState(TypedDict):
    """The requests at the own target by their ids."""

    running: dict[str, RunningParent]
    next_ticket: int
