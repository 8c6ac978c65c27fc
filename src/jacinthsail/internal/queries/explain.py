"""Reconstructs the history of one request from the decision logs of several nodes."""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from jacinthsail.internal.model.reports import Report

EXIT_FOUND = 0
EXIT_NOT_FOUND = 1


class NodeLog(NamedTuple):
    """The decision log of one node."""

    node: str
    lines: tuple[str, ...]


def decisions_about(request_id: str, logs: Iterable[NodeLog]) -> list[dict[str, Any]]:
    """Return the logged decisions about a request and its nested calls, oldest first.

    A line about a nested call names its parent, so nested calls are found level by level. Lines
    that are not JSON objects are skipped: a log may be cut off in the middle of a line.
    """
    entries = []
    for log in logs:
        for line in log.lines:
            entry = _parse_json_object(line) if "request_id" in line else {}
            if entry.get("request_id"):
                entries.append({"node": log.node, **entry})
    request_ids = _request_ids_in_chain(request_id, entries)
    found = [entry for entry in entries if entry["request_id"] in request_ids]
    found.sort(key=lambda entry: float(entry.get("time", 0.0)))
    return found


def _request_ids_in_chain(request_id: str, entries: list[dict[str, Any]]) -> set[str]:
    """Return the ids of a request and of all nested calls made for it."""
    calls: dict[str, set[str]] = {}
    for entry in entries:
        if entry.get("parent"):
            calls.setdefault(entry["parent"], set()).add(entry["request_id"])
    request_ids = {request_id}
    level = {request_id}
    while level:
        level = {call for parent in level for call in calls.get(parent, ())} - request_ids
        request_ids |= level
    return request_ids


def _parse_json_object(line: str) -> dict[str, Any]:
    try:
        entry = json.loads(line)
    except ValueError:
        return {}
    return entry if isinstance(entry, dict) else {}


def explain_report(request_id: str, decisions: list[dict[str, Any]]) -> Report:
    """Return the report on the decisions about a request, with times relative to the first."""
    if not decisions:
        line = f"no decision about request {request_id}; pass the logs of the nodes that served it"
        return Report((line,), [], EXIT_NOT_FOUND)
    start = float(decisions[0]["time"])
    lines = [f"decisions about request {request_id}:"]
    for entry in decisions:
        elapsed_ms = (float(entry["time"]) - start) * 1000
        lines.append(f"{elapsed_ms:9.1f} ms  {_sentence(entry)}")
    return Report(tuple(lines), decisions, EXIT_FOUND)


# Fields that a sentence already contains, or that are not inputs of the decision.
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
