"""Idempotency keys, the placement of their owners, and the ledger in which an owner records them.

The owner of a key is the VM whose node alone may execute calls with the key; reasons that are
logged or returned call it the home of the key. An issued key names one process and no other process
executes it, so its owner is unique by construction.

A confirmation is the platform's time up to which a node knows its VM lists to be complete, and
``lead`` is ``PlacementRules.lead_ms``.

The owner of a timed key is the VM with the highest score among the eligible ones. Two nodes can
never both own one timed key. For that, node A, which has the lower score, would have to take node B
to be ineligible at the creation time of the key, while B takes itself to be eligible. There are
three such cases, and none of them can occur:

- B was listed later than A knows. Then the listing is newer than A's confirmation, B is eligible
  only ``lead`` after its listing, and A accepts no key created later than ``lead`` after its
  confirmation.
- B was removed and has not learned it. Then B accepts only keys created up to ``lead`` after its
  last confirmation, which is older than the removal. A takes B to be ineligible only for keys
  created from ``lead`` after a confirmation that is newer than the removal.
- B was listed and removed without A seeing it. A node executes no key before its own listing is
  confirmed to have lasted for ``lead``, so this takes a gap of more than ``lead`` between two
  confirmations of A, and the gap raises A's floor above the creation time of every such key. A
  first confirmation counts as such a gap.

This relies on three properties of the published lists: ``listed_at_ms`` and ``leaving_at_ms`` are
the times of publication, they never change once published, and an entry that returns after its
removal has a new ``listed_at_ms``.
"""

from collections import OrderedDict
from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import Answered, Reason
from jacinthsail.internal.model.membership import VmEntry


class IssuedKey(NamedTuple):
    """A key issued by a node; only the node on ``owner_vm`` with ``incarnation`` may execute it.

    ``issuer`` is the incarnation of the node that issued the key, and ``sequence`` increases with
    each key of one issuer, so that all keys differ. A sequence starts with the issuer's wall clock,
    so that sequences of different issuers approximate the order of issue. The owner uses that order
    only to choose which keys to evict: an evicted key is at or below the low-water mark even if
    the clocks disagree.
    """

    owner_vm: str
    incarnation: str
    issuer: str
    sequence: int


class TimedKey(NamedTuple):
    """A caller's UUIDv7; its owner follows from its creation time and the published VM lists."""

    text: str
    created_at_ms: int


IdempotencyKey = IssuedKey | TimedKey


class QueuedEntry(NamedTuple):
    """The call of this key is queued; no byte of it was written to the target."""

    fingerprint: str


class RunningEntry(NamedTuple):
    """The call of this key was sent to the target and has not finished."""

    fingerprint: str


class FinishedEntry(NamedTuple):
    """The call of this key was executed with this response."""

    fingerprint: str
    response: Answered


class IndeterminateEntry(NamedTuple):
    """The call of this key may have been executed; ``reason`` says why its response is missing."""

    fingerprint: str
    reason: Reason


LedgerEntry = QueuedEntry | RunningEntry | FinishedEntry | IndeterminateEntry


class LedgerState(TypedDict):
    """The keys recorded by this node as their owner.

    Timed keys created at or before ``low_water_ms``, and issued keys at or below
    ``low_water_sequence``, may have been evicted, so they are refused. ``next_sequence`` is the
    lowest sequence that the next key issued by this node may have.
    """

    incarnation: str
    entries: OrderedDict[IdempotencyKey, LedgerEntry]
    capacity: int
    capacity_bytes: int
    total_response_bytes: int
    low_water_ms: int
    low_water_sequence: int
    next_sequence: int


class PlacementRules(NamedTuple):
    """Bounds of the placement of timed keys, in milliseconds.

    A listing makes a VM eligible for keys created at least ``lead_ms`` after its publication. An
    owner accepts keys created up to ``horizon_ms`` after its confirmation; with a horizon above the
    lead it could miss a newer listing. An owner executes no key before its own listing was
    confirmed for ``own_listing_ms``. ``clock_error_ms`` bounds the difference between the clocks of
    two nodes.

    A process executes no key created up to ``restart_margin_ms`` after its start. The margin is
    twice the clock error: the predecessor of the process may have executed a key created one clock
    error in its future, and its clock may have been one clock error ahead of its successor's.
    """

    lead_ms: int = 15_000
    horizon_ms: int = 15_000
    own_listing_ms: int = 15_000
    clock_error_ms: int = 2_000
    restart_margin_ms: int = 4_000


PLACEMENT_RULES = PlacementRules()


class RemovedVm(NamedTuple):
    """A VM that is no longer in its list.

    ``last_listed_ms`` is the time of the last confirmation with the VM in its list, and
    ``first_unlisted_ms`` the platform's time of the first list without it. The removal lies between
    the two.
    """

    entry: VmEntry
    last_listed_ms: int
    first_unlisted_ms: int


class PlacementState(TypedDict):
    """The confirmations of the VM lists, and the VMs removed from them.

    ``confirmed_ms`` is the platform's time up to which the lists are known to be complete. A pause
    resets it to 0 until the next confirmation, but keeps ``last_confirmed_ms``. Keys created at or
    before ``floor_ms`` may belong to VMs that this node never saw, so they are refused.
    """

    confirmed_ms: int
    last_confirmed_ms: int
    floor_ms: int
    removed: dict[tuple[str, int], RemovedVm]


class RunKey(NamedTuple):
    """The key is new to its owner; the call is executed."""


class ReplayResponse(NamedTuple):
    """The call of the key was executed before; the stored response is returned."""

    response: Answered


class RefuseKey(NamedTuple):
    """The call is refused, and no earlier attempt can have been executed."""

    reason: Reason


class KeyIndeterminate(NamedTuple):
    """The call is not started, but an earlier attempt may have been executed."""

    reason: Reason


KeyDecision = RunKey | ReplayResponse | RefuseKey | KeyIndeterminate
