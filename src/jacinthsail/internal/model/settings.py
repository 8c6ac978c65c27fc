"""Settings of one node, read from its TOML file."""

from enum import StrEnum
from typing import NamedTuple


class Mechanism(StrEnum):
    """Mechanisms that scenarios can disable to show which failure each of them prevents."""

    RETRY_BUDGET = "retry-budget"
    IMPORTANCE = "importance"
    ADAPTIVE_LIMIT = "adaptive-limit"
    DEADLINE_DROP = "deadline-drop"
    WHOLE_ANSWERS = "whole-answers"
    NOT_RUN_PROOF = "not-run-proof"
    AT_MOST_ONCE = "at-most-once"
    LEAVING = "leaving"
    GRACEFUL_STOP = "graceful-stop"
    SILENCE_DETECTION = "silence-detection"
    PAUSE_DETECTION = "pause-detection"
    VERSION_ORDER = "version-order"
    LAST_GOOD_SECTION = "last-good-section"
    PEER_LEARNING = "peer-learning"


class Endpoint(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


class NodeSettings(NamedTuple):
    """The startup settings of a node that serves calls by service and call class.

    ``seeds`` are relay ports of peers, which are contacted only while no VM list is known.
    """

    vm: str
    failure_domain: str
    region: str
    service: str
    callers: Endpoint
    relay: Endpoint
    operators: Endpoint
    target: Endpoint
    platform: Endpoint
    cross_region_bytes_per_s: int
    ledger_entries: int
    log_buffer_lines: int
    disabled: frozenset[Mechanism]
    seeds: tuple[Endpoint, ...] = ()
