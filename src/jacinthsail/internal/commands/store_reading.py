"""Applies what was read from the platform's store."""

from functools import singledispatch

from jacinthsail.internal.commands.fleet import (
    install_manifest,
    put_target,
    record_lapse,
    record_revision,
    record_store_return,
    remove_target,
)
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import (
    Changes,
    HistoryGone,
    Listing,
    ManifestPublished,
    ReadingState,
    StoreUnavailable,
    TargetPublished,
    TargetRemoved,
    Unreadable,
)
from jacinthsail.internal.queries.fleet_view import (
    LAPSE_GRACE_S,
    ended_lapses,
    is_newer_manifest,
    may_be_lapse,
    missing_targets,
)


@singledispatch
def apply_answer(answer: object, reading: ReadingState, fleet: FleetState, now: float) -> None:
    """Apply one answer of the store."""
    raise NotImplementedError(f"no rule for {type(answer).__name__}; register one")


@apply_answer.register
def _(answer: Listing, reading: ReadingState, fleet: FleetState, now: float) -> None:
    record_read(reading, fleet, now)
    reading["needs_listing"] = False
    for change in answer.changes:
        apply_change(change, fleet, now)
    for incarnation in missing_targets(fleet, answer.names):
        apply_change(TargetRemoved(incarnation), fleet, now)
    record_revision(fleet, answer.revision)


@apply_answer.register
def _(answer: Changes, reading: ReadingState, fleet: FleetState, now: float) -> None:
    record_read(reading, fleet, now)
    for change in answer.changes:
        apply_change(change, fleet, now)
    record_revision(fleet, answer.revision)


@apply_answer.register
def _(answer: HistoryGone, reading: ReadingState, fleet: FleetState, now: float) -> None:
    reading["needs_listing"] = True


@apply_answer.register
def _(answer: StoreUnavailable, reading: ReadingState, fleet: FleetState, now: float) -> None:
    reading["failures"] += 1


def record_read(reading: ReadingState, fleet: FleetState, now: float) -> None:
    """Count a read that the store answered."""
    if reading["failures"]:
        record_store_return(fleet, now)
    reading["failures"] = 0
    reading["last_read_at"] = now
    reading["reads"] += 1


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
    put_target(fleet, change.entry)


@apply_change.register
def _(change: TargetRemoved, fleet: FleetState, now: float) -> None:
    if may_be_lapse(fleet, now):
        record_lapse(fleet, change.incarnation, now + LAPSE_GRACE_S)
        return
    remove_target(fleet, change.incarnation)


@apply_change.register
def _(change: Unreadable, fleet: FleetState, now: float) -> None:
    """Leave everything as it is; the reader logs the item."""


def end_lapses(fleet: FleetState, now: float) -> None:
    """Forget the targets that did not come back after the store returned."""
    for incarnation in ended_lapses(fleet, now):
        remove_target(fleet, incarnation)
