"""Explains from the decision log what happened to one request."""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from jacinthsail.internal.model.reports import Report

EXIT_FOUND = 0
EXIT_NOT_FOUND = 1


class NodeLog(NamedTuple):
    """The lines of one node's log."""

    node: str
    lines: tuple[str, ...]


def decisions_about(request_id: str, logs: Iterable[NodeLog]) -> list[dict[str, Any]]:
    """Return the logged decisions about a request and the calls made for it, oldest first.

    A line about a nested call names its parent, so the calls are found level by level. Lines that
    are not JSON objects are passed over: a log may be cut off in the middle of a line.
    """
    entries = []
    for log in logs:
        for line in log.lines:
            entry = _object_in(line) if "request_id" in line else {}
            if entry.get("request_id"):
                entries.append({"node": log.node, **entry})
    names = _names_in_chain(request_id, entries)
    found = [entry for entry in entries if entry["request_id"] in names]
    found.sort(key=lambda entry: float(entry.get("time", 0.0)))
    return found


def _names_in_chain(request_id: str, entries: list[dict[str, Any]]) -> set[str]:
    """Return the ids of a request and of all calls that were made for it."""
    calls: dict[str, set[str]] = {}
    for entry in entries:
        if entry.get("parent"):
            calls.setdefault(entry["parent"], set()).add(entry["request_id"])
    names = {request_id}
    level = {request_id}
    while level:
        level = {call for name in level for call in calls.get(name, ())} - names
        names |= level
    return names


def _object_in(line: str) -> dict[str, Any]:
    try:
        entry = json.loads(line)
    except ValueError:
        return {}
    return entry if isinstance(entry, dict) else {}


def explain_report(request_id: str, decisions: list[dict[str, Any]]) -> Report:
    """Return the report on the decisions about a request."""
    if not decisions:
        line = f"no decision about request {request_id}; name the logs of the nodes that served it"
        return Report((line,), [], EXIT_NOT_FOUND)
    start = float(decisions[0]["time"])
    lines = [f"decisions about request {request_id}:"]
    for entry in decisions:
        elapsed_ms = (float(entry["time"]) - start) * 1000
        lines.append(f"{elapsed_ms:9.1f} ms  {_sentence(entry)}")
    return Report(tuple(lines), decisions, EXIT_FOUND)


# Fields that a sentence names by itself, or that say nothing of a decision.
_NAMED_FIELDS = frozenset({"time", "level", "logger", "node", "decision", "request_id", "reason"})


def _sentence(entry: dict[str, Any]) -> str:
    if "call_class" not in entry:
        inputs = [f"{key} {entry[key]}" for key in entry if key not in _NAMED_FIELDS]
        decided = f"{entry.get('decision')} {entry.get('request_id')}"
        return (
            f"{entry.get('node')}: {decided}, because {entry.get('reason')} ({', '.join(inputs)})"
        )
    call = f"{entry.get('service')}/{entry.get('call_class')} (rank {entry.get('rank')})"
    chosen = entry.get("chosen") or "nothing"
    decided = f"{entry.get('decision')} of {call}: {chosen}"
    return f"{entry.get('node')}: {decided}, because {entry.get('reason')}"
