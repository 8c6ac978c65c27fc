"""What a node knows of the targets, and of the load at each of them."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.manifest import Manifest, RouteIndex
from jacinthsail.internal.model.membership import Distance


class TargetEntry(NamedTuple):
    """One incarnation of a target as the platform publishes it.

    ``host`` and ``port`` are the target's own address; only the node on its VM can reach it.
    """

    incarnation: str
    service: str
    host: str
    port: int
    failure_domain: str
    region: str
    slots: int
    leaving: bool
    warm_up_s: float


class DistantTarget(NamedTuple):
    """A target and how far it is from this node."""

    entry: TargetEntry
    distance: Distance


class NodePlace(NamedTuple):
    """Where this node is: its address, failure domain, region and the service of its target."""

    name: str
    host: str
    failure_domain: str
    region: str
    service: str
    target_port: int


class LoadReport(NamedTuple):
    """What the node of a target says of its queue.

    ``mean_s`` is the time that the target takes, ``new_wait_s`` how long a new request would wait.
    """

    in_flight: int
    queued: int
    limit: int
    mean_s: float
    new_wait_s: float = 0.0


class TargetView(TypedDict):
    """One target as seen from this node; times are monotonic seconds.

    ``in_flight`` counts the calls sent from here that have no outcome yet. ``failing`` is the mean
    share of calls that failed there, as of ``failing_at``.
    """

    report: LoadReport
    reported_at: float
    in_flight: int
    failures: int
    suspected_until: float
    failing: float
    failing_at: float
    draining_until: float


class Lapse(NamedTuple):
    """A target whose entry vanished while the store was away, and when it counts as gone."""

    entry: TargetEntry
    until: float


class FleetState(TypedDict):
    """The published manifest and targets, and what calls have shown of each target.

    ``place`` is where this node is, which decides how far each target is.
    """

    place: NodePlace
    manifest: Manifest | None
    routes: RouteIndex
    split_positions: dict[str, int]
    targets: dict[str, TargetEntry]
    by_service: dict[str, dict[Distance, tuple[DistantTarget, ...]]]
    lapses: dict[str, Lapse]
    revision: int
    store_back_at: float
    views: dict[str, TargetView]


class Candidate(NamedTuple):
    """A target that may take a call, and when its answer is expected."""

    entry: TargetEntry
    distance: Distance
    is_own: bool
    expected_s: float


class SendToOwnTarget(NamedTuple):
    """The call goes to the target on this VM."""

    entry: TargetEntry


class SendToNode(NamedTuple):
    """The call goes to the node beside another target."""

    entry: TargetEntry


class NoTarget(NamedTuple):
    """No target may take the call now; it was not run."""

    reason: Reason
    retry_after_s: float


TargetChoice = SendToOwnTarget | SendToNode | NoTarget
