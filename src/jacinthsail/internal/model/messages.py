"""Messages between nodes, free of any encoding."""

from typing import NamedTuple

from jacinthsail.internal.model.calls import Call, Outcome
from jacinthsail.internal.model.caps import GrantStatus
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.replication import Item, ItemVersion
from jacinthsail.internal.model.request_state import ForwardedOutcome, ForwardedRequest
from jacinthsail.internal.model.store import StoreUpdate


class Hello(NamedTuple):
    """First message on a connection, in both directions."""

    vm: str
    incarnation: str
    failure_domain: str
    service: str


class Heartbeat(NamedTuple):
    """Periodic message with the state that peers need for routing and replication.

    ``store_digest`` covers all versions in force or rejected, and ``as_of_ms`` is the platform's
    time at which they were known to be the newest.
    """

    store_digest: int
    as_of_ms: int
    threshold: int
    draining: bool


class VersionOffer(NamedTuple):
    """The versions that the sender holds; ``complete`` is true if it lists all of them.

    ``is_reply`` marks the reply to a complete offer. It lists the versions that the sender of that
    offer lacks, possibly none.
    """

    versions: tuple[ItemVersion, ...]
    complete: bool
    is_reply: bool = False


class ItemRequest(NamedTuple):
    """Request for the named items."""

    names: tuple[str, ...]


class ItemCopy(NamedTuple):
    """A copy of one published item."""

    item: Item


class CallRequest(NamedTuple):
    """A relayed call; ``remaining_s`` replaces the deadline, which is valid for one clock only."""

    call_id: int
    call: Call
    remaining_s: float


class CallReply(NamedTuple):
    """The outcome of a relayed call, with the sender's admission threshold."""

    call_id: int
    outcome: Outcome
    threshold: int


class Cancel(NamedTuple):
    """Cancels a call for which the caller no longer waits."""

    call_id: int


class Goodbye(NamedTuple):
    """The sender is draining: it accepts no new calls and closes after the last reply."""


class ForwardRequestMessage(NamedTuple):
    """An HTTP request for the local target of the receiving node."""

    forward_id: int
    forwarded: ForwardedRequest


class ForwardReplyMessage(NamedTuple):
    """The outcome of a forwarded request, with the load at the target."""

    forward_id: int
    outcome: ForwardedOutcome
    load: LoadReport


class Ping(NamedTuple):
    """Liveness check; the peer replies with a ``Pong``."""


class Pong(NamedTuple):
    """Reply to a liveness check, with the load at the target."""

    load: LoadReport


class FollowStore(NamedTuple):
    """Asks a node for its published items, from a known revision on, and for all later changes."""

    known_revision: int
    known_era: int = 0


class UnfollowStore(NamedTuple):
    """Ends the wish for changes of the published items."""


class ConnectionClosing(NamedTuple):
    """The last message of a node on a connection that a peer opened.

    The node has replied to every request that it read there, and will read no further one.
    """


class FreshnessProbe(NamedTuple):
    """Asks a source for the age of its knowledge of the published items."""

    sequence: int


class FreshnessReply(NamedTuple):
    """The reply to a probe: the sender knew all writes up to ``revision`` of ``era``.

    ``age_s`` is the largest possible age of that knowledge when the reply was sent, or None if the
    sender has never read the store.
    """

    sequence: int
    era: int
    revision: int
    age_s: float | None


class TokenRequest(NamedTuple):
    """Asks the home of an account for tokens, and gives back those whose requests did not run.

    ``wanted`` tokens are needed now and ``spare`` ones soon.
    """

    account: str
    wanted: int
    spare: int
    returned: int


class TokenGrant(NamedTuple):
    """The reply of the home of an account."""

    account: str
    granted: int
    retry_after_s: float
    status: GrantStatus


class BucketTransfer(NamedTuple):
    """The last message of a former home: the tokens that are left in the bucket of an account."""

    account: str
    level: float


class StoreReport(NamedTuple):
    """Published items from a node that another one follows; the update may contain none.

    ``is_current`` is true if the sender's last read of the store succeeded.
    ``read_age_s`` is the time since that read, or since an earlier one that succeeded, or None.
    """

    update: StoreUpdate
    is_current: bool
    read_age_s: float | None


Message = (
    Hello
    | Heartbeat
    | VersionOffer
    | ItemRequest
    | ItemCopy
    | CallRequest
    | CallReply
    | Cancel
    | Goodbye
    | ConnectionClosing
    | ForwardRequestMessage
    | ForwardReplyMessage
    | Ping
    | Pong
    | FollowStore
    | UnfollowStore
    | StoreReport
    | FreshnessProbe
    | FreshnessReply
    | TokenRequest
    | TokenGrant
    | BucketTransfer
)
