"""The list of VMs as the platform publishes it."""

from enum import StrEnum
from typing import NamedTuple, TypedDict


class VmStatus(StrEnum):
    """The status that the platform publishes for a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Distance(StrEnum):
    """The distance of a VM from this node."""

    OWN_DOMAIN = "own-domain"
    OWN_REGION = "own-region"
    OTHER_REGION = "other-region"


class VmEntry(NamedTuple):
    """One VM with its target and its node.

    ``listed_at_ms`` and ``leaving_at_ms`` are the platform's times in milliseconds since the epoch.
    """

    vm: str
    host: str
    callers_port: int
    relay_port: int
    failure_domain: str
    region: str
    service: str
    status: VmStatus
    listed_at_ms: int
    leaving_at_ms: int | None = None


class VmList(NamedTuple):
    """The VMs of one failure domain at one version.

    ``as_of_ms`` is the platform's time at which this version was known to be the newest one.
    """

    failure_domain: str
    version: int
    as_of_ms: int
    entries: tuple[VmEntry, ...]


class LinkBudget(TypedDict):
    """Token bucket of bytes that calls from this node may send across regions."""

    tokens: float
    updated_at: float
