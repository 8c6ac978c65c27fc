"""One line of the decision log."""

from enum import StrEnum
from typing import NamedTuple

from jacinthsail.internal.model.calls import Reason


class DecisionKind(StrEnum):
    """The kind of a logged decision."""

    ROUTE = "route"
    ADMISSION = "admission"
    RETRY = "retry"
    PLACEMENT = "placement"
    OUTCOME = "outcome"


class DecisionLine(NamedTuple):
    """One decision in the form in which it is logged; ``now`` is in monotonic seconds."""

    decision: DecisionKind
    request_id: str
    service: str
    call_class: str
    rank: int
    chosen: str
    reason: Reason
    now: float
