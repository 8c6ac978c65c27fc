"""Turns what clients were told and targets executed into the figures of a load; queries."""

from collections import Counter

from jacinthsail.testing.overload_model import (
    IMPORTANT,
    VMS_PER_SERVICE,
    Deployment,
    LoadFigures,
    RecoveryFigures,
    Traffic,
)
from jacinthsail.testing.run_record import RunRecord, Told
from jacinthsail.testing.target_model import Execution

# Requests of the first seconds meet a queue that is still filling.
SETTLING_S = 2.0

RECOVERED_SHARE = 0.95
RECOVERY_WINDOW_S = 1.0
RECOVERY_STEP_S = 0.25


def label_of(phase: str, traffic: Traffic) -> str:
    """Return the label of the load of one class in one phase."""
    return f"{phase}:{traffic.service}:{traffic.call_class}"


def told_in(record: RunRecord, phase: str) -> list[Told]:
    """Return what clients were told in a phase, for every attempt."""
    return [told for told in record["told"] if told.label.startswith(f"{phase}:")]


def answers_in(told: list[Told], started_at: float, ended_at: float) -> int:
    """Return how many whole requests were answered between two times."""
    answers = 0
    for one in told:
        if one.status == 200 and started_at <= one.sent_at + one.latency_s < ended_at:
            answers += 1
    return answers


def executions_in(executions: list[Execution], phase: str) -> list[Execution]:
    """Return the executions for the requests of a phase."""
    return [run for run in executions if run["request_id"].startswith(f"{phase}:")]


def wasted_share(executions: list[Execution], told: list[Told]) -> float:
    """Return the share of executions for requests that were not answered in the end."""
    answered = {one.request_id for one in told if one.status == 200}
    wasted = sum(1 for run in executions if run["request_id"] not in answered)
    return wasted / max(1, len(executions))


def attempts_of(executions: list[Execution]) -> Counter[tuple[str, str]]:
    """Return how often each service executed each request."""
    return Counter((run["service"], run["request_id"]) for run in executions)


def share_in_use(
    executions: list[Execution], deployment: Deployment, starts: float, ends: float
) -> float:
    """Return for which share of a time the slots of the deep service ran a call."""
    busy_s = 0.0
    for run in executions:
        if run["service"] == deployment.deep_service:
            busy_s += max(0.0, min(run["ended_at"] or ends, ends) - max(run["started_at"], starts))
    slots = sum(
        shape.slots for shape in deployment.services if shape.name == deployment.deep_service
    )
    return busy_s / (VMS_PER_SERVICE * slots * (ends - starts))


def load_figures(
    record: RunRecord, executions: list[Execution], deployment: Deployment, factor: float
) -> LoadFigures:
    """Return the figures of the load at one factor of capacity."""
    phase = f"x{factor:g}"
    goodput = {}
    important = 0.0
    lag_s = 0.0
    for traffic in deployment.traffic:
        label = label_of(phase, traffic)
        span = record["spans"][label]
        told = told_in(record, label_of(phase, traffic).rpartition(":")[0])
        told = [one for one in told if one.label == label]
        starts = span.started_at + SETTLING_S
        ends = span.started_at + span.duration_s
        rate = answers_in(told, starts, ends) / (ends - starts)
        goodput[f"{traffic.service}/{traffic.call_class}"] = rate
        if traffic.importance >= IMPORTANT:
            important += rate
        last_sent_at = max((one.sent_at for one in told), default=ends)
        lag_s = max(lag_s, last_sent_at - ends)
    runs = executions_in(executions, phase)
    attempts = attempts_of(runs)
    return LoadFigures(
        factor=factor,
        goodput=goodput,
        important=important,
        total=sum(goodput.values()),
        wasted_share=wasted_share(runs, told_in(record, phase)),
        deep_in_use=share_in_use(runs, deployment, starts, ends),
        max_attempts=max(attempts.values(), default=0),
        mean_attempts=sum(attempts.values()) / max(1, len(attempts)),
        client_lag_s=lag_s,
    )


def recovery_figures(
    record: RunRecord, executions: list[Execution], deployment: Deployment
) -> RecoveryFigures:
    """Return what goodput did before, during and after the trigger."""
    spans = {}
    for phase in ("before", "trigger", "after"):
        spans[phase] = record["spans"][label_of(phase, deployment.traffic[0])]
    start = spans["before"].started_at
    before = told_in(record, "before")
    before_rate = answers_in(before, start + 1.0, start + spans["before"].duration_s) / (
        spans["before"].duration_s - 1.0
    )
    # The queue of the first second is answered later, which must not raise the level to return to.
    asked = sum(1 for one in before if one.is_last) / spans["before"].duration_s
    before_rate = min(before_rate, asked)
    start = spans["trigger"].started_at
    trigger = told_in(record, "trigger")
    duration_s = spans["trigger"].duration_s
    during = answers_in(trigger, start, start + duration_s) / duration_s
    after = [*told_in(record, "after"), *trigger]
    start = spans["after"].started_at
    duration_s = spans["after"].duration_s
    by_second = []
    for second in range(int(duration_s)):
        by_second.append(float(answers_in(after, start + second, start + second + 1)))
    runs = executions_in(executions, "after") + executions_in(executions, "trigger")
    return RecoveryFigures(
        before=before_rate,
        during=during,
        recovery_s=_recovery_s(after, start, duration_s, RECOVERED_SHARE * before_rate),
        after_by_second=tuple(by_second),
        wasted_share=wasted_share(runs, after),
        max_attempts=max(attempts_of(runs).values(), default=0),
    )


def _recovery_s(told: list[Told], start: float, duration_s: float, enough: float) -> float | None:
    """Return the first time from which goodput stays at its level in every later window."""
    recovered: float | None = None
    offset_s = duration_s - RECOVERY_WINDOW_S
    while offset_s >= 0.0:
        begins = start + offset_s
        if answers_in(told, begins, begins + RECOVERY_WINDOW_S) / RECOVERY_WINDOW_S < enough:
            return recovered
        recovered = offset_s
        offset_s -= RECOVERY_STEP_S
    return recovered
