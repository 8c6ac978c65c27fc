"""The queue in front of a node's own target when the target itself takes HTTP requests."""

from enum import StrEnum
from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.request_state import Forward


class WorkKind(StrEnum):
    """Whether a request begins a chain of calls or continues one."""

    NEW = "new"
    NESTED = "nested"


class WaitingForward(NamedTuple):
    """A request that waits for a slot; times are monotonic seconds."""

    ticket: int
    kind: WorkKind
    forward: Forward
    arrived_at: float
    expires_at: float
    deadline: float


class Lane(TypedDict):
    """The requests of one kind.

    ``waiting`` is a heap of (rank, ticket), ``by_rank`` counts those that still wait. ``limit``
    bounds how many may be at the target, ``mean_s`` is the mean time that the target took for the
    ``answers`` that it has given so far, and
    ``late_share`` the mean share of answers that came too late to have their full value.
    ``shed_share`` is the mean share of runs that failed because a service further on had no room,
    ``calls_per_run`` how many calls the target makes for a request on average.
    """

    waiting: list[tuple[int, int]]
    by_rank: dict[int, int]
    in_flight: int
    limit: float
    lowered_at: float
    mean_s: float
    answers: int
    late_share: float
    shed_share: float
    calls_per_run: float


class BacklogState(TypedDict):
    """Requests that wait or run at the own target; ``tickets`` holds those that wait.

    ``blocked`` is set while the target needs calls that this node cannot route yet.
    """

    slots: int
    in_flight: int
    lanes: dict[WorkKind, Lane]
    tickets: dict[int, WaitingForward]
    next_ticket: int
    draining: bool
    blocked: bool
    stopped: bool


class StartNow(NamedTuple):
    """The request goes to the target at once."""


class Wait(NamedTuple):
    """The request waits until ``expires_at``."""

    expires_at: float


class Reject(NamedTuple):
    """The request is not run here."""

    reason: Reason
    retry_after_s: float


BacklogDecision = StartNow | Wait | Reject
