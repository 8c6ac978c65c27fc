"""Reads what a node knows of the targets."""

from collections.abc import Iterable, Mapping

from jacinthsail.internal.model.fleet import (
    DistantTarget,
    FleetState,
    LoadReport,
    NodePlace,
    TargetEntry,
    TargetView,
)
from jacinthsail.internal.model.manifest import Manifest
from jacinthsail.internal.model.membership import Distance

# A target whose call failed is avoided this long, doubling with each failure in a row.
FIRST_SUSPICION_S = 0.5
LONGEST_SUSPICION_S = 4.0

# Weight of one more outcome in the share of failing calls, and the time in which the share halves
# without one, so that a target that has recovered is tried again.
FAILING_WEIGHT = 0.08
FAILING_HALF_LIFE_S = 2.0

# A node says that it stops half a second before it closes its ports, and a restart takes about a
# second. Calls that come too early are refused without having run.
DRAINING_PERIOD_S = 1.5

# A node that has not read the store yet is ready some 10 ms after the store answers.
NOT_READY_PERIOD_S = 0.4

# Smaller shares change no choice.
FAILING_IGNORED = 0.01

# The platform says that entries which lapsed while its store was away are back within about 2 s.
LAPSE_GRACE_S = 2.0

# Removals that arrive this soon after the store answered again may be lapses.
RETURN_PERIOD_S = 2.0


def new_fleet(place: NodePlace) -> FleetState:
    """Return the knowledge of a node that has read nothing yet."""
    return FleetState(
        place=place,
        manifest=None,
        routes={},
        split_positions={},
        targets={},
        by_service={},
        lapses={},
        revision=0,
        store_back_at=float("-inf"),
        views={},
    )


def new_view(entry: TargetEntry) -> TargetView:
    """Return what is known of a target that no call has reached from here."""
    return TargetView(
        report=LoadReport(0, 0, entry.slots, 0.0),
        reported_at=float("-inf"),
        in_flight=0,
        failures=0,
        suspected_until=0.0,
        failing=0.0,
        failing_at=0.0,
        draining_until=0.0,
    )


def by_service(
    targets: Mapping[str, TargetEntry], place: NodePlace
) -> dict[str, dict[Distance, tuple[DistantTarget, ...]]]:
    """Return the targets of each service by their distance."""
    grouped: dict[str, dict[Distance, tuple[DistantTarget, ...]]] = {}
    for entry in targets.values():
        distance = distance_to(entry, place)
        groups = grouped.setdefault(entry.service, {})
        groups[distance] = (*groups.get(distance, ()), DistantTarget(entry, distance))
    return grouped


def distance_to(entry: TargetEntry, place: NodePlace) -> Distance:
    """Return how far a target is from a node."""
    if entry.failure_domain == place.failure_domain:
        return Distance.OWN_DOMAIN
    if entry.region == place.region:
        return Distance.OWN_REGION
    return Distance.OTHER_REGION


def failing_share(view: TargetView, now: float) -> float:
    """Return the share of calls that a target fails, which fades while nothing is sent there."""
    if not view["failing"]:
        return 0.0
    return float(view["failing"] * 0.5 ** ((now - view["failing_at"]) / FAILING_HALF_LIFE_S))


def failing_after(view: TargetView, failed: bool, now: float) -> float:
    """Return the share of failing calls after one more outcome."""
    share = failing_share(view, now)
    after = share + FAILING_WEIGHT * ((1.0 if failed else 0.0) - share)
    return after if after > FAILING_IGNORED else 0.0


def suspicion_s(failures: int) -> float:
    """Return how long a target is avoided after a number of failures in a row."""
    return min(LONGEST_SUSPICION_S, FIRST_SUSPICION_S * 2.0 ** min(failures - 1, 8))


def targets_on(fleet: FleetState, host: str) -> tuple[str, ...]:
    """Return the targets on the VM with an address."""
    return tuple(one.incarnation for one in fleet["targets"].values() if one.host == host)


def own_target(fleet: FleetState, place: NodePlace) -> TargetEntry | None:
    """Return the newest entry at the address of this node's target.

    After a replacement the entry of the former target may still be listed as leaving.
    """
    found = None
    for entry in fleet["targets"].values():
        if entry.host != place.host or entry.port != place.target_port:
            continue
        if found is None or found.leaving:
            found = entry
    return found


def manifest_version(fleet: FleetState) -> int:
    """Return the version of the manifest in force, or 0 before the first one."""
    manifest = fleet["manifest"]
    return 0 if manifest is None else manifest.version


def is_newer_manifest(fleet: FleetState, manifest: Manifest) -> bool:
    """Tell whether a manifest replaces the one in force; versions never go back."""
    return fleet["manifest"] is None or manifest.version > fleet["manifest"].version


def may_be_lapse(fleet: FleetState, now: float) -> bool:
    """Tell whether an entry that vanishes now may come back."""
    return now - fleet["store_back_at"] <= RETURN_PERIOD_S


def ended_lapses(fleet: FleetState, now: float) -> tuple[str, ...]:
    """Return the targets that did not come back in time."""
    return tuple(name for name, lapse in fleet["lapses"].items() if now >= lapse.until)


def missing_targets(fleet: FleetState, listed: Iterable[str]) -> tuple[str, ...]:
    """Return the targets known here that a complete list does not name."""
    names = frozenset(listed)
    return tuple(name for name in fleet["targets"] if name not in names)


def target_count(fleet: FleetState, service: str) -> int:
    """Return how many targets a service has, 1 if none is known."""
    groups = fleet["by_service"].get(service, {})
    return max(1, sum(len(group) for group in groups.values()))
