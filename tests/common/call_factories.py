"""Helpers that several test modules share."""

from jacinthsail.internal.model.calls import CallHead
from jacinthsail.internal.queries.rank import rank_of


def call_head(request_id="r1", importance=3, **changes):
    """Return the head of a call, with some fields changed."""
    head = CallHead(
        request_id=request_id,
        service="drafts",
        call_class="view",
        caller="member-1",
        rank=rank_of(importance, request_id),
        depth=0,
        deadline=100.0,
        retries_left=2,
    )
    return head._replace(**changes)
