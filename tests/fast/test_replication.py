"""Tests that versions in force only increase and that all nodes converge to the same ones."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.errors import Conflict
from jacinthsail.internal.commands.replication import (
    choose_gossip_peers,
    complete_startup,
    confirm_versions,
    install_item,
    record_gossip_attempt,
    record_platform_change,
    record_read_after_pause,
    record_startup_offer,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.messages import Heartbeat, VersionOffer
from jacinthsail.internal.model.replication import (
    DigestMatch,
    DigestMismatch,
    ItemVersion,
    PlatformChange,
    ReadPlatform,
)
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.initial import initial_store
from jacinthsail.internal.queries.lookup import (
    class_policy,
    missing_policy_reason,
    service_policy,
    vm_entry,
    vms_of_service,
)
from jacinthsail.internal.queries.replication import (
    OFFER_ALL_INTERVAL_S,
    START_WAIT_S,
    current_heartbeat,
    decide_item,
    decide_item_request,
    decide_on_digest,
    decide_platform_action,
    is_awaiting_peers,
    is_caught_up,
    is_stale,
    names_to_read,
    reasons_not_ready,
    version_in_force,
)
from jacinthsail.internal.queries.status import node_status, section_conflicts
from jacinthsail.testing.replica_exchange import exchange_copies, receive_copy, share_heartbeats
from tests.common.replicas import broken_item, item, node, section_item, vm_list_item

# Derandomized, so that the result does not depend on the examples drawn in a run.
STEADY = settings(derandomize=True, deadline=None, max_examples=150)


def new_vm_with_peers(*peers):
    """Return a node that has read the platform and has just chosen its gossip peers."""
    state = node()
    vms = [(vm, "drafts") for vm in ("vm-0", *peers)]
    receive_copy(state["store"], section_item("a", 1))
    receive_copy(state["store"], vm_list_item("domain-0", 1, vms))
    confirm_versions(state["store"], 1000, 0.0)
    choose_gossip_peers(state["gossip"], frozenset(peers), True, 0.0)
    return state


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=8,
)

NAMES = ("section/a", "section/b", "vms/domain-0")


@st.composite
def histories(draw):
    """Draw a list of published items, oldest first; the version is the position in the list."""
    kinds = draw(st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=8))
    published = []
    for index, (name, is_valid) in enumerate(kinds):
        version = index + 1
        published.append(published_item(name, version, is_valid))
    return published


def published_item(name, version, is_valid):
    # Version n is published at n * 1000 ms.
    as_of_ms = 1000 * version
    if name.startswith("vms/"):
        if not is_valid:
            return item(name, version, "{", as_of_ms)
        vms = [(f"vm-{version}", "drafts"), ("vm-0", f"service-{version % 2}")]
        return vm_list_item("domain-0", version, vms, as_of_ms)
    if not is_valid:
        return broken_item(name.removeprefix("section/"), version, as_of_ms)
    services = ("drafts",) if version % 2 else ("drafts", "billing")
    return section_item(name.removeprefix("section/"), version, services, version, as_of_ms)


def newest_valid(published, name):
    """Return the newest version of an item that an empty store accepts, or 0."""
    valid = [0]
    for copy in published:
        store = initial_store(0.0)
        receive_copy(store, copy)
        if copy.name == name and name in store["items"]:
            valid.append(copy.version)
    return max(valid)


def newest(published, name):
    return max((copy.version for copy in published if copy.name == name), default=0)


class OrderTest(unittest.TestCase):
    @STEADY
    @given(st.data())
    def test_any_order_and_repetition_of_copies(self, data):
        """A late copy of an old version from a peer or a stale platform would revert an edit."""
        published = data.draw(histories())
        repeated = data.draw(st.lists(st.sampled_from(published), max_size=8))
        copies = data.draw(st.permutations(published + repeated))
        store = initial_store(0.0)
        for copy in copies:
            before = {name: version_in_force(store, name) for name in NAMES}
            receive_copy(store, copy)
            for name in NAMES:
                self.assertGreaterEqual(version_in_force(store, name), before[name])
        for name in NAMES:
            self.assertEqual(version_in_force(store, name), newest_valid(published, name))
            self.assertEqual(store["newest_seen"].get(name, 0), newest(published, name))

    @STEADY
    @given(st.data())
    def test_state_does_not_depend_on_the_order(self, data):
        """If an index depended on the order of copies, nodes would apply different policies."""
        published = data.draw(histories())
        stores = []
        for copies in (published, data.draw(st.permutations(published))):
            store = initial_store(0.0)
            for copy in copies:
                receive_copy(store, copy)
            stores.append(store)
        for key in (
            "digest",
            "services",
            "defining_sections",
            "vm_entries",
            "service_vms",
            "revision",
        ):
            self.assertEqual(stores[0][key], stores[1][key], key)

    def test_version_order_disabled_accepts_old_versions(self):
        """The scenario without this mechanism must show the fault that it prevents."""
        store = initial_store(0.0)
        receive_copy(store, section_item("a", 2))
        receive_copy(store, section_item("a", 1), disabled=frozenset({Mechanism.VERSION_ORDER}))
        self.assertEqual(version_in_force(store, "section/a"), 1)

    def test_version_order_disabled_requests_old_copies(self):
        """Unless old copies are requested too, the scenario would show no fault."""
        store = initial_store(0.0)
        receive_copy(store, section_item("a", 2))
        disabled = frozenset({Mechanism.VERSION_ORDER})
        offer = VersionOffer((ItemVersion("section/a", 1, "d"),), False)
        self.assertEqual(decide_item_request(store, offer).names, ())
        self.assertEqual(decide_item_request(store, offer, disabled).names, ("section/a",))
        change = PlatformChange(1, 0, (("section/a", 1),))
        self.assertEqual(names_to_read(store, change), [])
        self.assertEqual(names_to_read(store, change, disabled), ["section/a"])


class ExchangeTest(unittest.TestCase):
    @STEADY
    @given(st.data())
    def test_both_sides_of_a_partition_converge(self, data):
        """Edits read on either side of a partition must all be in force after it heals."""
        published = data.draw(histories())
        sides = [[initial_store(0.0) for _ in range(3)] for _ in range(2)]
        for side in sides:
            reads = data.draw(st.lists(st.sampled_from(published), max_size=6))
            for copy in reads:
                receive_copy(data.draw(st.sampled_from(side)), copy)
            pairs = data.draw(st.lists(st.permutations(side), max_size=4))
            for pair in pairs:
                exchange_copies(pair[0], pair[1])
        stores = [*sides[0], *sides[1]]
        held = []
        for copy in published:
            if any(copy in held_by(store) for store in stores):
                held.append(copy)
        for _ in range(2):
            for index, store in enumerate(stores):
                exchange_copies(store, stores[(index + 1) % len(stores)])
        self.assertEqual(len({store["digest"] for store in stores}), 1)
        for name in NAMES:
            for store in stores:
                self.assertEqual(version_in_force(store, name), newest_valid(held, name))
                self.assertEqual(store["newest_seen"].get(name, 0), newest(held, name))

    @STEADY
    @given(st.data())
    def test_confirmation_covers_every_published_version(self, data):
        """A confirmation past an unseen VM list would let two VMs own one key."""
        published = data.draw(histories())
        stores = [initial_store(0.0) for _ in range(3)]
        steps = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 8)))
        for reader, peer, revision in data.draw(steps):
            before = stores[reader]["as_of_ms"]
            if reader == peer:
                read_platform(stores[reader], published[:revision], 1000 * (revision + 1) - 1)
            else:
                exchange_copies(stores[reader], stores[peer])
                share_heartbeats(stores[reader], stores[peer])
            self.assertGreaterEqual(stores[reader]["as_of_ms"], before)
            for store in stores:
                self.assert_covered(store, published)

    def assert_covered(self, store, published):
        for copy in published:
            if copy.as_of_ms <= store["as_of_ms"]:
                self.assertGreaterEqual(store["newest_seen"].get(copy.name, 0), copy.version)

    def test_new_vm_receives_last_good_and_newest_version(self):
        """The platform holds only the broken version, so a new VM needs the section from peers."""
        old = initial_store(0.0)
        receive_copy(old, section_item("a", 1))
        receive_copy(old, broken_item("a", 2))
        new = initial_store(0.0)
        receive_copy(new, broken_item("a", 2))
        exchange_copies(new, old)
        self.assertEqual(version_in_force(new, "section/a"), 1)
        self.assertEqual(new["rejected"]["section/a"].version, 2)
        self.assertEqual(new["digest"], old["digest"])

    def test_new_vm_with_a_stale_platform_is_corrected(self):
        """A stale platform that claims to be current must not override newer copies of peers."""
        new = initial_store(0.0)
        read_platform(new, [vm_list_item("domain-0", 1, [("vm-1", "drafts")])], 9000)
        peer = initial_store(0.0)
        current = vm_list_item("domain-0", 5, [("vm-2", "drafts")], as_of_ms=5000)
        read_platform(peer, [current], 8000)
        exchange_copies(new, peer)
        self.assertIsNotNone(vm_entry(new, "vm-2"))
        self.assertEqual(new["as_of_ms"], 0)
        share_heartbeats(new, peer)
        self.assertEqual(new["as_of_ms"], 8000)

    def test_stale_platform_does_not_advance_the_confirmation(self):
        """A platform that reverted to an old state would confirm versions that it lacks."""
        state = node()
        receive_copy(state["store"], section_item("a", 7))
        self.assertTrue(is_stale(state["store"], state["platform"], PlatformChange(6, 9000, ())))
        self.assertFalse(is_stale(state["store"], state["platform"], PlatformChange(7, 9000, ())))
        record_platform_change(state["platform"], 9)
        self.assertTrue(is_stale(state["store"], state["platform"], PlatformChange(8, 9000, ())))

    def test_only_changed_items_are_read(self):
        """Reading the whole document for each change would cost 1 MB per watcher."""
        store = initial_store(0.0)
        receive_copy(store, section_item("a", 1))
        change = PlatformChange(2, 0, (("section/a", 1), ("section/b", 2)))
        self.assertEqual(names_to_read(store, change), ["section/b"])
        self.assertFalse(is_caught_up(store, change))

    def test_new_vm_reads_the_vm_lists_first(self):
        """A VM that knows no peers yet would read the whole document from the platform."""
        change = PlatformChange(3, 1000, (("section/a", 1), ("vms/domain-0", 2), ("section/b", 3)))
        names = names_to_read(initial_store(0.0), change)
        self.assertEqual(names, ["vms/domain-0", "section/a", "section/b"])


def held_by(store):
    held = list(store["items"].values())
    return held + [rejected.item for rejected in store["rejected"].values()]


def read_platform(store, published, as_of_ms):
    """Read a platform whose newest state is ``published``."""
    revision = max((copy.version for copy in published), default=0)
    current = {copy.name: copy for copy in published}
    versions = tuple((copy.name, copy.version) for copy in current.values())
    change = PlatformChange(revision, as_of_ms, versions)
    stale = is_stale(store, {"revision": 0}, change)
    for name in names_to_read(store, change):
        receive_copy(store, current[name]._replace(as_of_ms=max(as_of_ms, current[name].as_of_ms)))
    if not stale and is_caught_up(store, change):
        confirm_versions(store, as_of_ms, 0.0)


class RejectedVersionTest(unittest.TestCase):
    def test_last_good_version_stays_in_force(self):
        """A broken edit must not remove a service's policy."""
        state = node()
        receive_copy(state["store"], section_item("a", 1))
        receive_copy(state["store"], broken_item("a", 2))
        self.assertIsNotNone(service_policy(state["store"], "drafts"))
        status = node_status(state, 0.0)["sections"]["section/a"]
        self.assertEqual((status["version"], status["rejected_version"]), (1, 2))
        self.assertTrue(status["errors"])

    def test_section_without_a_good_version_is_reported(self):
        """A section without any valid version must still be on the status page."""
        state = node()
        receive_copy(state["store"], broken_item("a", 2))
        status = node_status(state, 0.0)["sections"]["section/a"]
        self.assertEqual((status["version"], status["rejected_version"]), (0, 2))

    def test_last_good_disabled_withdraws(self):
        """The scenario without this mechanism must show the fault that it prevents."""
        store = initial_store(0.0)
        receive_copy(store, section_item("a", 1))
        receive_copy(store, broken_item("a", 2), disabled=frozenset({Mechanism.LAST_GOOD_SECTION}))
        self.assertIsNone(service_policy(store, "drafts"))
        self.assertEqual(store["sections"], {})

    @STEADY
    @given(JSON, st.booleans())
    def test_malformed_body_is_rejected_with_its_errors(self, table, is_list):
        """A body whose parsing raises would terminate the node instead of being rejected."""
        store = initial_store(0.0)
        name = "vms/domain-0" if is_list else "section/a"
        if is_list and type(table) is list:
            table = {"failure_domain": "domain-0", "vms": table}
        receive_copy(store, item(name, 1, json.dumps(table)))
        if name not in store["items"]:
            self.assertTrue(store["rejected"][name].errors)

    def test_vm_list_without_its_failure_domain_is_rejected(self):
        """A key missing outside the validated part of the list terminated the node."""
        store = initial_store(0.0)
        receive_copy(store, item("vms/domain-0", 1, '{"vms": []}'))
        self.assertIn("vms/domain-0", store["rejected"])


