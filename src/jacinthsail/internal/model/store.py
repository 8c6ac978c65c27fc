"""Decoded responses of the platform's store, and the state of the reader."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.fleet import TargetEntry
from jacinthsail.internal.model.manifest import Manifest


class ManifestPublished(NamedTuple):
    """The operators published a manifest."""

    manifest: Manifest


class TargetPublished(NamedTuple):
    """A target published its entry."""

    entry: TargetEntry


class TargetRemoved(NamedTuple):
    """The entry of a target was removed."""

    incarnation: str


class UndecodableItem(NamedTuple):
    """An item that cannot be decoded; its previous version stays in force."""

    key: str
    detail: str


StoreChange = ManifestPublished | TargetPublished | TargetRemoved | UndecodableItem


class StoreSnapshot(NamedTuple):
    """All published items, read page by page, as of the revision before the first page.

    ``incarnations`` are the targets whose items were listed, decodable or not.
    """

    changes: tuple[StoreChange, ...]
    incarnations: frozenset[str]
    revision: int


class StoreDelta(NamedTuple):
    """The changes up to a revision."""

    changes: tuple[StoreChange, ...]
    revision: int


class HistoryCompacted(NamedTuple):
    """The store no longer has the history after the requested revision."""


class StoreUnavailable(NamedTuple):
    """The store did not respond, or its response was an error status or cannot be decoded.

    ``status`` is 0 unless the store responded with an error status.
    """

    detail: str
    status: int = 0


StoreResponse = StoreSnapshot | StoreDelta | HistoryCompacted | StoreUnavailable


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
