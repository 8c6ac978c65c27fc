"""Judges the record of a run; queries.

``faults_of`` returns one line for each way in which a check is not met, and ``figure_of`` the
figure that a reader wants to see beside the verdict.
"""

import json
from collections import Counter
from functools import singledispatch

from jacinthsail.testing import scenario_model as model
from jacinthsail.testing.mesh import process_name
from jacinthsail.testing.run_record import (
    RunRecord,
    SeenVersions,
    Told,
    newest_seen,
    seen_after_s,
)

# More lines of the same kind tell a reader nothing new.
MAX_LINES_PER_CHECK = 5


@singledispatch
def faults_of(check: object, record: RunRecord) -> list[str]:
    """Return every way in which a check is not met."""
    raise NotImplementedError(f"no rule for check {type(check).__name__}; register one")


@faults_of.register
def _(check: model.AtMostOnce, record: RunRecord) -> list[str]:
    counts = Counter(run["key"] for run in record["executions"] if run["key"])
    faults = [f"key {key}: {count} executions" for key, count in counts.items() if count > 1]
    if len(counts) < check.at_least_keys:
        faults.append(f"{len(counts)} keys were executed, fewer than {check.at_least_keys}")
    return faults


@faults_of.register
def _(check: model.OutcomesTrue, record: RunRecord) -> list[str]:
    executed = {(run["request_id"], run["service"]) for run in record["executions"]}
    first_start: dict[str, float] = {}
    for run in record["executions"]:
        earliest = first_start.get(run["key"], run["started_at"])
        first_start[run["key"]] = min(earliest, run["started_at"])
    faults = []
    for told in record["told"]:
        has_run = (told.request_id, told.service) in executed
        if told.outcome == "not-run" and has_run:
            faults.append(f"{told.request_id}: told not-run ({told.reason}) but was executed")
        if told.outcome == "not-run" and told.key and _has_started(told, first_start):
            faults.append(f"{told.request_id}: told not-run ({told.reason}) but its key had run")
        if told.outcome == "answered" and not told.key and not has_run:
            faults.append(f"{told.request_id}: told answered but was not executed")
    return faults


def _has_started(told: Told, first_start: dict[str, float]) -> bool:
    """Tell whether the key of a call had run before the call was sent."""
    return told.key in first_start and first_start[told.key] < told.sent_at


@faults_of.register
def _(check: model.AnswersWhole, record: RunRecord) -> list[str]:
    faults = []
    answered = [told for told in record["told"] if told.outcome == "answered"]
    for told in answered:
        if not _is_own_answer(told):
            faults.append(f"{told.request_id}: status {told.status}, body {told.body[:80]!r}")
    if len(answered) < check.at_least:
        faults.append(f"{len(answered)} calls were answered, fewer than {check.at_least}")
    return faults


def _is_own_answer(told: Told) -> bool:
    try:
        answer = json.loads(told.body)
    except ValueError:
        return False
    if not isinstance(answer, dict):
        return False
    path = f"{told.service}/{told.call_class}"
    return answer.get("id") == told.plan_id and answer.get("path") == path


@faults_of.register
def _(check: model.ShedOrder, record: RunRecord) -> list[str]:
    first = _answered_share(_of_class(record, check.label, check.first))
    last = _answered_share(_of_class(record, check.label, check.last))
    faults = []
    if 1 - first < check.first_shed_at_least:
        faults.append(f"{check.first}: {1 - first:.3f} shed, so the load does not overload")
    if last < check.last_answered_at_least:
        faults.append(f"{check.last}: {last:.3f} answered, {check.first}: {first:.3f}")
    if last < first:
        faults.append(f"{check.last} is answered less often than {check.first}")
    return faults


@faults_of.register
def _(check: model.ExecutionsPerRequest, record: RunRecord) -> list[str]:
    counts: Counter[str] = Counter()
    for run in record["executions"]:
        if run["service"] == check.service and run["request_id"].startswith(check.label):
            counts[run["request_id"]] += 1
    faults = []
    for request_id, count in counts.items():
        if count > check.at_most:
            faults.append(f"{request_id}: {count} executions at {check.service}")
    return faults or ([] if counts else [f"{check.service} has executed nothing"])


