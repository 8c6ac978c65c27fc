"""The published targets, the load at each of them, and the choice between them."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.manifest import Manifest, RouteIndex
from jacinthsail.internal.model.membership import Distance


class TargetEntry(NamedTuple):
    """One incarnation of a target as the platform publishes it.

    ``host`` and ``port`` are the address of the target, which only the node on its VM can reach.
    """

    incarnation: str
    service: str
    host: str
    port: int
    failure_domain: str
    region: str
    slots: int
    is_draining: bool
    warm_up_s: float


class EntryVersion(NamedTuple):
    """When the target that wrote an entry started, by its own clock, and how often it had written.

    ``started_at_ms`` is None if the target does not publish it.
    """

    started_at_ms: int | None
    sequence: int


class TargetAtDistance(NamedTuple):
    """A target and its distance from this node."""

    entry: TargetEntry
    distance: Distance


class NodeLocation(NamedTuple):
    """This node's address, failure domain and region, and the service of its local target."""

    name: str
    host: str
    failure_domain: str
    region: str
    service: str
    target_port: int


class KindLoad(NamedTuple):
    """The mean duration of one kind of request at a target, and its expected queue wait."""

    duration_s: float
    wait_s: float


class LoadReport(NamedTuple):
    """The load at a target as its node reports it.

    New requests and nested calls are reported apart, since a target may execute long and short
    ones of both at the same time.
    """

    in_flight: int
    queued: int
    limit: int
    new: KindLoad
    nested: KindLoad


class TargetView(TypedDict):
    """One target as seen from this node; times are monotonic seconds.

    ``in_flight`` counts the calls sent from this node that have no outcome yet,
    ``sent_since_report`` those sent since ``report`` arrived, and ``failures`` the consecutive
    times that the target was unreachable. ``mean_failure_rate`` is the mean share
    of failed calls, as of ``mean_failure_rate_at``.
    """

    report: LoadReport
    reported_at: float
    in_flight: int
    sent_since_report: int
    failures: int
    suspected_until: float
    mean_failure_rate: float
    mean_failure_rate_at: float
    draining_until: float


class UnconfirmedRemoval(NamedTuple):
    """A target whose entry expired while the store was unavailable.

    The target is removed at ``until`` unless its entry is published again.
    """

    entry: TargetEntry
    until: float


class FleetState(TypedDict):
    """The published manifest and targets, and this node's observations of each target.

    ``location`` is this node's location, from which the distances of the targets follow.
    ``entry_versions`` holds the newest version of the entry of each target, and of some that were
    removed. ``split_positions`` counts the requests of each route that is split between services.
    ``store_served_at`` is when the store last served a read of this node or of one that it follows,
    and ``store_recovered_at`` when it did so again after an outage of at least ``min_outage_s``.
    """

    location: NodeLocation
    manifest: Manifest | None
    routes: RouteIndex
    split_positions: dict[str, int]
    targets: dict[str, TargetEntry]
    entry_versions: dict[str, EntryVersion]
    by_service: dict[str, dict[Distance, tuple[TargetAtDistance, ...]]]
    unconfirmed_removals: dict[str, UnconfirmedRemoval]
    min_outage_s: float
    store_served_at: float
    store_recovered_at: float
    views: dict[str, TargetView]


class Candidate(NamedTuple):
    """A target that can accept a call, and the expected time until its response."""

    entry: TargetEntry
    distance: Distance
    is_local: bool
    expected_s: float


class SendToLocalTarget(NamedTuple):
    """The call is sent to the target on this VM."""

    entry: TargetEntry


class SendToNode(NamedTuple):
    """The call is forwarded to the node of another target."""

    entry: TargetEntry


class NoTarget(NamedTuple):
    """No target can accept the call now; it was not executed."""

    reason: Reason
    retry_after_s: float


TargetChoice = SendToLocalTarget | SendToNode | NoTarget
