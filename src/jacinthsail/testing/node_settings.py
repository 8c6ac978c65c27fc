"""Settings of nodes that are not started as processes."""

from typing import Any

from jacinthsail.internal.model.settings import Endpoint, NodeSettings

UNREACHABLE = Endpoint("127.0.0.1", 1)


def node_settings(**changes: Any) -> NodeSettings:
    """Return the settings of a node with unreachable endpoints, with some fields changed."""
    settings = NodeSettings(
        vm="vm-0",
        failure_domain="domain-0",
        region="region-0",
        service="drafts",
        callers=UNREACHABLE,
        relay=UNREACHABLE,
        operators=UNREACHABLE,
        target=UNREACHABLE,
        platform=UNREACHABLE,
        cross_region_bytes_per_s=1000,
        ledger_entries=100,
        log_buffer_lines=100,
        disabled=frozenset(),
    )
    return settings._replace(**changes)
