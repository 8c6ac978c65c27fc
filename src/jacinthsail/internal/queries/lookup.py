"""Look-ups in the replicated document and VM lists.

They are on the request path, so each reads an index that changes only with the items behind it.
"""

from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.document import ClassPolicy, Execution, ServicePolicy
from jacinthsail.internal.model.membership import Distance, VmEntry
from jacinthsail.internal.model.replication import StoreState
from jacinthsail.internal.model.state import NodeState


def service_policy(store: StoreState, service: str) -> ServicePolicy | None:
    """Return the policy in force for a service, or None when no section describes it."""
    in_force = store["services"].get(service)
    if in_force is None:
        return None
    return in_force.policy


def class_policy(store: StoreState, service: str, call_class: str) -> ClassPolicy | None:
    """Return the policy in force for a call class, or None when no section describes it."""
    in_force = store["services"].get(service)
    if in_force is None:
        return None
    return in_force.policy.classes.get(call_class)


def reason_without_policy(store: StoreState) -> Reason:
    """Return why a call is refused of which no section in force describes the class.

    Before the first confirmation the section may exist and not have arrived yet, so the class must
    not be called unknown.
    """
    if store["as_of_ms"] == 0:
        return Reason.NOT_READY
    return Reason.UNKNOWN_CLASS


def vm_entry(store: StoreState, vm: str) -> VmEntry | None:
    """Return the published entry of a VM, or None when no list holds it."""
    return store["vm_entries"].get(vm)


def vms_of_service(store: StoreState, service: str) -> list[VmEntry]:
    """Return the published entries of a service, live and leaving."""
    found: list[VmEntry] = []
    for entries in store["service_vms"].get(service, {}).values():
        found.extend(entries)
    return found


def distance_of(state: NodeState, vm: str) -> Distance:
    """Return how far a VM is; one that no list holds is taken for a neighbour."""
    entry = vm_entry(state["store"], vm)
    settings = state["settings"]
    if entry is None or entry.failure_domain == settings.failure_domain:
        return Distance.OWN_DOMAIN
    if entry.region == settings.region:
        return Distance.OWN_REGION
    return Distance.OTHER_REGION


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
