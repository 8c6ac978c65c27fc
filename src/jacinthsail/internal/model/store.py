"""Decoded responses of the platform's store, and the state of the reader."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.fleet import EntryVersion, TargetEntry
from jacinthsail.internal.model.manifest import Manifest


class ManifestPublished(NamedTuple):
    """The operators published a manifest."""

    manifest: Manifest


class TargetPublished(NamedTuple):
    """A target published its entry."""

    entry: TargetEntry
    version: EntryVersion


class TargetRemoved(NamedTuple):
    """The entry of a target was removed."""

    incarnation: str


class UndecodableItem(NamedTuple):
    """An item that cannot be decoded; its previous version stays in force."""

    key: str
    detail: str


StoreChange = ManifestPublished | TargetPublished | TargetRemoved | UndecodableItem


class PublishedItem(NamedTuple):
    """One item of the store at a revision; ``body`` is None if the item was removed."""

    key: str
    revision: int
    body: bytes | None


class StoreSnapshot(NamedTuple):
    """All published items as of a revision; some may already be newer.

    Here and below, ``era`` counts how often the store has gone back to an older state. Revisions of
    different eras cannot be compared.
    """

    items: tuple[PublishedItem, ...]
    revision: int
    era: int = 0


class StoreDelta(NamedTuple):
    """The items that changed after one revision and up to another."""

    items: tuple[PublishedItem, ...]
    after: int
    revision: int
    era: int = 0


class StoreDifference(NamedTuple):
    """The items that differ between the copies at two revisions.

    Items that were added and removed in between are missing, so it applies only to a copy at
    exactly the revision ``after``.
    """

    items: tuple[PublishedItem, ...]
    after: int
    revision: int
    era: int = 0


StoreUpdate = StoreSnapshot | StoreDelta | StoreDifference


class HistoryCompacted(NamedTuple):
    """The store no longer has the history after the requested revision."""


class ChangesTooLarge(NamedTuple):
    """The changes after the requested revision do not fit into one response."""


class StoreUnavailable(NamedTuple):
    """The store did not respond, or its response was an error status or cannot be decoded.

    ``status`` is 0 unless the store responded with an error status, and ``is_too_large`` is set if
    the response exceeded the accepted size.
    """

    detail: str
    status: int = 0
    is_too_large: bool = False


StoreResponse = StoreUpdate | HistoryCompacted | ChangesTooLarge | StoreUnavailable


class StoreCopy(TypedDict):
    """A node's copy of the published items, and what it needs to pass changes on to other nodes.

    ``revision`` is the revision of the store, in ``era``, up to which the copy is complete.
    ``removals`` holds the revisions at which items were removed; all removals after
    ``complete_since`` are in it.
    """

    items: dict[str, PublishedItem]
    removals: dict[str, int]
    complete_since: int
    era: int
    revision: int


class StoreReadState(TypedDict):
    """Progress of the reads from the store; times are monotonic seconds."""

    needs_snapshot: bool
    failures: int
    last_read_at: float
    reads: int


class ReadSnapshot(NamedTuple):
    """Read a full snapshot."""


class ReadChanges(NamedTuple):
    """Read the changes after a revision; the store may wait up to ``wait_s`` for one."""

    after: int
    wait_s: float


StoreRead = ReadSnapshot | ReadChanges
