"""Guards the decoders of platform messages: malformed input returns a failure, never raises."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from jacinthsail.internal.model.document import Execution
from jacinthsail.platform.decoding import decode_manifest, decode_target, duration_s

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
        entry = decode_target("i-1", encoded({**ENTRY, "state": "draining"}), {"manila": "luzon"})
        self.assertTrue(entry.unwrap().is_draining)
        self.assertEqual(entry.unwrap().region, "luzon")
        self.assertEqual((entry.unwrap().host, entry.unwrap().port), ("10.1.0.9", 8080))

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
            self.assertGreater(result.unwrap().slots, 0)
            self.assertTrue(result.unwrap().service)

    @DETERMINISTIC
    @given(st.binary() | JSON.map(encoded))
    def test_arbitrary_bytes_are_rejected(self, body):
        """Bytes that are neither an entry nor a manifest must return a failure with a reason."""
        self.assertIsInstance(decode_target("i-1", body, {}), Failure)
        self.assertIsInstance(decode_manifest(body), Failure)

    def test_missing_fields_are_rejected(self):
        """A missing field must not be decoded as zero."""
        for name in ("service", "address", "zone", "concurrency", "state"):
            with self.subTest(name=name):
                incomplete = {key: value for key, value in ENTRY.items() if key != name}
                self.assertIsInstance(decode_target("i-1", encoded(incomplete), {}), Failure)

    def test_durations_need_a_unit(self):
        """A number without a unit could be read as seconds or as milliseconds."""
        self.assertEqual(duration_s("250ms"), 0.25)
        for value in ("250", "ms", "-5ms", "1e3ms", "nans", 250, None, "5 s"):
            with self.subTest(value=value), self.assertRaises((ValueError, TypeError)):
                duration_s(value)
