"""Messages between nodes, free of any encoding."""

from typing import NamedTuple

from jacinthsail.internal.model.calls import Call, Outcome
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.replication import Item, ItemVersion
from jacinthsail.internal.model.request_state import Forward, ForwardOutcome


class Hello(NamedTuple):
    """First message on a connection, in both directions."""

    vm: str
    incarnation: str
    failure_domain: str
    service: str


class Heartbeat(NamedTuple):
    """Sign of life with what peers need for routing and replication.

    ``store_digest`` covers the versions of all items in force and ``as_of_ms`` is the platform's
    time at which they were known to be the newest.
    """

    store_digest: int
    as_of_ms: int
    threshold: int
    draining: bool


class Offer(NamedTuple):
    """The versions that the sender holds; ``complete`` when it lists all of them.

    ``is_answer`` marks the reply to a complete offer: what the sender of that offer lacks, possibly
    nothing.
    """

    versions: tuple[ItemVersion, ...]
    complete: bool
    is_answer: bool = False


class Ask(NamedTuple):
    """Request for the named items."""

    names: tuple[str, ...]


class ItemCopy(NamedTuple):
    """A copy of one published item."""

    item: Item


class CallRequest(NamedTuple):
    """A relayed call; ``remaining_s`` replaces the deadline, which is local to each clock."""

    call_id: int
    call: Call
    remaining_s: float


class CallReply(NamedTuple):
    """The outcome of a relayed call, with the sender's admission threshold."""

    call_id: int
    outcome: Outcome
    threshold: int


class Cancel(NamedTuple):
    """The caller no longer waits for this call."""

    call_id: int


class Goodbye(NamedTuple):
    """The sender takes no new calls and closes after the last reply."""


class ForwardRequest(NamedTuple):
    """An HTTP request for the target beside the receiving node."""

    forward_id: int
    forward: Forward


class ForwardReply(NamedTuple):
    """The outcome of a forwarded request, with the load at the target."""

    forward_id: int
    outcome: ForwardOutcome
    load: LoadReport


class Ping(NamedTuple):
    """Asks for a sign of life."""


class Pong(NamedTuple):
    """A sign of life, with the load at the target."""

    load: LoadReport


Message = (
    Hello
    | Heartbeat
    | Offer
    | Ask
    | ItemCopy
    | CallRequest
    | CallReply
    | Cancel
    | Goodbye
    | ForwardRequest
    | ForwardReply
    | Ping
    | Pong
)
