"""Which requests run at the own target, so that the calls that it makes for them are recognised."""

from typing import NamedTuple, TypedDict


class RunningParent(NamedTuple):
    """A request at the own target.

    ``is_repeat`` tells that it may have run before, so its calls are made once more.
    """

    request_id: str
    ticket: int
    rank: int
    is_repeat: bool


class LineageState(TypedDict):
    """The requests at the own target by their ids."""

    running: dict[str, RunningParent]
    next_ticket: int
