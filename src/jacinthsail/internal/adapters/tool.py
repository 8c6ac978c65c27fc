"""Builds the reports of the operators' tool; it only reads files and status pages."""

import asyncio
import json
from collections.abc import Iterator
from functools import singledispatch
from pathlib import Path
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, describe
from jacinthsail.internal.adapters.files import read_text
from jacinthsail.internal.adapters.operator_requests import WHERE_PATH
from jacinthsail.internal.model.document import Section
from jacinthsail.internal.model.reports import (
    AskWhere,
    CheckFiles,
    CompareSections,
    ExplainRequest,
    FileCheck,
    Report,
    ShowStatus,
)
from jacinthsail.internal.model.where import WhereAnswer
from jacinthsail.internal.queries.checks import (
    EXIT_INVALID,
    check_report,
    check_text,
    section_name_from_path,
)
from jacinthsail.internal.queries.differences import difference_report, section_differences
from jacinthsail.internal.queries.documents import parse_section
from jacinthsail.internal.queries.explain import NodeLog, decisions_about, explain_report
from jacinthsail.internal.queries.fleet_status import status_report
from jacinthsail.internal.queries.where import describe_where

# The request would be refused now.
EXIT_REFUSED = 1


@singledispatch
def build_report(request: object) -> Report:
    """Return the report for a request of the tool."""
    raise NotImplementedError(f"no report for {type(request).__name__}; register one")


@build_report.register
def _(request: CheckFiles) -> Report:
    checks = []
    for path in _expand_directories(request.paths):
        checks.append(_check_file(path))
    return check_report(tuple(checks))


@build_report.register
def _(request: ShowStatus) -> Report:
    return asyncio.run(_fleet_status(request))


@build_report.register
def _(request: AskWhere) -> Report:
    answer = asyncio.run(_ask_where(request))
    if answer is None:
        line = f"{request.node}: no response; check that the node runs and the port is right"
        return Report((line,), None, EXIT_INVALID)
    exit_status = 0 if answer["decision"] == "send" else EXIT_REFUSED
    return Report(describe_where(answer), answer, exit_status)


async def _ask_where(request: AskWhere) -> WhereAnswer | None:
    question = request.question
    query = {"host": question.host, "path": question.path}
    if question.account:
        query["account"] = question.account
    if question.remaining_time_s is not None:
        query["remaining_ms"] = str(round(question.remaining_time_s * 1000))
    timeout = aiohttp.ClientTimeout(total=request.timeout_s)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = f"http://{request.node}{WHERE_PATH}"
            async with session.get(url, params=query) as response:
                answer: WhereAnswer = json.loads(await response.read())
                return answer
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None


@build_report.register
def _(request: ExplainRequest) -> Report:
    logs = []
    for path in request.log_paths:
        match read_text(path):
            case Success(text):
                logs.append(NodeLog(Path(path).stem, tuple(text.splitlines())))
            case Failure(error):
                return _failure_report((error,))
    return explain_report(request.request_id, decisions_about(request.request_id, logs))


@build_report.register
def _(request: CompareSections) -> Report:
    sections = []
    for path in (request.old_path, request.new_path):
        match _read_section(path):
            case Success(section):
                sections.append(section)
            case Failure(errors):
                return _failure_report(errors)
    old, new = sections
    return difference_report(section_differences(old, new))


def _expand_directories(paths: tuple[str, ...]) -> Iterator[str]:
    for path in paths:
        if not Path(path).is_dir():
            yield path
            continue
        for member in sorted(Path(path).glob("*.toml")):
            yield str(member)


def _check_file(path: str) -> FileCheck:
    match read_text(path):
        case Success(text):
            return check_text(path, text)
        case Failure(error):
            return FileCheck(path, "file", (error,))
    raise AssertionError("a result is a success or a failure")


def _read_section(path: str) -> Result[Section, tuple[ConfigurationError, ...]]:
    match read_text(path):
        case Success(text):
            return parse_section(section_name_from_path(path), 0, text.encode())
        case Failure(error):
            return Failure((error,))
    raise AssertionError("a result is a success or a failure")


def _failure_report(errors: tuple[ConfigurationError, ...]) -> Report:
    messages = tuple(describe(error) for error in errors)
    return Report(messages, list(messages), EXIT_INVALID)


async def _fleet_status(request: ShowStatus) -> Report:
    timeout = aiohttp.ClientTimeout(total=request.timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        pages = [_fetch_status(session, node) for node in request.nodes]
        statuses = await asyncio.gather(*pages)
    return status_report(dict(zip(request.nodes, statuses, strict=True)))


async def _fetch_status(session: aiohttp.ClientSession, node: str) -> dict[str, Any] | None:
    try:
        async with session.get(f"http://{node}/status") as response:
            page: dict[str, Any] = json.loads(await response.read())
            return page
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None
