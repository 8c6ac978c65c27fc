"""The queue in front of a node's own target when the target itself takes HTTP requests."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.exchange import Forward


class WaitingForward(NamedTuple):
    """A request that waits for a slot; times are monotonic seconds."""

    ticket: int
    forward: Forward
    arrived_at: float
    expires_at: float
    deadline: float


class BacklogState(TypedDict):
    """Requests that wait or run at the own target.

    ``waiting`` is a heap of (rank, ticket); ``tickets`` holds those that still wait. ``mean_s`` is
    the mean time that the target takes for a request.
    """

    slots: int
    in_flight: int
    waiting: list[tuple[int, int]]
    tickets: dict[int, WaitingForward]
    waiting_by_rank: dict[int, int]
    next_ticket: int
    mean_s: float
    draining: bool
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
