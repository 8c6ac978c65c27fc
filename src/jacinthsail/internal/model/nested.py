"""What a node knows of the refusals that calls of its own target met deeper in the chain."""

from typing import NamedTuple


class NestedKey(NamedTuple):
    """Calls of one class and importance, which the services behind treat alike."""

    service: str
    call_class: str
    importance: int


class NestedLimit(NamedTuple):
    """How many calls may be in flight whose nested calls are refused beyond that number.

    ``passed`` counts calls that arrived after ``changed_at``, when the limit was last lowered, and
    met no refusal. ``refused_at`` is the time of the last refusal. ``growth`` is what the next
    round of calls adds to the limit.
    """

    limit: float
    in_flight: int
    passed: int
    changed_at: float
    refused_at: float
    growth: float
