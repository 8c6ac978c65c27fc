"""Lookups in the replicated document and VM lists.

They are on the request path, so each one reads an index that is rebuilt only when items change.
"""

from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.document import ClassPolicy, Execution, ServicePolicy
from jacinthsail.internal.model.membership import Distance, VmEntry
from jacinthsail.internal.model.replication import StoreState
from jacinthsail.internal.model.state import NodeState


def service_policy(store: StoreState, service: str) -> ServicePolicy | None:
    """Return the policy in force for a service, or None if no section describes it."""
    in_force = store["services"].get(service)
    if in_force is None:
        return None
    return in_force.policy


def class_policy(store: StoreState, service: str, call_class: str) -> ClassPolicy | None:
    """Return the policy in force for a call class, or None if no section describes it."""
    in_force = store["services"].get(service)
    if in_force is None:
        return None
    return in_force.policy.classes.get(call_class)


def missing_policy_reason(store: StoreState) -> Reason:
    """Return the refusal reason for a call whose class no section in force describes.

    Before this node's copies have been confirmed to be complete, the section may exist without
    having arrived yet, so the class must not be reported as unknown.
    """
    if store["as_of_ms"] == 0:
        return Reason.NOT_READY
    return Reason.UNKNOWN_CLASS


def vm_entry(store: StoreState, vm: str) -> VmEntry | None:
    """Return the published entry of a VM, or None if no list contains it."""
    return store["vm_entries"].get(vm)


def vms_of_service(store: StoreState, service: str) -> list[VmEntry]:
    """Return the published entries of a service, both live and draining."""
    found: list[VmEntry] = []
    for entries in store["service_vms"].get(service, {}).values():
        found.extend(entries)
    return found


def distance_to_vm(state: NodeState, vm: str) -> Distance:
    """Return the distance of a VM; an unlisted VM counts as in the own failure domain."""
    entry = vm_entry(state["store"], vm)
    settings = state["settings"]
    if entry is None or entry.failure_domain == settings.failure_domain:
        return Distance.OWN_DOMAIN
    if entry.region == settings.region:
        return Distance.OWN_REGION
    return Distance.OTHER_REGION


def is_at_most_once(store: StoreState, context: CallContext) -> bool:
    """Return whether the class of a call is at-most-once under the section in force."""
    policy = class_policy(store, context.service, context.call_class)
    return policy is not None and policy.execution is Execution.AT_MOST_ONCE


def is_same_call(first: CallContext, second: CallContext) -> bool:
    """Return whether two contexts belong to one call; rank and retries may change between hops."""
    return (first.request_id, first.service, first.call_class, first.idempotency_key) == (
        second.request_id,
        second.service,
        second.call_class,
        second.idempotency_key,
    )
