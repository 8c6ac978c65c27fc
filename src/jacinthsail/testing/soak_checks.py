"""Checks what a soak run recorded against the promises to callers and targets."""

from collections import defaultdict
from collections.abc import Iterable

from jacinthsail.testing.soak_accounts import REVOCATION_S
from jacinthsail.testing.soak_model import (
    GRACE_S,
    STILL_RUNNING,
    Attempt,
    Disturbance,
    Ending,
    Execution,
    SoakRecord,
    Violation,
)

CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
LOSS_SLACK_S = 0.2

# Requests sent later than this after the signal must be answered before the process ends.
EXCUSED_AFTER_SIGNAL_S = 3.0

# These statuses promise that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


def violations(record: SoakRecord) -> list[Violation]:
    """Return every promise that was broken."""
    by_request: dict[str, list[Execution]] = defaultdict(list)
    for execution in record["executions"]:
        by_request[execution.request_id].append(execution)
    found = [Violation("EXIT", "", text) for text in record["unexpected_exits"]]
    for attempt in record["attempts"]:
        executions = by_request.get(attempt.request_id, [])
        found += response_violations(attempt, executions)
        found += loss_violations(attempt, executions, record["disturbances"])
    found += account_violations(record)
    return found + drain_violations(record) + config_violations(record)


def response_violations(attempt: Attempt, executions: list[Execution]) -> list[Violation]:
    """Return what is wrong with the response of one attempt, and with its executions."""
    found = []
    if attempt.ending is Ending.ANSWERED and 200 <= attempt.status < 300 and not attempt.is_whole:
        found.append(Violation("MIXED", attempt.request_id, describe(attempt)))
    if attempt.is_repeatable:
        return found
    if len(executions) > 1:
        found.append(Violation("TWICE", attempt.request_id, describe(attempt)))
    if executions and attempt.status in NOT_EXECUTED_STATUSES:
        found.append(Violation("REFUSED", attempt.request_id, describe(attempt)))
    return found


def loss_violations(
    attempt: Attempt, executions: list[Execution], disturbances: Iterable[Disturbance]
) -> list[Violation]:
    """Return the loss of a request around a planned stop of the node that read it."""
    if attempt.ending is Ending.CLIENT_LEFT or is_answered_by_target(attempt):
        return []
    if attempt.ended_at - attempt.sent_at >= attempt.limit_s:
        return []
    stop = None
    for each in disturbances:
        near = attempt.sent_at - CONTACT_S <= each.at <= attempt.ended_at
        if not each.is_planned and near:
            return []
        if each.name != "stop" or each.node != attempt.node:
            continue
        if each.at <= attempt.ended_at <= each.at + GRACE_S + 1.0:
            stop = each
    if stop is None:
        return []
    if not executions:
        if attempt.ending is Ending.ANSWERED or attempt.is_behind:
            return []
        if attempt.ended_at - attempt.sent_at <= LOSS_SLACK_S:
            return []
        return [Violation("LOST", attempt.request_id, f"not passed on: {describe(attempt)}")]
    last_sixth = stop.at + GRACE_S * 5 / 6
    was_at_work = any(execution.ended_at >= last_sixth for execution in executions)
    if was_at_work and attempt.sent_at <= stop.at + EXCUSED_AFTER_SIGNAL_S:
        return []
    text = f"{describe(attempt)}, {attempt.sent_at - stop.at:.2f} s after the signal, "
    text += ", ".join(describe_execution(one, attempt) for one in executions)
    return [Violation("LOST", attempt.request_id, text)]


