"""The nodes from which a node learns what the store publishes."""

from enum import StrEnum
from typing import NamedTuple, TypedDict


class StoreRole(StrEnum):
    """Whether a node reads the store.

    A reader does so for other nodes. A node in the fallback role has no working source and reads
    for itself only, and less often while the store does not respond.
    """

    READER = "reader"
    FALLBACK = "fallback"
    FOLLOWER = "follower"


class SourceState(TypedDict):
    """One node that this node follows; times are monotonic seconds.

    ``is_current`` is true if the node's last read of the store succeeded.
    """

    followed_at: float
    received_at: float
    is_current: bool


class StoreSources(TypedDict):
    """The sources of a node, and its own part in the distribution.

    ``order`` lists the hosts of the failure domain in the order in which they are preferred as
    sources; nodes that know the same targets have the same order. ``suspected_until`` and
    ``failures`` concern sources that could not be reached or went silent. ``followers`` counts the
    nodes that follow this one, and ``working_at`` is when another node last proved to be current.
    ``role`` says whether this node reads the store itself.
    """

    order: tuple[str, ...]
    sources: dict[str, SourceState]
    suspected_until: dict[str, float]
    failures: dict[str, int]
    followers: int
    working_at: float
    role: StoreRole


class SourceChanges(NamedTuple):
    """The hosts to follow, to follow no longer, and to reconnect to because they are silent."""

    follow: tuple[str, ...]
    unfollow: tuple[str, ...]
    replace: tuple[str, ...]
