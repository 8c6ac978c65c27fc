"""Calls and their outcomes."""

from enum import StrEnum
from typing import NamedTuple


class Reason(StrEnum):
    """Why a call was routed, refused, retried or failed."""

    OWN_TARGET = "own-target"
    RELAY = "relay"
    RELAY_ACROSS_REGIONS = "relay-across-regions"
    TARGET_ANSWERED = "target-answered"
    UNKNOWN_CLASS = "unknown-class"
    NOT_READY = "not-ready"
    NO_TARGET = "no-target"
    BELOW_THRESHOLD = "below-threshold"
    BELOW_EVERY_THRESHOLD = "below-every-threshold"
    QUEUE_FULL = "queue-full"
    CHAIN_FULL = "chain-full"
    EVICTED = "evicted"
    DEADLINE_EXPIRED = "deadline-expired"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DRAINING = "draining"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_SILENT = "peer-silent"
    CONNECTION_LOST = "connection-lost"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_REFUSED = "target-refused"
    INCOMPLETE_ANSWER = "incomplete-answer"
    ANSWER_OVERDUE = "answer-overdue"
    RETRIES_SPENT = "retries-spent"
    KEY_REQUIRED = "key-required"
    KEY_MALFORMED = "key-malformed"
    KEY_FROM_FUTURE = "key-from-future"
    KEY_TOO_OLD = "key-too-old"
    KEY_NEW = "key-new"
    KEY_FINISHED = "key-finished"
    KEY_RUNNING = "key-running"
    ANSWER_NOT_KEPT = "answer-not-kept"
    KEY_REUSED = "key-reused"
    KEY_HOME_GONE = "key-home-gone"
    KEY_HOME_ELSEWHERE = "key-home-elsewhere"
    PLACEMENT_UNCONFIRMED = "placement-unconfirmed"
    LINK_BUDGET_SPENT = "link-budget-spent"
    CALLER_GONE = "caller-gone"
    TARGET_MISDIRECTED = "target-misdirected"
    ROUTE_TIMEOUT = "route-timeout"
    MALFORMED_REQUEST = "malformed-request"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    SLOW_CALLER = "slow-caller"
    INTERNAL_ERROR = "internal-error"
    ACCOUNT_KEY_MISSING = "account-key-missing"
    ACCOUNT_KEY_UNKNOWN = "account-key-unknown"
    KEYS_NOT_PROVEN = "keys-not-proven"
    ACCOUNT_OVER_CAP = "account-over-cap"
    MEMORY_USED_UP = "memory-used-up"
    CAP_NOT_KNOWN = "cap-not-known"


class CallContext(NamedTuple):
    """The metadata that accompanies a call through every hop.

    A higher ``rank`` is more important, and ``depth`` counts the calls above this one in its chain.
    ``deadline`` is in seconds on the monotonic clock of the node that holds the value. Messages
    between processes carry the remaining time instead, so that clocks need not agree.
    """

    request_id: str
    service: str
    call_class: str
    caller: str
    rank: int
    depth: int
    deadline: float
    retries_left: int
    idempotency_key: str = ""


class Call(NamedTuple):
    """One call to one service."""

    context: CallContext
    content_type: str
    body: bytes


class Answered(NamedTuple):
    """The target executed the call and this is its complete response."""

    status: int
    content_type: str
    body: bytes
    retries_left: int


class NotRun(NamedTuple):
    """The call was not executed: no byte of it can have reached the target."""

    reason: Reason
    retries_left: int
    retry_after_s: float = 0.0


class Unknown(NamedTuple):
    """The outcome is indeterminate: the call may have been executed."""

    reason: Reason
    retries_left: int


Outcome = Answered | NotRun | Unknown


class KeyedOutcome(NamedTuple):
    """The outcome of a call for its caller, and the idempotency key for a retry, if any."""

    outcome: Outcome
    key: str
