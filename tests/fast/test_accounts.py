import json
import unittest

from returns.result import Success

from jacinthsail.internal.commands.fleet import install_manifest
from jacinthsail.internal.model.accounts import KeyCheck
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.request_state import AcceptRequest, RespondLocally
from jacinthsail.internal.queries.accounts import (
    effective_priority,
    identify_account,
    is_key_in_force,
)
from jacinthsail.internal.queries.manifest_routes import decide_entry
from jacinthsail.platform.decoding import decode_manifest
from tests.common.fleets import fleet, request_info
from tests.common.platform_testbed import ROUTE, manifest

PROVEN = KeyCheck(is_proven=True, is_recent=True)
SECRET = "k-secret-1"


def decoded(tenants, routes=(ROUTE,)):
    match decode_manifest(json.dumps({**manifest(1, routes), "tenants": tenants}).encode()):
        case Success(value):
            return value
    raise AssertionError("the manifest was lost")


def tenant(**fields):
    return {"name": "opera", "apiKeys": [SECRET], "priority": 0, **fields}


class AccountDecodingTest(unittest.TestCase):
    """Load: a manifest with odd accounts, which must not cost the valid ones their service."""

    def test_account_is_decoded(self):
        """Without its cap an account could use the room of all others."""
        account = decoded([tenant(ratePerS=2.5, burst=4)]).accounts.by_key[SECRET]
        self.assertEqual((account.name, account.priority), ("opera", 0))
        self.assertEqual((account.cap.rate_per_s, account.cap.burst), (2.5, 4.0))

    def test_manifest_without_accounts_needs_no_key(self):
        """Earlier deployments have no accounts, and their callers send no key."""
        self.assertIsNone(decode_manifest(json.dumps(manifest(1)).encode()).unwrap().accounts)

    def test_rate_of_zero_is_no_cap(self):
        """An account without a cap would be refused altogether."""
        for fields in ({}, {"ratePerS": 0}, {"ratePerS": None, "burst": 5}):
            with self.subTest(fields=fields):
                self.assertIsNone(decoded([tenant(**fields)]).accounts.by_name["opera"].cap)

    def test_invalid_account_is_left_out_alone(self):
        """A typing error would lose the manifest, or let through who should be refused."""
        invalid = (
            7,
            None,
            {"apiKeys": [SECRET]},
            tenant(name=""),
            tenant(name="a\r\nX-Evil: 1"),
            tenant(apiKeys="k"),
            tenant(ratePerS=-1),
            tenant(ratePerS="9"),
            tenant(ratePerS=float("inf")),
            tenant(ratePerS=True),
            tenant(ratePerS=1, burst=-1),
        )
        other = {"name": "choir", "apiKeys": ["k-choir"], "future": {"x": 1}}
        for account in invalid:
            with self.subTest(account=account):
                result = decoded([account, other])
                self.assertEqual(list(result.accounts.by_key), ["k-choir"])
                self.assertEqual(len(result.faults), 1)
                self.assertNotIn(SECRET, result.faults[0])

    def test_odd_keys_are_left_out(self):
        """An empty key would admit callers that send none."""
        keys = [SECRET, SECRET, "", "k" * 10_000, 7, None, "a b", "\u00e9"]
        result = decoded([tenant(apiKeys=keys)])
        self.assertEqual(list(result.accounts.by_key), [SECRET])

    def test_key_of_two_accounts_is_refused_for_both(self):
        """Requests would run in the name of whichever account is listed first."""
        result = decoded([tenant(), tenant(name="choir", apiKeys=[SECRET, "k-choir"])])
        self.assertEqual(list(result.accounts.by_key), ["k-choir"])

    def test_list_of_another_type_refuses_every_key(self):
        """Without a list nobody could be identified, so nobody may call."""
        result = decoded({"opera": {}})
        self.assertEqual(result.accounts.by_key, {})
        self.assertTrue(result.faults)

    def test_many_keys_are_decoded(self):
        """A large customer base must not make the manifest unreadable."""
        keys = [f"k{number}" for number in range(100_000)]
        self.assertEqual(len(decoded([tenant(apiKeys=keys)]).accounts.by_key), 100_000)

    def test_unknown_type_of_route_keeps_the_other_routes(self):
        """No request of a deployment was served, because one type of route was not known."""
        routes = (ROUTE, {**ROUTE, "name": "odd", "prefix": "/odd/", "routeType": "teleport"})
        result = decoded(None, routes)
        self.assertEqual(
            [route.execution for route in result.routes],
            [Execution.REPEATABLE, Execution.AT_MOST_ONCE],
        )
        self.assertEqual(len(result.faults), 1)

    def test_uploads_run_at_most_once_and_downloads_may_be_repeated(self):
        """A repeated upload could be stored twice."""
        routes = tuple(
            {**ROUTE, "name": kind, "prefix": f"/{kind}/", "routeType": kind}
            for kind in ("upload", "download")
        )
        result = decoded(None, routes)
        self.assertEqual(
            [route.execution for route in result.routes],
            [Execution.AT_MOST_ONCE, Execution.REPEATABLE],
        )


