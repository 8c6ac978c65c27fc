"""Changes to what a node knows of manifest, targets and their load."""

from collections.abc import Iterable

from jacinthsail.internal.model.fleet import (
    FleetState,
    Lapse,
    LoadReport,
    TargetEntry,
)
from jacinthsail.internal.model.manifest import Manifest, RoutePolicy
from jacinthsail.internal.queries.fleet_view import (
    DRAINING_PERIOD_S,
    NOT_READY_PERIOD_S,
    by_service,
    failing_after,
    new_view,
    suspicion_s,
)
from jacinthsail.internal.queries.manifest_routes import index_of_routes


def install_manifest(fleet: FleetState, manifest: Manifest) -> None:
    """Put a newer manifest in force."""
    fleet["manifest"] = manifest
    fleet["routes"] = index_of_routes(manifest)


def advance_split(fleet: FleetState, route: RoutePolicy) -> None:
    """Count one request of a route that is split between services."""
    if len(route.branches) > 1:
        fleet["split_positions"][route.name] = fleet["split_positions"].get(route.name, 0) + 1


def put_target(fleet: FleetState, entry: TargetEntry) -> None:
    """Add or replace the entry of a target."""
    known = fleet["targets"].get(entry.incarnation)
    fleet["lapses"].pop(entry.incarnation, None)
    fleet["targets"][entry.incarnation] = entry
    if entry.incarnation not in fleet["views"]:
        fleet["views"][entry.incarnation] = new_view(entry)
    if known is None or known != entry:
        fleet["by_service"] = by_service(fleet["targets"], fleet["place"])


def remove_target(fleet: FleetState, incarnation: str) -> None:
    """Forget a target that has left."""
    fleet["lapses"].pop(incarnation, None)
    fleet["views"].pop(incarnation, None)
    if fleet["targets"].pop(incarnation, None) is not None:
        fleet["by_service"] = by_service(fleet["targets"], fleet["place"])


def record_lapse(fleet: FleetState, incarnation: str, until: float) -> None:
    """Keep a target for a while whose entry vanished while the store was away."""
    entry = fleet["targets"].get(incarnation)
    if entry is not None and incarnation not in fleet["lapses"]:
        fleet["lapses"][incarnation] = Lapse(entry, until)


def record_revision(fleet: FleetState, revision: int) -> None:
    """Remember up to which revision of the store this node has read."""
    fleet["revision"] = revision


def record_store_return(fleet: FleetState, now: float) -> None:
    """Remember when the store answered again after it had been out of reach."""
    fleet["store_back_at"] = now


def record_call_sent(fleet: FleetState, entry: TargetEntry) -> None:
    """Count a call that is on its way to a target."""
    view = fleet["views"].get(entry.incarnation)
    if view is not None:
        view["in_flight"] += 1


def record_call_end(fleet: FleetState, incarnation: str) -> None:
    """Count a call that has its outcome."""
    view = fleet["views"].get(incarnation)
    if view is not None and view["in_flight"] > 0:
        view["in_flight"] -= 1


def record_load(fleet: FleetState, incarnation: str, report: LoadReport, now: float) -> None:
    """Keep what the node of a target said of its queue."""
    view = fleet["views"].get(incarnation)
    if view is None:
        return
    view["report"] = report
    view["reported_at"] = now


def record_target_outcome(fleet: FleetState, incarnation: str, failed: bool, now: float) -> None:
    """Keep whether a call to a target failed; any answer ends the suspicion that it is gone."""
    view = fleet["views"].get(incarnation)
    if view is None:
        return
    view["failures"] = 0
    view["suspected_until"] = 0.0
    if failed or view["failing"]:
        view["failing"] = failing_after(view, failed, now)
        view["failing_at"] = now


def record_target_unreachable(fleet: FleetState, incarnation: str, now: float) -> None:
    """Avoid a target for a while because a call could not reach it or its node went silent."""
    view = fleet["views"].get(incarnation)
    if view is None:
        return
    view["failures"] += 1
    view["suspected_until"] = now + suspicion_s(view["failures"])


def record_node_stops(fleet: FleetState, incarnations: Iterable[str], now: float) -> None:
    """Send nothing new to the targets of a node that stops."""
    for incarnation in incarnations:
        view = fleet["views"].get(incarnation)
        if view is not None:
            view["draining_until"] = now + DRAINING_PERIOD_S


def record_node_not_ready(fleet: FleetState, incarnation: str, now: float) -> None:
    """Prefer other targets for a moment to one whose node cannot route the target's calls yet."""
    view = fleet["views"].get(incarnation)
    if view is not None:
        view["suspected_until"] = now + NOT_READY_PERIOD_S


def record_node_started(fleet: FleetState, incarnations: Iterable[str]) -> None:
    """Use the targets of a node again that has introduced itself."""
    for incarnation in incarnations:
        view = fleet["views"].get(incarnation)
        if view is not None:
            view["draining_until"] = 0.0
            view["suspected_until"] = 0.0
            view["failures"] = 0