class EffectTest(unittest.TestCase):
    def test_edit_of_another_service_keeps_the_limiter(self):
        """A limiter that is reset at each edit of the document loses its measurements."""
        state = node()
        install(state, section_item("a", 1, slots=80))
        limiter = state["admission"]["limiter"]
        install(state, section_item("b", 2, services=("billing",)))
        install(state, section_item("a", 3, services=("drafts", "seals"), slots=80))
        self.assertIs(state["admission"]["limiter"], limiter)
        install(state, section_item("a", 4, slots=40))
        self.assertIsNot(state["admission"]["limiter"], limiter)

    def test_only_the_changed_section_is_rebuilt(self):
        """Rebuilding every policy for each of 1,800 edits a day would cost time on every node."""
        store = initial_store(0.0)
        receive_copy(store, section_item("a", 1))
        policy = service_policy(store, "drafts")
        receive_copy(store, section_item("b", 2, services=("billing",)))
        self.assertIs(service_policy(store, "drafts"), policy)

    def test_call_in_flight_keeps_its_policy(self):
        """An edit during a call must not change the policy with which the call began."""
        store = initial_store(0.0)
        receive_copy(store, section_item("a", 1, slots=80))
        policy = class_policy(store, "drafts", "view")
        copy = policy._replace()
        receive_copy(store, section_item("a", 2, services=("billing",)))
        self.assertEqual(policy, copy)
        self.assertIsNone(class_policy(store, "drafts", "view"))

    def test_two_sections_for_one_service(self):
        """If nodes chose different sections, hops would treat the same call differently."""
        for order in ((1, 2), (2, 1)):
            store = initial_store(0.0)
            receive_copy(store, section_item("b", order[0], slots=10))
            receive_copy(store, section_item("a", order[1], slots=20))
            self.assertEqual(service_policy(store, "drafts").slots, 20)
            self.assertEqual(section_conflicts(store, "section/a"), [])
            self.assertIsInstance(section_conflicts(store, "section/b")[0], Conflict)
            receive_copy(store, section_item("a", 3, services=("billing",)))
            self.assertEqual(service_policy(store, "drafts").slots, 10)

    def test_index_follows_the_vm_list(self):
        """A VM that was removed from the list would still get calls."""
        store = initial_store(0.0)
        receive_copy(store, vm_list_item("domain-0", 1, [("vm-1", "drafts"), ("vm-2", "drafts")]))
        receive_copy(store, vm_list_item("domain-1", 2, [("vm-3", "drafts")]))
        receive_copy(store, vm_list_item("domain-0", 3, [("vm-2", "billing")]))
        self.assertEqual([entry.vm for entry in vms_of_service(store, "drafts")], ["vm-3"])
        self.assertIsNone(vm_entry(store, "vm-1"))
        self.assertEqual(vm_entry(store, "vm-2").service, "billing")


