"""Decodes the manifest of the operators and the entries that targets publish."""

import ipaddress
import json
import math
import re
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.fleet import EntryVersion, TargetEntry
from jacinthsail.internal.model.manifest import (
    Branch,
    ClientLimits,
    Manifest,
    RoutePolicy,
    ServiceSettings,
)
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.internal.model.store import TargetPublished
from jacinthsail.platform import names

# More slots than any small VM can serve; a larger number is an error in the published entry.
MAX_SLOTS = 100_000

# Start times in milliseconds and numbers of writes are far smaller.
MAX_COUNT = 2**63 - 1

MAX_PORT = 65_535

# Longer names are no names of the platform; the limit also bounds log lines.
MAX_TEXT_LENGTH = 200

# Longer times have no use in an overload control layer and overflow timers.
MAX_DURATION_S = 7 * 24 * 3600.0

# Part of the description of a malformed value that is logged.
MAX_DETAIL_LENGTH = 200

_VERSION = re.compile(r"[0-9a-fA-F]{8}", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
# Printable ASCII without spaces, which is safe in a header of a request.
_TOKEN = re.compile(r"[\x21-\x7e]+", re.ASCII)

# Raised by the functions below for a value of the wrong type or format.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_UNITS_S = (("ms", 0.001), ("s", 1.0))

_EXECUTIONS = {
    names.ROUTE_TYPE_IDEMPOTENT: Execution.REPEATABLE,
    names.ROUTE_TYPE_NON_IDEMPOTENT: Execution.AT_MOST_ONCE,
}


def malformed(source: str, error: Exception) -> MalformedMessage:
    """Return the failure for an exception, with a detail that is short enough for a log line."""
    detail = f"{type(error).__name__}: {error}"
    return MalformedMessage(source[:MAX_DETAIL_LENGTH], detail[:MAX_DETAIL_LENGTH])


def duration_s(value: object) -> float:
    """Return a duration in the platform's notation, converted to seconds.

    >>> duration_s("1500ms")
    1.5
    """
    if not isinstance(value, str):
        raise TypeError("not a duration with a unit, such as 1500ms")
    for unit, factor in _UNITS_S:
        number = value.removesuffix(unit)
        if number == value or not _NUMBER.fullmatch(number):
            continue
        seconds = float(number) * factor
        if seconds > MAX_DURATION_S:
            raise ValueError(f"{value!r} is longer than {MAX_DURATION_S:.0f} s")
        return seconds
    raise ValueError(f"{value[:40]!r} is not a duration with a unit, such as 1500ms")


def endpoint(value: object) -> Endpoint:
    """Return the endpoint for an address of the form host:port, where host is an IPv4 address.

    A host name is rejected because looking it up would block.
    """
    host, _, port = token(value).rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{port!r} is not a port from 1 to {MAX_PORT}")
    return Endpoint(host, int(port))


def non_empty_text(value: object) -> str:
    """Return the value if it is a non-empty string that can be encoded and is not too long."""
    if not isinstance(value, str) or not value:
        raise TypeError("not a non-empty string")
    if len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"longer than {MAX_TEXT_LENGTH} characters")
    value.encode()
    return value


def token(value: object) -> str:
    """Return the value if it is a string that can be sent as the value of a header."""
    text = non_empty_text(value)
    if not _TOKEN.fullmatch(text):
        raise ValueError(f"{text!r} contains spaces or characters other than printable ASCII")
    return text


def finite_number(value: object) -> float:
    """Return the value as a float if it is a finite number that is not negative."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError("not a number")
    number = float(value)
    if not math.isfinite(number) or number < 0.0:
        raise ValueError(f"{number} is not a finite number from 0")
    return number


def bounded_integer(value: object, minimum: int, maximum: int) -> int:
    """Return the value if it is an integer within the bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError("not an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"not an integer from {minimum} to {maximum}")
    return value


def decode_target(
    incarnation: str, body: bytes, regions: Mapping[str, str]
) -> Result[TargetPublished, MalformedMessage]:
    """Return the entry of a target and its version.

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
        born = table.get("born")
        version = EntryVersion(
            started_at_ms=None if born is None else bounded_integer(born, 0, MAX_COUNT),
            sequence=bounded_integer(table["sequence"], 0, MAX_COUNT),
        )
        return Success(
            TargetPublished(
                TargetEntry(
                    # The incarnation is sent as a header of each request to the target.
                    incarnation=token(incarnation),
                    service=non_empty_text(table["service"]),
                    host=address.host,
                    port=address.port,
                    failure_domain=failure_domain,
                    region=regions.get(failure_domain, failure_domain),
                    # The maximum number of requests that the target executes at a time.
                    slots=bounded_integer(table["concurrency"], 1, MAX_SLOTS),
                    is_draining=state == names.TARGET_STATE_DRAINING,
                    warm_up_s=warm_up_s,
                ),
                version,
            )
        )
    except DECODE_ERRORS as error:
        return Failure(malformed(incarnation, error))


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
                version=_version(table["version"]),
                routes=routes,
                services=services,
                limits=_limits(table["limits"]),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(malformed(names.MANIFEST_KEY, error))


def _version(value: object) -> int:
    text = non_empty_text(value)
    if not _VERSION.fullmatch(text):
        raise ValueError(f"{text!r} is not a version of eight hexadecimal digits")
    return int(text, 16)


def _route(table: dict[str, Any]) -> RoutePolicy:
    execution = _EXECUTIONS.get(table["routeType"])
    if execution is None:
        raise ValueError("routeType is not a route type")
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
