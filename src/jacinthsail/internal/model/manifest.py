"""The operators' manifest: which service serves a request, and on which terms."""

from collections.abc import Mapping
from typing import NamedTuple

from jacinthsail.internal.model.document import Execution


class Branch(NamedTuple):
    """One service of a route with its share of the route's requests."""

    service: str
    weight: float


class RoutePolicy(NamedTuple):
    """How requests of one host and path prefix are treated.

    ``timeout_s`` is the longest time that a caller is kept waiting, ``target_latency_s`` the time
    within which an answer has its full value. ``priority`` 0 is the most important.
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


class ServiceTerms(NamedTuple):
    """What the operators say of the targets of one service."""

    name: str
    health_path: str
    max_connections: int


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Manifest(NamedTuple):
    """One version of the manifest."""

    version: int
    routes: tuple[RoutePolicy, ...]
    services: Mapping[str, ServiceTerms]
    limits: ClientLimits


RouteIndex = Mapping[tuple[str, str], RoutePolicy]