def account_violations(record: SoakRecord) -> list[Violation]:
    """Return the executions with a key that was withdrawn too long before, or a wrong account.

    Nothing excuses them: the bound holds for nodes that are cut off, frozen or restarted, too.
    """
    found = [Violation("ACCOUNT", one, "at a target") for one in record["wrong_accounts"]]
    sent_at = {attempt.request_id: attempt.sent_at for attempt in record["attempts"]}
    for execution in record["executions"]:
        key = record["keys"].get(execution.request_id, "")
        withdrawn_at = record["withdrawals"].get(key, STILL_RUNNING)
        late_s = sent_at.get(execution.request_id, 0.0) - withdrawn_at - REVOCATION_S
        if late_s > 0.0:
            text = f"sent {late_s:.2f} s too late at a node; ran at node {execution.node}"
            found.append(Violation("REVOKE", execution.request_id, text))
    return found


def is_answered_by_target(attempt: Attempt) -> bool:
    """Return whether the caller got the response of a target, which may be a failure."""
    return attempt.ending is Ending.ANSWERED and attempt.is_sealed


def drain_violations(record: SoakRecord) -> list[Violation]:
    """Return the executions by targets that had left, sent by nodes without a disturbance."""
    left_at = {departure.incarnation: departure.at for departure in record["departures"]}
    sent = {attempt.request_id: attempt for attempt in record["attempts"]}
    found = []
    for execution in record["executions"]:
        latest = left_at.get(execution.incarnation, STILL_RUNNING) + DRAIN_S
        attempt = sent.get(execution.request_id)
        if execution.started_at <= latest or attempt is None:
            continue
        if is_disturbed(record, attempt, execution, latest - DRAIN_S):
            continue
        late_s = execution.started_at - latest
        text = f"{late_s:.2f} s too late: {describe(attempt)}"
        found.append(Violation("DRAIN", execution.request_id, text))
    return found


def config_violations(record: SoakRecord) -> list[Violation]:
    """Return the executions by a service from which the route had been moved."""
    sent = {attempt.request_id: attempt for attempt in record["attempts"] if attempt.is_moved}
    found = []
    for execution in record["executions"]:
        attempt = sent.get(execution.request_id)
        if attempt is None:
            continue
        oldest = attempt.sent_at - CONFIG_APPLY_S
        # The last version before that time is in force everywhere, and later ones may be.
        moves = [move for move in record["moves"] if move.at <= execution.started_at]
        first = max(index for index, move in enumerate(moves) if index == 0 or move.at <= oldest)
        if execution.service in {move.service for move in moves[first:]}:
            continue
        if is_disturbed(record, attempt, execution, moves[first].at):
            continue
        late_s = attempt.sent_at - moves[first].at
        text = f"sent {late_s:.2f} s after the change: {describe(attempt)}"
        found.append(Violation("CONFIG", execution.request_id, text))
    return found


def is_disturbed(
    record: SoakRecord, attempt: Attempt, execution: Execution, acknowledged_at: float
) -> bool:
    """Return whether one of the nodes of a request, or the store, was disturbed.

    The store counts from before it acknowledged the change that the request should have followed.
    """
    at = execution.started_at
    for each in record["disturbances"]:
        if each.at > at:
            continue
        if each.node == 0:
            if each.at > acknowledged_at - CONTACT_S:
                return True
            continue
        if each.node not in (attempt.node, execution.node):
            continue
        lasts_s = GRACE_S if each.name == "stop" else 0.0
        if each.at > at - CONTACT_S - lasts_s:
            return True
    return False


def describe(attempt: Attempt) -> str:
    """Return the facts of an attempt for a report."""
    kind = "lookup" if attempt.is_repeatable else "filing"
    took_s = attempt.ended_at - attempt.sent_at
    return f"{kind} at node {attempt.node} {attempt.ending} {attempt.status} after {took_s:.3f} s"


def describe_execution(execution: Execution, attempt: Attempt) -> str:
    """Return the facts of an execution, with times since the request was sent."""
    started_s = execution.started_at - attempt.sent_at
    ended_s = execution.ended_at - attempt.sent_at
    return f"{execution.incarnation} ran it from {started_s:.3f} to {ended_s:.3f} s"
