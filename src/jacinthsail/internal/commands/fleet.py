"""Changes to a node's view of the manifest, the targets and their load."""

from collections.abc import Iterable

from jacinthsail.internal.model.fleet import (
    EntryVersion,
    FleetState,
    LoadReport,
    TargetAtDistance,
    TargetEntry,
    UnconfirmedRemoval,
)
from jacinthsail.internal.model.manifest import Manifest, RoutePolicy
from jacinthsail.internal.queries.fleet_view import (
    DRAINING_PERIOD_S,
    NOT_READY_PERIOD_S,
    distance_to,
    failure_rate_after,
    is_outage,
    new_target_view,
    surplus_entry_versions,
    suspicion_s,
)
from jacinthsail.internal.queries.manifest_routes import index_routes


def install_manifest(fleet: FleetState, manifest: Manifest) -> None:
    """Put a newer manifest into force."""
    fleet["manifest"] = manifest
    fleet["routes"] = index_routes(manifest)


def advance_split(fleet: FleetState, route: RoutePolicy) -> None:
    """Count one request of a route that is split between services."""
    if len(route.branches) > 1:
        fleet["split_positions"][route.name] = fleet["split_positions"].get(route.name, 0) + 1


def record_entry_version(fleet: FleetState, incarnation: str, version: EntryVersion) -> None:
    """Record the version of the entry that a target has published."""
    # The order is that of the last changes, so that the oldest versions are dropped first.
    fleet["entry_versions"].pop(incarnation, None)
    fleet["entry_versions"][incarnation] = version
    for name in surplus_entry_versions(fleet):
        del fleet["entry_versions"][name]


def put_target(fleet: FleetState, entry: TargetEntry) -> None:
    """Add or replace the entry of a target."""
    known = fleet["targets"].get(entry.incarnation)
    fleet["unconfirmed_removals"].pop(entry.incarnation, None)
    if known == entry:
        return
    if known is not None:
        _remove_from_groups(fleet, known)
    fleet["targets"][entry.incarnation] = entry
    if entry.incarnation not in fleet["views"]:
        fleet["views"][entry.incarnation] = new_target_view(entry)
    distance = distance_to(entry, fleet["location"])
    groups = fleet["by_service"].setdefault(entry.service, {})
    groups[distance] = (*groups.get(distance, ()), TargetAtDistance(entry, distance))


def remove_target(fleet: FleetState, incarnation: str) -> None:
    """Remove a target and the observations of it."""
    fleet["unconfirmed_removals"].pop(incarnation, None)
    fleet["views"].pop(incarnation, None)
    entry = fleet["targets"].pop(incarnation, None)
    if entry is not None:
        _remove_from_groups(fleet, entry)


def _remove_from_groups(fleet: FleetState, entry: TargetEntry) -> None:
    distance = distance_to(entry, fleet["location"])
    groups = fleet["by_service"][entry.service]
    groups[distance] = tuple(
        at_distance
        for at_distance in groups[distance]
        if at_distance.entry.incarnation != entry.incarnation
    )


def record_unconfirmed_removal(fleet: FleetState, incarnation: str, until: float) -> None:
    """Keep a target until ``until`` whose entry expired while the store was unavailable."""
    entry = fleet["targets"].get(incarnation)
    if entry is not None and incarnation not in fleet["unconfirmed_removals"]:
        fleet["unconfirmed_removals"][incarnation] = UnconfirmedRemoval(entry, until)


def record_store_served(fleet: FleetState, served_at: float) -> None:
    """Record that the store served a read, which may end an outage."""
    if is_outage(fleet, served_at):
        fleet["store_recovered_at"] = served_at
    fleet["store_served_at"] = max(served_at, fleet["store_served_at"])


def record_store_went_back(fleet: FleetState, now: float) -> None:
    """Record that the store lost writes: entries are missing until they are written again."""
    fleet["store_recovered_at"] = now


def record_call_sent(fleet: FleetState, entry: TargetEntry) -> None:
    """Count a call that was sent to a target."""
    view = fleet["views"].get(entry.incarnation)
    if view is not None:
        view["in_flight"] += 1
        view["sent_since_report"] += 1


def record_call_end(fleet: FleetState, incarnation: str) -> None:
    """Count a call to a target as finished."""
    view = fleet["views"].get(incarnation)
    if view is not None and view["in_flight"] > 0:
        view["in_flight"] -= 1


def record_load(fleet: FleetState, incarnation: str, report: LoadReport, now: float) -> None:
    """Keep the load report of a target's node."""
    view = fleet["views"].get(incarnation)
    if view is None:
        return
    view["report"] = report
    view["reported_at"] = now
    view["sent_since_report"] = 0


def record_target_outcome(fleet: FleetState, incarnation: str, failed: bool, now: float) -> None:
    """Update the failure rate of a target; any response clears the suspicion that it is down."""
    view = fleet["views"].get(incarnation)
    if view is None:
        return
    view["failures"] = 0
    view["suspected_until"] = 0.0
    if failed or view["mean_failure_rate"]:
        view["mean_failure_rate"] = failure_rate_after(view, failed, now)
        view["mean_failure_rate_at"] = now


def record_target_unreachable(fleet: FleetState, incarnation: str, now: float) -> None:
    """Suspect a target for a while because it was unreachable or its node went silent."""
    view = fleet["views"].get(incarnation)
    if view is None:
        return
    view["failures"] += 1
    view["suspected_until"] = now + suspicion_s(view["failures"])


def record_node_draining(fleet: FleetState, incarnations: Iterable[str], now: float) -> None:
    """Send no new calls for a while to the targets of a node that is draining."""
    for incarnation in incarnations:
        view = fleet["views"].get(incarnation)
        if view is not None:
            view["draining_until"] = now + DRAINING_PERIOD_S


def record_node_not_ready(fleet: FleetState, incarnation: str, now: float) -> None:
    """Prefer other targets for a moment to one whose node cannot route nested calls yet."""
    view = fleet["views"].get(incarnation)
    if view is not None:
        view["suspected_until"] = now + NOT_READY_PERIOD_S


def record_node_started(fleet: FleetState, incarnations: Iterable[str]) -> None:
    """Use the targets of a node again after its hello."""
    for incarnation in incarnations:
        view = fleet["views"].get(incarnation)
        if view is not None:
            view["draining_until"] = 0.0
            view["suspected_until"] = 0.0
            view["failures"] = 0
