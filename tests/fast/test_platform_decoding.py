"""Guards the decoders of what the platform publishes: a fault is refused, never a crash."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from jacinthsail.internal.model.document import Execution
from jacinthsail.platform.decoding import decode_manifest, decode_target, duration_s

STEADY = settings(derandomize=True, deadline=None, max_examples=200)

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
    """Return the path of each field in nested tables."""
    found = []
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for key, child in pairs:
        found.append((*path, key))
        if isinstance(child, dict | list):
            found.extend(paths_in(child, (*path, key)))
    return found


def replaced(value, path, new):
    copy = json.loads(json.dumps(value))
    place = copy
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = new
    return copy


class PlatformDecodingTest(unittest.TestCase):
    def test_manifest_is_decoded(self):
        """A field that is read under another meaning would change what a route allows."""
        manifest = decode_manifest(encoded(MANIFEST)).unwrap()
        self.assertEqual(manifest.version, 12)
        route = manifest.routes[0]
        self.assertEqual(route.host, "h.example")
        self.assertIs(route.execution, Execution.AT_MOST_ONCE)
        self.assertAlmostEqual(route.timeout_s, 0.8)
        self.assertAlmostEqual(route.target_latency_s, 1.5)
        self.assertEqual(manifest.limits.idle_timeout_s, 15.0)

    def test_split_is_decoded(self):
        """A split that lost a part would send all requests to the others."""
        parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        split = {key: value for key, value in ROUTE.items() if key != "service"}
        manifest = decode_manifest(
            encoded({**MANIFEST, "routes": [{**split, "trafficSplit": parts}]})
        )
        self.assertEqual([one.weight for one in manifest.unwrap().routes[0].branches], [90, 10])

    def test_target_is_decoded(self):
        """A leaving target that is read as ready would get new work."""
        entry = decode_target("i-1", encoded({**ENTRY, "state": "draining"}), {"manila": "luzon"})
        self.assertTrue(entry.unwrap().leaving)
        self.assertEqual(entry.unwrap().region, "luzon")
        self.assertEqual((entry.unwrap().host, entry.unwrap().port), ("10.1.0.9", 8080))

    @STEADY
    @given(st.sampled_from(paths_in(MANIFEST)), JSON)
    def test_any_field_of_a_manifest_may_be_wrong(self, path, value):
        """A manifest with a field of another type must not end the process or lose the last one."""
        result = decode_manifest(encoded(replaced(MANIFEST, path, value)))
        self.assertIsInstance(result, Success | Failure)

    @STEADY
    @given(st.sampled_from(paths_in(ENTRY)), JSON)
    def test_any_field_of_an_entry_may_be_wrong(self, path, value):
        """An entry of another writer must name no target, or one with proper values."""
        result = decode_target("i-1", encoded(replaced(ENTRY, path, value)), {})
        if isinstance(result, Success):
            self.assertGreater(result.unwrap().slots, 0)
            self.assertTrue(result.unwrap().service)

    @STEADY
    @given(st.binary() | JSON.map(encoded))
    def test_any_bytes_may_stand_in_the_store(self, body):
        """Bytes that are no entry or manifest must be refused with a reason."""
        self.assertIsInstance(decode_target("i-1", body, {}), Failure)
        self.assertIsInstance(decode_manifest(body), Failure)

    def test_missing_fields_are_refused(self):
        """A missing field must not be read as zero."""
        for name in ("service", "address", "zone", "concurrency", "state"):
            with self.subTest(name=name):
                part = {key: value for key, value in ENTRY.items() if key != name}
                self.assertIsInstance(decode_target("i-1", encoded(part), {}), Failure)

    def test_times_need_their_unit(self):
        """A number without a unit could be read as seconds or as milliseconds."""
        self.assertEqual(duration_s("250ms"), 0.25)
        for value in ("250", "ms", "-5ms", "1e3ms", "nans", 250, None, "5 s"):
            with self.subTest(value=value), self.assertRaises((ValueError, TypeError)):
                duration_s(value)