@faults_of.register
def _(check: model.ExecutionsRatio, record: RunRecord) -> list[str]:
    ratio = _executions_ratio(check, record)
    if ratio > check.at_most:
        return [f"{check.service}: {ratio:.2f} executions per request of {check.label}"]
    return []


def _executions_ratio(check: model.ExecutionsRatio, record: RunRecord) -> float:
    plans = {told.plan_id for told in record["told"] if told.label == check.label}
    runs = 0
    for run in record["executions"]:
        if run["service"] != check.service:
            continue
        if check.any_request or run["request_id"].startswith(f"{check.label}-"):
            runs += 1
    return runs / max(1, len(plans))


@faults_of.register
def _(check: model.WastedShare, record: RunRecord) -> list[str]:
    share = _wasted_share(check, record)
    if share > check.at_most:
        return [f"{check.label}: {share:.3f} of the executions wasted, more than {check.at_most}"]
    return []


def _wasted_share(check: model.WastedShare, record: RunRecord) -> float:
    answered = set()
    for told in record["told"]:
        if told.label == check.label and told.status == 200:
            answered.add(told.request_id)
    runs = 0
    wasted = 0
    for run in record["executions"]:
        if not run["request_id"].startswith(f"{check.label}-"):
            continue
        runs += 1
        if run["request_id"] not in answered:
            wasted += 1
    return wasted / max(1, runs)


@faults_of.register
def _(check: model.AnsweredShare, record: RunRecord) -> list[str]:
    share = _answered_share(_final(record, check.label, check.from_s))
    if share < check.at_least:
        return [f"{check.label}: {share:.3f} answered, less than {check.at_least}"]
    return []


@faults_of.register
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
    answered = sum(1 for told in _final(record, label, from_s) if told.status == 200)
    return answered / (span.duration_s - from_s)


@faults_of.register
def _(check: model.NoUnknown, record: RunRecord) -> list[str]:
    faults = []
    for told in record["told"]:
        if told.label == check.label and told.outcome not in ("answered", "not-run"):
            faults.append(f"{told.request_id}: {told.outcome} ({told.reason})")
    return faults


@faults_of.register
def _(check: model.ExitedCleanly, record: RunRecord) -> list[str]:
    code = record["exit_codes"].get(process_name(check.vm, "node"))
    return [] if code == 0 else [f"node {check.vm}: exit code {code}"]


@faults_of.register
def _(check: model.NoNewWork, record: RunRecord) -> list[str]:
    latest = record["marks"][check.after] + check.within_s
    faults = []
    for run in record["executions"]:
        if run["target"] == check.vm and run["started_at"] > latest:
            faults.append(f"{run['request_id']}: started {run['started_at'] - latest:.2f} s late")
    return faults


@faults_of.register
def _(check: model.SectionsInForce, record: RunRecord) -> list[str]:
    faults = []
    newest = newest_seen(record)
    for vm in check.vms:
        found = newest[vm].versions if vm in newest else {}
        if found != record["published"]:
            faults.append(f"node {vm} has {found}, published is {record['published']}")
    return faults


@faults_of.register
def _(check: model.NeverReverted, record: RunRecord) -> list[str]:
    newest: dict[tuple[str, str], int] = {}
    faults = []
    for seen in record["seen"]:
        for section, version in seen.versions.items():
            # A new incarnation has lost its memory, and the rule holds for it all the same.
            place = (seen.vm, section)
            if version < newest.get(place, 0):
                faults.append(f"node {seen.vm}: {section} went from {newest[place]} to {version}")
            newest[place] = version
    return faults


@faults_of.register
def _(check: model.InForceWithin, record: RunRecord) -> list[str]:
    faults = []
    for vm in check.vms:
        delay_s = _in_force_after_s(check, vm, record)
        if delay_s > check.within_s:
            faults.append(f"node {vm}: {check.edit} in force after {delay_s:.2f} s")
    return faults


def _in_force_after_s(check: model.InForceWithin, vm: str, record: RunRecord) -> float:
    """Return after how many seconds a node had an edit in force, or infinity."""
    edit = record["edits"][check.edit]
    since = record["marks"][check.since or check.edit]

    def is_in_force(seen: SeenVersions) -> bool:
        return seen.versions.get(edit.section, 0) >= edit.version

    return seen_after_s(record, vm, since, is_in_force)


