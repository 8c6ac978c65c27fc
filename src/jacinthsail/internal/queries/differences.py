"""Compares two versions of a section."""

from functools import singledispatch
from typing import Any

from jacinthsail.internal.model.document import (
    AimdLimitPolicy,
    FixedLimitPolicy,
    GradientLimitPolicy,
    Section,
    ServicePolicy,
)
from jacinthsail.internal.model.reports import Difference, Report

ABSENT = "absent"


def section_differences(old: Section, new: Section) -> tuple[Difference, ...]:
    """Return every value that differs between two versions of a section, sorted by key."""
    old_values = _values_of(old)
    new_values = _values_of(new)
    differences = []
    for key in sorted(old_values.keys() | new_values.keys()):
        before = old_values.get(key, ABSENT)
        after = new_values.get(key, ABSENT)
        if before == after:
            continue
        differences.append(Difference(key, before, after))
    return tuple(differences)


def difference_report(differences: tuple[Difference, ...]) -> Report:
    """Return the report on the differences between two versions, one line for each value."""
    lines = [f"{found.key}: {found.old} -> {found.new}" for found in differences]
    lines.append(f"{len(differences)} values change")
    return Report(tuple(lines), [found._asdict() for found in differences], 0)


def _values_of(section: Section) -> dict[str, str]:
    values = {"owner": section.owner}
    for service in section.services.values():
        prefix = f"services.{service.name}"
        values[f"{prefix}.slots"] = str(service.slots)
        values[f"{prefix}.connections"] = str(service.connections)
        values[f"{prefix}.queue_length"] = str(service.queue_length)
        values[f"{prefix}.limiter"] = limit_text(service.limit)
        values.update(_class_values(prefix, service))
    return values


def _class_values(prefix: str, service: ServicePolicy) -> dict[str, str]:
    values = {}
    for name, policy in service.classes.items():
        fields: dict[str, Any] = policy._asdict()
        del fields["name"]
        for field, value in fields.items():
            values[f"{prefix}.classes.{name}.{field}"] = str(value)
    return values


@singledispatch
def limit_text(policy: object) -> str:
    """Return a limit policy in words for operators."""
    raise NotImplementedError(f"no text for {type(policy).__name__}; register one")


@limit_text.register
def _(policy: FixedLimitPolicy) -> str:
    return f"fixed at {policy.limit}"


@limit_text.register
def _(policy: AimdLimitPolicy) -> str:
    return f"aimd from {policy.initial} up to {policy.maximum}"


@limit_text.register
def _(policy: GradientLimitPolicy) -> str:
    return f"gradient from {policy.initial} up to {policy.maximum}"