def install(state, copy):
    install_item(state, decide_item(state["store"], copy), 0.0)


class DigestTest(unittest.TestCase):
    def test_equal_digest_confirms_the_versions(self):
        """Otherwise every node would have to read the platform for a new confirmation."""
        state = node()
        heartbeat = current_heartbeat(state)._replace(as_of_ms=77)
        self.assertEqual(decide_on_digest(state, "vm-1", heartbeat, 0.0), DigestMatch(77))

    def test_difference_must_outlast_a_heartbeat(self):
        """Each change makes digests differ briefly, and a complete offer takes 20 KB."""
        state = node()
        receive_copy(state["store"], section_item("a", 1))
        other = Heartbeat(1, 0, 0, False)
        self.assertEqual(decide_on_digest(state, "vm-1", other, 10.0), DigestMismatch(False))
        state["gossip"]["mismatch_since"]["vm-1"] = 10.0
        self.assertEqual(decide_on_digest(state, "vm-1", other, 12.0), DigestMismatch(True))
        state["gossip"]["offered_at"]["vm-1"] = 12.0
        self.assertEqual(decide_on_digest(state, "vm-1", other, 14.0), DigestMismatch(False))
        due = 12.0 + OFFER_ALL_INTERVAL_S
        self.assertEqual(decide_on_digest(state, "vm-1", other, due), DigestMismatch(True))


