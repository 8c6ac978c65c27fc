"""Applies responses of the platform's store."""

from collections.abc import Iterable
from functools import singledispatch

from jacinthsail.internal.commands.fleet import (
    install_manifest,
    put_target,
    record_entry_version,
    record_store_served,
    record_unconfirmed_removal,
    remove_target,
)
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import (
    ChangesTooLarge,
    HistoryCompacted,
    ManifestPublished,
    StoreChange,
    StoreDelta,
    StoreReadState,
    StoreSnapshot,
    StoreUnavailable,
    TargetPublished,
    TargetRemoved,
    UndecodableItem,
)
from jacinthsail.internal.queries.fleet_view import (
    expired_unconfirmed_removals,
    is_newer_manifest,
    is_outdated,
    removals_confirmed_at,
)


@singledispatch
def record_response(
    response: object, reading: StoreReadState, fleet: FleetState, now: float
) -> None:
    """Record how a read of the store ended."""
    raise NotImplementedError(f"no rule for {type(response).__name__}; register one")


@record_response.register
def _(response: StoreSnapshot, reading: StoreReadState, fleet: FleetState, now: float) -> None:
    reading["needs_snapshot"] = False
    record_read(reading, fleet, now)


@record_response.register
def _(response: StoreDelta, reading: StoreReadState, fleet: FleetState, now: float) -> None:
    record_read(reading, fleet, now)


@record_response.register
def _(response: ChangesTooLarge, reading: StoreReadState, fleet: FleetState, now: float) -> None:
    # A snapshot is read in pages.
    reading["needs_snapshot"] = True


@record_response.register
def _(response: HistoryCompacted, reading: StoreReadState, fleet: FleetState, now: float) -> None:
    reading["needs_snapshot"] = True


@record_response.register
def _(response: StoreUnavailable, reading: StoreReadState, fleet: FleetState, now: float) -> None:
    reading["failures"] += 1


def record_read(reading: StoreReadState, fleet: FleetState, now: float) -> None:
    """Count a read to which the store responded."""
    record_store_served(fleet, now)
    reading["failures"] = 0
    reading["last_read_at"] = now
    reading["reads"] += 1


def apply_changes(changes: Iterable[StoreChange], fleet: FleetState, now: float) -> None:
    """Apply published changes, in their order."""
    for change in changes:
        apply_change(change, fleet, now)


@singledispatch
def apply_change(change: object, fleet: FleetState, now: float) -> None:
    """Apply one published change."""
    raise NotImplementedError(f"no rule for {type(change).__name__}; register one")


@apply_change.register
def _(change: ManifestPublished, fleet: FleetState, now: float) -> None:
    if is_newer_manifest(fleet, change.manifest):
        install_manifest(fleet, change.manifest)


@apply_change.register
def _(change: TargetPublished, fleet: FleetState, now: float) -> None:
    if is_outdated(fleet, change.entry.incarnation, change.version):
        return
    record_entry_version(fleet, change.entry.incarnation, change.version)
    put_target(fleet, change.entry)


@apply_change.register
def _(change: TargetRemoved, fleet: FleetState, now: float) -> None:
    confirmed_at = removals_confirmed_at(fleet)
    if now < confirmed_at:
        record_unconfirmed_removal(fleet, change.incarnation, confirmed_at)
        return
    remove_target(fleet, change.incarnation)


@apply_change.register
def _(change: UndecodableItem, fleet: FleetState, now: float) -> None:
    """Change nothing; the reader logs the item."""


def remove_unconfirmed_targets(fleet: FleetState, now: float) -> None:
    """Remove the targets whose entries were not published again after the store recovered."""
    for incarnation in expired_unconfirmed_removals(fleet, now):
        remove_target(fleet, incarnation)
