"""Factories for calls in tests."""

from jacinthsail.internal.model.calls import CallContext
from jacinthsail.internal.queries.rank import request_rank


def call_context(request_id="r1", importance=3, **changes):
    """Return the context of a call, with some fields changed."""
    context = CallContext(
        request_id=request_id,
        service="drafts",
        call_class="view",
        caller="member-1",
        rank=request_rank(importance, request_id),
        depth=0,
        deadline=100.0,
        retries_left=2,
    )
    return context._replace(**changes)
