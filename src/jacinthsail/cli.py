"""Entry point of ``jacinthsail``, the operators' tool.

Every sub-command is a query: it reads files and status pages and modifies nothing.

    jacinthsail check sections/ node.toml
    jacinthsail status --nodes 10.0.0.1:9103,10.0.0.2:9103
    jacinthsail explain --logs node-1.log,node-2.log 5094bd46
    jacinthsail where --node 10.0.0.1:9464 --host drafts.example --path /drafts/7
    jacinthsail diff sections/billing.toml new/billing.toml
"""

import json
import sys
from collections.abc import Callable
from typing import NamedTuple

from absl import flags
from returns.result import Failure, Result, Success

from jacinthsail.internal.adapters.tool import build_report
from jacinthsail.internal.model.reports import (
    AskWhere,
    CheckFiles,
    CompareSections,
    ExplainRequest,
    Report,
    ShowStatus,
    ToolRequest,
)
from jacinthsail.internal.model.where import WhereQuestion

EXIT_USAGE = 2
DEFAULT_TIMEOUT_S = 5.0

BuildRequest = Callable[[flags.FlagValues, list[str]], Result[ToolRequest, str]]


class SubCommand(NamedTuple):
    """One sub-command: usage, purpose, flags, and the function that builds its request."""

    usage: str
    summary: str
    new_flag_values: Callable[[], flags.FlagValues]
    build_request: BuildRequest


def _flag_values() -> flags.FlagValues:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_boolean("json", False, "Print JSON instead of lines.", flag_values=values)
    flags.DEFINE_boolean("help", False, "Print this help.", short_name="h", flag_values=values)
    return values


def _check_request(values: flags.FlagValues, paths: list[str]) -> Result[ToolRequest, str]:
    if not paths:
        return Failure("name at least one settings file, section file or folder of sections")
    return Success(CheckFiles(tuple(paths)))


def _status_flags() -> flags.FlagValues:
    values = _flag_values()
    flags.DEFINE_list(
        "nodes", [], "Operators' ports as host:port, separated by commas.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s", DEFAULT_TIMEOUT_S, "Time to wait for each node, in s.", flag_values=values
    )
    return values


def _status_request(values: flags.FlagValues, rest: list[str]) -> Result[ToolRequest, str]:
    if not values.nodes or rest:
        return Failure("name the nodes with --nodes host:port,host:port")
    return Success(ShowStatus(tuple(values.nodes), values.timeout_s))


def _explain_flags() -> flags.FlagValues:
    values = _flag_values()
    flags.DEFINE_list(
        "logs", [], "Log files of the nodes, separated by commas.", flag_values=values
    )
    return values


def _explain_request(values: flags.FlagValues, rest: list[str]) -> Result[ToolRequest, str]:
    if len(rest) != 1 or not values.logs:
        return Failure("name one request id, and the logs with --logs file,file")
    return Success(ExplainRequest(rest[0], tuple(values.logs)))


def _where_flags() -> flags.FlagValues:
    values = _flag_values()
    flags.DEFINE_string("node", "", "Metrics port of a node as host:port.", flag_values=values)
    flags.DEFINE_string("host", "", "Host of the request.", flag_values=values)
    flags.DEFINE_string("path", "", "Path of the request.", flag_values=values)
    flags.DEFINE_string("account", "", "Name of the caller's account.", flag_values=values)
    flags.DEFINE_integer(
        "remaining_ms", None, "Time that the caller will wait, in ms.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s", DEFAULT_TIMEOUT_S, "Time to wait for the node, in s.", flag_values=values
    )
    return values


def _where_request(values: flags.FlagValues, rest: list[str]) -> Result[ToolRequest, str]:
    if not values.node or not values.host or not values.path or rest:
        return Failure("name a node with --node host:port, and the request with --host and --path")
    remaining_s = None if values.remaining_ms is None else values.remaining_ms / 1000
    question = WhereQuestion(values.host, values.path, values.account, remaining_s)
    return Success(AskWhere(values.node, question, values.timeout_s))


def _diff_request(values: flags.FlagValues, paths: list[str]) -> Result[ToolRequest, str]:
    if len(paths) != 2:
        return Failure("name the section file in force and the changed one")
    return Success(CompareSections(paths[0], paths[1]))


SUB_COMMANDS = {
    "check": SubCommand(
        "check [--json] PATH...",
        "check settings files, section files and folders of section files",
        _flag_values,
        _check_request,
    ),
    "status": SubCommand(
        "status [--json] --nodes HOST:PORT,...",
        "show which section versions each node runs, and which nodes are behind",
        _status_flags,
        _status_request,
    ),
    "explain": SubCommand(
        "explain [--json] --logs FILE,... REQUEST_ID",
        "show why a request was routed, shed or retried",
        _explain_flags,
        _explain_request,
    ),
    "where": SubCommand(
        "where [--json] --node HOST:PORT --host HOST --path PATH [--account NAME]",
        "show where a request would go now, and why, without sending it",
        _where_flags,
        _where_request,
    ),
    "diff": SubCommand(
        "diff [--json] OLD NEW",
        "show what a changed section would alter",
        _flag_values,
        _diff_request,
    ),
}


def usage() -> str:
    """Return the help text of the tool."""
    lines = ["jacinthsail: operators' tool", ""]
    for command in SUB_COMMANDS.values():
        lines.append(f"  jacinthsail {command.usage}")
        lines.append(f"      {command.summary}")
    lines += ["", "jacinthsail SUB_COMMAND --help lists the flags of a sub-command."]
    lines += ["Exit status: 0 success, 1 findings need attention, 2 invalid input or usage."]
    return "\n".join(lines)


def run(arguments: list[str]) -> int:
    """Run one sub-command and return the exit status."""
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(usage())
        return 0 if arguments else EXIT_USAGE
    command = SUB_COMMANDS.get(arguments[0])
    if command is None:
        print(f"{arguments[0]} is not a sub-command\n\n{usage()}", file=sys.stderr)
        return EXIT_USAGE
    return _run_command(command, arguments)


def _run_command(command: SubCommand, arguments: list[str]) -> int:
    values = command.new_flag_values()
    try:
        rest = values(arguments)[1:]
    except flags.Error as error:
        print(f"{error}\nusage: jacinthsail {command.usage}", file=sys.stderr)
        return EXIT_USAGE
    if values.help:
        print(f"usage: jacinthsail {command.usage}\n{command.summary}\n{values.get_help()}")
        return 0
    match command.build_request(values, rest):
        case Success(request):
            return _print_report(build_report(request), values.json)
        case Failure(remedy):
            print(f"{remedy}\nusage: jacinthsail {command.usage}", file=sys.stderr)
    return EXIT_USAGE


def _print_report(report: Report, as_json: bool) -> int:
    if as_json:
        print(json.dumps(report.data, indent=2))
        return report.exit_status
    for line in report.lines:
        print(line)
    return report.exit_status


def main() -> None:
    """Run ``jacinthsail``."""
    raise SystemExit(run(sys.argv[1:]))
