"""Requests in flight at the local target, to which the target's nested calls are attributed."""

from typing import TypedDict


class ParentRequest(TypedDict):
    """A request in flight at the local target.

    ``is_retry`` is true if an earlier attempt may have been executed, so that its nested calls are
    retries as well. ``calls`` counts the nested calls so far. ``is_shed`` is set once one of them
    was shed by a service deeper in the chain, and ``lacks_room`` if fewer requests would have
    avoided it. ``admitted_share`` is the share of new requests that
    was admitted when this one was.
    """

    request_id: str
    ticket: int
    rank: int
    is_retry: bool
    calls: int
    is_shed: bool
    lacks_room: bool
    admitted_share: float


class LineageState(TypedDict):
    """The requests in flight at the local target by their ids."""

    running: dict[str, ParentRequest]
    next_ticket: int