class AccountDecisionTest(unittest.TestCase):
    """Load: callers with valid, unknown and withdrawn keys, and calls of targets without one."""

    def decide(self, key="", *, check=PROVEN, is_nested=False, public=False, parent=""):
        routes = ({**ROUTE, "hostname": "h.example", "prefix": "/a/", "public": public},)
        state = fleet()
        install_manifest(state, decoded([tenant()], routes))
        info = request_info()._replace(account_key=key, parent_id=parent)
        decision = decide_entry(state, info, 0.0)
        return identify_account(decision, state["manifest"], info, is_nested, check)

    def test_key_identifies_its_account(self):
        """The target would bill the request to nobody."""
        decision = self.decide(SECRET)
        self.assertIsInstance(decision, AcceptRequest)
        self.assertEqual(decision.account.name, "opera")

    def test_unknown_and_missing_keys_are_refused(self):
        """Callers that nobody knows would be served."""
        for key, reason in (
            ("k-other", Reason.ACCOUNT_KEY_UNKNOWN),
            ("", Reason.ACCOUNT_KEY_MISSING),
        ):
            with self.subTest(key=key):
                self.assertEqual(self.decide(key), RespondLocally(401, reason, 0.0))

    def test_public_routes_and_nested_calls_need_no_key(self):
        """The calls of targets carry no key, so every request with such calls would fail."""
        self.assertIsNone(self.decide(public=True).account)
        self.assertIsNone(self.decide(is_nested=True, parent="r-0").account)

    def test_call_of_a_parent_that_is_not_known_is_refused_as_not_run(self):
        """After a restart of its node, a call of a target looks like that of an unknown caller;
        401 would tell the target that its call is not allowed."""
        self.assertEqual(self.decide(parent="r-0").status, 503)

    def test_key_without_proof_is_refused_as_not_run(self):
        """A key that was withdrawn while this node was cut off would still be served."""
        stale = KeyCheck(is_proven=False, is_recent=False)
        for key in (SECRET, "k-other"):
            with self.subTest(key=key):
                decision = self.decide(key, check=stale)
                self.assertEqual((decision.status, decision.reason), (503, Reason.KEYS_NOT_PROVEN))

    def test_unknown_key_at_a_node_that_lags_behind_is_not_denied(self):
        """401 would be final for a caller whose key was added a moment ago."""
        lagging = KeyCheck(is_proven=True, is_recent=False)
        self.assertEqual(self.decide("k-other", check=lagging).status, 503)

    def test_withdrawn_key_is_not_in_force_for_another_attempt(self):
        """A request that fails over would run after its key was withdrawn."""
        accepted = self.decide(SECRET)
        before = decoded([tenant()])
        after = decoded([tenant(apiKeys=["k-new"])])
        moved = decoded([tenant(name="choir")])
        self.assertTrue(is_key_in_force(before, accepted, SECRET))
        self.assertFalse(is_key_in_force(after, accepted, SECRET))
        self.assertFalse(is_key_in_force(moved, accepted, SECRET))
        self.assertFalse(is_key_in_force(None, accepted, SECRET))

    def test_priority_of_the_account_goes_before_that_of_the_route(self):
        """Important accounts would be shed with the others on a route of low priority."""
        accepted = self.decide(SECRET)
        self.assertEqual(effective_priority(accepted.route, accepted.account), 0)
        unranked = accepted.account._replace(priority=None)
        self.assertEqual(effective_priority(accepted.route, unranked), accepted.route.priority)
        self.assertEqual(effective_priority(accepted.route, None), accepted.route.priority)
