"""Sizes and states of ledger entries."""

from functools import singledispatch

from jacinthsail.internal.model.idempotency import Finished, LedgerState, Running, Waiting


def is_full(ledger: LedgerState) -> bool:
    """Tell whether the ledger exceeds its bound on entries or on kept answers."""
    if len(ledger["entries"]) > ledger["capacity"]:
        return True
    return ledger["answer_bytes"] > ledger["capacity_bytes"]


@singledispatch
def is_running(entry: object) -> bool:
    """Tell whether the call of an entry has not ended."""
    return False


@is_running.register
def _(entry: Waiting | Running) -> bool:
    return True


@singledispatch
def kept_bytes(entry: object) -> int:
    """Return the size of the answer that an entry keeps."""
    return 0


@kept_bytes.register
def _(entry: Finished) -> int:
    return len(entry.answer.body)
