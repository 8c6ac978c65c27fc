"""Validates a TOML table against a JSON schema and reports each violation as a typed error."""

import tomllib
from collections.abc import Mapping
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from returns.result import Failure, Result, Success

from jacinthsail.errors import (
    ConfigurationError,
    Conflict,
    MalformedToml,
    MissingKey,
    OutOfRange,
    UnknownChoice,
    UnknownKey,
    WrongType,
)

_TYPE_NAMES = {
    "integer": "a whole number",
    "string": "a text in quotes",
    "object": "a table",
    "array": "a list in brackets",
    "boolean": "true or false",
}


def parse_toml(text: str, source: str) -> Result[dict[str, Any], MalformedToml]:
    """Return the table in a TOML text."""
    try:
        return Success(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return Failure(MalformedToml(source, str(error)))


def schema_errors(
    validator: Draft202012Validator, table: Mapping[str, Any], source: str
) -> tuple[ConfigurationError, ...]:
    """Return an error for every violation of the schema, in the order of the keys."""
    errors: list[ConfigurationError] = []
    violations = sorted(
        validator.iter_errors(table), key=lambda violation: list(map(str, violation.path))
    )
    for violation in violations:
        errors.extend(_typed_errors(violation, source))
    return tuple(errors)


def _typed_errors(violation: ValidationError, source: str) -> list[ConfigurationError]:
    path = [str(part) for part in violation.absolute_path]
    key = ".".join(path)
    instance: Any = violation.instance
    found = repr(instance)
    rule: Any = violation.validator_value
    schema: Any = violation.schema
    match violation.validator:
        case "required":
            return [
                MissingKey(source, ".".join([*path, name])) for name in rule if name not in instance
            ]
        case "additionalProperties":
            known = schema.get("properties", {})
            return [
                UnknownKey(source, ".".join([*path, name]))
                for name in instance
                if name not in known
            ]
        case "enum":
            choices = tuple(str(choice) for choice in rule)
            return [UnknownChoice(source, key, str(instance), choices)]
        case "minimum":
            return [OutOfRange(source, key, found, f"of {rule} or more")]
        case "maximum":
            return [OutOfRange(source, key, found, f"of {rule} or less")]
        case "type":
            return [WrongType(source, key, _TYPE_NAMES.get(rule, rule), found)]
        case "pattern":
            detail = f"{instance!r} is not a usable name"
            remedy = "use letters, digits, dots, hyphens and underscores only"
            return [Conflict(source, key, detail, remedy)]
        case "minLength" | "minProperties":
            return [Conflict(source, key, "it is empty", "give it a value")]
        case "anyOf" | "format":
            return [WrongType(source, key, "an IP address, not a host name,", found)]
        case _:
            return [WrongType(source, key, f"a value that fits: {violation.message}", found)]
