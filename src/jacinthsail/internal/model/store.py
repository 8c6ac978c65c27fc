"""What a node reads from the platform's store, decoded."""

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


class Unreadable(NamedTuple):
    """An item that cannot be decoded; what was known before stays in force."""

    key: str
    detail: str


StoreChange = ManifestPublished | TargetPublished | TargetRemoved | Unreadable


class Listing(NamedTuple):
    """Everything published, read page by page, as of the revision before the first page.

    ``names`` are the targets whose items were listed, readable or not.
    """

    changes: tuple[StoreChange, ...]
    names: frozenset[str]
    revision: int


class Changes(NamedTuple):
    """What changed up to a revision."""

    changes: tuple[StoreChange, ...]
    revision: int


class HistoryGone(NamedTuple):
    """The store no longer has the history after the revision that was asked for."""


class StoreUnavailable(NamedTuple):
    """The store did not answer, or refused with a status."""

    detail: str
    status: int = 0


StoreAnswer = Listing | Changes | HistoryGone | StoreUnavailable


class ReadingState(TypedDict):
    """How the reading of the store goes; times are monotonic seconds."""

    needs_listing: bool
    failures: int
    last_read_at: float
    reads: int


class ReadListing(NamedTuple):
    """Everything has to be read."""


class ReadChanges(NamedTuple):
    """What changed since a revision has to be read; the store may wait for a change so long."""

    after: int
    wait_s: float


StoreRead = ReadListing | ReadChanges
