"""Reads the settings file that the platform writes for each process."""

import tomllib
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, MalformedMessage, MalformedToml
from jacinthsail.internal.model.fleet import NodePlace
from jacinthsail.internal.model.fleet_settings import BudgetTerms, FleetSettings
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.platform.decoding import DECODE_ERRORS, duration_s, endpoint, text

# The port that deploy/system.toml names for the metrics of a node.
METRICS_PORT = 9464

LOG_BUFFER_LINES = 2000


class PlatformSettings(NamedTuple):
    """The settings of a node, and the regions of the failure domains."""

    node: FleetSettings
    regions: Mapping[str, str]


def decode_settings(body: str, source: str) -> Result[PlatformSettings, ConfigurationError]:
    """Return the settings in a file; keys that nothing reads are passed over."""
    try:
        table = tomllib.loads(body)
    except tomllib.TOMLDecodeError as error:
        return Failure(MalformedToml(source, str(error)))
    try:
        return Success(PlatformSettings(_node(table), _regions(table)))
    except DECODE_ERRORS as error:
        return Failure(MalformedMessage(source, f"{type(error).__name__}: {error}"))


def _regions(table: dict[str, Any]) -> Mapping[str, str]:
    return {text(zone): text(region) for zone, region in table["zones"].items()}


def _node(table: dict[str, Any]) -> FleetSettings:
    listen = table["listenAddrs"]
    target = endpoint(table["appAddr"])
    host = text(table["ip"])
    bounds = table["bounds"]
    return FleetSettings(
        place=NodePlace(
            name=text(table["nodeName"]),
            host=target.host,
            failure_domain=text(table["zone"]),
            region=text(table["region"]),
            service=text(table["service"]),
            target_port=target.port,
        ),
        # Clients and the target beside this node send requests to the address called outbound.
        callers=endpoint(listen["outbound"]),
        peers=endpoint(listen["inbound"]),
        readiness=endpoint(listen["ready"]),
        target=target,
        store=endpoint(table["platform"]["address"]),
        metrics=Endpoint(host, METRICS_PORT),
        budget=BudgetTerms(
            ratio=float(bounds["retryBudgetRatio"]),
            window_s=duration_s(bounds["budgetWindow"]),
            extra=float(bounds["budgetExtra"]),
        ),
        grace_s=duration_s(bounds["grace"]),
        log_buffer_lines=LOG_BUFFER_LINES,
    )
