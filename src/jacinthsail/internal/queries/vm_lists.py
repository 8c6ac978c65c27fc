"""Parses the published list of VMs of one failure domain."""

import json
from typing import Any

from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.model.membership import VmEntry, VmList, VmStatus


def parse_vm_list(
    name: str, version: int, as_of_ms: int, body: bytes
) -> Result[VmList, MalformedMessage]:
    """Return the VM list in a JSON text that the platform published, or the error found in it."""
    try:
        table = json.loads(body)
        failure_domain = str(table["failure_domain"])
        entries = tuple(_entry_of(entry) for entry in table["vms"])
    except (ValueError, KeyError, TypeError, OverflowError) as error:
        return Failure(MalformedMessage(name, f"{type(error).__name__}: {error}"))
    return Success(VmList(failure_domain, version, as_of_ms, entries))


def _entry_of(table: dict[str, Any]) -> VmEntry:
    leaving_at_ms = dict(table).get("leaving_at_ms")
    return VmEntry(
        vm=str(table["vm"]),
        host=str(table["host"]),
        callers_port=int(table["callers_port"]),
        relay_port=int(table["relay_port"]),
        failure_domain=str(table["failure_domain"]),
        region=str(table["region"]),
        service=str(table["service"]),
        status=VmStatus(table["status"]),
        listed_at_ms=int(table["listed_at_ms"]),
        leaving_at_ms=None if leaving_at_ms is None else int(leaving_at_ms),
    )
