"""Parses the settings file of a node."""

from typing import Any

from jsonschema import Draft202012Validator
from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, Conflict
from jacinthsail.internal.model.settings import Endpoint, Mechanism, NodeSettings
from jacinthsail.internal.queries.documents import NAME_PATTERN
from jacinthsail.internal.queries.schema import parse_toml, schema_errors

DEFAULT_CROSS_REGION_BYTES_PER_S = 1_000_000
DEFAULT_LEDGER_ENTRIES = 50_000
DEFAULT_LOG_BUFFER_LINES = 10_000

_LOCAL_ENDPOINTS = ("callers", "relay", "operators", "target")

_NAME = {"type": "string", "minLength": 1, "pattern": NAME_PATTERN}
_ENDPOINT = {
    "type": "object",
    "properties": {
        "host": {"type": "string", "anyOf": [{"format": "ipv4"}, {"format": "ipv6"}]},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    },
    "required": ["host", "port"],
    "additionalProperties": False,
}
_SCHEMA = {
    "type": "object",
    "properties": {
        "node": {
            "type": "object",
            "properties": {
                "vm": _NAME,
                "failure_domain": _NAME,
                "region": _NAME,
                "service": _NAME,
            },
            "required": ["vm", "failure_domain", "region", "service"],
            "additionalProperties": False,
        },
        "callers": _ENDPOINT,
        "relay": _ENDPOINT,
        "operators": _ENDPOINT,
        "target": _ENDPOINT,
        "platform": _ENDPOINT,
        "seeds": {"type": "array", "items": _ENDPOINT},
        "limits": {
            "type": "object",
            "properties": {
                "cross_region_bytes_per_s": {"type": "integer", "minimum": 0},
                "ledger_entries": {"type": "integer", "minimum": 1},
                "log_buffer_lines": {"type": "integer", "minimum": 100},
            },
            "additionalProperties": False,
        },
        "testing": {
            "type": "object",
            "properties": {
                "disabled": {
                    "type": "array",
                    "items": {"enum": [mechanism.value for mechanism in Mechanism]},
                }
            },
            "additionalProperties": False,
        },
    },
    "required": ["node", "callers", "relay", "operators", "target", "platform"],
    "additionalProperties": False,
}
_VALIDATOR = Draft202012Validator(_SCHEMA, format_checker=Draft202012Validator.FORMAT_CHECKER)


def parse_settings(text: str, source: str) -> Result[NodeSettings, tuple[ConfigurationError, ...]]:
    """Return the settings in a TOML text, or every error found in it."""
    parsed = parse_toml(text, source)
    match parsed:
        case Success(table):
            errors = schema_errors(_VALIDATOR, table, source) or _conflicts(table, source)
            if errors:
                return Failure(errors)
            return Success(_settings_of(table))
        case Failure(error):
            return Failure((error,))
    raise AssertionError("a result is a success or a failure")


def _conflicts(table: dict[str, Any], source: str) -> tuple[ConfigurationError, ...]:
    """Return an error for every port of this VM that is used more than once."""
    errors = []
    owners: dict[Endpoint, str] = {}
    for name in _LOCAL_ENDPOINTS:
        endpoint = _endpoint(table[name])
        earlier = owners.setdefault(endpoint, name)
        if earlier == name:
            continue
        detail = f"{endpoint.host}:{endpoint.port} is used by {earlier} too"
        errors.append(Conflict(source, f"{name}.port", detail, "choose a port of its own"))
    return tuple(errors)


def _settings_of(table: dict[str, Any]) -> NodeSettings:
    node = table["node"]
    limits = table.get("limits", {})
    disabled = table.get("testing", {}).get("disabled", [])
    return NodeSettings(
        vm=node["vm"],
        failure_domain=node["failure_domain"],
        region=node["region"],
        service=node["service"],
        callers=_endpoint(table["callers"]),
        relay=_endpoint(table["relay"]),
        operators=_endpoint(table["operators"]),
        target=_endpoint(table["target"]),
        platform=_endpoint(table["platform"]),
        seeds=tuple(_endpoint(seed) for seed in table.get("seeds", [])),
        cross_region_bytes_per_s=limits.get(
            "cross_region_bytes_per_s", DEFAULT_CROSS_REGION_BYTES_PER_S
        ),
        ledger_entries=limits.get("ledger_entries", DEFAULT_LEDGER_ENTRIES),
        log_buffer_lines=limits.get("log_buffer_lines", DEFAULT_LOG_BUFFER_LINES),
        disabled=frozenset(Mechanism(name) for name in disabled),
    )


def _endpoint(table: dict[str, Any]) -> Endpoint:
    return Endpoint(table["host"], table["port"])
