"""Changes to the ledger in which the owner of idempotency keys records them."""

from functools import singledispatch

from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.idempotency import (
    FinishedEntry,
    IdempotencyKey,
    IndeterminateEntry,
    IssuedKey,
    LedgerEntry,
    LedgerState,
    QueuedEntry,
    RunningEntry,
    TimedKey,
)
from jacinthsail.internal.queries.ledger import is_ledger_full, is_running, stored_response_bytes

# Larger responses are not stored; a retry with the key then gets an indeterminate outcome.
MAX_STORED_RESPONSE_BYTES = 256 * 1024


def record_issued(ledger: LedgerState, key: IssuedKey) -> None:
    """Advance the sequence so that the next issued key differs from this one."""
    ledger["next_sequence"] = key.sequence + 1


def record_queued(ledger: LedgerState, key: IdempotencyKey, fingerprint: str) -> None:
    """Record a key before its call is queued."""
    _put(ledger, key, QueuedEntry(fingerprint))
    _evict(ledger)


def record_running(ledger: LedgerState, key: IdempotencyKey) -> None:
    """Record that the call starts, before its first byte is written to the target."""
    _put(ledger, key, RunningEntry(ledger["entries"][key].fingerprint))


def record_interrupted(ledger: LedgerState, key: IdempotencyKey) -> None:
    """Record that the call was cancelled by its caller or aborted by an error."""
    entry = ledger["entries"].get(key)
    _interrupt(entry, ledger, key)


def record_not_run(ledger: LedgerState, key: IdempotencyKey) -> None:
    """Drop a key whose call was not executed, so that it can be retried."""
    _remove(ledger, key)


def record_indeterminate(ledger: LedgerState, key: IdempotencyKey, reason: Reason) -> None:
    """Record that the call of a key may have been executed."""
    entry = ledger["entries"].get(key)
    if entry is not None:
        _put(ledger, key, IndeterminateEntry(entry.fingerprint, reason))


def record_outcome(ledger: LedgerState, key: IdempotencyKey, outcome: object) -> None:
    """Record the outcome of the call of a key."""
    _record(outcome, ledger, key)
    _evict(ledger)


@singledispatch
def _record(outcome: object, ledger: LedgerState, key: IdempotencyKey) -> None:
    raise NotImplementedError(f"no rule for {type(outcome).__name__}; register one")


@_record.register
def _(outcome: Answered, ledger: LedgerState, key: IdempotencyKey) -> None:
    if len(outcome.body) > MAX_STORED_RESPONSE_BYTES:
        record_indeterminate(ledger, key, Reason.ANSWER_NOT_KEPT)
        return
    fingerprint = ledger["entries"][key].fingerprint
    _put(ledger, key, FinishedEntry(fingerprint, outcome))


@_record.register
def _(outcome: NotRun, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_not_run(ledger, key)


@_record.register
def _(outcome: Unknown, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_indeterminate(ledger, key, outcome.reason)


@singledispatch
def _interrupt(entry: object, ledger: LedgerState, key: IdempotencyKey) -> None:
    """Leave an entry that already holds the outcome of the call."""


@_interrupt.register
def _(entry: QueuedEntry, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_not_run(ledger, key)


@_interrupt.register
def _(entry: RunningEntry, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_indeterminate(ledger, key, Reason.CALLER_GONE)


def _put(ledger: LedgerState, key: IdempotencyKey, entry: LedgerEntry) -> None:
    _remove(ledger, key)
    ledger["entries"][key] = entry
    ledger["total_response_bytes"] += stored_response_bytes(entry)


def _remove(ledger: LedgerState, key: IdempotencyKey) -> None:
    entry = ledger["entries"].pop(key, None)
    if entry is not None:
        ledger["total_response_bytes"] -= stored_response_bytes(entry)


def _evict(ledger: LedgerState) -> None:
    """Evict the keys that finished first until both bounds hold, but never a running one.

    Running calls are bounded by the admission queue and the slots, so the ledger stays bounded even
    if all its entries are running.
    """
    if not is_ledger_full(ledger):
        return
    for key, entry in list(ledger["entries"].items()):
        if not is_ledger_full(ledger):
            return
        if is_running(entry):
            continue
        _remove(ledger, key)
        _raise_low_water(key, ledger)


@singledispatch
def _raise_low_water(key: object, ledger: LedgerState) -> None:
    raise NotImplementedError(f"no rule for {type(key).__name__}; register one")


@_raise_low_water.register
def _(key: IssuedKey, ledger: LedgerState) -> None:
    ledger["low_water_sequence"] = max(ledger["low_water_sequence"], key.sequence)


@_raise_low_water.register
def _(key: TimedKey, ledger: LedgerState) -> None:
    ledger["low_water_ms"] = max(ledger["low_water_ms"], key.created_at_ms)
