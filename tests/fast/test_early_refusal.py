"""Tests that the entry node refuses a call that every candidate would refuse."""

import unittest
from random import Random

from jacinthsail.internal.commands.peers import (
    record_failure,
    record_heartbeat,
    record_hello,
    record_threshold,
)
from jacinthsail.internal.commands.replication import accept_item
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.document import (
    ClassPolicy,
    Execution,
    FixedLimitPolicy,
    Section,
    SpillOver,
)
from jacinthsail.internal.model.membership import VmEntry, VmList, VmStatus
from jacinthsail.internal.model.messages import Heartbeat, Hello
from jacinthsail.internal.model.replication import Item, NewSection, NewVmList
from jacinthsail.internal.model.routing import RouteRefused, RouteToLocalTarget, RouteToPeer
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.internal.queries.routing import THRESHOLD_VALID_S, decide_route
from jacinthsail.testing.fake_target import service_policy_with
from jacinthsail.testing.node_settings import node_settings
from tests.common.call_factories import call_context

PEERS = ("drafts-1", "drafts-2")
SEEDS = 30


def entry_state(disabled=frozenset()):
    """Return the state of a billing node that knows two drafts nodes."""
    settings = node_settings(
        vm="billing-1",
        failure_domain="manila",
        region="luzon",
        service="billing",
        disabled=disabled,
    )
    state = initial_state(settings, "i", 0.0, 0)
    view = ClassPolicy("view", 1, Execution.REPEATABLE, 2000, 2, SpillOver.REGION)
    service = service_policy_with(FixedLimitPolicy(1))._replace(classes={"view": view})
    section = Section("s", "o", 1, "d", {"drafts": service})
    accept_item(state["store"], NewSection(Item("section/drafts", 1, "d", b""), section), 0.0)
    entries = []
    for vm in PEERS:
        live = VmStatus.LIVE
        entries.append(VmEntry(vm, "127.0.0.1", 1, 2, "manila", "luzon", "drafts", live, 0))
        record_hello(state["peers"], Hello(vm, "i", "manila", "drafts"), 0.0)
    vm_list = VmList("manila", 1, 0, tuple(entries))
    accept_item(state["store"], NewVmList(Item("vms/manila", 1, "d", b""), vm_list), 0.0)
    return state


def new_billing_section():
    claim = ClassPolicy("claim", 5, Execution.REPEATABLE, 2000, 2, SpillOver.REGION)
    service = service_policy_with(FixedLimitPolicy(1))._replace(classes={"claim": claim})
    section = Section("b", "o", 1, "d", {"billing": service})
    return NewSection(Item("section/billing", 1, "d", b""), section)


def routes(state, context, now):
    return {decide_route(state, context, frozenset(), now, Random(n)) for n in range(SEEDS)}


class EarlyRefusalTest(unittest.TestCase):
    def test_call_below_every_threshold_is_refused_at_the_entry(self):
        """Relaying a call that will be refused wastes work on both nodes and bytes on the link."""
        state = entry_state()
        for vm in PEERS:
            record_threshold(state["peers"][vm], 500, 1.0)
        self.assertEqual(
            routes(state, call_context(importance=1), 1.0),
            {RouteRefused(Reason.BELOW_EVERY_THRESHOLD)},
        )
        for route in routes(state, call_context(importance=6), 1.0):
            self.assertIsInstance(route, RouteToPeer)

    def test_candidate_that_accepts_the_call_is_chosen(self):
        """One overloaded node must not keep calls from another with free capacity."""
        state = entry_state()
        record_threshold(state["peers"]["drafts-1"], 500, 1.0)
        chosen = {route.entry.vm for route in routes(state, call_context(importance=1), 1.0)}
        self.assertEqual(chosen, {"drafts-2"})

    def test_outdated_threshold_is_ignored(self):
        """A peer that receives no calls cannot report that its threshold has fallen."""
        state = entry_state()
        for vm in PEERS:
            heartbeat = Heartbeat(0, 0, threshold=500, draining=False)
            record_heartbeat(state["peers"][vm], heartbeat, 1.0)
        now = 1.0 + THRESHOLD_VALID_S
        context = call_context(importance=1)
        self.assertEqual(routes(state, context, now), {RouteRefused(Reason.BELOW_EVERY_THRESHOLD)})
        for route in routes(state, context, now + 0.01):
            self.assertIsInstance(route, RouteToPeer)

    def test_without_importance_thresholds_are_ignored(self):
        """Control runs of importance scenarios must relay calls that importance would refuse."""
        state = entry_state(frozenset({Mechanism.IMPORTANCE}))
        for vm in PEERS:
            record_threshold(state["peers"][vm], 500, 1.0)
        for route in routes(state, call_context(importance=1), 1.0):
            self.assertIsInstance(route, RouteToPeer)

    def test_missing_candidates_have_their_own_reason(self):
        """An operator must see whether a service is overloaded or unavailable."""
        state = entry_state()
        route = decide_route(state, call_context(), frozenset(PEERS), 1.0, Random(1))
        self.assertEqual(route, RouteRefused(Reason.NO_TARGET))

    def test_only_reachable_vm_is_retried(self):
        """With a single reachable VM, a brief refusal would otherwise fail the call."""
        state = entry_state()
        record_failure(state["peers"]["drafts-2"], 100.0)
        for attempted in [frozenset({"drafts-1"}), frozenset(PEERS)]:
            route = decide_route(state, call_context(), attempted, 1.0, Random(1))
            self.assertEqual(route.entry.vm, "drafts-1")
        local_context = call_context(service="billing", call_class="claim")
        accept_item(state["store"], new_billing_section(), 0.0)
        route = decide_route(state, local_context, frozenset({"billing-1"}), 1.0, Random(1))
        self.assertEqual(route, RouteToLocalTarget())
