"""The operators' document: sections, services and call classes."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Execution(StrEnum):
    """Whether a call of a class may be executed more than once."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"


class SpillOver(StrEnum):
    """How far from the node that received it a call may be routed."""

    NEVER = "never"
    REGION = "region"
    ANYWHERE = "anywhere"


class FixedLimitPolicy(NamedTuple):
    """A constant limit on calls in flight."""

    limit: int


class AimdLimitPolicy(NamedTuple):
    """Additive increase, multiplicative decrease between two bounds."""

    initial: int
    minimum: int
    maximum: int


class GradientLimitPolicy(NamedTuple):
    """A limit that follows the ratio of unloaded to present latency."""

    initial: int
    minimum: int
    maximum: int


LimitPolicy = FixedLimitPolicy | AimdLimitPolicy | GradientLimitPolicy


class ClassPolicy(NamedTuple):
    """How calls of one class are treated; those of a higher ``importance`` are shed later."""

    name: str
    importance: int
    execution: Execution
    deadline_ms: int
    max_retries: int
    spill_over: SpillOver


class ServicePolicy(NamedTuple):
    """How calls to one service are treated."""

    name: str
    slots: int
    connections: int
    queue_length: int
    limit: LimitPolicy
    classes: Mapping[str, ClassPolicy]


class Section(NamedTuple):
    """One team's part of the document, as accepted at one version."""

    name: str
    owner: str
    version: int
    digest: str
    services: Mapping[str, ServicePolicy]
