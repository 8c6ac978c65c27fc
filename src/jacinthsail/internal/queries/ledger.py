"""Size and state of the idempotency ledger and its entries."""

from functools import singledispatch

from jacinthsail.internal.model.idempotency import (
    FinishedEntry,
    LedgerState,
    QueuedEntry,
    RunningEntry,
)


def is_ledger_full(ledger: LedgerState) -> bool:
    """Return whether the ledger exceeds its bound on entries or on the size of stored responses."""
    if len(ledger["entries"]) > ledger["capacity"]:
        return True
    return ledger["total_response_bytes"] > ledger["capacity_bytes"]


@singledispatch
def is_running(entry: object) -> bool:
    """Return whether the call of a ledger entry has not ended yet."""
    return False


@is_running.register
def _(entry: QueuedEntry | RunningEntry) -> bool:
    return True


@singledispatch
def stored_response_bytes(entry: object) -> int:
    """Return the size in bytes of the response body that a ledger entry stores."""
    return 0


@stored_response_bytes.register
def _(entry: FinishedEntry) -> int:
    return len(entry.response.body)
