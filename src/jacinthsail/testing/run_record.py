"""Data that is recorded while a scenario runs."""

import math
from collections.abc import Callable
from typing import NamedTuple, TypedDict

from jacinthsail.testing.target_model import Execution


class AttemptResult(NamedTuple):
    """The result of one attempt of a client; ``sent_at`` is in monotonic seconds.

    ``label`` names the load. All attempts of one logical call, which are its concurrent copies and
    their retries, have the same ``logical_call_id``, and each has its own ``request_id``.
    """

    label: str
    request_id: str
    logical_call_id: str
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
    """The start, in monotonic seconds, and the duration of a load."""

    started_at: float
    duration_s: float


class ObservedVersions(NamedTuple):
    """Versions of the sections that one incarnation of a node reported as in force.

    ``observed_at`` and ``confirmed_as_of``, the time up to which the node had all versions, are
    monotonic seconds. ``rejected`` holds the versions that the node reported with errors.
    """

    vm: str
    incarnation: str
    versions: dict[str, int]
    observed_at: float = 0.0
    confirmed_as_of: float = 0.0
    rejected: dict[str, int] = {}


class PublishedEdit(NamedTuple):
    """The section and version of a labelled edit."""

    section: str
    version: int


class RunRecord(TypedDict):
    """Everything recorded in a run; the checks read nothing else."""

    attempt_results: list[AttemptResult]
    spans: dict[str, LoadSpan]
    step_times: dict[str, float]
    exit_codes: dict[str, int | None]
    published: dict[str, int]
    edits: dict[str, PublishedEdit]
    observations: list[ObservedVersions]
    executions: list[Execution]
    notes: list[str]


def new_run_record() -> RunRecord:
    """Return the record of a run that has not started."""
    return {
        "attempt_results": [],
        "spans": {},
        "step_times": {},
        "exit_codes": {},
        "published": {},
        "edits": {},
        "observations": [],
        "executions": [],
        "notes": [],
    }


def latest_observations(record: RunRecord, since: float = 0.0) -> dict[str, ObservedVersions]:
    """Return the last observation of each VM at or after ``since``."""
    newest = {}
    for observation in record["observations"]:
        if observation.observed_at >= since:
            newest[observation.vm] = observation
    return newest


def seconds_until(
    record: RunRecord, vm: str, since: float, holds: Callable[[ObservedVersions], bool]
) -> float:
    """Return the seconds from ``since`` to the first matching observation of a VM, or infinity."""
    for observation in record["observations"]:
        if observation.vm == vm and observation.observed_at >= since and holds(observation):
            return observation.observed_at - since
    return math.inf
