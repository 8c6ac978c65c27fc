"""Limits that follow from refusals of nested calls by services deeper in the chain."""

from typing import NamedTuple


class NestedKey(NamedTuple):
    """Calls of one class and importance, which services deeper in the chain treat alike."""

    service: str
    call_class: str
    importance: int


class NestedLimit(NamedTuple):
    """Limit on the calls in flight of one key, above which their nested calls are refused.

    ``passed`` counts the calls that arrived after ``changed_at``, when the limit was last lowered,
    and had no nested call refused. ``refused_at`` is the time of the last refusal. ``growth`` is
    the amount that the next round of calls adds to the limit.
    """

    limit: float
    in_flight: int
    passed: int
    changed_at: float
    refused_at: float
    growth: float
