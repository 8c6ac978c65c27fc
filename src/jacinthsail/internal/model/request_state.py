"""HTTP requests of callers on their way through the nodes, and their outcomes."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.manifest import RoutePolicy
from jacinthsail.internal.model.retry_budget import Repeat


class Forward(NamedTuple):
    """A request as it travels between nodes.

    ``head_lines`` are the header lines for the target, ready to be written. ``remaining_s`` is the
    time left when the request leaves a node, ``patience_s`` how much of it may pass in a queue, and
    ``good_within_s`` the time within which an answer has its full value.
    """

    request_id: str
    method: str
    url: bytes
    service: str
    incarnation: str
    repeatable: bool
    repeat: Repeat
    rank: int
    remaining_s: float
    patience_s: float
    good_within_s: float
    head_lines: bytes
    body: bytes


class TargetAnswer(NamedTuple):
    """The target's complete answer; ``head_lines`` are its header lines without the framing.

    ``is_shed`` tells that the run failed because a call made for it was refused for want of room.
    """

    status: int
    head_lines: bytes
    body: bytes
    is_shed: bool = False


ForwardOutcome = TargetAnswer | NotRun | Unknown


class RequestFacts(NamedTuple):
    """What the decisions need of a request that arrived from a caller.

    ``parent_id`` names the request that a target makes this call for; it is empty if the id of the
    call tells nothing of it.
    """

    request_id: str
    parent_id: str
    method: str
    url: bytes
    host: str
    path: str
    time_left_s: float | None


class Exchange(TypedDict):
    """One request at the node where it arrived; times are monotonic seconds.

    ``deadline`` is when the caller gets an answer at the latest. ``rank`` is shared with the calls
    that targets make for the request, ``parent_id`` names the request that this one is made for.
    ``tried`` holds the incarnations that are not chosen again, ``offered`` those that were offered
    the request. ``bounces`` counts the times that a target said that it did not run it,
    ``refusals`` the times that a node did. ``unsettled`` is set once a send may have run without an
    answer that was passed on, ``failed_answer`` holds the answer of a target that failed.
    """

    facts: RequestFacts
    route: RoutePolicy
    service: str
    arrived_at: float
    deadline: float
    tried: set[str]
    rank: int
    parent_id: str
    offered: set[str]
    bounces: int
    refusals: int
    current: str
    unsettled: bool
    repeat: Repeat
    failed_answer: TargetAnswer | None


class AnswerHere(NamedTuple):
    """The node answers by itself; nothing was run."""

    status: int
    reason: Reason
    retry_after_s: float


class Begin(NamedTuple):
    """The request has a route and a service."""

    route: RoutePolicy
    service: str
    deadline: float


EntryDecision = AnswerHere | Begin


class Deliver(NamedTuple):
    """The caller gets the target's answer."""

    answer: TargetAnswer


class SendAgain(NamedTuple):
    """The request is sent once more; ``repeat`` tells what its next arrival counts as."""

    reason: Reason
    repeat: Repeat


class GiveUp(NamedTuple):
    """The caller gets a final answer of this node."""

    status: int
    reason: Reason
    retry_after_s: float


NextStep = Deliver | SendAgain | GiveUp
