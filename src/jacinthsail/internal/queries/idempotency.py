"""Parses idempotency keys and decides, at the key owner, whether a call executes."""

from functools import singledispatch
from uuid import UUID

import xxhash
from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.model.calls import (
    Answered,
    Call,
    CallContext,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.idempotency import (
    PLACEMENT_RULES,
    FinishedEntry,
    IdempotencyKey,
    IndeterminateEntry,
    IssuedKey,
    KeyDecision,
    KeyIndeterminate,
    LedgerEntry,
    LedgerState,
    PlacementRules,
    QueuedEntry,
    RefuseKey,
    ReplayResponse,
    RunKey,
    RunningEntry,
    TimedKey,
)
from jacinthsail.internal.model.routing import RouteRefused, RouteToPeer
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import RETRY_AFTER_S
from jacinthsail.internal.queries.lookup import class_policy, service_policy
from jacinthsail.internal.queries.placement import can_run_new_key, key_owner_vm

ISSUED_PREFIX = "issued."

# Low bits of a sequence number; the higher bits hold the wall clock in milliseconds. 16 bits allow
# 65,536 keys per millisecond and issuer.
SEQUENCE_COUNTER_BITS = 16

# Longer texts are rejected; a VM name takes at most 253 characters.
MAX_KEY_LENGTH = 400

_UUID_VERSION = 7
_UUID_VARIANT = 0b10


def parse_key(text: str) -> Result[IdempotencyKey, MalformedMessage]:
    """Parse an idempotency key.

    An issued key reads ``issued.<owner VM>.<incarnation>.<issuer>.<sequence>``; any other key is a
    UUIDv7 in its usual form.
    """
    if len(text) > MAX_KEY_LENGTH:
        return _malformed("longer than 400 characters")
    if text.startswith(ISSUED_PREFIX):
        return _parse_issued(text)
    return _parse_timed(text)


def _parse_issued(text: str) -> Result[IdempotencyKey, MalformedMessage]:
    parts = text.removeprefix(ISSUED_PREFIX).rsplit(".", 3)
    if len(parts) != 4 or not all(parts):
        return _malformed("incomplete issued key")
    owner_vm, incarnation, issuer, sequence = parts
    if not (sequence.isascii() and sequence.isdigit()) or str(int(sequence)) != sequence:
        return _malformed("sequence of an issued key is not a number")
    return Success(IssuedKey(owner_vm, incarnation, issuer, int(sequence)))


def _parse_timed(text: str) -> Result[IdempotencyKey, MalformedMessage]:
    try:
        value = UUID(text)
    except ValueError:
        return _malformed("neither a UUIDv7 nor an issued key")
    if (value.int >> 76) & 0xF != _UUID_VERSION or (value.int >> 62) & 0b11 != _UUID_VARIANT:
        return _malformed("not version 7 and variant 10 of RFC 9562")
    # The canonical form maps all spellings of a UUID to one key.
    return Success(TimedKey(str(value), value.int >> 80))


def _malformed(detail: str) -> Result[IdempotencyKey, MalformedMessage]:
    return Failure(MalformedMessage("caller", f"idempotency key: {detail}"))


@singledispatch
def key_text(key: object) -> str:
    """Return the text form of a key, as callers send it."""
    raise NotImplementedError(f"no text form for {type(key).__name__}; register one")


@key_text.register
def _(key: IssuedKey) -> str:
    return f"{ISSUED_PREFIX}{key.owner_vm}.{key.incarnation}.{key.issuer}.{key.sequence}"


@key_text.register
def _(key: TimedKey) -> str:
    return key.text


def next_issued_key(ledger: LedgerState, owner_vm: str, incarnation: str, now_ms: int) -> IssuedKey:
    """Return the next key that this node issues for a key owner."""
    sequence = max(ledger["next_sequence"], now_ms << SEQUENCE_COUNTER_BITS)
    return IssuedKey(owner_vm, incarnation, ledger["incarnation"], sequence)


def key_request_context(state: NodeState, service: str, now: float) -> CallContext | None:
    """Return the call context used to find an owner for a new key of a service.

    The first at-most-once class represents the others. Return None if the service has none.
    """
    policy = service_policy(state["store"], service)
    if policy is None:
        return None
    for name in sorted(policy.classes):
        if policy.classes[name].execution is not Execution.AT_MOST_ONCE:
            continue
        deadline = now + policy.classes[name].deadline_ms / 1000
        return CallContext("", service, name, "", 0, 0, deadline, 0)
    return None


def fingerprint_of(call: Call) -> str:
    """Return a digest of the parts of a call that must not change when its key is reused."""
    context = call.context
    digest = xxhash.xxh3_128()
    for part in (
        context.caller.encode(),
        context.service.encode(),
        context.call_class.encode(),
        call.body,
    ):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def requires_key_check(state: NodeState, context: CallContext) -> bool:
    """Return whether the key owner must check the key of a call.

    A class that is not known on this node may be at-most-once, so a supplied key is checked.
    """
    if Mechanism.AT_MOST_ONCE in state["settings"].disabled:
        return False
    policy = class_policy(state["store"], context.service, context.call_class)
    if policy is None:
        return bool(context.idempotency_key)
    return policy.execution is Execution.AT_MOST_ONCE


@singledispatch
def decide_key(
    key: object,
    state: NodeState,
    service: str,
    fingerprint: str,
    now_ms: int,
    rules: PlacementRules = PLACEMENT_RULES,
) -> KeyDecision:
    """Return what this node, as the key owner, does with a call that carries the key.

    A ledger entry takes precedence. A key without an entry is executed, or refused as not run, only
    if it cannot have executed before: in this process, in an earlier one, or on another VM.
    """
    raise NotImplementedError(f"no rule for {type(key).__name__}; register one")


@decide_key.register
def _(
    key: IssuedKey,
    state: NodeState,
    service: str,
    fingerprint: str,
    now_ms: int,
    rules: PlacementRules = PLACEMENT_RULES,
) -> KeyDecision:
    ledger = state["ledger"]
    if key.owner_vm != state["settings"].vm:
        return KeyIndeterminate(Reason.KEY_HOME_ELSEWHERE)
    if key.incarnation != ledger["incarnation"]:
        return KeyIndeterminate(Reason.KEY_HOME_GONE)
    entry = ledger["entries"].get(key)
    if entry is not None:
        return _decide_recorded(entry, fingerprint)
    if key.sequence <= ledger["low_water_sequence"]:
        return KeyIndeterminate(Reason.KEY_TOO_OLD)
    # Evicting a key from the far future would move the low-water mark above all current keys.
    if key.sequence >> SEQUENCE_COUNTER_BITS > now_ms + rules.clock_error_ms:
        return RefuseKey(Reason.KEY_FROM_FUTURE)
    return RunKey()


@decide_key.register
def _(
    key: TimedKey,
    state: NodeState,
    service: str,
    fingerprint: str,
    now_ms: int,
    rules: PlacementRules = PLACEMENT_RULES,
) -> KeyDecision:
    ledger = state["ledger"]
    entry = ledger["entries"].get(key)
    if entry is not None:
        return _decide_recorded(entry, fingerprint)
    store = state["store"]
    placement = store["placement"]
    owner = key_owner_vm(store, key, service)
    if owner is not None and owner.vm != state["settings"].vm:
        return KeyIndeterminate(Reason.KEY_HOME_ELSEWHERE)
    if owner is None or not can_run_new_key(store, owner, key.created_at_ms, rules):
        return KeyIndeterminate(Reason.PLACEMENT_UNCONFIRMED)
    restart_margin_end_ms = state["clock"]["started_at_ms"] + rules.restart_margin_ms
    if key.created_at_ms <= max(
        restart_margin_end_ms, placement["floor_ms"], ledger["low_water_ms"]
    ):
        return KeyIndeterminate(Reason.KEY_TOO_OLD)
    if key.created_at_ms > now_ms + rules.clock_error_ms:
        return RefuseKey(Reason.KEY_FROM_FUTURE)
    return RunKey()


def _decide_recorded(entry: LedgerEntry, fingerprint: str) -> KeyDecision:
    if entry.fingerprint != fingerprint:
        return RefuseKey(Reason.KEY_REUSED)
    return _decision_for_entry(entry)


@singledispatch
def _decision_for_entry(entry: object) -> KeyDecision:
    raise NotImplementedError(f"no rule for {type(entry).__name__}; register one")


@_decision_for_entry.register
def _(entry: QueuedEntry | RunningEntry) -> KeyDecision:
    return KeyIndeterminate(Reason.KEY_RUNNING)


@_decision_for_entry.register
def _(entry: FinishedEntry) -> KeyDecision:
    return ReplayResponse(entry.response)


@_decision_for_entry.register
def _(entry: IndeterminateEntry) -> KeyDecision:
    return KeyIndeterminate(entry.reason)


# Reasons with which a relayed call can end before it reaches the key owner, or on a node that is
# not the key owner. The key owner reports an expired deadline too, but the reason does not show
# which node reported it.
UNCONFIRMED_REASONS = frozenset(
    {
        Reason.PEER_UNREACHABLE,
        Reason.PEER_SILENT,
        Reason.CONNECTION_LOST,
        Reason.LINK_BUDGET_SPENT,
        Reason.DEADLINE_EXPIRED,
        Reason.NO_TARGET,
    }
)


@singledispatch
def outcome_for_caller_key(outcome: object, route: object) -> Outcome:
    """Return the outcome for a caller that supplied the key and may have used it before.

    Only the key owner can prove that no earlier call with the key executed. A call that never
    reached it did not execute, but an earlier one may have, so the outcome is unknown.
    """
    raise NotImplementedError(f"no rule for {type(outcome).__name__}; register one")


@outcome_for_caller_key.register
def _(outcome: Answered | Unknown, route: object) -> Outcome:
    return outcome


@outcome_for_caller_key.register
def _(outcome: NotRun, route: object) -> Outcome:
    if outcome.reason is Reason.KEY_MALFORMED:
        return outcome
    if _is_not_run_unconfirmed(route, outcome.reason):
        return Unknown(outcome.reason, outcome.retries_left)
    return outcome


@singledispatch
def _is_not_run_unconfirmed(route: object, reason: Reason) -> bool:
    return False


@_is_not_run_unconfirmed.register
def _(route: RouteRefused, reason: Reason) -> bool:
    return True


@_is_not_run_unconfirmed.register
def _(route: RouteToPeer, reason: Reason) -> bool:
    return reason in UNCONFIRMED_REASONS


def outcome_of_unrouted_call(context: CallContext, route: RouteRefused) -> Outcome:
    """Return the outcome of a call that is refused before its class is looked up.

    It is not known whether the class is at-most-once, so the presence of a key decides.
    """
    refused = NotRun(route.reason, context.retries_left, RETRY_AFTER_S)
    if not context.idempotency_key:
        return refused
    return outcome_for_caller_key(refused, route)
