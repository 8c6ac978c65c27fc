"""Validates the text of a settings file or of a section."""

from pathlib import PurePath

from returns.result import Failure, Success

from jacinthsail.errors import describe
from jacinthsail.internal.model.reports import FileCheck, Report
from jacinthsail.internal.queries.documents import parse_section
from jacinthsail.internal.queries.schema import parse_toml
from jacinthsail.internal.queries.settings import parse_settings

SETTINGS = "settings"
SECTION = "section"

EXIT_VALID = 0
EXIT_INVALID = 2


def check_text(path: str, text: str) -> FileCheck:
    """Return the kind of one file and the errors in its text.

    A file with a ``[node]`` table is a settings file; every other file is a section.
    """
    match parse_toml(text, path):
        case Success(table) if "node" in table:
            kind = SETTINGS
            result = parse_settings(text, path).map(lambda _: None)
        case Success(_):
            kind = SECTION
            result = parse_section(path, 0, text.encode()).map(lambda _: None)
        case Failure(error):
            return FileCheck(path, "TOML file", (error,))
    match result:
        case Failure(errors):
            return FileCheck(path, kind, errors)
    return FileCheck(path, kind, ())


def check_report(checks: tuple[FileCheck, ...]) -> Report:
    """Return the report on the checked files, with one line for each error or valid file."""
    lines = []
    data = []
    faults = 0
    for check in checks:
        messages = [describe(error) for error in check.errors]
        data.append({"path": check.path, "kind": check.kind, "errors": messages})
        faults += len(messages)
        if not messages:
            lines.append(f"{check.path}: valid {check.kind}")
            continue
        lines.extend(messages)
    lines.append(f"{len(checks)} files checked, {faults} faults")
    return Report(tuple(lines), data, EXIT_INVALID if faults else EXIT_VALID)


def section_name_from_path(path: str) -> str:
    """Return the section name for a section file: ``billing`` for ``sections/billing.toml``."""
    return PurePath(path).stem
