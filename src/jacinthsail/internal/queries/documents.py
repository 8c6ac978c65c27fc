"""Parses sections of the operators' document."""

from typing import Any

import xxhash
from jsonschema import Draft202012Validator
from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, Conflict
from jacinthsail.internal.model.document import (
    AimdLimitPolicy,
    ClassPolicy,
    Execution,
    FixedLimitPolicy,
    GradientLimitPolicy,
    LimitPolicy,
    Section,
    ServicePolicy,
    SpillOver,
)
from jacinthsail.internal.queries.rank import MAX_IMPORTANCE
from jacinthsail.internal.queries.schema import parse_toml, schema_errors

DEFAULT_MAX_RETRIES = 2

# Names appear in URL paths and in log lines.
NAME_PATTERN = "^[A-Za-z0-9][A-Za-z0-9._-]*$"

# No caller waits longer than this, and a larger value is usually a mistake in the unit.
MAX_DEADLINE_MS = 600_000

_NAMES = {"pattern": NAME_PATTERN}
_POSITIVE = {"type": "integer", "minimum": 1}
_CLASS = {
    "type": "object",
    "properties": {
        "importance": {"type": "integer", "minimum": 0, "maximum": MAX_IMPORTANCE},
        "execution": {"enum": [execution.value for execution in Execution]},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": MAX_DEADLINE_MS},
        "max_retries": {"type": "integer", "minimum": 0, "maximum": 10},
        "spill_over": {"enum": [spill_over.value for spill_over in SpillOver]},
    },
    "required": ["importance", "execution", "deadline_ms"],
    "additionalProperties": False,
}
_SERVICE = {
    "type": "object",
    "properties": {
        "slots": _POSITIVE,
        "connections": _POSITIVE,
        "queue_length": {"type": "integer", "minimum": 0},
        "limiter": {"enum": ["fixed", "aimd", "gradient"]},
        "classes": {
            "type": "object",
            "propertyNames": _NAMES,
            "additionalProperties": _CLASS,
            "minProperties": 1,
        },
    },
    "required": ["slots", "connections", "classes"],
    "additionalProperties": False,
}
_SCHEMA = {
    "type": "object",
    "properties": {
        "owner": {"type": "string", "minLength": 1},
        "services": {
            "type": "object",
            "propertyNames": _NAMES,
            "additionalProperties": _SERVICE,
        },
    },
    "required": ["owner", "services"],
    "additionalProperties": False,
}
_VALIDATOR = Draft202012Validator(_SCHEMA)


def content_digest(body: bytes) -> str:
    """Return the digest that identifies the content of an item."""
    return xxhash.xxh3_128_hexdigest(body)


def parse_section(
    name: str, version: int, body: bytes
) -> Result[Section, tuple[ConfigurationError, ...]]:
    """Return the section in a TOML text, or every error found in it."""
    parsed = parse_toml(body.decode("utf-8", "replace"), name)
    match parsed:
        case Success(table):
            errors = schema_errors(_VALIDATOR, table, name) or _conflicts(table, name)
            if errors:
                return Failure(errors)
            return Success(_build_section(table, name, version, content_digest(body)))
        case Failure(error):
            return Failure((error,))
    raise AssertionError("a result is a success or a failure")


def _conflicts(table: dict[str, Any], source: str) -> tuple[ConfigurationError, ...]:
    """Return the conflicts between values that are each valid."""
    errors = []
    for service, entry in table["services"].items():
        key = f"services.{service}.slots"
        if entry["slots"] > entry["connections"]:
            detail = f"{entry['slots']} slots need more than {entry['connections']} connections"
            remedy = "lower slots or raise connections"
            errors.append(Conflict(source, key, detail, remedy))
    return tuple(errors)


def _build_section(table: dict[str, Any], name: str, version: int, digest: str) -> Section:
    services = {}
    for service, entry in table["services"].items():
        services[service] = _build_service(service, entry)
    return Section(name, table["owner"], version, digest, services)


def _build_service(name: str, table: dict[str, Any]) -> ServicePolicy:
    slots = table["slots"]
    classes = {}
    for class_name, entry in table["classes"].items():
        classes[class_name] = _build_class(class_name, entry)
    return ServicePolicy(
        name=name,
        slots=slots,
        connections=table["connections"],
        queue_length=table.get("queue_length", 4 * slots),
        limit=_build_limit(table.get("limiter", "gradient"), slots),
        classes=classes,
    )


def _build_class(name: str, table: dict[str, Any]) -> ClassPolicy:
    return ClassPolicy(
        name=name,
        importance=table["importance"],
        execution=Execution(table["execution"]),
        deadline_ms=table["deadline_ms"],
        max_retries=table.get("max_retries", DEFAULT_MAX_RETRIES),
        spill_over=SpillOver(table.get("spill_over", SpillOver.REGION.value)),
    )


def _build_limit(kind: str, slots: int) -> LimitPolicy:
    initial = max(1, slots // 4)
    match kind:
        case "fixed":
            return FixedLimitPolicy(slots)
        case "aimd":
            return AimdLimitPolicy(initial, 1, slots)
        case _:
            return GradientLimitPolicy(initial, 1, slots)
