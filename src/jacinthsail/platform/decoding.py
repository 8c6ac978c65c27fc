"""Decodes the manifest of the operators and the entries that targets publish."""

import json
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.fleet import TargetEntry
from jacinthsail.internal.model.manifest import (
    Branch,
    ClientLimits,
    Manifest,
    RoutePolicy,
    ServiceSettings,
)
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.platform import names

# More slots than any small VM can serve; a larger number is an error in the published entry.
MAX_SLOTS = 100_000

MAX_PORT = 65_535

# Raised by the functions below for a value of the wrong type or format.
DECODE_ERRORS = (ValueError, KeyError, TypeError, OverflowError, RecursionError)

_UNITS_S = (("ms", 0.001), ("s", 1.0))

_EXECUTIONS = {
    names.ROUTE_TYPE_IDEMPOTENT: Execution.REPEATABLE,
    names.ROUTE_TYPE_NON_IDEMPOTENT: Execution.AT_MOST_ONCE,
}


def duration_s(value: object) -> float:
    """Return a duration in the platform's notation, converted to seconds.

    >>> duration_s("1500ms")
    1.5
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a duration with a unit, such as 1500ms")
    for unit, factor in _UNITS_S:
        number = value.removesuffix(unit)
        if number == value or not number.replace(".", "", 1).isdecimal():
            continue
        return float(number) * factor
    raise ValueError(f"{value!r} is not a duration with a unit, such as 1500ms")


def endpoint(value: object) -> Endpoint:
    """Return the endpoint for an address of the form host:port."""
    host, _, port = non_empty_text(value).rpartition(":")
    number = int(port)
    if not host or not 0 < number <= MAX_PORT:
        raise ValueError(f"{value!r} is not an address of the form host:port")
    return Endpoint(host, number)


def non_empty_text(value: object) -> str:
    """Return the value if it is a non-empty string."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return value


def bounded_integer(value: object, minimum: int, maximum: int) -> int:
    """Return the value if it is an integer within the bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"{value} is not between {minimum} and {maximum}")
    return value


def decode_target(
    incarnation: str, body: bytes, regions: Mapping[str, str]
) -> Result[TargetEntry, MalformedMessage]:
    """Return the entry of a target.

    The incarnation is passed in because only the key of the store item holds it.
    """
    try:
        table = json.loads(body)
        address = endpoint(table["address"])
        state = non_empty_text(table["state"])
        if state not in (names.TARGET_STATE_READY, names.TARGET_STATE_DRAINING):
            raise ValueError(f"{state!r} is not a target state")
        failure_domain = non_empty_text(table["zone"])
        # The remaining time for which the target is slow after its start, although the key
        # suggests the degree to which it is warm.
        warm_up_s = duration_s(table["warmupLeft"])
        return Success(
            TargetEntry(
                incarnation=incarnation,
                service=non_empty_text(table["service"]),
                host=address.host,
                port=address.port,
                failure_domain=failure_domain,
                region=regions.get(failure_domain, failure_domain),
                # The maximum number of requests that the target executes at a time.
                slots=bounded_integer(table["concurrency"], 1, MAX_SLOTS),
                is_draining=state == names.TARGET_STATE_DRAINING,
                warm_up_s=warm_up_s,
            )
        )
    except DECODE_ERRORS as error:
        return Failure(MalformedMessage(incarnation, f"{type(error).__name__}: {error}"))


def decode_manifest(body: bytes) -> Result[Manifest, MalformedMessage]:
    """Return the manifest; one invalid route invalidates the whole manifest."""
    try:
        table = json.loads(body)
        routes = tuple(_route(route) for route in table["routes"])
        services = {}
        for service in table["services"]:
            service_settings = _service(service)
            services[service_settings.name] = service_settings
        return Success(
            Manifest(
                version=int(non_empty_text(table["version"]), 16),
                routes=routes,
                services=services,
                limits=_limits(table["limits"]),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(
            MalformedMessage(names.MANIFEST_KEY, f"{type(error).__name__}: {error}"[:500])
        )


def _route(table: dict[str, Any]) -> RoutePolicy:
    execution = _EXECUTIONS.get(table["routeType"])
    if execution is None:
        raise ValueError(f"{table['routeType']!r} is not a route type")
    prefix = non_empty_text(table["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r} does not begin and end with a slash")
    return RoutePolicy(
        name=non_empty_text(table["name"]),
        host=non_empty_text(table["hostname"]).lower(),
        prefix=prefix,
        branches=_branches(table),
        execution=execution,
        timeout_s=duration_s(table["timeout"]),
        target_latency_s=duration_s(table["targetLatency"]),
        # The rank of a route: 0 is the most important, although the key suggests the reverse.
        priority=bounded_integer(table["priority"], 0, 1000),
        # The number of targets to which a node may send one request from a caller. It does not
        # limit how many times the caller itself sends the request.
        max_attempts=bounded_integer(table["maxAttempts"], 1, 1000),
    )


def _branches(table: dict[str, Any]) -> tuple[Branch, ...]:
    if table.get("trafficSplit") is None:
        return (Branch(non_empty_text(table["service"]), 1.0),)
    branches = []
    for part in table["trafficSplit"]:
        weight = float(bounded_integer(part["weight"], 0, 1_000_000))
        branches.append(Branch(non_empty_text(part["service"]), weight))
    if not branches or sum(branch.weight for branch in branches) <= 0:
        raise ValueError("trafficSplit has no service with a positive weight")
    return tuple(branches)


def _service(table: dict[str, Any]) -> ServiceSettings:
    return ServiceSettings(
        name=non_empty_text(table["name"]),
        health_path=non_empty_text(table["healthPath"]),
        max_connections=bounded_integer(table["maxConnections"], 1, 1_000_000),
    )


def _limits(table: dict[str, Any]) -> ClientLimits:
    return ClientLimits(
        max_header_bytes=bounded_integer(table["maxHeaderBytes"], 1, 2**31),
        max_body_bytes=bounded_integer(table["maxBodyBytes"], 0, 2**40),
        header_timeout_s=duration_s(table["headerTimeout"]),
        idle_timeout_s=duration_s(table["idleTimeout"]),
    )
