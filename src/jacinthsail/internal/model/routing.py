"""Results of the routing and retry decisions for a call."""

from typing import NamedTuple

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.membership import VmEntry


class RouteToLocalTarget(NamedTuple):
    """The call is sent to the target on this VM."""


class RouteToPeer(NamedTuple):
    """The call is relayed to the node of another VM."""

    entry: VmEntry
    crosses_region: bool


class RouteRefused(NamedTuple):
    """The call has no route and was not executed."""

    reason: Reason


class RouteIndeterminate(NamedTuple):
    """No node knows whether an earlier call with the same key was executed."""

    reason: Reason


Route = RouteToLocalTarget | RouteToPeer | RouteRefused | RouteIndeterminate


class RetryDecision(NamedTuple):
    """Whether a call is retried, after which delay, and why."""

    should_retry: bool
    delay_s: float
    reason: Reason
