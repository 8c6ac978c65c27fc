"""Published items and their copies on a node."""

from typing import NamedTuple, TypedDict

from jacinthsail.errors import ConfigurationError
from jacinthsail.internal.model.document import Section, ServicePolicy
from jacinthsail.internal.model.idempotency import PlacementState
from jacinthsail.internal.model.membership import VmEntry, VmList


class ItemVersion(NamedTuple):
    """Name, version and digest of one published item."""

    name: str
    version: int
    digest: str


class Item(NamedTuple):
    """One published item; ``version`` is the platform's and only goes up.

    ``as_of_ms`` is the platform's time when this copy was read from it. It travels with the copy,
    so it is never earlier than the time of publication.
    """

    name: str
    version: int
    digest: str
    body: bytes
    as_of_ms: int = 0


class RejectedVersion(NamedTuple):
    """A version that could not be accepted, and why.

    The copy is kept so that peers that lack this version learn of it too.
    """

    version: int
    errors: tuple[ConfigurationError, ...]
    item: Item


class ServiceInForce(NamedTuple):
    """The policy in force for a service and the section that it comes from."""

    section: str
    policy: ServicePolicy


class StoreState(TypedDict):
    """Copies of the published items, newest accepted version of each.

    ``as_of_ms`` is the platform's time up to which every published version is known here, and
    ``confirmed_at`` the monotonic time at which it last advanced. ``newest_seen`` also counts
    versions that were rejected, and ``revision`` is the highest version of any item.
    ``digest`` covers all versions held.

    The look-ups of the request path read indexes, of which a changed item touches only its own
    part: ``claimants`` names the sections that describe a service, ``services`` holds the winner,
    and ``service_vms`` holds the VMs of a service by the name of their list.
    """

    items: dict[str, Item]
    sections: dict[str, Section]
    vm_lists: dict[str, VmList]
    newest_seen: dict[str, int]
    rejected: dict[str, RejectedVersion]
    as_of_ms: int
    confirmed_at: float
    changed_at: float
    revision: int
    digest: int
    services: dict[str, ServiceInForce]
    claimants: dict[str, tuple[str, ...]]
    vm_entries: dict[str, VmEntry]
    service_vms: dict[str, dict[str, tuple[VmEntry, ...]]]
    membership_changes: int
    placement: PlacementState


class PlatformState(TypedDict):
    """What a node knows of its reads from the platform; times are monotonic seconds.

    ``revision`` is the newest one of which every change was read here. ``pauses_answered`` counts
    the pauses of this process after which the platform has been read.
    """

    revision: int
    stale: bool
    reads: int
    failures: int
    tokens: float
    tokens_at: float
    pauses_answered: int


class GossipState(TypedDict):
    """What a node remembers of its exchanges with gossip peers, by VM.

    ``chosen`` names the gossip peers; the exchange of copies goes to them only, not to every peer
    to which calls are relayed. ``chosen_at`` is when they were first chosen from a VM list.

    Until ``start_settled``, ``answers`` holds the versions that each peer has named in answer to
    this node's start.
    """

    chosen: frozenset[str]
    next_attempt: dict[str, float]
    failures: dict[str, int]
    offered_at: dict[str, float]
    mismatch_since: dict[str, float]
    complete_offers_heard: int
    chosen_at: float | None
    answers: dict[str, tuple[ItemVersion, ...]]
    start_settled: bool


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


class Withdrawn(NamedTuple):
    """The item is newer and cannot be accepted, and the last good version is not kept."""

    item: Item
    errors: tuple[ConfigurationError, ...]


class Superseded(NamedTuple):
    """The item is not newer than what is in force."""

    item: Item


ItemDecision = NewSection | NewVmList | Rejected | Withdrawn | Superseded


class PlatformChange(NamedTuple):
    """The platform's answer to a watch: its revision and what changed since the one asked for."""

    revision: int
    as_of_ms: int
    versions: tuple[tuple[str, int], ...]


class WatchPlatform(NamedTuple):
    """Hold a watch on the platform."""


class ReadPlatform(NamedTuple):
    """Read the platform once, without waiting for a change."""


class AwaitPeers(NamedTuple):
    """Leave the platform alone for ``delay_s`` and learn from peers."""

    delay_s: float


PlatformAction = WatchPlatform | ReadPlatform | AwaitPeers


class DigestMatch(NamedTuple):
    """The peer holds the same versions, so its confirmation holds here too."""

    as_of_ms: int


class DigestMismatch(NamedTuple):
    """The peer holds other versions; ``offer_all`` when the complete lists are to be compared."""

    offer_all: bool


DigestDecision = DigestMatch | DigestMismatch
