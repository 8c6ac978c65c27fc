"""Reads the published list of VMs of one failure domain."""

import json
from typing import Any

from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.model.membership import VmEntry, VmList, VmStatus


def parse_vm_list(
    name: str, version: int, as_of_ms: int, body: bytes
) -> Result[VmList, MalformedMessage]:
    """Return the VM list in a JSON text as the platform publishes it."""
    try:
        table = json.loads(body)
        entries = tuple(_entry_of(entry) for entry in table["vms"])
    except (ValueError, KeyError, TypeError) as error:
        return Failure(MalformedMessage(name, f"{type(error).__name__}: {error}"))
    return Success(VmList(table["failure_domain"], version, as_of_ms, entries))


def _entry_of(table: dict[str, Any]) -> VmEntry:
    return VmEntry(
        vm=table["vm"],
        host=table["host"],
        callers_port=table["callers_port"],
        relay_port=table["relay_port"],
        failure_domain=table["failure_domain"],
        region=table["region"],
        service=table["service"],
        status=VmStatus(table["status"]),
        listed_at_ms=table["listed_at_ms"],
        leaving_at_ms=table.get("leaving_at_ms"),
    )
