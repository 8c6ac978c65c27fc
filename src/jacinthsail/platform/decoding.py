"""Decodes the manifest of the operators and the entries that targets publish."""

import json
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
from jacinthsail.internal.model.store import TargetPublished
from jacinthsail.platform import names
from jacinthsail.platform.accounts import decode_accounts
from jacinthsail.platform.values import (
    DECODE_ERRORS,
    bounded_integer,
    duration_s,
    endpoint,
    malformed,
    non_empty_text,
    token,
)

# More slots than any small VM can serve; a larger number is an error in the published entry.
MAX_SLOTS = 100_000

# Start times in milliseconds and numbers of writes are far smaller.
MAX_COUNT = 2**63 - 1

_VERSION = re.compile(r"[0-9a-fA-F]{8}", re.ASCII)

_EXECUTIONS = {
    names.ROUTE_TYPE_IDEMPOTENT: Execution.REPEATABLE,
    names.ROUTE_TYPE_DOWNLOAD: Execution.REPEATABLE,
    names.ROUTE_TYPE_NON_IDEMPOTENT: Execution.AT_MOST_ONCE,
    names.ROUTE_TYPE_UPLOAD: Execution.AT_MOST_ONCE,
}


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
    """Return the manifest; one invalid route invalidates the whole manifest.

    An unknown kind of route and an invalid account do not. They are listed among its faults.
    """
    faults: list[str] = []
    try:
        table = json.loads(body)
        routes = tuple(_route(route, faults) for route in table["routes"])
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
                accounts=decode_accounts(table.get("tenants"), faults),
                faults=tuple(faults),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(malformed(names.MANIFEST_KEY, error))


def _version(value: object) -> int:
    text = non_empty_text(value)
    if not _VERSION.fullmatch(text):
        raise ValueError(f"{text!r} is not a version of eight hexadecimal digits")
    return int(text, 16)


def _route(table: dict[str, Any], faults: list[str]) -> RoutePolicy:
    name = non_empty_text(table["name"])
    execution = _EXECUTIONS.get(non_empty_text(table["routeType"]))
    if execution is None:
        # A later version of the platform may name further types. Running a request twice does more
        # harm than not repeating it.
        execution = Execution.AT_MOST_ONCE
        faults.append(f"route {name} has an unknown type and is treated as at-most-once")
    prefix = non_empty_text(table["prefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix!r} does not begin and end with a slash")
    return RoutePolicy(
        name=name,
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
        # Anything but a plain true keeps the route closed to callers without an account.
        is_public=table.get("public") is True,
        has_large_responses=table["routeType"] == names.ROUTE_TYPE_DOWNLOAD,
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
