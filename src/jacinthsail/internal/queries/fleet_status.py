"""Compares the status pages of several nodes."""

from collections.abc import Mapping
from typing import Any

from jacinthsail.internal.model.reports import Report

EXIT_IN_SYNC = 0
EXIT_BEHIND = 1


def newest_versions(statuses: Mapping[str, Mapping[str, Any] | None]) -> dict[str, int]:
    """Return the newest version of each section that is in force on any node."""
    newest: dict[str, int] = {}
    for status in statuses.values():
        if status is None:
            continue
        for name, section in status["sections"].items():
            newest[name] = max(newest.get(name, 0), section["version"])
    return newest


def status_report(statuses: Mapping[str, Mapping[str, Any] | None]) -> Report:
    """Return the report on the versions in force, and on nodes that are behind or unreachable."""
    newest = newest_versions(statuses)
    lines = []
    problem_count = 0
    for node, status in statuses.items():
        if status is None:
            lines.append(f"{node}: no response; check that the node runs and the port is right")
            problem_count += 1
            continue
        notes = _notes(status, newest)
        problem_count += len(notes)
        state = "draining" if status["draining"] else "ready" if status["ready"] else "not ready"
        lines.append(
            f"{status['vm']} ({status['failure_domain']}, {status['service']}): {state}, "
            f"{status['in_flight']} in flight of {status['limit']}, {status['queued']} queued"
        )
        lines.extend(f"  {note}" for note in notes)
    for name in sorted(newest):
        lines.append(f"{name}: newest version in force {newest[name]}")
    return Report(tuple(lines), dict(statuses), EXIT_BEHIND if problem_count else EXIT_IN_SYNC)


def _notes(status: Mapping[str, Any], newest: Mapping[str, int]) -> list[str]:
    notes = [f"not ready: {reason}" for reason in status["not_ready_because"]]
    for name, version in sorted(newest.items()):
        section = status["sections"].get(name)
        if section is None:
            notes.append(f"{name}: none in force, version {version} is on other nodes")
            continue
        if section["version"] < version:
            notes.append(f"{name}: version {section['version']} is behind {version}")
        if section["rejected_version"] is not None:
            detail = "; ".join(section["errors"])
            notes.append(f"{name}: version {section['rejected_version']} rejected: {detail}")
    return notes
