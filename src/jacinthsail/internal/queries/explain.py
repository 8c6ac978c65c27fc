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
    """Return the logged decisions about a request, oldest first, each with its node.

    Lines that are not JSON objects are passed over: a log may be cut off in the middle of a line.
    """
    found = []
    for log in logs:
        for line in log.lines:
            if request_id not in line:
                continue
            entry = _object_in(line)
            if entry.get("request_id") == request_id:
                found.append({"node": log.node, **entry})
    found.sort(key=lambda entry: float(entry.get("time", 0.0)))
    return found


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


def _sentence(entry: dict[str, Any]) -> str:
    call = f"{entry.get('service')}/{entry.get('call_class')} (rank {entry.get('rank')})"
    chosen = entry.get("chosen") or "nothing"
    decided = f"{entry.get('decision')} of {call}: {chosen}"
    return f"{entry.get('node')}: {decided}, because {entry.get('reason')}"
