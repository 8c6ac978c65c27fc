import unittest
from random import Random
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.adapters import account_caps
from jacinthsail.internal.adapters.account_caps import AccountCaps
from jacinthsail.internal.commands.caps import (
    open_bucket,
    record_ask,
    record_grant,
    record_reply,
    record_returned,
)
from jacinthsail.internal.commands.fleet import install_manifest, put_target, remove_target
from jacinthsail.internal.commands.freshness import record_knowledge
from jacinthsail.internal.model.accounts import Account, AccountCap, AccountIndex
from jacinthsail.internal.model.caps import AskHome, Grant, GrantStatus, RefuseOverCap
from jacinthsail.internal.model.fleet_settings import CapSettings
from jacinthsail.internal.model.messages import BucketTransfer, TokenGrant, TokenRequest
from jacinthsail.internal.queries.caps import (
    HANDOVER_S,
    START_HANDOVER_S,
    decide_grant,
    decide_token,
    effective_cap,
    fallback_limit,
    home_of,
    level_now,
    new_cap_home,
    new_stock,
)
from jacinthsail.internal.queries.fleet_view import new_fleet
from jacinthsail.internal.queries.freshness import new_freshness
from tests.common.fleets import LOCATION, manifest, target

CAP = AccountCap(rate_per_s=10.0, burst=10.0)
ACCOUNT = Account("opera", 0, CAP)
SETTINGS = CapSettings(window_s=5.0, overage=0.25, slack=20.0)
REVOCATION_S = 5.0
HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 5))

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)


def allowed_in_window(cap=CAP):
    expected = cap.rate_per_s * SETTINGS.window_s + cap.burst
    return expected * (1 + SETTINGS.overage) + SETTINGS.slack


class Clock:
    """The boot clock of all nodes, and the timers of their event loops."""

    def __init__(self):
        self.now = 100.0
        self.timers = []

    def __call__(self):
        return self.now

    def call_later(self, delay_s, callback, *arguments):
        self.timers.append((self.now + delay_s, callback, arguments))

    def advance(self, seconds):
        self.now += seconds
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, callback, arguments in due:
            callback(*arguments)


class Link:
    """Collects what one node sends to another until a test delivers or drops it."""

    def __init__(self, net, sender, receiver):
        self.net = net
        self.sender = sender
        self.receiver = receiver

    def send_when_open(self, message):
        self.net.messages.append((self.sender, self.receiver, message))

    send = send_when_open


class Links:
    def __init__(self, net, host):
        self.net = net
        self.host = host

    def link_to(self, host):
        return Link(self.net, self.host, host)


class Net:
    """Nodes with the real caps, connected by a list of messages; no socket and no process."""

    def __init__(self, clock, hosts=HOSTS, rate_per_s=CAP.rate_per_s):
        self.clock = clock
        self.hosts = set(hosts)
        self.account = ACCOUNT._replace(cap=CAP._replace(rate_per_s=rate_per_s))
        self.messages = []
        self.runs = []
        self.refusals = []
        self.nodes = {}
        for host in hosts:
            self.start(host)

    def start(self, host):
        fleet = new_fleet(LOCATION._replace(host=host))
        by_name = {self.account.name: self.account}
        accounts = AccountIndex({"k": self.account}, by_name)
        install_manifest(fleet, manifest(1)._replace(accounts=accounts))
        with mock.patch.object(account_caps.asyncio, "get_running_loop", lambda: self.clock):
            caps = AccountCaps(fleet, new_freshness(REVOCATION_S), SETTINGS, Links(self, host))
        self.nodes[host] = caps
        self.learn(host)

    def learn(self, host):
        """Let a node learn which targets are published."""
        caps = self.nodes[host]
        for one in list(caps.fleet["targets"]):
            if one not in self.hosts:
                remove_target(caps.fleet, one)
        for one in sorted(self.hosts):
            if one not in caps.fleet["targets"]:
                put_target(caps.fleet, target(one, host=one))
        record_knowledge(caps.freshness, self.clock.now)
        caps.published_changed()

    def request(self, host, count=1):
        sent_at = self.clock.now

        def on_token(refusal):
            if refusal is None:
                self.runs.append((sent_at, self.clock.now))
            else:
                self.refusals.append(refusal)

        for _ in range(count):
            self.nodes[host].acquire(self.account, on_token)

    def deliver(self, index=0):
        sender, receiver, message = self.messages.pop(index)
        caps = self.nodes.get(receiver)
        if caps is None:
            return
        if isinstance(message, TokenRequest):
            caps.answer(Link(self, receiver, sender), message)
        elif isinstance(message, TokenGrant):
            caps.receive_grant(message)
        else:
            assert isinstance(message, BucketTransfer)
            caps.receive_transfer(message)

    def deliver_all(self):
        while self.messages:
            self.deliver()

    def most_in_a_window(self):
        """Return the most requests that were sent and run within one window."""
        most = 0
        for _, end in self.runs:
            start = end - SETTINGS.window_s
            most = max(most, sum(1 for sent, ran in self.runs if sent >= start and ran <= end))
        return most


