"""Queries that check the record of a run.

``find_faults`` returns one line for each way in which a check is not met, and ``describe_figure``
the measured value that the check compares with its limit.
"""

import json
from collections import Counter
from functools import singledispatch

from jacinthsail.testing import scenario_model as model
from jacinthsail.testing.mesh import process_name
from jacinthsail.testing.run_record import (
    AttemptResult,
    ObservedVersions,
    RunRecord,
    latest_observations,
    seconds_until,
)

# Further lines of the same check rarely add information.
MAX_LINES_PER_CHECK = 5


@singledispatch
def find_faults(check: object, record: RunRecord) -> list[str]:
    """Return one line for each way in which a check is not met."""
    raise NotImplementedError(f"no rule for check {type(check).__name__}; register one")


@find_faults.register
def _(check: model.AtMostOnce, record: RunRecord) -> list[str]:
    counts = Counter(execution["key"] for execution in record["executions"] if execution["key"])
    faults = [f"key {key}: {count} executions" for key, count in counts.items() if count > 1]
    if len(counts) < check.at_least_keys:
        faults.append(f"{len(counts)} keys were executed, fewer than {check.at_least_keys}")
    return faults


@find_faults.register
def _(check: model.OutcomesTrue, record: RunRecord) -> list[str]:
    executed = {
        (execution["request_id"], execution["service"]) for execution in record["executions"]
    }
    first_start: dict[str, float] = {}
    for execution in record["executions"]:
        earliest = first_start.get(execution["key"], execution["started_at"])
        first_start[execution["key"]] = min(earliest, execution["started_at"])
    faults = []
    for attempt in record["attempt_results"]:
        was_executed = (attempt.request_id, attempt.service) in executed
        if attempt.outcome == "not-run" and was_executed:
            faults.append(
                f"{attempt.request_id}: returned not-run ({attempt.reason}) but was executed"
            )
        if (
            attempt.outcome == "not-run"
            and attempt.key
            and _was_key_executed_before(attempt, first_start)
        ):
            faults.append(
                f"{attempt.request_id}: returned not-run ({attempt.reason}) after its key ran"
            )
        if attempt.outcome == "answered" and not attempt.key and not was_executed:
            faults.append(f"{attempt.request_id}: returned answered but was not executed")
    return faults


def _was_key_executed_before(attempt: AttemptResult, first_start: dict[str, float]) -> bool:
    """Return whether an execution with the same key had started before the call was sent."""
    return attempt.key in first_start and first_start[attempt.key] < attempt.sent_at


@find_faults.register
def _(check: model.AnswersWhole, record: RunRecord) -> list[str]:
    faults = []
    answered = [attempt for attempt in record["attempt_results"] if attempt.outcome == "answered"]
    for attempt in answered:
        if not _matches_request(attempt):
            faults.append(
                f"{attempt.request_id}: status {attempt.status}, body {attempt.body[:80]!r}"
            )
    if len(answered) < check.at_least:
        faults.append(f"{len(answered)} calls were answered, fewer than {check.at_least}")
    return faults


def _matches_request(attempt: AttemptResult) -> bool:
    try:
        content = json.loads(attempt.body)
    except ValueError:
        return False
    if not isinstance(content, dict):
        return False
    path = f"{attempt.service}/{attempt.call_class}"
    return content.get("id") == attempt.logical_call_id and content.get("path") == path


@find_faults.register
def _(check: model.ShedOrder, record: RunRecord) -> list[str]:
    first = _answered_share(_attempts_of_class(record, check.label, check.first))
    last = _answered_share(_attempts_of_class(record, check.label, check.last))
    faults = []
    if 1 - first < check.first_shed_at_least:
        faults.append(f"{check.first}: {1 - first:.3f} shed, so the load causes no overload")
    if last < check.last_answered_at_least:
        faults.append(f"{check.last}: {last:.3f} answered, {check.first}: {first:.3f}")
    if last < first:
        faults.append(f"{check.last} is answered less often than {check.first}")
    return faults


@find_faults.register
def _(check: model.ExecutionsPerRequest, record: RunRecord) -> list[str]:
    counts: Counter[str] = Counter()
    for execution in record["executions"]:
        if execution["service"] == check.service and execution["request_id"].startswith(
            check.label
        ):
            counts[execution["request_id"]] += 1
    faults = []
    for request_id, count in counts.items():
        if count > check.at_most:
            faults.append(f"{request_id}: {count} executions at {check.service}")
    return faults or ([] if counts else [f"{check.service} has executed nothing"])


@find_faults.register
def _(check: model.ExecutionsRatio, record: RunRecord) -> list[str]:
    ratio = _executions_ratio(check, record)
    if ratio > check.at_most:
        return [f"{check.service}: {ratio:.2f} executions per request of {check.label}"]
    return []


