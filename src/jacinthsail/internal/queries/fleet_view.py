"""Reads what a node knows of the targets."""

from collections.abc import Iterable, Mapping

from jacinthsail.internal.model.fleet import (
    FleetState,
    LoadReport,
    NodePlace,
    TargetEntry,
    TargetView,
)
from jacinthsail.internal.model.manifest import Manifest

# A target whose call failed is avoided this long, doubling with each failure in a row.
FIRST_SUSPICION_S = 0.5
LONGEST_SUSPICION_S = 4.0

# The platform says that entries which lapsed while its store was away are back within about 2 s.
LAPSE_GRACE_S = 2.0

# Removals that arrive this soon after the store answered again may be lapses.
RETURN_PERIOD_S = 2.0


def new_fleet() -> FleetState:
    """Return the knowledge of a node that has read nothing yet."""
    return FleetState(
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
        draining=False,
    )


def by_service(targets: Mapping[str, TargetEntry]) -> dict[str, tuple[TargetEntry, ...]]:
    """Return the targets of each service."""
    grouped: dict[str, list[TargetEntry]] = {}
    for entry in targets.values():
        grouped.setdefault(entry.service, []).append(entry)
    return {service: tuple(entries) for service, entries in grouped.items()}


def suspicion_s(failures: int) -> float:
    """Return how long a target is avoided after a number of failures in a row."""
    return min(LONGEST_SUSPICION_S, FIRST_SUSPICION_S * 2.0 ** min(failures - 1, 8))


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


def node_count(fleet: FleetState) -> int:
    """Return how many nodes there are, one beside each target."""
    return max(1, len(fleet["targets"]))
