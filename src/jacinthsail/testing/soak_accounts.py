"""Keys of client accounts in the fault soak: each manifest adds one and withdraws an old one."""

from random import Random
from typing import Any

from jacinthsail.testing.soak_model import SoakRecord

ACCOUNT = "opera"
KEYS_IN_FORCE = 2
REVOCATION_S = 5

# Share of the requests that use a key that was withdrawn earlier.
WITHDRAWN_SHARE = 0.15

SETTINGS_LINES = f"""\
strictRevoke = true
revoke = "{REVOCATION_S}s"
quotaWindow = "5s"
quotaOverage = 0.25
quotaSlack = 20
"""


class SoakAccounts:
    """The keys that were given out, and those that the requests use."""

    def __init__(self, seed: int, record: SoakRecord) -> None:
        self.record = record
        self.random = Random(f"accounts {seed}")
        self.keys: list[str] = []

    def tenants(self) -> list[dict[str, Any]]:
        """Return the accounts for the next manifest, with one new key."""
        self.keys.append(f"k{len(self.keys)}-{self.random.getrandbits(64):016x}")
        # The cap is far above the load, so that each request also passes through a home.
        return [
            {
                "name": ACCOUNT,
                "apiKeys": self.keys[-KEYS_IN_FORCE:],
                "priority": 1,
                "ratePerS": 100_000,
                "burst": 100_000,
            }
        ]

    def record_published(self, now: float) -> None:
        """Record that the store has acknowledged the manifest, which withdraws a key."""
        for key in self.keys[:-KEYS_IN_FORCE]:
            self.record["withdrawals"].setdefault(key, now)

    def header_line(self, request_id: str) -> str:
        """Return the header line with the key of a request."""
        key = self.keys[-KEYS_IN_FORCE:][0]
        withdrawn = self.keys[:-KEYS_IN_FORCE]
        if withdrawn and self.random.random() < WITHDRAWN_SHARE:
            key = self.random.choice(withdrawn)
        self.record["keys"][request_id] = key
        return f"X-Api-Key: {key}\r\n"

    def check_headers(self, request_id: str, headers: list[tuple[bytes, bytes]]) -> None:
        """Record a request at a target that has a key, or the wrong account."""
        names = [value for name, value in headers if name.lower() == b"x-tenant-id"]
        has_key = any(name.lower() == b"x-api-key" for name, _ in headers)
        is_nested = "." in request_id
        if has_key or names != ([] if is_nested else [ACCOUNT.encode("ascii")]):
            self.record["wrong_accounts"].append(request_id)