def _executions_ratio(check: model.ExecutionsRatio, record: RunRecord) -> float:
    logical_calls = {
        attempt.logical_call_id
        for attempt in record["attempt_results"]
        if attempt.label == check.label
    }
    execution_count = 0
    for execution in record["executions"]:
        if execution["service"] != check.service:
            continue
        if check.any_request or execution["request_id"].startswith(f"{check.label}-"):
            execution_count += 1
    return execution_count / max(1, len(logical_calls))


@find_faults.register
def _(check: model.WastedShare, record: RunRecord) -> list[str]:
    share = _wasted_share(check, record)
    if share > check.at_most:
        return [f"{check.label}: {share:.3f} of the executions wasted, more than {check.at_most}"]
    return []


def _wasted_share(check: model.WastedShare, record: RunRecord) -> float:
    answered = set()
    for attempt in record["attempt_results"]:
        if attempt.label == check.label and attempt.status == 200:
            answered.add(attempt.request_id)
    execution_count = 0
    wasted = 0
    for execution in record["executions"]:
        if not execution["request_id"].startswith(f"{check.label}-"):
            continue
        execution_count += 1
        if execution["request_id"] not in answered:
            wasted += 1
    return wasted / max(1, execution_count)


@find_faults.register
def _(check: model.AnsweredShare, record: RunRecord) -> list[str]:
    share = _answered_share(_last_attempts(record, check.label, check.from_s))
    if share < check.at_least:
        return [f"{check.label}: {share:.3f} answered, less than {check.at_least}"]
    return []


@find_faults.register
def _(check: model.GoodputRatio, record: RunRecord) -> list[str]:
    ratio = _goodput_ratio(check, record)
    if ratio < check.at_least:
        return [f"goodput of {check.label} is {ratio:.3f} of {check.reference}"]
    return []


def _goodput_ratio(check: model.GoodputRatio, record: RunRecord) -> float:
    reference = _goodput(record, check.reference, 0.0)
    return _goodput(record, check.label, check.from_s) / reference if reference else 0.0


def _goodput(record: RunRecord, label: str, from_s: float) -> float:
    span = record["spans"].get(label)
    if span is None:
        return 0.0
    answered = sum(1 for attempt in _last_attempts(record, label, from_s) if attempt.status == 200)
    return answered / (span.duration_s - from_s)


@find_faults.register
def _(check: model.NoUnknown, record: RunRecord) -> list[str]:
    faults = []
    for attempt in record["attempt_results"]:
        if attempt.label == check.label and attempt.outcome not in ("answered", "not-run"):
            faults.append(f"{attempt.request_id}: {attempt.outcome} ({attempt.reason})")
    return faults


@find_faults.register
def _(check: model.ExitedCleanly, record: RunRecord) -> list[str]:
    code = record["exit_codes"].get(process_name(check.vm, "node"))
    return [] if code == 0 else [f"node {check.vm}: exit code {code}"]


@find_faults.register
def _(check: model.NoNewWork, record: RunRecord) -> list[str]:
    latest = record["step_times"][check.after] + check.within_s
    faults = []
    for execution in record["executions"]:
        if execution["target"] == check.vm and execution["started_at"] > latest:
            faults.append(
                f"{execution['request_id']}: started {execution['started_at'] - latest:.2f} s late"
            )
    return faults


@find_faults.register
def _(check: model.SectionsInForce, record: RunRecord) -> list[str]:
    faults = []
    newest = latest_observations(record)
    for vm in check.vms:
        found = newest[vm].versions if vm in newest else {}
        if found != record["published"]:
            faults.append(f"node {vm} has {found}, published is {record['published']}")
    return faults


@find_faults.register
def _(check: model.NeverReverted, record: RunRecord) -> list[str]:
    newest: dict[tuple[str, str], int] = {}
    faults = []
    for observation in record["observations"]:
        for section, version in observation.versions.items():
            # The rule also holds for a new incarnation, which starts without its previous state.
            vm_section = (observation.vm, section)
            if version < newest.get(vm_section, 0):
                faults.append(
                    f"node {observation.vm}: {section} went from {newest[vm_section]} to {version}"
                )
            newest[vm_section] = version
    return faults


@find_faults.register
def _(check: model.InForceWithin, record: RunRecord) -> list[str]:
    faults = []
    for vm in check.vms:
        delay_s = _in_force_after_s(check, vm, record)
        if delay_s > check.within_s:
            faults.append(f"node {vm}: {check.edit} in force after {delay_s:.2f} s")
    return faults


def _in_force_after_s(check: model.InForceWithin, vm: str, record: RunRecord) -> float:
    """Return the seconds until a node had an edit in force, or infinity."""
    edit = record["edits"][check.edit]
    since = record["step_times"][check.since or check.edit]

    def is_in_force(observation: ObservedVersions) -> bool:
        return observation.versions.get(edit.section, 0) >= edit.version

    return seconds_until(record, vm, since, is_in_force)


