"""Where a call goes next."""

from typing import NamedTuple

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.membership import VmEntry


class ToOwnTarget(NamedTuple):
    """The call is for the target on this VM."""


class ToPeer(NamedTuple):
    """The call is relayed to the node of another VM."""

    entry: VmEntry
    crosses_region: bool


class Refused(NamedTuple):
    """The call has nowhere to go and was not run."""

    reason: Reason


class Unsettled(NamedTuple):
    """No node can tell whether an earlier call with the same key ran."""

    reason: Reason


Route = ToOwnTarget | ToPeer | Refused | Unsettled


class RetryDecision(NamedTuple):
    """Whether a call is sent once more, after ``delay_s``, and why or why not."""

    again: bool
    delay_s: float
    reason: Reason
