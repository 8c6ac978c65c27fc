"""Requests to the operators' tool, and its reports."""

from typing import NamedTuple

from jacinthsail.errors import ConfigurationError
from jacinthsail.internal.model.where import WhereQuestion


class CheckFiles(NamedTuple):
    """Check settings files, section files, or folders of section files."""

    paths: tuple[str, ...]


class ShowStatus(NamedTuple):
    """Compare the versions in force on the nodes at these operators' ports."""

    nodes: tuple[str, ...]
    timeout_s: float


class ExplainRequest(NamedTuple):
    """Show the decisions about one request in these log files."""

    request_id: str
    log_paths: tuple[str, ...]


class CompareSections(NamedTuple):
    """Show the values that a changed section would alter."""

    old_path: str
    new_path: str


class AskWhere(NamedTuple):
    """Ask the node with this metrics port where a request would go."""

    node: str
    question: WhereQuestion
    timeout_s: float


ToolRequest = CheckFiles | ShowStatus | ExplainRequest | CompareSections | AskWhere


class FileCheck(NamedTuple):
    """The errors in one file; none if it is valid."""

    path: str
    kind: str
    errors: tuple[ConfigurationError, ...]


class Difference(NamedTuple):
    """One value that differs between two versions of a section."""

    key: str
    old: str
    new: str


class Report(NamedTuple):
    """The tool's output as lines of text and as data for JSON, and its exit status."""

    lines: tuple[str, ...]
    data: object
    exit_status: int
