"""Tests which nodes read the platform, which exchange copies, and what may cross regions."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.membership import spend_link_budget
from jacinthsail.internal.commands.peers import record_draining, record_hello
from jacinthsail.internal.commands.replication import (
    confirm_versions,
    count_platform_read,
    record_gossip_attempt,
)
from jacinthsail.internal.model.membership import VmStatus
from jacinthsail.internal.model.messages import Hello
from jacinthsail.internal.model.replication import AwaitPeers, ReadPlatform, WatchPlatform
from jacinthsail.internal.model.settings import Endpoint, Mechanism
from jacinthsail.internal.queries.initial import initial_store
from jacinthsail.internal.queries.membership import (
    can_cross_region,
    gossip_peers,
    is_watcher,
    watchers_of,
)
from jacinthsail.internal.queries.replication import (
    CONFIRMATION_JITTER_S,
    CONFIRMATION_TIMEOUT_S,
    MAX_RETRY_DELAY_S,
    decide_platform_action,
    random_confirmation_timeout_s,
    retry_delay,
)
from jacinthsail.internal.queries.routing import is_vm_draining
from jacinthsail.internal.queries.settings import parse_settings
from jacinthsail.testing.replica_exchange import receive_copy
from tests.common.replicas import node, node_settings, vm_list_item

DOMAINS = 11


def fleet(vms, domains=DOMAINS):
    """Return a store whose lists hold this many VMs."""
    store = initial_store(0.0)
    for number in range(domains):
        members = [(f"vm-{vm}", "drafts") for vm in range(number, vms, domains)]
        receive_copy(store, vm_list_item(f"domain-{number}", number + 1, members))
    return store


class WatcherTest(unittest.TestCase):
    def test_reads_do_not_grow_with_the_fleet(self):
        """The platform serves 2,000 reads/s over all readers, too few for 3,000 watches."""
        for vms, expected in ((10, 10), (100, 22), (1000, 22), (3000, 22)):
            store = fleet(vms)
            watching = 0
            for entry in store["vm_entries"].values():
                settings_of_vm = node_settings(vm=entry.vm, failure_domain=entry.failure_domain)
                watching += is_watcher(store, settings_of_vm) if vms < 1000 else 0
            if vms >= 1000:
                watching = sum(len(watchers_of(store, f"domain-{n}")) for n in range(DOMAINS))
            with self.subTest(vms=vms):
                self.assertEqual(watching, expected)

    def test_draining_watcher_is_replaced(self):
        """Without watchers every node of the domain would read the platform itself."""
        store = fleet(100)
        first = watchers_of(store, "domain-0")[0].vm
        members = [(entry.vm, "drafts") for entry in store["vm_lists"]["vms/domain-0"].entries]
        changed = [(*member, "leaving") if member[0] == first else member for member in members]
        receive_copy(store, vm_list_item("domain-0", 50, changed))
        self.assertNotIn(first, [entry.vm for entry in watchers_of(store, "domain-0")])
        self.assertEqual(len(watchers_of(store, "domain-0")), 2)

    def test_node_without_a_list_reads_the_platform(self):
        """A new VM that knows no peers would wait for them forever."""
        self.assertEqual(
            decide_platform_action(node(), CONFIRMATION_TIMEOUT_S, 0.0), ReadPlatform()
        )

    def test_silent_peers_make_a_node_read_within_its_budget(self):
        """Without a budget 3,000 isolated nodes would together overload the platform."""
        state = other_node()
        self.assertIsInstance(
            decide_platform_action(state, CONFIRMATION_TIMEOUT_S, 5.0), AwaitPeers
        )
        reads = 0
        for tenth in range(1000):
            now = CONFIRMATION_TIMEOUT_S + tenth / 10
            if decide_platform_action(state, CONFIRMATION_TIMEOUT_S, now) == ReadPlatform():
                count_platform_read(state["platform"], now)
                reads += 1
        # A burst of 3, then one read every 4 s.
        self.assertLessEqual(reads, 3 + 25)
        self.assertGreaterEqual(reads, 25)

    def test_confirmation_ends_the_reads(self):
        """Nodes that receive confirmations from peers again must stop reading the platform."""
        state = other_node()
        confirm_versions(state["store"], 5000, 20.0)
        self.assertEqual(
            decide_platform_action(state, CONFIRMATION_TIMEOUT_S, 21.0), AwaitPeers(7.0)
        )

    def test_failed_watchers_are_replaced(self):
        """If the watchers fail, confirmations stop advancing and other nodes must read."""
        state = other_node()
        confirm_versions(state["store"], 5000, 20.0)
        confirm_versions(state["store"], 5000, 27.0)
        self.assertEqual(
            decide_platform_action(state, CONFIRMATION_TIMEOUT_S, 29.0), ReadPlatform()
        )

    def test_confirmation_timeout_is_jittered(self):
        """Nodes that lose their watchers together must not all read at the same time."""
        drawn = {random_confirmation_timeout_s(Random(seed)) for seed in range(50)}
        self.assertEqual(len(drawn), 50)
        self.assertTrue(
            all(
                CONFIRMATION_TIMEOUT_S <= s <= CONFIRMATION_TIMEOUT_S + CONFIRMATION_JITTER_S
                for s in drawn
            )
        )

    def test_peer_learning_disabled_makes_every_node_watch(self):
        """The scenario without this mechanism must show that reads grow with the fleet."""
        state = other_node(disabled=frozenset({Mechanism.PEER_LEARNING}))
        self.assertEqual(
            decide_platform_action(state, CONFIRMATION_TIMEOUT_S, 0.0), WatchPlatform()
        )


def other_node(**changes):
    """Return a node of domain-0 that is not a watcher."""
    store = fleet(100)
    watching = {entry.vm for entry in watchers_of(store, "domain-0")}
    members = [entry.vm for entry in store["vm_lists"]["vms/domain-0"].entries]
    vm = next(vm for vm in members if vm not in watching)
    state = node(vm=vm, **changes)
    state["store"] = store
    return state


class GossipPeerTest(unittest.TestCase):
    def test_subset_has_its_share_of_each_distance(self):
        """A full mesh of 3,000 nodes would need 9 million connections."""
        store = fleet(3000)
        local_settings = node_settings(vm="vm-0", failure_domain="domain-0", region="region-0")
        peers = gossip_peers(store, local_settings)
        in_domain = [peer for peer in peers if peer.failure_domain == "domain-0"]
        in_region = [peer for peer in peers if peer.region == "region-0"]
        self.assertEqual((len(in_domain), len(in_region), len(peers)), (6, 8, 10))
        self.assertNotIn("vm-0", [peer.vm for peer in peers])
        self.assertEqual(gossip_peers(store, local_settings), peers)

    def test_one_removal_changes_one_peer(self):
        """A subset drawn again at each change of the list would reconnect the whole fleet."""
        store = fleet(300)
        local_settings = node_settings(vm="vm-0")
        before = {peer.vm for peer in gossip_peers(store, local_settings)}
        entries = store["vm_lists"]["vms/domain-0"].entries
        removed = next(entry.vm for entry in entries if entry.vm in before)
        kept = [(entry.vm, "drafts") for entry in entries if entry.vm != removed]
        receive_copy(store, vm_list_item("domain-0", 50, kept))
        after = {peer.vm for peer in gossip_peers(store, local_settings)}
        self.assertEqual(len(before - after), 1)
        self.assertEqual(len(after - before), 1)

    def test_changes_reach_every_node(self):
        """A node to which no gossip peer offers changes would keep old sections in force."""
        store = fleet(990)
        links = {}
        for entry in store["vm_entries"].values():
            local_settings = node_settings(
                vm=entry.vm, failure_domain=entry.failure_domain, region=entry.region
            )
            for peer in gossip_peers(store, local_settings):
                # Offers are sent to chosen peers; heartbeats with the digest go both ways.
                links.setdefault(entry.vm, set()).add(peer.vm)
                links.setdefault(peer.vm, set()).add(entry.vm)
        reached = {"vm-0"}
        hops = 0
        frontier = reached
        while frontier:
            frontier = {peer for vm in frontier for peer in links[vm]} - reached
            reached = reached | frontier
            hops += 1 if frontier else 0
        self.assertEqual(len(reached), 990)
        self.assertLessEqual(hops, 5)

    def test_reconnects_are_bounded_and_jittered(self):
        """Nodes that all reconnect at the same time after a partition would flood the link."""
        delays = {retry_delay(20, Random(seed)) for seed in range(50)}
        self.assertEqual(len(delays), 50)
        self.assertTrue(
            all(MAX_RETRY_DELAY_S / 2 <= delay <= MAX_RETRY_DELAY_S for delay in delays)
        )

    def test_failures_are_counted_until_a_connection_opens(self):
        """The retry delay must grow for an unreachable peer and reset once it is reachable."""
        gossip = node()["gossip"]
        record_gossip_attempt(gossip, "vm-1", 1.0, opened=False)
        record_gossip_attempt(gossip, "vm-1", 2.0, opened=False)
        self.assertEqual(gossip["failures"]["vm-1"], 2)
        record_gossip_attempt(gossip, "vm-1", 3.0, opened=True)
        self.assertEqual(gossip["failures"]["vm-1"], 0)


class DrainingTest(unittest.TestCase):
    def test_vm_list_or_peer_reports_draining(self):
        """A draining VM must get no new calls once either source reports it."""
        state = node()
        receive_copy(state["store"], vm_list_item("domain-0", 1, [("vm-1", "drafts")]))
        entry = state["store"]["vm_entries"]["vm-1"]
        self.assertFalse(is_vm_draining(state, entry))
        self.assertTrue(is_vm_draining(state, entry._replace(status=VmStatus.LEAVING)))
        record_hello(state["peers"], Hello("vm-1", "i", "domain-0", "drafts"), 0.0)
        record_draining(state["peers"]["vm-1"])
        self.assertTrue(is_vm_draining(state, entry))


class LinkBudgetTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 5000)), min_size=1))
    def test_bytes_stay_within_the_rate(self, calls):
        """The link between regions is billed by volume and shared with all other traffic."""
        budget = {"tokens": 1000.0, "updated_at": 0.0}
        now = 0.0
        sent = 0
        largest = 0
        for pause, size in calls:
            now += pause
            if not can_cross_region(budget, 1000, now):
                continue
            spend_link_budget(budget, 1000, size, now)
            sent += size
            largest = max(largest, size)
        # A burst of one second, the rate since then, and one call that overdraws the bucket.
        self.assertLessEqual(sent, 1000 + 1000 * now + largest + 0.001)

    def test_spent_budget_recovers(self):
        """One large body must not block the link permanently."""
        budget = {"tokens": 10.0, "updated_at": 0.0}
        spend_link_budget(budget, 1000, 2000, 0.0)
        self.assertFalse(can_cross_region(budget, 1000, 1.9))
        self.assertTrue(can_cross_region(budget, 1000, 2.1))


class SeedTest(unittest.TestCase):
    def test_seeds_are_read_from_the_settings(self):
        """A VM that cannot reach the platform knows its peers only from its settings."""
        lines = ['node = {vm="v", failure_domain="d", region="r", service="s"}']
        for port, name in enumerate(("callers", "relay", "operators", "target", "platform"), 1):
            lines.append(f'{name} = {{host="127.0.0.1", port={port}}}')
        lines += ["[[seeds]]", 'host = "127.0.0.2"', "port = 7"]
        parsed = parse_settings("\n".join(lines), "node.toml").unwrap()
        self.assertEqual(parsed.seeds, (Endpoint("127.0.0.2", 7),))
