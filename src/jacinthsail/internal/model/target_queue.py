"""The queue in front of a node's local target when the target itself serves HTTP requests."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.chain_admission import ChainAdmission
from jacinthsail.internal.model.pace import Pace
from jacinthsail.internal.model.request_state import ForwardedRequest
from jacinthsail.internal.model.work import WorkKind


class WaitingRequest(NamedTuple):
    """A request that is queued for a slot; times are monotonic seconds."""

    ticket: int
    kind: WorkKind
    forwarded: ForwardedRequest
    arrived_at: float
    expires_at: float
    deadline: float


class WorkQueue(TypedDict):
    """Queue, concurrency limit and statistics of the requests of one kind.

    ``waiting`` is a heap of (rank, ticket), in which requests that were removed remain until they
    are first; ``by_rank`` counts the requests that are still queued.
    ``limit`` bounds the requests in flight, and ``responded_at`` is when one of them was last
    answered. ``mean_duration_s`` is the mean time that the target
    took over ``response_count`` responses, and ``late_share`` the mean share of responses that
    arrived too late to have their full value. ``shed_share`` is the mean share of requests that
    failed because a nested call was shed. ``calls_per_request`` is the mean number of nested calls
    that the target makes for a request.
    """

    waiting: list[tuple[int, int]]
    by_rank: dict[int, int]
    in_flight: int
    limit: float
    lowered_at: float
    responded_at: float
    mean_duration_s: float
    response_count: int
    late_share: float
    shed_share: float
    calls_per_request: float


class TargetQueue(TypedDict):
    """Requests that are queued for the local target or in flight at it.

    ``waiting_by_ticket`` holds the queued ones. ``draining`` is set while the target leaves,
    and ``stopped`` is set once this node stops. ``blocked`` is set while this node cannot route the
    nested calls that the target makes. Requests still in flight at ``cut_at``, a time of the event
    loop's clock, are cut; it is infinite unless this node is stopping. ``chain`` admits new
    requests by the room of the services that the target calls, and ``pace`` limits the requests in
    flight after a start of the target.
    """

    slots: int
    in_flight: int
    work_queues: dict[WorkKind, WorkQueue]
    waiting_by_ticket: dict[int, WaitingRequest]
    next_ticket: int
    draining: bool
    blocked: bool
    stopped: bool
    cut_at: float
    chain: ChainAdmission
    pace: Pace


class StartRequest(NamedTuple):
    """The request is sent to the target at once."""


class QueueRequest(NamedTuple):
    """The request is queued until ``expires_at`` at the latest."""

    expires_at: float


class RejectRequest(NamedTuple):
    """The request is rejected before execution."""

    reason: Reason
    retry_after_s: float


QueueDecision = StartRequest | QueueRequest | RejectRequest
