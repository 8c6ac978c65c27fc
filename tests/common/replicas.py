"""Factories for nodes and items, for tests of replication and membership."""

import json

from jacinthsail.internal.model.replication import Item
from jacinthsail.internal.queries.documents import content_digest
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.testing.node_settings import node_settings


def node(now=0.0, **changes):
    """Return the state of a new node."""
    return initial_state(node_settings(**changes), "incarnation", now, 0)


def item(name, version, text, as_of_ms=0):
    """Return a published item."""
    body = text.encode()
    return Item(name, version, content_digest(body), body, as_of_ms)


def section_item(name, version, services=("drafts",), slots=80, as_of_ms=0):
    """Return a valid section with the given services."""
    lines = ['owner = "team"']
    for service in services:
        lines += [f"[services.{service}]", f"slots = {slots}", "connections = 560"]
        lines += [f"[services.{service}.classes.view]", "importance = 1"]
        lines += ['execution = "repeatable"', "deadline_ms = 2000"]
    return item(f"section/{name}", version, "\n".join(lines), as_of_ms)


def broken_item(name, version, as_of_ms=0):
    """Return a section that is not valid TOML."""
    return item(f"section/{name}", version, "owner = ", as_of_ms)


def vm_list_item(domain, version, vms, as_of_ms=0):
    """Return a VM list; ``vms`` are pairs of VM and service, or triples with a status."""
    entries = []
    for vm, service, *status in vms:
        entries.append(
            {
                "vm": vm,
                "host": "127.0.0.1",
                "callers_port": 1,
                "relay_port": 1,
                "failure_domain": domain,
                "region": region_of(domain),
                "service": service,
                "status": status[0] if status else "live",
                "listed_at_ms": 0,
            }
        )
    body = json.dumps({"failure_domain": domain, "vms": entries})
    return item(f"vms/{domain}", version, body, as_of_ms)


def region_of(domain):
    """Return the region of ``domain-<number>``: four failure domains to a region."""
    return f"region-{int(domain.removeprefix('domain-')) // 4}"
