"""Header names, store paths, keys and enumerated values of the platform."""

SETTINGS_PATH_VARIABLE = "JACINTHSAIL_CONFIG"

HEADER_ATTEMPT_ID = b"x-attempt-id"
# Despite its name, the remaining time of the request and not a point in time.
HEADER_REMAINING_MS = b"x-deadline-ms"
# Set by a target on the response to each request that it executed.
HEADER_SEAL = b"x-response-seal"
# The incarnation of the target for which the request is intended.
HEADER_EXPECTED_INSTANCE = b"x-expected-instance"
HEADER_CALLER_SERVICE = b"x-caller-service"
# Set by a target that refuses a request before execution.
HEADER_NOT_EXECUTED = b"x-not-executed"
HEADER_SERVER_LOAD = b"x-server-load"
# Identifies the account of a caller; secret, and never sent to a target.
HEADER_API_KEY = b"x-api-key"
# The name of the account, for the target.
HEADER_TENANT = b"x-tenant-id"
HEADER_HOST = b"host"
HEADER_CONTENT_ENCODING = b"content-encoding"

# Headers that apply to one connection only, and the length, which is set for each message.
HOP_BY_HOP_HEADERS = frozenset(
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
# Keys of target entries; the platform calls targets servers.
TARGETS_PREFIX = "servers/"

# Rises by one each time the store has gone back to an older state. In lower case, as responses of
# the store are read.
HEADER_STORE_ERA = b"store-era"

ITEM_PATH = "/-/kv-key"
RANGE_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"

ROUTE_TYPE_IDEMPOTENT = "idempotent"
ROUTE_TYPE_NON_IDEMPOTENT = "non_idempotent"
# Requests with large bodies, which must not be repeated.
ROUTE_TYPE_UPLOAD = "upload"
# Requests with large responses, which may be repeated.
ROUTE_TYPE_DOWNLOAD = "download"
TARGET_STATE_READY = "ready"
TARGET_STATE_DRAINING = "draining"