class CapTest(unittest.TestCase):
    """Load: accounts that send many times their rate, at one node or spread over all."""

    def setUp(self):
        self.clock = Clock()
        patch = mock.patch.object(account_caps, "boot_time", self.clock)
        patch.start()
        self.addCleanup(patch.stop)

    def settled_net(self, **options):
        net = Net(self.clock, **options)
        self.clock.advance(START_HANDOVER_S + 5.0)
        for host in list(net.nodes):
            net.learn(host)
        return net

    def play(self, net, seconds, per_step):
        """Send requests at random nodes every 0.1 s, and deliver all messages."""
        random = Random(1)
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)
            for host in net.nodes:
                net.learn(host)
            for _ in range(per_step):
                net.request(random.choice(sorted(net.nodes)))
            net.deliver_all()

    def test_account_below_its_cap_is_never_refused(self):
        """Equal parts of the cap would refuse most requests of a small account."""
        net = self.settled_net()
        self.play(net, 20.0, 1)
        self.assertEqual(net.refusals, [])
        self.assertEqual(len(net.runs), 200)

    def test_account_at_many_times_its_rate_gets_its_cap_and_no_more(self):
        """The room of all other accounts would go to the one that sends most."""
        net = self.settled_net()
        self.play(net, 20.0, 7)
        granted = effective_cap(CAP, SETTINGS)
        most = granted.rate_per_s * SETTINGS.window_s + granted.burst + 1
        self.assertLessEqual(net.most_in_a_window(), most)
        self.assertLessEqual(most, allowed_in_window())
        self.assertGreaterEqual(len(net.runs), 0.95 * granted.rate_per_s * 20)
        refusal = net.refusals[-1]
        self.assertEqual(refusal.status, 429)
        self.assertGreater(refusal.retry_after_s, 0.0)

    def test_node_asks_again_long_before_a_caller_should_come_back(self):
        """Tokens stayed unused after the demand had fallen, while nodes went on to refuse."""
        stock = new_stock(100.0)
        record_ask(stock, 1, 100.0)
        record_reply(stock, Grant(0, 4.0, GrantStatus.OVER_CAP), 100.0)
        refused = decide_token(stock, False, 0, 5.0, 100.1)
        self.assertIsInstance(refused, RefuseOverCap)
        self.assertAlmostEqual(refused.retry_after_s, 3.9)
        self.assertIsInstance(decide_token(stock, False, 0, 5.0, 100.3), AskHome)

    def test_demand_that_moves_to_another_node_is_served_there(self):
        """Tokens that stay where the demand was would be refused where it is now."""
        net = self.settled_net()
        for host in HOSTS:
            for _ in range(20):
                self.clock.advance(0.125)
                for node in net.nodes:
                    net.learn(node)
                net.request(host)
                net.deliver_all()
        self.assertEqual(net.refusals, [])

    def test_lowered_cap_binds_at_once(self):
        """Tokens saved up under the former cap would be spent under the new one."""
        home = new_cap_home(HOSTS[0], 0.0)
        open_bucket(home, "opera", CAP, 0.0, 100.0)
        lower = AccountCap(1.0, 2.0)
        self.assertEqual(level_now(home["buckets"]["opera"], lower, 100.0), 2.0)

    def test_returned_tokens_do_not_exceed_the_burst(self):
        """A node that gives back more than it got would create requests."""
        home = new_cap_home(HOSTS[0], 0.0)
        open_bucket(home, "opera", CAP, 0.0, 100.0)
        record_returned(home, "opera", CAP, 10**6, 100.0)
        self.assertEqual(level_now(home["buckets"]["opera"], CAP, 100.0), CAP.burst)

    def test_spare_tokens_leave_most_of_the_bucket_to_others(self):
        """One busy node would hold the tokens that another node's request needs."""
        home = new_cap_home(HOSTS[0], 0.0)
        open_bucket(home, "opera", CAP, 0.0, 100.0)
        grant = decide_grant(home["buckets"]["opera"], CAP, 1, 100, 100.0)
        self.assertEqual(grant.granted, 2)
        record_grant(home, "opera", CAP, 1, grant, 100.0)
        self.assertEqual(level_now(home["buckets"]["opera"], CAP, 100.0), 8.0)

    def test_retry_after_follows_the_backlog(self):
        """Callers that come back before there is a token only add to the load."""
        home = new_cap_home(HOSTS[0], 0.0)
        open_bucket(home, "opera", CAP, 100.0, 100.0)
        first = decide_grant(home["buckets"]["opera"], CAP, 1, 0, 100.0)
        record_grant(home, "opera", CAP, 1, first, 100.0)
        second = decide_grant(home["buckets"]["opera"], CAP, 1, 0, 100.0)
        self.assertIs(second.status, GrantStatus.OVER_CAP)
        self.assertGreater(second.retry_after_s, first.retry_after_s)

    def test_restarted_home_grants_no_burst_again(self):
        """A burst that was granted before the restart would be granted twice."""
        net = self.settled_net()
        home = home_of("opera", HOSTS)
        other = next(host for host in HOSTS if host != home)
        burst = int(effective_cap(CAP, SETTINGS).burst)
        net.request(other, burst)
        net.deliver_all()
        self.assertEqual(len(net.runs), burst)
        net.start(home)
        self.clock.advance(START_HANDOVER_S)
        net.learn(home)
        net.request(other, burst)
        net.deliver_all()
        self.assertLessEqual(len(net.runs), burst + 1)

    def test_new_home_waits_for_the_former_one(self):
        """Two homes at a time would grant twice the cap."""
        net = self.settled_net()
        home = home_of("opera", HOSTS)
        net.hosts.discard(home)
        others = sorted(net.hosts)
        for host in others:
            net.learn(host)
        heir = home_of("opera", tuple(others))
        self.assertIs(net.nodes[heir].grant("opera", 1, 0, 0).status, GrantStatus.NOT_READY)
        self.clock.advance(HANDOVER_S + 1.0)
        net.learn(heir)
        self.assertIs(net.nodes[heir].grant("opera", 1, 0, 0).status, GrantStatus.GRANTED)

    def test_former_home_that_learns_nothing_does_not_double_the_cap(self):
        """Random orders of events rarely saturate two homes at once, so this one is played out.

        The former home and one node do not learn of the change; the others ask the new home.
        """
        net = self.settled_net()
        home = home_of("opera", HOSTS)
        net.hosts.discard(home)
        heir = home_of("opera", tuple(sorted(net.hosts)))
        lagging = next(host for host in HOSTS if host not in (home, heir))
        for _ in range(100):
            self.clock.advance(0.1)
            for host in HOSTS:
                if host not in (home, lagging):
                    net.learn(host)
            net.request(lagging, 10)
            net.request(heir, 10)
            net.deliver_all()
        self.assertLessEqual(net.most_in_a_window(), allowed_in_window())
        self.assertGreater(len(net.runs), allowed_in_window())

    def test_transfer_lets_the_new_home_start_at_once(self):
        """Each replaced VM would cost its accounts some seconds of service."""
        net = self.settled_net()
        home = home_of("opera", HOSTS)
        net.request(home)
        net.hosts.discard(home)
        for host in HOSTS:
            net.learn(host)
        net.deliver_all()
        heir = home_of("opera", tuple(sorted(net.hosts)))
        self.assertIs(net.nodes[heir].grant("opera", 1, 0, 0).status, GrantStatus.GRANTED)
        self.assertIs(net.nodes[home].grant("opera", 1, 0, 0).status, GrantStatus.NOT_HOME)

    def test_home_that_knows_too_little_stops_to_grant(self):
        """A home behind a cut does not learn that another node has become the home."""
        net = self.settled_net()
        home = home_of("opera", HOSTS)
        self.assertIs(net.nodes[home].grant("opera", 1, 0, 0).status, GrantStatus.GRANTED)
        self.clock.advance(3.1)
        self.assertIs(net.nodes[home].grant("opera", 1, 0, 0).status, GrantStatus.NOT_READY)

    def test_requests_fall_back_to_the_overage_while_the_home_is_silent(self):
        """Without it, a frozen home would stop its accounts everywhere."""
        net = self.settled_net()
        home = home_of("opera", HOSTS)
        other = next(host for host in HOSTS if host != home)
        net.request(other, 50)
        net.messages.clear()
        self.clock.advance(0.3)
        limit = fallback_limit("opera", CAP, SETTINGS, net.nodes[other].home, self.clock.now)
        self.assertEqual(len(net.runs), limit)
        self.assertGreater(limit, 0)
        self.assertTrue(all(refusal.status == 503 for refusal in net.refusals))
        self.assertEqual(len(net.refusals), 50 - limit)

    def test_fallbacks_of_all_nodes_stay_within_the_overage(self):
        """Each node's part, rounded up, would exceed the bound in a large fleet."""
        hosts = tuple(f"10.0.{number // 250}.{number % 250}" for number in range(3000))
        total = 0
        for host in hosts:
            home = new_cap_home(host, 0.0)
            home["hosts"] = hosts
            total += fallback_limit("opera", CAP, SETTINGS, home, 0.0)
        granted = effective_cap(CAP, SETTINGS)
        granted_in_window = granted.rate_per_s * SETTINGS.window_s + granted.burst
        self.assertLessEqual(granted_in_window + total, allowed_in_window())

    def test_cancelled_request_leaves_its_token_to_another(self):
        """A caller that leaves would take a token with it."""
        net = self.settled_net()
        other = next(host for host in HOSTS if host != home_of("opera", HOSTS))
        wait = net.nodes[other].acquire(net.account, net.refusals.append)
        wait.cancel()
        net.request(other)
        net.deliver_all()
        self.assertEqual((len(net.runs), net.refusals), (1, []))

    @DETERMINISTIC
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ["request"] * 6
                    + ["deliver"] * 6
                    + ["learn"] * 4
                    + ["drop", "restart", "freeze"]
                    + ["leave", "join"] * 3
                ),
                st.integers(0, 3),
                st.floats(0.0, 0.4),
            ),
            min_size=20,
            max_size=150,
        )
    )
    def test_no_order_of_events_exceeds_the_bound(self, steps):
        """The rule over all nodes would break while homes change, freeze, or lose messages.

        Nodes learn late which targets are published, messages arrive late, out of order or never,
        and processes restart without their state. A process that freezes handles nothing for 4 s.
        """
        net = self.settled_net()
        frozen_until = dict.fromkeys(HOSTS, 0.0)
        for action, number, pause_s in steps:
            self.clock.advance(pause_s)
            host = HOSTS[number]
            if frozen_until[host] > self.clock.now:
                continue
            if action == "request":
                net.request(host, 30)
            elif action == "deliver":
                for _ in range(min(8, len(net.messages))):
                    index = (number * 7) % len(net.messages)
                    if frozen_until[net.messages[index][1]] <= self.clock.now:
                        net.deliver(index)
            elif action == "drop" and net.messages:
                net.messages.pop(0)
            elif action == "learn":
                net.learn(host)
            elif action == "restart":
                net.start(host)
            elif action == "leave" and len(net.hosts) > 1:
                net.hosts.discard(host)
            elif action == "join":
                net.hosts.add(host)
            elif action == "freeze":
                frozen_until[host] = self.clock.now + 4.0
        self.assertLessEqual(net.most_in_a_window(), allowed_in_window())
