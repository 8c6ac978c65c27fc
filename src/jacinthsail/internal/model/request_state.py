"""HTTP requests of callers as nodes route and forward them, and their outcomes."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.accounts import Account
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.manifest import RoutePolicy
from jacinthsail.internal.model.retry_budget import RetryKind


class ForwardedRequest(NamedTuple):
    """A request as one node forwards it to another.

    ``head_lines`` are the encoded header lines for the target. ``remaining_s`` is the time until
    the deadline when the request leaves a node, and ``max_queue_wait_s`` limits how much of it the
    request may wait in a queue. A response has its full value within ``latency_goal_s``. A lower
    ``rank`` is more important.
    """

    request_id: str
    method: str
    url: bytes
    service: str
    incarnation: str
    repeatable: bool
    retry_kind: RetryKind
    rank: int
    remaining_s: float
    max_queue_wait_s: float
    latency_goal_s: float
    head_lines: bytes
    body: bytes


class ForwardedResponse(NamedTuple):
    """The target's complete response; ``head_lines`` are its header lines without the framing.

    ``is_shed`` is true if the request failed because a nested call was shed, and ``lacks_room`` if
    fewer requests would have avoided it.
    """

    status: int
    head_lines: bytes
    body: bytes
    is_shed: bool = False
    lacks_room: bool = False


ForwardedOutcome = ForwardedResponse | NotRun | Unknown


class RequestInfo(NamedTuple):
    """The parts of a caller's request that routing and retry decisions use.

    ``parent_id`` is the id of the request for which a target makes this call. It is empty if the
    id of the call names no parent. ``account_key`` is secret: it is neither logged nor passed on.
    """

    request_id: str
    parent_id: str
    method: str
    url: bytes
    host: str
    path: str
    remaining_time_s: float | None
    account_key: str = ""


class RequestState(TypedDict):
    """State of one request at the node that received it; times are monotonic seconds.

    ``deadline`` is the latest time at which the caller gets a response. ``rank`` also applies to
    the calls that targets make for the request, and ``parent_id`` is the id of the request for
    which this one is made, if any. ``excluded_targets`` holds the incarnations that are not chosen
    again, ``attempted_targets`` those to which the request was sent; the route bounds their number.
    ``target_refusals`` counts refusals by targets and ``node_refusals`` those by their nodes; in
    both cases the request was not executed. ``may_have_executed`` is set once an attempt may have
    been executed without a response that was returned to the caller. ``failed_response`` is the
    last response with a retryable status.
    """

    request_info: RequestInfo
    route: RoutePolicy
    service: str
    arrived_at: float
    deadline: float
    excluded_targets: set[str]
    rank: int
    parent_id: str
    attempted_targets: set[str]
    target_refusals: int
    node_refusals: int
    current_target: str
    may_have_executed: bool
    retry_kind: RetryKind
    failed_response: ForwardedResponse | None


class RespondLocally(NamedTuple):
    """The node responds itself; the request is not executed."""

    status: int
    reason: Reason
    retry_after_s: float


class AcceptRequest(NamedTuple):
    """The request matches a route, which determines its service and deadline.

    ``account`` is None if the request needs no account.
    """

    route: RoutePolicy
    service: str
    deadline: float
    account: Account | None = None


EntryDecision = RespondLocally | AcceptRequest


class ReturnResponse(NamedTuple):
    """The target's response is returned to the caller."""

    target_response: ForwardedResponse


class RetryAttempt(NamedTuple):
    """The request is retried; the retry budget counts the next attempt as ``retry_kind``."""

    reason: Reason
    retry_kind: RetryKind


class FailRequest(NamedTuple):
    """The caller gets an error response from this node and no further attempt is made."""

    status: int
    reason: Reason
    retry_after_s: float


NextStep = ReturnResponse | RetryAttempt | FailRequest
