"""What a run of a scenario has seen."""

import math
from collections.abc import Callable
from typing import NamedTuple, TypedDict

from jacinthsail.testing.target_model import Execution


class Told(NamedTuple):
    """What a client was told of one attempt; ``sent_at`` is in monotonic seconds."""

    label: str
    request_id: str
    plan_id: str
    key: str
    service: str
    call_class: str
    sent_at: float
    latency_s: float
    status: int
    outcome: str
    reason: str
    body: str
    is_last: bool


class LoadSpan(NamedTuple):
    """When a load ran."""

    started_at: float
    duration_s: float


class SeenVersions(NamedTuple):
    """Versions of the sections that one incarnation of a node had in force.

    ``seen_at`` and ``confirmed_as_of``, the time up to which the node knew all versions, are
    monotonic seconds. ``rejected`` holds the versions that are shown with errors.
    """

    vm: str
    incarnation: str
    versions: dict[str, int]
    seen_at: float = 0.0
    confirmed_as_of: float = 0.0
    rejected: dict[str, int] = {}


class PublishedEdit(NamedTuple):
    """The section and version of a labelled edit."""

    section: str
    version: int


class RunRecord(TypedDict):
    """Everything that a run has seen; the checks read nothing else."""

    told: list[Told]
    spans: dict[str, LoadSpan]
    marks: dict[str, float]
    exit_codes: dict[str, int | None]
    published: dict[str, int]
    edits: dict[str, PublishedEdit]
    seen: list[SeenVersions]
    executions: list[Execution]
    notes: list[str]


def empty_record() -> RunRecord:
    """Return the record of a run that has not begun."""
    return {
        "told": [],
        "spans": {},
        "marks": {},
        "exit_codes": {},
        "published": {},
        "edits": {},
        "seen": [],
        "executions": [],
        "notes": [],
    }


def newest_seen(record: RunRecord, since: float = 0.0) -> dict[str, SeenVersions]:
    """Return what each VM was last seen with, of what was noted from ``since`` on."""
    newest = {}
    for seen in record["seen"]:
        if seen.seen_at >= since:
            newest[seen.vm] = seen
    return newest


def seen_after_s(
    record: RunRecord, vm: str, since: float, holds: Callable[[SeenVersions], bool]
) -> float:
    """Return after how many seconds a VM was first seen as wanted, or infinity."""
    for seen in record["seen"]:
        if seen.vm == vm and seen.seen_at >= since and holds(seen):
            return seen.seen_at - since
    return math.inf
