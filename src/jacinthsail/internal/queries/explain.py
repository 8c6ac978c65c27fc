"""Explains from the decision log what happened to one request."""

import json
from collections.abc import Iterable
from typing import Any

from jacinthsail.internal.model.reports import Report

EXIT_FOUND = 0
EXIT_NOT_FOUND = 1


def decisions_about(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the logged decisions about a request, oldest first.

    Lines that are not JSON objects are passed over: a log may be cut off in the middle of a line.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if isinstance(entry, dict) and entry.get("request_id") == request_id:
            found.append(entry)
    found.sort(key=lambda entry: float(entry.get("time", 0.0)))
    return found


def explain_report(request_id: str, decisions: list[dict[str, Any]]) -> Report:
    """Return the report on the decisions about a request."""
    if not decisions:
        line = f"no decision about request {request_id}; name the logs of the nodes that served it"
        return Report((line,), [], EXIT_NOT_FOUND)
    start = float(decisions[0]["time"])
    lines = [f"request {request_id}: {len(decisions)} decisions"]
    for entry in decisions:
        elapsed_ms = (float(entry["time"]) - start) * 1000
        lines.append(f"{elapsed_ms:9.1f} ms  {_sentence(entry)}")
    return Report(tuple(lines), decisions, EXIT_FOUND)


def _sentence(entry: dict[str, Any]) -> str:
    place = entry.get("vm", "")
    call = f"{entry.get('service')}/{entry.get('call_class')} (rank {entry.get('rank')})"
    chosen = entry.get("chosen") or "nothing"
    return f"{place} {entry.get('decision')} of {call}: {chosen}, because {entry.get('reason')}"