class ReadinessTest(unittest.TestCase):
    def test_empty_node_is_not_ready_and_reports_why(self):
        """A node without sections would refuse calls that it should serve as unknown."""
        state = node()
        self.assertEqual(len(reasons_not_ready(state, 0.0)), 2)
        self.assertFalse(node_status(state, 0.0)["ready"])
        receive_copy(state["store"], section_item("a", 1))
        receive_copy(state["store"], vm_list_item("domain-0", 2, [("vm-0", "drafts")]))
        choose_gossip_peers(state["gossip"], frozenset(), True, 0.0)
        self.assertEqual(len(reasons_not_ready(state, 0.0)), 1)
        confirm_versions(state["store"], 1000, 0.0)
        self.assertEqual(reasons_not_ready(state, 0.0), [])

    def test_new_vm_waits_for_the_offers_of_its_peers(self):
        """A new VM that reads a stale platform would use versions older than its peers'."""
        state = new_vm_with_peers("vm-1", "vm-2")
        record_startup_offer(state["gossip"], "vm-1", (ItemVersion("section/a", 2, ""),))
        self.assertTrue(is_awaiting_peers(state, 1.0), "the copy that the peer offered is missing")
        receive_copy(state["store"], section_item("a", 2))
        self.assertTrue(is_awaiting_peers(state, 1.0), "the other peer may offer newer versions")
        record_startup_offer(state["gossip"], "vm-2", ())
        self.assertFalse(is_awaiting_peers(state, 1.0))

    def test_new_vm_does_not_wait_for_unreachable_peers(self):
        """An isolated VM must serve eventually; the reply of one peer is enough."""
        state = new_vm_with_peers("vm-1", "vm-2")
        record_gossip_attempt(state["gossip"], "vm-1", 2.0, opened=False)
        record_startup_offer(state["gossip"], "vm-2", ())
        self.assertFalse(is_awaiting_peers(state, 1.0))
        isolated = new_vm_with_peers("vm-1")
        record_gossip_attempt(isolated["gossip"], "vm-1", 2.0, opened=False)
        self.assertTrue(is_awaiting_peers(isolated, START_WAIT_S - 0.1))
        self.assertFalse(is_awaiting_peers(isolated, START_WAIT_S))

    def test_node_that_completed_startup_does_not_wait_for_new_peers(self):
        """A change of the VM list must not make a serving node refuse calls."""
        state = new_vm_with_peers("vm-1")
        complete_startup(state["gossip"])
        choose_gossip_peers(state["gossip"], frozenset(["vm-3"]), True, 1.0)
        self.assertFalse(is_awaiting_peers(state, 1.0))

    def test_platform_is_read_at_once_after_a_pause(self):
        """Otherwise a node refuses timed keys until a watch or a heartbeat confirms its lists."""
        state = new_vm_with_peers("vm-1")
        state["clock"]["pauses"] = 1
        self.assertIsInstance(decide_platform_action(state, 8.0, 1.0), ReadPlatform)
        record_read_after_pause(state["platform"], 1)
        self.assertNotIsInstance(decide_platform_action(state, 8.0, 1.0), ReadPlatform)

    def test_class_is_not_reported_unknown_before_the_first_confirmation(self):
        """A caller that gets unknown-class does not retry."""
        store = initial_store(0.0)
        receive_copy(store, section_item("a", 1))
        self.assertIs(missing_policy_reason(store), Reason.NOT_READY)
        confirm_versions(store, 1000, 0.0)
        self.assertIs(missing_policy_reason(store), Reason.UNKNOWN_CLASS)

    def test_new_vm_waits_for_a_while_for_the_last_good_version(self):
        """A VM that starts during a broken edit must get the last good version from its peers."""
        state = node()
        receive_copy(state["store"], section_item("a", 1))
        receive_copy(state["store"], vm_list_item("domain-0", 2, [("vm-0", "drafts")]))
        receive_copy(state["store"], broken_item("b", 3))
        choose_gossip_peers(state["gossip"], frozenset(), True, 0.0)
        confirm_versions(state["store"], 1000, 0.0)
        self.assertEqual(len(reasons_not_ready(state, 1.0)), 1)
        self.assertEqual(reasons_not_ready(state, 6.0), [])
