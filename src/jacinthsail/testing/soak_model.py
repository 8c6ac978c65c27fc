"""Data of the fault soak: the plan of one run, and what clients and targets saw in it.

All times are seconds of the event loop's clock.
"""

from enum import StrEnum
from typing import NamedTuple, TypedDict

STILL_RUNNING = float("inf")

# Time between SIGTERM and the end of a process.
GRACE_S = 6.0


class Ending(StrEnum):
    """How an attempt of a client ended."""

    ANSWERED = "answered"
    CUT = "cut"
    CLIENT_LEFT = "client-left"


class Attempt(NamedTuple):
    """One attempt of a client; ``sent_at`` is when its last byte was written.

    ``is_moved`` is set for the route that each manifest moves to another service, and ``is_behind``
    if the request was sent behind an unanswered one on the same connection. ``is_whole`` is set if
    the response carries the seal and the body that belong to the request.
    """

    request_id: str
    node: int
    is_repeatable: bool
    is_moved: bool
    sent_at: float
    ended_at: float
    limit_s: float
    ending: Ending
    status: int
    is_sealed: bool
    is_whole: bool
    is_behind: bool


class Execution(NamedTuple):
    """One execution of a request by the target on the VM of a node."""

    request_id: str
    node: int
    service: str
    incarnation: str
    started_at: float
    ended_at: float


class Departure(NamedTuple):
    """A target whose leaving the store acknowledged."""

    incarnation: str
    at: float


class MovedRoute(NamedTuple):
    """The service of the route that each manifest moves, and when the store acknowledged it."""

    service: str
    at: float


class Disturbance(NamedTuple):
    """Something that happened to a node, or to the store if ``node`` is 0.

    ``is_planned`` distinguishes planned work from faults.
    """

    node: int
    name: str
    at: float
    is_planned: bool


class SoakRecord(TypedDict):
    """What was seen in one run.

    ``keys`` holds the keys of the requests by their ids, ``withdrawals`` when the store
    acknowledged the manifest without a key, and ``wrong_accounts`` the requests at targets with a
    key or with the name of another account.
    """

    attempts: list[Attempt]
    executions: list[Execution]
    departures: list[Departure]
    moves: list[MovedRoute]
    disturbances: list[Disturbance]
    unexpected_exits: list[str]
    keys: dict[str, str]
    withdrawals: dict[str, float]
    wrong_accounts: list[str]


class Violation(NamedTuple):
    """A promise that was broken."""

    rule: str
    request_id: str
    detail: str


class StopNode(NamedTuple):
    """SIGTERM to a node, which is started again after its end."""

    at: float
    node: int


class KillNode(NamedTuple):
    """SIGKILL to a node, which is started again at once."""

    at: float
    node: int


class FreezeNode(NamedTuple):
    """SIGSTOP to a node, and SIGCONT after ``for_s``."""

    at: float
    node: int
    for_s: float


class ReloadNode(NamedTuple):
    """SIGHUP to a node."""

    at: float
    node: int


class PublishManifest(NamedTuple):
    """A new version of the manifest."""

    at: float


class ReplaceTarget(NamedTuple):
    """A target leaves and another one takes its place.

    It reports that it is draining, or its entry is removed without a word.
    """

    at: float
    node: int
    announces: bool


class CutWatches(NamedTuple):
    """The store closes all its connections once."""

    at: float


class StoreOutage(NamedTuple):
    """The store answers every call with an error for ``for_s``."""

    at: float
    for_s: float


class RemoveVm(NamedTuple):
    """A target leaves and ends, then its node is stopped; both are started again."""

    at: float
    node: int


class ResetLinks(NamedTuple):
    """All connections of peers to a node are reset."""

    at: float
    node: int


class SilenceLinks(NamedTuple):
    """The open connections of peers to a node carry nothing any more; new ones work."""

    at: float
    node: int


class HoldLinks(NamedTuple):
    """Bytes between a node and the peers that call it are held for ``for_s``, in one direction."""

    at: float
    node: int
    for_s: float
    to_node: bool


class HoldStore(NamedTuple):
    """What the store sends to a node is held for ``for_s``."""

    at: float
    node: int
    for_s: float


class BreakResponses(NamedTuple):
    """A target spoils some of its responses for ``for_s``."""

    at: float
    node: int
    for_s: float


Action = (
    StopNode
    | KillNode
    | FreezeNode
    | ReloadNode
    | PublishManifest
    | ReplaceTarget
    | CutWatches
    | StoreOutage
    | RemoveVm
    | ResetLinks
    | SilenceLinks
    | HoldLinks
    | HoldStore
    | BreakResponses
)


class ClientMix(NamedTuple):
    """The numbers of clients at each node, by the way in which they send.

    ``work_ms`` holds the times that a target works on a request, of which clients choose one.
    """

    kept: int
    leaving: int
    pipelining: int
    slow_body: int
    readiness_ignoring: int
    work_ms: tuple[int, ...]


class SoakPlan(NamedTuple):
    """One run: the nodes, the clients at each of them, and the actions in the order of time.

    With ``has_proxies`` set, peers and the store are reached through proxies that add
    ``link_delay_s`` each way. With ``has_accounts`` set, callers need keys. With
    ``has_hostile_targets`` set, targets also send bytes that belong to no response.
    """

    seed: int
    nodes: int
    clients: ClientMix
    length_s: float
    actions: tuple[Action, ...]
    has_proxies: bool
    link_delay_s: float
    has_accounts: bool = False
    has_hostile_targets: bool = False


def new_record() -> SoakRecord:
    """Return the empty record of a run."""
    return SoakRecord(
        attempts=[],
        executions=[],
        departures=[],
        moves=[],
        disturbances=[],
        unexpected_exits=[],
        keys={},
        withdrawals={},
        wrong_accounts=[],
    )