@faults_of.register
def _(check: model.ConfirmedWithin, record: RunRecord) -> list[str]:
    faults = []
    for vm in check.vms:
        delay_s = _confirmed_after_s(check, vm, record)
        if delay_s > check.within_s:
            faults.append(f"node {vm}: confirmed after {delay_s:.2f} s")
    return faults


def _confirmed_after_s(check: model.ConfirmedWithin, vm: str, record: RunRecord) -> float:
    mark = record["marks"][check.after]
    return seen_after_s(record, vm, mark, lambda seen: seen.confirmed_as_of >= mark)


@faults_of.register
def _(check: model.RejectionReported, record: RunRecord) -> list[str]:
    edit = record["edits"][check.edit]
    newest = newest_seen(record)
    faults = []
    for vm in check.vms:
        found = newest[vm].rejected.get(edit.section) if vm in newest else None
        if found != edit.version:
            faults.append(f"node {vm}: rejected version of {edit.section} is {found}")
    return faults


def _of_class(record: RunRecord, label: str, path: str) -> list[Told]:
    found = []
    for told in _final(record, label, 0.0):
        if f"{told.service}/{told.call_class}" == path:
            found.append(told)
    return found


def _final(record: RunRecord, label: str, from_s: float) -> list[Told]:
    """Return what the clients of a load were told last for each of their calls."""
    span = record["spans"].get(label)
    if span is None:
        return []
    found = []
    for told in record["told"]:
        if told.label != label or not told.is_last:
            continue
        if told.sent_at >= span.started_at + from_s:
            found.append(told)
    return found


def _answered_share(calls: list[Told]) -> float:
    answered = sum(1 for told in calls if told.status == 200)
    return answered / len(calls) if calls else 0.0


def load_figures(record: RunRecord) -> list[str]:
    """Return two lines for each load: what its clients were told, and answers by second sent."""
    lines = []
    for label in record["spans"]:
        calls = [told for told in record["told"] if told.label == label]
        counts = Counter(_kind(told) for told in calls)
        shown = ", ".join(f"{count} {kind}" for kind, count in counts.most_common())
        lines.append(f"{label}: {len(calls)} calls: {shown}")
        lines.append(f"{label}: answered by second: {_answered_by_second(record, label)}")
    return lines


def _answered_by_second(record: RunRecord, label: str) -> str:
    span = record["spans"][label]
    counts: Counter[int] = Counter()
    for told in _final(record, label, 0.0):
        counts[int(told.sent_at - span.started_at)] += told.status == 200
    return " ".join(str(counts[second]) for second in sorted(counts))


def _kind(told: Told) -> str:
    reason = told.reason or str(told.status)
    return f"{told.outcome} ({reason})"


@singledispatch
def figure_of(check: object, record: RunRecord) -> str:
    """Return the figure that a check compares, or an empty text when it compares none."""
    return ""


@figure_of.register
def _(check: model.GoodputRatio, record: RunRecord) -> str:
    return f"{_goodput_ratio(check, record):.3f} of {check.reference}"


@figure_of.register
def _(check: model.ExecutionsRatio, record: RunRecord) -> str:
    return f"{_executions_ratio(check, record):.2f} per request"


@figure_of.register
def _(check: model.WastedShare, record: RunRecord) -> str:
    return f"{_wasted_share(check, record):.3f} wasted"


@figure_of.register
def _(check: model.AnsweredShare, record: RunRecord) -> str:
    return f"{_answered_share(_final(record, check.label, check.from_s)):.3f} answered"


@figure_of.register
def _(check: model.ShedOrder, record: RunRecord) -> str:
    first = _answered_share(_of_class(record, check.label, check.first))
    last = _answered_share(_of_class(record, check.label, check.last))
    return f"answered: {check.first} {first:.3f}, {check.last} {last:.3f}"


@figure_of.register
def _(check: model.InForceWithin, record: RunRecord) -> str:
    slowest_s = max(_in_force_after_s(check, vm, record) for vm in check.vms)
    return f"{check.edit}: {slowest_s:.2f} s on the slowest node"


@figure_of.register
def _(check: model.ConfirmedWithin, record: RunRecord) -> str:
    slowest_s = max(_confirmed_after_s(check, vm, record) for vm in check.vms)
    return f"{slowest_s:.2f} s on the slowest node"
