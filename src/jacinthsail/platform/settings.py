"""Reads the settings file that the platform writes for each process."""

import tomllib
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, MalformedToml
from jacinthsail.internal.model.fleet import NodeLocation
from jacinthsail.internal.model.fleet_settings import (
    CapSettings,
    FleetSettings,
    RetryBudgetSettings,
)
from jacinthsail.internal.model.held_memory import MemoryLimits
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.platform.values import (
    DECODE_ERRORS,
    duration_s,
    endpoint,
    finite_number,
    malformed,
    non_empty_text,
)

# deploy/system.toml declares this port for the metrics of a node.
METRICS_PORT = 9464

LOG_BUFFER_LINES = 2000

# Used where the platform states no limits; the smallest VMs have these.
DEFAULT_MEMORY_MB = 200
DEFAULT_DESCRIPTORS = 4100
FILE_DESCRIPTORS = 200
BYTES_PER_MB = 1024 * 1024

# Used where the platform sets no bound across nodes; without overage, nodes rely on homes alone.
DEFAULT_CAP_WINDOW_S = 5.0


class PlatformSettings(NamedTuple):
    """The settings of a node, and the region of each failure domain."""

    node: FleetSettings
    regions: Mapping[str, str]


def decode_settings(body: str, source: str) -> Result[PlatformSettings, ConfigurationError]:
    """Return the settings from the text of a file; unknown keys are ignored."""
    try:
        table = tomllib.loads(body)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return Failure(MalformedToml(source, str(error)))
    try:
        return Success(PlatformSettings(_node_settings(table), _regions(table)))
    except DECODE_ERRORS as error:
        return Failure(malformed(source, error))


def _regions(table: dict[str, Any]) -> Mapping[str, str]:
    return {non_empty_text(zone): non_empty_text(region) for zone, region in table["zones"].items()}


def _node_settings(table: dict[str, Any]) -> FleetSettings:
    listen = table["listenAddrs"]
    target = endpoint(table["appAddr"])
    host = non_empty_text(table["ip"])
    bounds = table["bounds"]
    return FleetSettings(
        location=NodeLocation(
            name=non_empty_text(table["nodeName"]),
            host=target.host,
            failure_domain=non_empty_text(table["zone"]),
            region=non_empty_text(table["region"]),
            service=non_empty_text(table["service"]),
            target_port=target.port,
        ),
        # Clients and the local target send their requests to the address called outbound, peers
        # to the one called inbound.
        callers=endpoint(listen["outbound"]),
        peers=endpoint(listen["inbound"]),
        readiness=endpoint(listen["ready"]),
        target=target,
        store=endpoint(table["platform"]["address"]),
        metrics=Endpoint(host, METRICS_PORT),
        budget=RetryBudgetSettings(
            # Retries per first attempt in a window.
            ratio=finite_number(bounds["retryBudgetRatio"]),
            window_s=duration_s(bounds["budgetWindow"]),
            # Retries that a window allows in addition to the ratio.
            extra=finite_number(bounds["budgetExtra"]),
        ),
        # The time between the stop signal and the end of the process.
        grace_s=duration_s(bounds["grace"]),
        # The interval at which targets write their entries.
        heartbeat_s=duration_s(table["heartbeat"]),
        log_buffer_lines=LOG_BUFFER_LINES,
        revocation_s=_revocation_s(bounds),
        caps=_caps(bounds),
        memory=_memory(table.get("limits", {})),
        # Not a field of the platform: a template of the settings file may add it. Off by default,
        # since a whole service that starts at once under overload was served worse with it.
        paces_target=table.get("pacesTarget") is True,
    )


def _memory(limits: dict[str, Any]) -> MemoryLimits:
    """Return the limits of the process; the platform reserves some descriptors for files."""
    memory_mb = limits.get("memoryMb") or DEFAULT_MEMORY_MB
    max_descriptors = limits.get("maxFds") or DEFAULT_DESCRIPTORS
    return MemoryLimits(
        memory_bytes=int(finite_number(memory_mb) * BYTES_PER_MB),
        max_sockets=max(1, int(finite_number(max_descriptors)) - FILE_DESCRIPTORS),
    )


def _revocation_s(bounds: dict[str, Any]) -> float | None:
    """Return the time within which a withdrawn key must be refused everywhere, if there is one."""
    if bounds.get("strictRevoke") is not True:
        return None
    return duration_s(bounds["revoke"])


def _caps(bounds: dict[str, Any]) -> CapSettings:
    if "quotaWindow" not in bounds:
        return CapSettings(DEFAULT_CAP_WINDOW_S, 0.0, 0.0)
    return CapSettings(
        window_s=duration_s(bounds["quotaWindow"]),
        overage=finite_number(bounds["quotaOverage"]),
        slack=finite_number(bounds["quotaSlack"]),
    )
