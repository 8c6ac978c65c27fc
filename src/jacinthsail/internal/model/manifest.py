"""The operators' manifest: routes, services and client limits."""

from collections.abc import Mapping
from typing import NamedTuple

from jacinthsail.internal.model.accounts import AccountIndex
from jacinthsail.internal.model.document import Execution


class Branch(NamedTuple):
    """One service of a route with its share of the route's requests."""

    service: str
    weight: float


class RoutePolicy(NamedTuple):
    """How requests of one host and path prefix are treated.

    ``timeout_s`` is the longest time until a caller gets a response, and ``target_latency_s`` the
    time within which a response has its full value. ``priority`` 0 is the most important.
    Requests on a public route need no account.
    ``has_large_responses`` marks downloads.
    """

    name: str
    host: str
    prefix: str
    branches: tuple[Branch, ...]
    execution: Execution
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    is_public: bool = False
    has_large_responses: bool = False


class ServiceSettings(NamedTuple):
    """The operators' settings for the targets of one service."""

    name: str
    health_path: str
    max_connections: int


class ClientLimits(NamedTuple):
    """Limits on the size of a client's requests, and on the time it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Manifest(NamedTuple):
    """One version of the manifest.

    ``accounts`` is None if callers need no account. ``faults`` describes the parts of the manifest
    that are invalid and were left out or replaced by a safe value.
    """

    version: int
    routes: tuple[RoutePolicy, ...]
    services: Mapping[str, ServiceSettings]
    limits: ClientLimits
    accounts: AccountIndex | None = None
    faults: tuple[str, ...] = ()


RouteIndex = Mapping[tuple[str, str], RoutePolicy]
