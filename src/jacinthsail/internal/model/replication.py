"""Published items and their copies on a node."""

from typing import NamedTuple, TypedDict

from jacinthsail.errors import ConfigurationError
from jacinthsail.internal.model.document import Section
from jacinthsail.internal.model.idempotency import PlacementState
from jacinthsail.internal.model.membership import VmList


class ItemVersion(NamedTuple):
    """Name, version and digest of one published item."""

    name: str
    version: int
    digest: str


class Item(NamedTuple):
    """One published item; ``version`` is the platform's and only goes up."""

    name: str
    version: int
    digest: str
    body: bytes


class RejectedVersion(NamedTuple):
    """A version that could not be accepted, and why."""

    version: int
    errors: tuple[ConfigurationError, ...]


class StoreState(TypedDict):
    """Copies of the published items, newest accepted version of each.

    ``as_of_ms`` is the platform's time at which all these versions were known to be the newest.
    ``newest_seen`` also counts versions that were rejected.
    """

    items: dict[str, Item]
    sections: dict[str, Section]
    vm_lists: dict[str, VmList]
    newest_seen: dict[str, int]
    rejected: dict[str, RejectedVersion]
    as_of_ms: int
    changed_at: float
    placement: PlacementState


class NewSection(NamedTuple):
    """The item is a newer, valid section."""

    item: Item
    section: Section


class NewVmList(NamedTuple):
    """The item is a newer, valid VM list."""

    item: Item
    vm_list: VmList


class Rejected(NamedTuple):
    """The item is newer and cannot be accepted; what is in force stays."""

    item: Item
    errors: tuple[ConfigurationError, ...]


class Superseded(NamedTuple):
    """The item is not newer than what is in force."""

    item: Item


ItemDecision = NewSection | NewVmList | Rejected | Superseded
