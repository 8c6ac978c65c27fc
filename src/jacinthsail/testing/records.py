"""Reads the files that the processes of a mesh write: executions and decision lines."""

import json
from pathlib import Path
from typing import Any

from jacinthsail.testing.target_model import Execution


def read_executions(path: Path) -> list[Execution]:
    """Return the executions that a target recorded, in order of their start."""
    executions: dict[tuple[str, float], Execution] = {}
    for line in _complete_lines(path):
        execution: Execution = json.loads(line)
        executions[(execution["request_id"], execution["started_at"])] = execution
    return list(executions.values())


def read_decisions(path: Path) -> list[dict[str, Any]]:
    """Return the decision lines in the log of a node."""
    decisions = []
    for line in _complete_lines(path):
        if not line.startswith("{"):
            continue
        fields = json.loads(line)
        if "decision" in fields:
            decisions.append(fields)
    return decisions


def _complete_lines(path: Path) -> list[str]:
    if not path.exists():
        return []
    text = path.read_text(encoding="utf-8")
    # A killed process may leave an incomplete line at the end.
    return text[: text.rfind("\n") + 1].splitlines()
