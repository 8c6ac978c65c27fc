"""Header names, paths and words of the platform."""

SETTINGS_VARIABLE = "JACINTHSAIL_CONFIG"

HEADER_ATTEMPT_ID = b"x-attempt-id"
HEADER_TIME_LEFT_MS = b"x-deadline-ms"
HEADER_SEAL = b"x-response-seal"
HEADER_EXPECTED_TARGET = b"x-expected-instance"
HEADER_CALLER_SERVICE = b"x-caller-service"
HEADER_NOT_RUN = b"x-not-executed"
HEADER_LOAD = b"x-server-load"
HEADER_HOST = b"host"
HEADER_ENCODING = b"content-encoding"

# Headers that concern one connection only, and the length, which is written anew.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)

MANIFEST_KEY = "op/config"
TARGETS_PREFIX = "servers/"

ITEM_PATH = "/-/kv-key"
RANGE_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"

WORD_REPEATABLE = "idempotent"
WORD_AT_MOST_ONCE = "non_idempotent"
WORD_READY = "ready"
WORD_LEAVING = "draining"
