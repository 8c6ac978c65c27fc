"""Look-ups in the replicated document and VM lists."""

from jacinthsail.internal.model.calls import CallHead
from jacinthsail.internal.model.document import ClassPolicy, Execution, ServicePolicy
from jacinthsail.internal.model.membership import VmEntry
from jacinthsail.internal.model.replication import StoreState


def service_policy(store: StoreState, service: str) -> ServicePolicy | None:
    """Return the policy in force for a service, or None when no section describes it."""
    for section in store["sections"].values():
        policy = section.services.get(service)
        if policy is not None:
            return policy
    return None


def class_policy(store: StoreState, service: str, call_class: str) -> ClassPolicy | None:
    """Return the policy in force for a call class, or None when no section describes it."""
    policy = service_policy(store, service)
    if policy is None:
        return None
    return policy.classes.get(call_class)


def vm_entry(store: StoreState, vm: str) -> VmEntry | None:
    """Return the published entry of a VM, or None when no list holds it."""
    for vm_list in store["vm_lists"].values():
        for entry in vm_list.entries:
            if entry.vm == vm:
                return entry
    return None


def vms_of_service(store: StoreState, service: str) -> list[VmEntry]:
    """Return the published entries of a service, live and leaving."""
    found = []
    for vm_list in store["vm_lists"].values():
        for entry in vm_list.entries:
            if entry.service == service:
                found.append(entry)
    return found


def is_at_most_once(store: StoreState, head: CallHead) -> bool:
    """Tell whether a call must not run twice under the section in force."""
    policy = class_policy(store, head.service, head.call_class)
    return policy is not None and policy.execution is Execution.AT_MOST_ONCE


def is_same_call(first: CallHead, second: CallHead) -> bool:
    """Tell whether two heads belong to one call; its rank and retries may differ on the way."""
    return (first.request_id, first.service, first.call_class, first.idempotency_key) == (
        second.request_id,
        second.service,
        second.call_class,
        second.idempotency_key,
    )
