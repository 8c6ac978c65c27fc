"""Guards the decoders of platform messages: malformed input returns a failure, never raises."""

import asyncio
import base64
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.fleet import EntryVersion
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.internal.model.store import StoreSnapshot, StoreUnavailable, UndecodableItem
from jacinthsail.platform.decoding import decode_manifest, decode_target
from jacinthsail.platform.settings import decode_settings
from jacinthsail.platform.store import PlatformStore, StorePage
from jacinthsail.platform.values import MAX_DETAIL_LENGTH, duration_s

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=8,
)

ROUTE = {
    "name": "r-1",
    "hostname": "H.example",
    "prefix": "/a/",
    "routeType": "non_idempotent",
    "timeout": "800ms",
    "targetLatency": "1.5s",
    "priority": 0,
    "service": "seals",
    "maxAttempts": 2,
}
MANIFEST = {
    "version": "0000000c",
    "routes": [ROUTE],
    "services": [{"name": "seals", "healthPath": "/healthz", "maxConnections": 172}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
}
ENTRY = {
    "service": "seals",
    "address": "10.1.0.9:8080",
    "zone": "manila",
    "version": "v1",
    "concurrency": 12,
    "state": "ready",
    "warmupLeft": "0ms",
    "sequence": 4,
}


def encoded(value):
    return json.dumps(value).encode()


def paths_in(value, path=()):
    """Return the path of each field in nested dictionaries and lists."""
    found = []
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for key, child in pairs:
        found.append((*path, key))
        if isinstance(child, dict | list):
            found.extend(paths_in(child, (*path, key)))
    return found


def replaced(value, path, new):
    copy = json.loads(json.dumps(value))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = new
    return copy


class PlatformDecodingTest(unittest.TestCase):
    def test_manifest_is_decoded(self):
        """A field decoded with the wrong meaning would change the policy of a route."""
        manifest = decode_manifest(encoded(MANIFEST)).unwrap()
        self.assertEqual(manifest.version, 12)
        route = manifest.routes[0]
        self.assertEqual(route.host, "h.example")
        self.assertIs(route.execution, Execution.AT_MOST_ONCE)
        self.assertAlmostEqual(route.timeout_s, 0.8)
        self.assertAlmostEqual(route.target_latency_s, 1.5)
        self.assertEqual(manifest.limits.idle_timeout_s, 15.0)

    def test_split_is_decoded(self):
        """If a branch were lost, all its requests would go to the other services."""
        parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        split = {key: value for key, value in ROUTE.items() if key != "service"}
        manifest = decode_manifest(
            encoded({**MANIFEST, "routes": [{**split, "trafficSplit": parts}]})
        )
        self.assertEqual(
            [branch.weight for branch in manifest.unwrap().routes[0].branches], [90, 10]
        )

    def test_target_is_decoded(self):
        """A draining target decoded as ready would get new requests."""
        published = decode_target(
            "i-1", encoded({**ENTRY, "state": "draining", "born": 17}), {"manila": "luzon"}
        )
        entry, version = published.unwrap()
        self.assertTrue(entry.is_draining)
        self.assertEqual(entry.region, "luzon")
        self.assertEqual((entry.host, entry.port), ("10.1.0.9", 8080))
        self.assertEqual(version, EntryVersion(17, 4))

    @DETERMINISTIC
    @given(st.sampled_from(paths_in(MANIFEST)), JSON)
    def test_manifest_with_any_malformed_field_does_not_raise(self, path, value):
        """An exception would end the process or lose the last valid manifest."""
        result = decode_manifest(encoded(replaced(MANIFEST, path, value)))
        self.assertIsInstance(result, Success | Failure)

    @DETERMINISTIC
    @given(st.sampled_from(paths_in(ENTRY)), JSON)
    def test_target_entry_with_any_malformed_field_does_not_raise(self, path, value):
        """A malformed entry must be rejected or yield a target with valid values."""
        result = decode_target("i-1", encoded(replaced(ENTRY, path, value)), {})
        if isinstance(result, Success):
            self.assertGreater(result.unwrap().entry.slots, 0)
            self.assertTrue(result.unwrap().entry.service)

    @DETERMINISTIC
    @given(st.binary() | JSON.map(encoded))
    def test_arbitrary_bytes_are_rejected(self, body):
        """Bytes that are neither an entry nor a manifest must return a failure with a reason."""
        self.assertIsInstance(decode_target("i-1", body, {}), Failure)
        self.assertIsInstance(decode_manifest(body), Failure)

    def test_missing_fields_are_rejected(self):
        """A missing field must not be decoded as zero."""
        for name in ("service", "address", "zone", "concurrency", "state", "sequence"):
            with self.subTest(name=name):
                incomplete = {key: value for key, value in ENTRY.items() if key != name}
                self.assertIsInstance(decode_target("i-1", encoded(incomplete), {}), Failure)

    def test_durations_need_a_unit(self):
        """A number without a unit could be read as seconds or as milliseconds."""
        self.assertEqual(duration_s("250ms"), 0.25)
        for value in ("250", "ms", "-5ms", "1e3ms", "nans", 250, None, "5 s"):
            with self.subTest(value=value), self.assertRaises((ValueError, TypeError)):
                duration_s(value)

    def test_address_is_an_ipv4_address_with_a_port(self):
        """A host name would be looked up, and a port out of range raises when it is used."""
        for address in (
            "10.1.0.9:+80",
            "10.1.0.9:0",
            "10.1.0.9:65536",
            "10.1.0.9:99999999999999999999",
            "10.1.0.9:\uff18\uff10",
            "10.1.0.9:80 ",
            "10.1.0.9",
            "db.example:80",
            "10.1.0.9.1:80",
            "[::1]:80",
            ":80",
        ):
            with self.subTest(address):
                body = encoded({**ENTRY, "address": address})
                self.assertIsInstance(decode_target("i-1", body, {}), Failure)

    def test_incarnation_must_fit_into_a_header(self):
        """The incarnation is sent as a header; a line break would add headers to each request."""
        for incarnation in ("i\r\nX-Evil: 1", "i 1", "", "\u00e9", "\ud800", "i" * 1000):
            with self.subTest(incarnation):
                self.assertIsInstance(decode_target(incarnation, encoded(ENTRY), {}), Failure)

    def test_numbers_beyond_any_use_are_rejected(self):
        """An infinite time or an endless version would stay in force for ever."""
        huge = "9" * 400
        for path, value in (
            (("warmupLeft",), huge + "s"),
            (("concurrency",), 10**30),
            (("concurrency",), 1e400),
        ):
            with self.subTest(path):
                body = encoded(replaced(ENTRY, path, value))
                self.assertIsInstance(decode_target("i-1", body, {}), Failure)
        for path, value in (
            (("version",), "f" * 400),
            (("version",), "0x00000c"),
            (("routes", 0, "timeout"), huge + "ms"),
        ):
            with self.subTest(path):
                self.assertIsInstance(
                    decode_manifest(encoded(replaced(MANIFEST, path, value))), Failure
                )

    def test_description_of_a_malformed_value_is_short(self):
        """A value of a megabyte would be written to the log of every node."""
        body = encoded({**ENTRY, "state": "x" * 300_000})
        detail = decode_target("i-1", body, {}).failure().detail
        self.assertLessEqual(len(detail), MAX_DETAIL_LENGTH)

    def test_settings_of_another_shape_are_rejected(self):
        """A table that is no table would end the process when the settings are read again."""
        for text in ("zones = 1", 'zones = ["a"]', "listenAddrs = 7", "x = 1"):
            with self.subTest(text):
                self.assertIsInstance(decode_settings(text, "settings"), Failure)

    def test_deeply_nested_settings_are_rejected(self):
        """The process would end when the platform changes the file."""
        text = "a = " + "[" * 100_000 + "]" * 100_000
        self.assertIsInstance(decode_settings(text, "settings"), Failure)


class StoreItemsTest(unittest.TestCase):
    def read(self, *items):
        store = PlatformStore(Endpoint("127.0.0.1", 1), {})
        pages = [StorePage({"items": list(items), "hasMore": False, "asOf": 9}, 0)]

        async def get(path, timeout_s=0.0):
            return pages.pop(0)

        store._get = get
        return asyncio.run(store.read_snapshot())

    def test_odd_items_do_not_hide_the_others(self):
        """One item without a valid key would discard the page with all other targets."""
        value = base64.b64encode(encoded(ENTRY)).decode()
        good = {"key": "servers/i-1", "value": value, "revision": 3}
        odd = (
            None,
            7,
            [],
            {},
            {"key": None, "value": value, "revision": 3},
            {"key": "servers/\ud800", "value": value, "revision": 3},
            {"key": "servers/i\r\n2", "value": value, "revision": 3},
            {"key": "servers/i-2", "value": value},
            {"key": "servers/i-2", "value": value, "revision": 10**30},
            {"key": "servers/i-2", "value": value, "revision": "3"},
        )
        snapshot = self.read(*odd, good, *odd)
        self.assertEqual([item.key for item in snapshot.items], ["servers/i-1"])

    def test_unreadable_value_is_refused_alone(self):
        """A value that is no base64 would raise in the task that follows the store."""
        for value in (None, 7, "*", "\ud800", "YQ", ["a"]):
            with self.subTest(value=value):
                snapshot = self.read({"key": "servers/i-1", "value": value, "revision": 3})
                store = PlatformStore(Endpoint("127.0.0.1", 1), {})
                self.assertIsInstance(store.decode(snapshot.items[0]), UndecodableItem)

    @DETERMINISTIC
    @given(st.lists(JSON, max_size=4))
    def test_arbitrary_pages_do_not_raise(self, items):
        """An exception would end the task that follows the store."""
        self.assertIsInstance(self.read(*items), StoreSnapshot | StoreUnavailable)
