"""Idempotency keys and the ledger that a home keeps of them."""

from collections import OrderedDict
from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Answered, Reason


class IssuedKey(NamedTuple):
    """A key made by a node; only the named incarnation of the home's node may run it."""

    home_vm: str
    incarnation: str
    sequence: int


class TimedKey(NamedTuple):
    """A UUIDv7 made by a caller; its home follows from its birth and the published VM list."""

    text: str
    born_at_ms: int


IdempotencyKey = IssuedKey | TimedKey


class Running(NamedTuple):
    """The call of this key was handed to the target and has not finished."""

    fingerprint: str


class Finished(NamedTuple):
    """The call of this key ran and this was its answer."""

    fingerprint: str
    answer: Answered


class Undetermined(NamedTuple):
    """The call of this key may have run."""

    fingerprint: str


LedgerEntry = Running | Finished | Undetermined


class LedgerState(TypedDict):
    """What this node remembers of the keys it is home to.

    Keys born at or before ``low_water_ms`` may have been forgotten, so they are refused.
    """

    incarnation: str
    entries: OrderedDict[str, LedgerEntry]
    capacity: int
    low_water_ms: int
    low_water_sequence: int
    next_sequence: int


class RunKey(NamedTuple):
    """The key is new to its home: run the call."""


class ReplayAnswer(NamedTuple):
    """The key has run: give the stored answer."""

    answer: Answered


class RefuseKey(NamedTuple):
    """The call is not started, and no earlier attempt can have run."""

    reason: Reason


class KeyUnknown(NamedTuple):
    """The call is not started now, but an earlier attempt may have run."""

    reason: Reason


KeyDecision = RunKey | ReplayAnswer | RefuseKey | KeyUnknown
