"""One line of the decision log."""

from enum import StrEnum
from typing import NamedTuple

from jacinthsail.internal.model.calls import Reason


class DecisionKind(StrEnum):
    """What was decided."""

    ROUTE = "route"
    ADMISSION = "admission"
    RETRY = "retry"
    PLACEMENT = "placement"
    OUTCOME = "outcome"


class DecisionLine(NamedTuple):
    """One decision as it is logged; ``now`` is in monotonic seconds."""

    decision: DecisionKind
    request_id: str
    service: str
    call_class: str
    rank: int
    chosen: str
    reason: Reason
    now: float
