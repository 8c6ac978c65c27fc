"""Helpers that several test modules share."""

from jacinthsail.internal.model.calls import CallHead
from jacinthsail.internal.model.settings import Endpoint, NodeSettings
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


NOWHERE = Endpoint("127.0.0.1", 1)


def node_settings(**changes):
    """Return the settings of a node that reaches nothing, with some fields changed."""
    settings = NodeSettings(
        vm="vm-0",
        failure_domain="domain-0",
        region="region-0",
        service="drafts",
        callers=NOWHERE,
        relay=NOWHERE,
        operators=NOWHERE,
        target=NOWHERE,
        platform=NOWHERE,
        cross_region_bytes_per_s=1000,
        ledger_entries=100,
        log_buffer_lines=100,
        disabled=frozenset(),
    )
    return settings._replace(**changes)
