"""Changes to the ledger of a key's home."""

from functools import singledispatch

from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.idempotency import (
    Finished,
    IdempotencyKey,
    IssuedKey,
    LedgerEntry,
    LedgerState,
    Running,
    TimedKey,
    Undetermined,
    Waiting,
)
from jacinthsail.internal.queries.ledger import is_full, is_running, kept_bytes

# Larger answers are not kept; a repeated key then gets unknown instead of the answer.
MAX_KEPT_ANSWER_BYTES = 256 * 1024


def record_issued(ledger: LedgerState, key: IssuedKey) -> None:
    """Make sure that the next issued key differs from this one."""
    ledger["next_sequence"] = key.sequence + 1


def record_waiting(ledger: LedgerState, key: IdempotencyKey, fingerprint: str) -> None:
    """Remember a key before its call waits for a slot."""
    _put(ledger, key, Waiting(fingerprint))
    _evict(ledger)


def record_running(ledger: LedgerState, key: IdempotencyKey) -> None:
    """Remember that the call is about to be written to the target, before its first byte is."""
    _put(ledger, key, Running(ledger["entries"][key].fingerprint))


def record_interrupted(ledger: LedgerState, key: IdempotencyKey) -> None:
    """Remember that the call was given up, by its caller or by an error."""
    entry = ledger["entries"].get(key)
    _interrupt(entry, ledger, key)


def record_not_run(ledger: LedgerState, key: IdempotencyKey) -> None:
    """Forget a key whose call did not run, so that it may be tried again."""
    _remove(ledger, key)


def record_undetermined(ledger: LedgerState, key: IdempotencyKey, reason: Reason) -> None:
    """Remember that the call of a key may have run."""
    entry = ledger["entries"].get(key)
    if entry is not None:
        _put(ledger, key, Undetermined(entry.fingerprint, reason))


def record_outcome(ledger: LedgerState, key: IdempotencyKey, outcome: object) -> None:
    """Remember how the call of a key ended."""
    _record(outcome, ledger, key)
    _evict(ledger)


@singledispatch
def _record(outcome: object, ledger: LedgerState, key: IdempotencyKey) -> None:
    raise NotImplementedError(f"no rule for {type(outcome).__name__}; register one")


@_record.register
def _(outcome: Answered, ledger: LedgerState, key: IdempotencyKey) -> None:
    if len(outcome.body) > MAX_KEPT_ANSWER_BYTES:
        record_undetermined(ledger, key, Reason.ANSWER_NOT_KEPT)
        return
    fingerprint = ledger["entries"][key].fingerprint
    _put(ledger, key, Finished(fingerprint, outcome))


@_record.register
def _(outcome: NotRun, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_not_run(ledger, key)


@_record.register
def _(outcome: Unknown, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_undetermined(ledger, key, outcome.reason)


@singledispatch
def _interrupt(entry: object, ledger: LedgerState, key: IdempotencyKey) -> None:
    """Leave an entry that says already how the call ended."""


@_interrupt.register
def _(entry: Waiting, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_not_run(ledger, key)


@_interrupt.register
def _(entry: Running, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_undetermined(ledger, key, Reason.CALLER_GONE)


def _put(ledger: LedgerState, key: IdempotencyKey, entry: LedgerEntry) -> None:
    _remove(ledger, key)
    ledger["entries"][key] = entry
    ledger["answer_bytes"] += kept_bytes(entry)


def _remove(ledger: LedgerState, key: IdempotencyKey) -> None:
    entry = ledger["entries"].pop(key, None)
    if entry is not None:
        ledger["answer_bytes"] -= kept_bytes(entry)


def _evict(ledger: LedgerState) -> None:
    """Forget the keys that finished first until both bounds hold; running ones are never forgotten.

    The calls that run are bounded by the admission queue and the slots, so the ledger stays bounded
    when all its entries run.
    """
    if not is_full(ledger):
        return
    for key, entry in list(ledger["entries"].items()):
        if not is_full(ledger):
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
    ledger["low_water_ms"] = max(ledger["low_water_ms"], key.born_at_ms)
