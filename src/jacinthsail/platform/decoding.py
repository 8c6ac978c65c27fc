"""Decodes what the operators and the targets publish."""

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
    ServiceTerms,
)
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.platform import names

# More slots than any small VM can serve; larger numbers are mistakes of another writer.
MAX_SLOTS = 100_000

MAX_PORT = 65_535

# What any of the readers below raises on a value of another type or form.
DECODE_ERRORS = (ValueError, KeyError, TypeError, OverflowError, RecursionError)

_UNITS_S = (("ms", 0.001), ("s", 1.0))

_EXECUTIONS = {
    names.WORD_REPEATABLE: Execution.REPEATABLE,
    names.WORD_AT_MOST_ONCE: Execution.AT_MOST_ONCE,
}


def duration_s(value: object) -> float:
    """Return a time as the platform writes it, in seconds.

    >>> duration_s("1500ms")
    1.5
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a time with its unit, such as 1500ms")
    for unit, factor in _UNITS_S:
        number = value.removesuffix(unit)
        if number == value or not number.replace(".", "", 1).isdecimal():
            continue
        return float(number) * factor
    raise ValueError(f"{value!r} is not a time with its unit, such as 1500ms")


def endpoint(value: object) -> Endpoint:
    """Return an address as the platform writes it."""
    host, _, port = text(value).rpartition(":")
    number = int(port)
    if not host or not 0 < number <= MAX_PORT:
        raise ValueError(f"{value!r} is not an address with a port")
    return Endpoint(host, number)


def text(value: object) -> str:
    """Return a text that is not empty."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a text")
    return value


def whole_number(value: object, least: int, most: int) -> int:
    """Return a whole number within its bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a whole number")
    if not least <= value <= most:
        raise ValueError(f"{value} is not between {least} and {most}")
    return value


def decode_target(
    incarnation: str, body: bytes, regions: Mapping[str, str]
) -> Result[TargetEntry, MalformedMessage]:
    """Return the entry of a target; the key of its item is the only place that names it."""
    try:
        table = json.loads(body)
        address = endpoint(table["address"])
        state = text(table["state"])
        if state not in (names.WORD_READY, names.WORD_LEAVING):
            raise ValueError(f"{state!r} is not a state of a target")
        failure_domain = text(table["zone"])
        # The time for which the target stays slow after its start; the name says how warm it is.
        warm_up_s = duration_s(table["warmupLeft"])
        return Success(
            TargetEntry(
                incarnation=incarnation,
                service=text(table["service"]),
                host=address.host,
                port=address.port,
                failure_domain=failure_domain,
                region=regions.get(failure_domain, failure_domain),
                # The requests that the target runs at a time.
                slots=whole_number(table["concurrency"], 1, MAX_SLOTS),
                leaving=state == names.WORD_LEAVING,
                warm_up_s=warm_up_s,
            )
        )
    except DECODE_ERRORS as error:
        return Failure(MalformedMessage(incarnation, f"{type(error).__name__}: {error}"))


def decode_manifest(body: bytes) -> Result[Manifest, MalformedMessage]:
    """Return the manifest; a fault in one route refuses the whole manifest."""
    try:
        table = json.loads(body)
        routes = tuple(_route(route) for route in table["routes"])
        services = {}
        for service in table["services"]:
            terms = _service(service)
            services[terms.name] = terms
        return Success(
            Manifest(
                version=int(text(table["version"]), 16),
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
        raise ValueError(f"{table['routeType']!r} is not a kind of route")
    prefix = text(table["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r} does not begin and end with a slash")
    return RoutePolicy(
        name=text(table["name"]),
        host=text(table["hostname"]).lower(),
        prefix=prefix,
        branches=_branches(table),
        execution=execution,
        timeout_s=duration_s(table["timeout"]),
        target_latency_s=duration_s(table["targetLatency"]),
        # The rank of a route: 0 is the most important, although the name suggests the reverse.
        priority=whole_number(table["priority"], 0, 1000),
        # Targets that one attempt of a caller may be sent to, not attempts of the caller.
        max_attempts=whole_number(table["maxAttempts"], 1, 1000),
    )


def _branches(table: dict[str, Any]) -> tuple[Branch, ...]:
    if table.get("trafficSplit") is None:
        return (Branch(text(table["service"]), 1.0),)
    branches = []
    for part in table["trafficSplit"]:
        weight = float(whole_number(part["weight"], 0, 1_000_000))
        branches.append(Branch(text(part["service"]), weight))
    if not branches or sum(branch.weight for branch in branches) <= 0:
        raise ValueError("a split names no service with a weight")
    return tuple(branches)


def _service(table: dict[str, Any]) -> ServiceTerms:
    return ServiceTerms(
        name=text(table["name"]),
        health_path=text(table["healthPath"]),
        max_connections=whole_number(table["maxConnections"], 1, 1_000_000),
    )


def _limits(table: dict[str, Any]) -> ClientLimits:
    return ClientLimits(
        max_header_bytes=whole_number(table["maxHeaderBytes"], 1, 2**31),
        max_body_bytes=whole_number(table["maxBodyBytes"], 0, 2**40),
        header_timeout_s=duration_s(table["headerTimeout"]),
        idle_timeout_s=duration_s(table["idleTimeout"]),
    )
