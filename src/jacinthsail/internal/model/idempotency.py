"""Idempotency keys, the placement of their homes, and the ledger that a home keeps of them.

An issued key names one process. No other process runs it, so it has one home by construction.

Two nodes can never both be home of one timed key. The VM with the highest score among the eligible
ones is the home, so the node with the lower score would have to believe that the other one is not
eligible at the key's birth, while the other believes that it is:

- The other one was listed later than the first node knows. Then the listing is newer than the
  first node's confirmation, the other one is eligible only ``lead`` after its listing, and the
  first node accepts no birth later than ``lead`` after its confirmation.
- The other one was removed, and does not know it. Then it accepts only births up to ``lead`` after
  its last confirmation, which is older than the removal, and the first node takes it for not
  eligible only for births from ``lead`` after a confirmation that is newer than the removal.
- The other one came and went unseen by the first node. A node runs no key before its own listing
  is confirmed to have lasted for ``lead``, so this takes a gap of more than ``lead`` between two
  confirmations of the first node, and the gap raises its floor above every such birth. A first
  confirmation counts as such a gap.

This relies on three properties of the published lists: ``listed_at`` and ``leaving_at`` are the
times of publication, they never change once published, and an entry that returns after its removal
has a new ``listed_at``.
"""

from collections import OrderedDict
from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Answered, Reason
from jacinthsail.internal.model.membership import VmEntry


class IssuedKey(NamedTuple):
    """A key made by a node; only the named incarnation of the home's node may run it.

    ``issuer`` is the incarnation of the node that made the key and ``sequence`` grows with each key
    of one issuer, so that keys of different issuers differ. A sequence starts with the issuer's
    wall clock, so that sequences of different issuers have about the order of their issue. The home
    uses that order only to decide which keys it may forget: a forgotten key is at or below the
    low-water mark whatever the clocks say.
    """

    home_vm: str
    incarnation: str
    issuer: str
    sequence: int


class TimedKey(NamedTuple):
    """A UUIDv7 made by a caller; its home follows from its birth and the published VM list."""

    text: str
    born_at_ms: int


IdempotencyKey = IssuedKey | TimedKey


class Waiting(NamedTuple):
    """The call of this key waits for a slot; no byte of it was written to the target."""

    fingerprint: str


class Running(NamedTuple):
    """The call of this key was handed to the target and has not finished."""

    fingerprint: str


class Finished(NamedTuple):
    """The call of this key ran and this was its answer."""

    fingerprint: str
    answer: Answered


class Undetermined(NamedTuple):
    """The call of this key may have run, and why that is not known, or its answer not kept."""

    fingerprint: str
    reason: Reason


LedgerEntry = Waiting | Running | Finished | Undetermined


class LedgerState(TypedDict):
    """What this node remembers of the keys it is home to.

    Timed keys born at or before ``low_water_ms``, and issued keys at or below
    ``low_water_sequence``, may have been forgotten, so they are refused. ``next_sequence`` is the
    lowest sequence of the next key that this node issues.
    """

    incarnation: str
    entries: OrderedDict[IdempotencyKey, LedgerEntry]
    capacity: int
    capacity_bytes: int
    answer_bytes: int
    low_water_ms: int
    low_water_sequence: int
    next_sequence: int


class PlacementRules(NamedTuple):
    """Bounds of the placement of timed keys, in milliseconds.

    ``lead_ms`` is how long before a birth a listing must have been published to count. A home
    accepts births up to ``horizon_ms`` after its confirmation; a horizon above the lead lets a home
    miss a newer listing. A home runs no key before its own listing was confirmed for
    ``own_listing_ms``. ``clock_error_ms`` bounds the difference between the clocks of two nodes.
    ``memory_margin_ms`` is twice that: a predecessor may have run a key that was born one clock
    error in its future, and its clock may have been one clock error ahead of its successor's.
    """

    lead_ms: int = 15_000
    horizon_ms: int = 15_000
    own_listing_ms: int = 15_000
    clock_error_ms: int = 2_000
    memory_margin_ms: int = 4_000


PLACEMENT_RULES = PlacementRules()


class DepartedVm(NamedTuple):
    """A VM that vanished from a list.

    ``held_until_ms`` is the last confirmation with the VM in its list and ``gone_at_ms`` the
    platform's time of the first list without it; the removal lies between the two.
    """

    entry: VmEntry
    held_until_ms: int
    gone_at_ms: int


class PlacementState(TypedDict):
    """What this node knows of past and present VM lists.

    ``confirmed_ms`` is the platform's time up to which the lists are known to be complete, or 0
    after a pause, until the next confirmation. ``last_confirmed_ms`` outlasts a pause. Keys born at
    or before ``floor_ms`` may belong to VMs that this node never saw.
    """

    confirmed_ms: int
    last_confirmed_ms: int
    floor_ms: int
    departed: dict[tuple[str, int], DepartedVm]


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
