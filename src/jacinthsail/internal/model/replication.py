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
    """One published item; ``version`` is assigned by the platform and only increases.

    ``as_of_ms`` is the platform's time when this copy was read from it. Peers pass it on with the
    copy, so it is never earlier than the time of publication.
    """

    name: str
    version: int
    digest: str
    body: bytes
    as_of_ms: int = 0


class RejectedVersion(NamedTuple):
    """A version that could not be accepted, with its errors.

    The copy is kept so that peers that lack this version receive it too.
    """

    version: int
    errors: tuple[ConfigurationError, ...]
    item: Item


class ServiceInForce(NamedTuple):
    """The policy in force for a service and the section that defines it."""

    section: str
    policy: ServicePolicy


class StoreState(TypedDict):
    """Copies of the newest accepted version of each published item.

    ``as_of_ms`` is the platform's time up to which every published version is known here, and
    ``confirmed_at`` the monotonic time at which it last advanced. ``newest_seen`` holds the highest
    version of each item, including rejected ones, and ``revision`` the highest of all items.
    ``digest`` covers all versions in force or rejected.

    Look-ups on the request path read indexes, of which a changed item updates only its own part:
    ``defining_sections`` names the sections that define a service, ``services`` holds the policy
    of the one in force, and ``service_vms`` holds the VMs of a service by the name of their list.
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
    defining_sections: dict[str, tuple[str, ...]]
    vm_entries: dict[str, VmEntry]
    service_vms: dict[str, dict[str, tuple[VmEntry, ...]]]
    membership_changes: int
    placement: PlacementState


class PlatformState(TypedDict):
    """State of a node's reads from the platform; times are monotonic seconds.

    ``revision`` is the newest revision up to which every change was read. ``stale`` is set while
    the platform responds with an older state than one already seen. ``tokens`` is the budget of
    reads at ``tokens_at``. ``pauses_handled`` counts the pauses of this process after which the
    platform has been read.
    """

    revision: int
    stale: bool
    reads: int
    failures: int
    tokens: float
    tokens_at: float
    pauses_handled: int


class GossipState(TypedDict):
    """State of the exchange of copies with gossip peers, by VM.

    ``chosen`` names the gossip peers. Copies are exchanged with them only, not with every peer to
    which calls are relayed. ``chosen_at`` is when they were first chosen from a VM list.
    ``offered_at`` is when all versions were last offered to a peer, and ``mismatch_since`` the time
    since which its digest has differed from the local one.

    Until ``startup_completed``, ``startup_offers`` holds the versions that each peer has named in
    its reply to the complete offer that this node sent at startup.
    """

    chosen: frozenset[str]
    next_attempt: dict[str, float]
    failures: dict[str, int]
    offered_at: dict[str, float]
    mismatch_since: dict[str, float]
    complete_offers_received: int
    chosen_at: float | None
    startup_offers: dict[str, tuple[ItemVersion, ...]]
    startup_completed: bool


class NewSection(NamedTuple):
    """The item is a newer, valid section."""

    item: Item
    section: Section


class NewVmList(NamedTuple):
    """The item is a newer, valid VM list."""

    item: Item
    vm_list: VmList


class Rejected(NamedTuple):
    """The item is newer and cannot be accepted; the version in force stays."""

    item: Item
    errors: tuple[ConfigurationError, ...]


class Withdrawn(NamedTuple):
    """The item is newer and cannot be accepted, and the last good version is not kept.

    This happens only if ``Mechanism.LAST_GOOD_SECTION`` is disabled.
    """

    item: Item
    errors: tuple[ConfigurationError, ...]


class Superseded(NamedTuple):
    """The item is not newer than the version in force."""

    item: Item


ItemDecision = NewSection | NewVmList | Rejected | Withdrawn | Superseded


class PlatformChange(NamedTuple):
    """The platform's response to a watch: its revision and the changes since the requested one."""

    revision: int
    as_of_ms: int
    versions: tuple[tuple[str, int], ...]


class WatchPlatform(NamedTuple):
    """Hold a watch on the platform."""


class ReadPlatform(NamedTuple):
    """Read the platform once, without waiting for a change."""


class AwaitPeers(NamedTuple):
    """Read nothing from the platform for ``delay_s`` and rely on peers for changes."""

    delay_s: float


PlatformAction = WatchPlatform | ReadPlatform | AwaitPeers


class DigestMatch(NamedTuple):
    """The peer holds the same versions, so its confirmation holds here too."""

    as_of_ms: int


class DigestMismatch(NamedTuple):
    """The peer holds other versions; with ``offer_all`` the complete lists are compared."""

    offer_all: bool


DigestDecision = DigestMatch | DigestMismatch