@find_faults.register
def _(check: model.ConfirmedWithin, record: RunRecord) -> list[str]:
    faults = []
    for vm in check.vms:
        delay_s = _confirmed_after_s(check, vm, record)
        if delay_s > check.within_s:
            faults.append(f"node {vm}: confirmed after {delay_s:.2f} s")
    return faults


def _confirmed_after_s(check: model.ConfirmedWithin, vm: str, record: RunRecord) -> float:
    marked_at = record["step_times"][check.after]
    return seconds_until(
        record, vm, marked_at, lambda observation: observation.confirmed_as_of >= marked_at
    )


@find_faults.register
def _(check: model.RejectionReported, record: RunRecord) -> list[str]:
    edit = record["edits"][check.edit]
    newest = latest_observations(record)
    faults = []
    for vm in check.vms:
        found = newest[vm].rejected.get(edit.section) if vm in newest else None
        if found != edit.version:
            faults.append(f"node {vm}: rejected version of {edit.section} is {found}")
    return faults


def _attempts_of_class(record: RunRecord, label: str, path: str) -> list[AttemptResult]:
    found = []
    for attempt in _last_attempts(record, label, 0.0):
        if f"{attempt.service}/{attempt.call_class}" == path:
            found.append(attempt)
    return found


def _last_attempts(record: RunRecord, label: str, from_s: float) -> list[AttemptResult]:
    """Return the last attempts of the calls of a load, sent ``from_s`` after its start or later."""
    span = record["spans"].get(label)
    if span is None:
        return []
    found = []
    for attempt in record["attempt_results"]:
        if attempt.label != label or not attempt.is_last:
            continue
        if attempt.sent_at >= span.started_at + from_s:
            found.append(attempt)
    return found


def _answered_share(calls: list[AttemptResult]) -> float:
    answered = sum(1 for attempt in calls if attempt.status == 200)
    return answered / len(calls) if calls else 0.0


def describe_loads(record: RunRecord) -> list[str]:
    """Return two lines for each load: counts of outcomes, and answered calls by second sent."""
    lines = []
    for label in record["spans"]:
        calls = [attempt for attempt in record["attempt_results"] if attempt.label == label]
        counts = Counter(_outcome_label(attempt) for attempt in calls)
        summary = ", ".join(f"{count} {kind}" for kind, count in counts.most_common())
        lines.append(f"{label}: {len(calls)} calls: {summary}")
        lines.append(f"{label}: answered by second: {_answered_by_second(record, label)}")
    return lines


def _answered_by_second(record: RunRecord, label: str) -> str:
    span = record["spans"][label]
    counts: Counter[int] = Counter()
    for attempt in _last_attempts(record, label, 0.0):
        counts[int(attempt.sent_at - span.started_at)] += attempt.status == 200
    return " ".join(str(counts[second]) for second in sorted(counts))


def _outcome_label(attempt: AttemptResult) -> str:
    reason = attempt.reason or str(attempt.status)
    return f"{attempt.outcome} ({reason})"


@singledispatch
def describe_figure(check: object, record: RunRecord) -> str:
    """Return the measured value that a check compares, or an empty text if there is none."""
    return ""


@describe_figure.register
def _(check: model.GoodputRatio, record: RunRecord) -> str:
    return f"{_goodput_ratio(check, record):.3f} of {check.reference}"


@describe_figure.register
def _(check: model.ExecutionsRatio, record: RunRecord) -> str:
    return f"{_executions_ratio(check, record):.2f} per request"


@describe_figure.register
def _(check: model.WastedShare, record: RunRecord) -> str:
    return f"{_wasted_share(check, record):.3f} wasted"


@describe_figure.register
def _(check: model.AnsweredShare, record: RunRecord) -> str:
    return f"{_answered_share(_last_attempts(record, check.label, check.from_s)):.3f} answered"


@describe_figure.register
def _(check: model.ShedOrder, record: RunRecord) -> str:
    first = _answered_share(_attempts_of_class(record, check.label, check.first))
    last = _answered_share(_attempts_of_class(record, check.label, check.last))
    return f"answered: {check.first} {first:.3f}, {check.last} {last:.3f}"


@describe_figure.register
def _(check: model.InForceWithin, record: RunRecord) -> str:
    slowest_s = max(_in_force_after_s(check, vm, record) for vm in check.vms)
    return f"{check.edit}: {slowest_s:.2f} s on the slowest node"


@describe_figure.register
def _(check: model.ConfirmedWithin, record: RunRecord) -> str:
    slowest_s = max(_confirmed_after_s(check, vm, record) for vm in check.vms)
    return f"{slowest_s:.2f} s on the slowest node"
