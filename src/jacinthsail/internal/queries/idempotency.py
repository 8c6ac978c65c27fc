"""Reads idempotency keys and decides at a key's home what becomes of a call."""

from functools import singledispatch
from uuid import UUID

import xxhash
from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.model.calls import (
    Answered,
    Call,
    CallHead,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.idempotency import (
    PLACEMENT_RULES,
    Finished,
    IdempotencyKey,
    IssuedKey,
    KeyDecision,
    KeyUnknown,
    LedgerEntry,
    LedgerState,
    PlacementRules,
    RefuseKey,
    ReplayAnswer,
    RunKey,
    Running,
    TimedKey,
    Undetermined,
    Waiting,
)
from jacinthsail.internal.model.routing import Refused, ToPeer
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.lookup import class_policy, service_policy
from jacinthsail.internal.queries.placement import home_of, may_serve_birth

ISSUED_PREFIX = "issued."

# Sequences carry the wall clock in the bits above these, which leaves room for 65,536 keys per
# millisecond and issuer.
SEQUENCE_COUNTER_BITS = 16

# Longer texts are no keys; a VM's name takes at most 253 characters.
MAX_KEY_LENGTH = 400

_UUID_VERSION = 7
_UUID_VARIANT = 0b10


def parse_key(text: str) -> Result[IdempotencyKey, MalformedMessage]:
    """Return the key in a text.

    An issued key reads ``issued.<home VM>.<incarnation>.<issuer>.<sequence>``; any other key is a
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
    home_vm, incarnation, issuer, sequence = parts
    if not (sequence.isascii() and sequence.isdigit()) or str(int(sequence)) != sequence:
        return _malformed("sequence of an issued key is not a number")
    return Success(IssuedKey(home_vm, incarnation, issuer, int(sequence)))


def _parse_timed(text: str) -> Result[IdempotencyKey, MalformedMessage]:
    try:
        value = UUID(text)
    except ValueError:
        return _malformed("neither a UUIDv7 nor an issued key")
    if (value.int >> 76) & 0xF != _UUID_VERSION or (value.int >> 62) & 0b11 != _UUID_VARIANT:
        return _malformed("not version 7 and variant 10 of RFC 9562")
    # The canonical form gives one key to all spellings of a UUID.
    return Success(TimedKey(str(value), value.int >> 80))


def _malformed(detail: str) -> Result[IdempotencyKey, MalformedMessage]:
    return Failure(MalformedMessage("caller", f"idempotency key: {detail}"))


@singledispatch
def key_text(key: object) -> str:
    """Return the text form of a key."""
    raise NotImplementedError(f"no text form for {type(key).__name__}; register one")


@key_text.register
def _(key: IssuedKey) -> str:
    return f"{ISSUED_PREFIX}{key.home_vm}.{key.incarnation}.{key.issuer}.{key.sequence}"


@key_text.register
def _(key: TimedKey) -> str:
    return key.text


def next_issued_key(ledger: LedgerState, home_vm: str, incarnation: str, now_ms: int) -> IssuedKey:
    """Return the key that this node issues next for a home."""
    sequence = max(ledger["next_sequence"], now_ms << SEQUENCE_COUNTER_BITS)
    return IssuedKey(home_vm, incarnation, ledger["incarnation"], sequence)


def key_request_head(state: NodeState, service: str, now: float) -> CallHead | None:
    """Return the head under which a home for a new key of a service is looked for.

    The first at-most-once class stands for the others. None when the service has none.
    """
    policy = service_policy(state["store"], service)
    if policy is None:
        return None
    for name in sorted(policy.classes):
        if policy.classes[name].execution is not Execution.AT_MOST_ONCE:
            continue
        deadline = now + policy.classes[name].deadline_ms / 1000
        return CallHead("", service, name, "", 0, 0, deadline, 0)
    return None


def fingerprint_of(call: Call) -> str:
    """Return a digest of what must be the same when a key is used again."""
    head = call.head
    digest = xxhash.xxh3_128()
    for part in (head.caller.encode(), head.service.encode(), head.call_class.encode(), call.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def needs_key(state: NodeState, head: CallHead) -> bool:
    """Tell whether the key of a call is checked by its home.

    A class that is not known here may be at-most-once, so a key that came with it is checked.
    """
    if Mechanism.AT_MOST_ONCE in state["settings"].disabled:
        return False
    policy = class_policy(state["store"], head.service, head.call_class)
    if policy is None:
        return bool(head.idempotency_key)
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
    """Return what this node, as the home of a key, does with a call that carries it.

    What the ledger holds comes first. A key that the ledger does not hold is run, or refused as not
    run, only when it cannot have run before: here, in an earlier process, or on another VM.
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
    if key.home_vm != state["settings"].vm:
        return KeyUnknown(Reason.KEY_HOME_ELSEWHERE)
    if key.incarnation != ledger["incarnation"]:
        return KeyUnknown(Reason.KEY_HOME_GONE)
    entry = ledger["entries"].get(key)
    if entry is not None:
        return _decide_known(entry, fingerprint)
    if key.sequence <= ledger["low_water_sequence"]:
        return KeyUnknown(Reason.KEY_TOO_OLD)
    # Forgetting a key from far ahead would move the low-water mark above all present keys.
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
        return _decide_known(entry, fingerprint)
    store = state["store"]
    placement = store["placement"]
    home = home_of(store, key, service)
    if home is not None and home.vm != state["settings"].vm:
        return KeyUnknown(Reason.KEY_HOME_ELSEWHERE)
    if home is None or not may_serve_birth(store, home, key.born_at_ms, rules):
        return KeyUnknown(Reason.PLACEMENT_UNCONFIRMED)
    memory_start_ms = state["clock"]["started_at_ms"] + rules.memory_margin_ms
    if key.born_at_ms <= max(memory_start_ms, placement["floor_ms"], ledger["low_water_ms"]):
        return KeyUnknown(Reason.KEY_TOO_OLD)
    if key.born_at_ms > now_ms + rules.clock_error_ms:
        return RefuseKey(Reason.KEY_FROM_FUTURE)
    return RunKey()


def _decide_known(entry: LedgerEntry, fingerprint: str) -> KeyDecision:
    if entry.fingerprint != fingerprint:
        return RefuseKey(Reason.KEY_REUSED)
    return _decide_repeated(entry)


@singledispatch
def _decide_repeated(entry: object) -> KeyDecision:
    raise NotImplementedError(f"no rule for {type(entry).__name__}; register one")


@_decide_repeated.register
def _(entry: Waiting | Running) -> KeyDecision:
    return KeyUnknown(Reason.KEY_RUNNING)


@_decide_repeated.register
def _(entry: Finished) -> KeyDecision:
    return ReplayAnswer(entry.answer)


@_decide_repeated.register
def _(entry: Undetermined) -> KeyDecision:
    return KeyUnknown(entry.reason)


# A relayed call can end with these reasons before it reaches the home, or at a node that is not the
# home. A home gives the expired deadline too, but the reason does not tell which node gave it.
UNPROVEN_REASONS = frozenset(
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
def outcome_for_given_key(outcome: object, route: object) -> Outcome:
    """Return what may be said to a caller that brought the key, which it may have used before.

    Only the home can tell that no earlier call with the key ran. A call that never got there was
    not run, but the key may have been, so the outcome is unknown.
    """
    raise NotImplementedError(f"no rule for {type(outcome).__name__}; register one")


@outcome_for_given_key.register
def _(outcome: Answered | Unknown, route: object) -> Outcome:
    return outcome


@outcome_for_given_key.register
def _(outcome: NotRun, route: object) -> Outcome:
    if outcome.reason is Reason.KEY_MALFORMED:
        return outcome
    if _is_unproven(route, outcome.reason):
        return Unknown(outcome.reason, outcome.retries_left)
    return outcome


@singledispatch
def _is_unproven(route: object, reason: Reason) -> bool:
    return False


@_is_unproven.register
def _(route: Refused, reason: Reason) -> bool:
    return True


@_is_unproven.register
def _(route: ToPeer, reason: Reason) -> bool:
    return reason in UNPROVEN_REASONS
