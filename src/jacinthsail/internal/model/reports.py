"""What the operators' tool is asked for, and what it answers."""

from typing import NamedTuple

from jacinthsail.errors import ConfigurationError


class CheckFiles(NamedTuple):
    """Check settings files, section files, or folders of section files."""

    paths: tuple[str, ...]


class ShowStatus(NamedTuple):
    """Compare what the nodes at these operators' ports run."""

    nodes: tuple[str, ...]
    timeout_s: float


class ExplainRequest(NamedTuple):
    """Show the decisions about one request in these log files."""

    request_id: str
    log_paths: tuple[str, ...]


class CompareSections(NamedTuple):
    """Show what a changed section would alter."""

    old_path: str
    new_path: str


ToolRequest = CheckFiles | ShowStatus | ExplainRequest | CompareSections


class FileCheck(NamedTuple):
    """The faults of one file; none when it is valid."""

    path: str
    kind: str
    errors: tuple[ConfigurationError, ...]


class Difference(NamedTuple):
    """One value that two versions of a section disagree on."""

    key: str
    old: str
    new: str


class Report(NamedTuple):
    """An answer of the tool: readable lines, the same as data for JSON, and the exit status."""

    lines: tuple[str, ...]
    data: object
    exit_status: int
