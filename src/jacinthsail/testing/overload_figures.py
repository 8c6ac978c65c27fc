"""Queries that compute the figures of a load from client results and target executions."""

from collections import Counter

from jacinthsail.testing.overload_model import (
    MIN_IMPORTANT,
    VMS_PER_SERVICE,
    Deployment,
    LoadFigures,
    RecoveryFigures,
    Traffic,
)
from jacinthsail.testing.run_record import AttemptResult, RunRecord
from jacinthsail.testing.target_model import Execution

# The queue is still filling during the first seconds, so responses from that time are not counted.
SETTLING_S = 2.0

RECOVERED_SHARE = 0.95
RECOVERY_WINDOW_S = 1.0
RECOVERY_STEP_S = 0.25


def load_label(phase: str, traffic: Traffic) -> str:
    """Return the label of the load of one class in one phase."""
    return f"{phase}:{traffic.service}:{traffic.call_class}"


def attempts_in_phase(record: RunRecord, phase: str) -> list[AttemptResult]:
    """Return the result of each attempt that clients made in a phase."""
    return [result for result in record["attempt_results"] if result.label.startswith(f"{phase}:")]


def successes_between(results: list[AttemptResult], started_at: float, ended_at: float) -> int:
    """Return the number of client requests with a successful response between two times."""
    successes = 0
    for result in results:
        if result.status == 200 and started_at <= result.sent_at + result.latency_s < ended_at:
            successes += 1
    return successes


def executions_in_phase(executions: list[Execution], phase: str) -> list[Execution]:
    """Return the executions for the requests of a phase."""
    return [
        execution for execution in executions if execution["request_id"].startswith(f"{phase}:")
    ]


def wasted_share(executions: list[Execution], results: list[AttemptResult]) -> float:
    """Return the share of executions whose request finally got no successful response."""
    answered = {result.request_id for result in results if result.status == 200}
    wasted = sum(1 for execution in executions if execution["request_id"] not in answered)
    return wasted / max(1, len(executions))


def execution_counts(executions: list[Execution]) -> Counter[tuple[str, str]]:
    """Return the number of executions of each request at each service."""
    return Counter((execution["service"], execution["request_id"]) for execution in executions)


def slot_utilization(
    executions: list[Execution], deployment: Deployment, starts: float, ends: float
) -> float:
    """Return the share of the slot time of the deep service that executions used in a period."""
    busy_s = 0.0
    for execution in executions:
        if execution["service"] == deployment.deep_service:
            busy_s += max(
                0.0, min(execution["ended_at"] or ends, ends) - max(execution["started_at"], starts)
            )
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
    important_goodput = 0.0
    lag_s = 0.0
    for traffic in deployment.traffic:
        label = load_label(phase, traffic)
        span = record["spans"][label]
        results = attempts_in_phase(record, load_label(phase, traffic).rpartition(":")[0])
        results = [result for result in results if result.label == label]
        starts = span.started_at + SETTLING_S
        ends = span.started_at + span.duration_s
        rate = successes_between(results, starts, ends) / (ends - starts)
        goodput[f"{traffic.service}/{traffic.call_class}"] = rate
        if traffic.importance >= MIN_IMPORTANT:
            important_goodput += rate
        last_sent_at = max((result.sent_at for result in results), default=ends)
        lag_s = max(lag_s, last_sent_at - ends)
    phase_executions = executions_in_phase(executions, phase)
    attempts = execution_counts(phase_executions)
    return LoadFigures(
        factor=factor,
        goodput=goodput,
        important_goodput=important_goodput,
        total=sum(goodput.values()),
        wasted_share=wasted_share(phase_executions, attempts_in_phase(record, phase)),
        deep_utilization=slot_utilization(phase_executions, deployment, starts, ends),
        max_attempts=max(attempts.values(), default=0),
        mean_attempts=sum(attempts.values()) / max(1, len(attempts)),
        client_lag_s=lag_s,
    )


def recovery_figures(
    record: RunRecord, executions: list[Execution], deployment: Deployment
) -> RecoveryFigures:
    """Return goodput before, during and after the trigger, and the time to recover."""
    spans = {}
    for phase in ("before", "trigger", "after"):
        spans[phase] = record["spans"][load_label(phase, deployment.traffic[0])]
    start = spans["before"].started_at
    before = attempts_in_phase(record, "before")
    before_rate = successes_between(before, start + 1.0, start + spans["before"].duration_s) / (
        spans["before"].duration_s - 1.0
    )
    # Requests queued in the first second get their responses after it, so the rate of successes can
    # exceed the rate of requests. The level that counts as recovered must not include this excess.
    request_rate = sum(1 for result in before if result.is_last) / spans["before"].duration_s
    before_rate = min(before_rate, request_rate)
    start = spans["trigger"].started_at
    trigger = attempts_in_phase(record, "trigger")
    duration_s = spans["trigger"].duration_s
    during = successes_between(trigger, start, start + duration_s) / duration_s
    after = [*attempts_in_phase(record, "after"), *trigger]
    start = spans["after"].started_at
    duration_s = spans["after"].duration_s
    by_second = []
    for second in range(int(duration_s)):
        by_second.append(float(successes_between(after, start + second, start + second + 1)))
    phase_executions = executions_in_phase(executions, "after") + executions_in_phase(
        executions, "trigger"
    )
    return RecoveryFigures(
        before=before_rate,
        during=during,
        recovery_s=_recovery_s(after, start, duration_s, RECOVERED_SHARE * before_rate),
        after_by_second=tuple(by_second),
        wasted_share=wasted_share(phase_executions, after),
        max_attempts=max(execution_counts(phase_executions).values(), default=0),
    )


def _recovery_s(
    results: list[AttemptResult], start: float, duration_s: float, min_rate: float
) -> float | None:
    """Return the offset in s from which every window has at least the minimum rate, or None."""
    recovered: float | None = None
    offset_s = duration_s - RECOVERY_WINDOW_S
    while offset_s >= 0.0:
        begins = start + offset_s
        if (
            successes_between(results, begins, begins + RECOVERY_WINDOW_S) / RECOVERY_WINDOW_S
            < min_rate
        ):
            return recovered
        recovered = offset_s
        offset_s -= RECOVERY_STEP_S
    return recovered
