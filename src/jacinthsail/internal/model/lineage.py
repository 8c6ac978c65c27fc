"""Which requests run at the own target, so that the calls that it makes for them are recognised."""

from typing import NamedTuple, TypedDict


class RunningParent(NamedTuple):
    """A request at the own target: its deadline in monotonic seconds, its rank and its id.

    ``is_repeat`` tells that it may have run before, so its calls are made once more.
    """

    deadline: float
    ticket: int
    rank: int
    request_id: str
    is_repeat: bool


class LineageState(TypedDict):
    """The requests at the own target, ordered by deadline."""

    running: list[RunningParent]
    next_ticket: int
