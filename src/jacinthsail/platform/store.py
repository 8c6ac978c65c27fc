"""Client of the platform's store."""

import asyncio
import base64
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from returns.result import Failure, Success

from jacinthsail.internal.adapters.http_client import (
    BrokenExchange,
    ExchangeResult,
    HttpClientConnection,
    HttpClientResponse,
)
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.internal.model.store import (
    HistoryCompacted,
    ManifestPublished,
    StoreChange,
    StoreDelta,
    StoreResponse,
    StoreSnapshot,
    StoreUnavailable,
    TargetPublished,
    TargetRemoved,
    UndecodableItem,
)
from jacinthsail.platform import names
from jacinthsail.platform.decoding import DECODE_ERRORS, decode_manifest, decode_target

# The store responds within milliseconds, a slow store within a few hundred. A read that times out
# is retried soon enough for a change made after an outage of the store to be in force within 2 s.
RESPONSE_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5

STATUS_OK = 200
STATUS_HISTORY_GONE = 410

_STORE_ERRORS = (OSError, TimeoutError)


class PlatformStore:
    """Reads the store over one connection, which is reopened after an error."""

    def __init__(self, address: Endpoint, regions: Mapping[str, str]) -> None:
        self.address = address
        self.regions = regions
        self.connection: HttpClientConnection | None = None

    async def read_snapshot(self) -> StoreResponse:
        """Read all published items, page by page.

        The snapshot has the revision of the first page, so that the changes made while the later
        pages are read are returned by ``read_changes``.
        """
        changes: list[StoreChange] = []
        listed: set[str] = set()
        revision: int | None = None
        after = ""
        while True:
            page = await self._get(f"{names.RANGE_PATH}?prefix=&after={quote(after)}")
            if isinstance(page, StoreUnavailable):
                return page
            try:
                for item in page["items"]:
                    self._decode_item(item, changes, listed)
                    after = item["key"]
                if revision is None:
                    revision = int(page["asOf"])
                if not page["hasMore"] or not page["items"]:
                    return StoreSnapshot(tuple(changes), frozenset(listed), revision)
            except DECODE_ERRORS as error:
                return StoreUnavailable(f"undecodable page: {type(error).__name__}: {error}")

    async def read_changes(self, after: int, wait_s: float) -> StoreResponse:
        """Read the changes after a revision, waiting up to ``wait_s`` for the first one."""
        wait_ms = int(wait_s * 1000)
        path = f"{names.WATCH_PATH}?prefix=&after={after}&waitMs={wait_ms}"
        response = await self._get(path, wait_s + RESPONSE_TIMEOUT_S)
        if isinstance(response, StoreUnavailable):
            return HistoryCompacted() if response.status == STATUS_HISTORY_GONE else response
        changes: list[StoreChange] = []
        try:
            for event in response["events"]:
                self._decode_item(event, changes, set())
            return StoreDelta(tuple(changes), int(response["asOf"]))
        except DECODE_ERRORS as error:
            return StoreUnavailable(f"undecodable changes: {type(error).__name__}: {error}")

    def _decode_item(self, item: Any, changes: list[StoreChange], listed: set[str]) -> None:
        """Decode one item or event into ``changes``; add a listed target to ``listed``.

        A malformed value does not affect the other items.
        """
        key = item["key"]
        if not isinstance(key, str):
            raise TypeError(f"key {key!r} is not a string")
        incarnation = key.removeprefix(names.TARGETS_PREFIX)
        if incarnation != key:
            listed.add(incarnation)
        if item.get("deleted"):
            if incarnation != key:
                changes.append(TargetRemoved(incarnation))
            return
        if key != names.MANIFEST_KEY and incarnation == key:
            return
        try:
            value = base64.b64decode(item["value"], validate=True)
        except DECODE_ERRORS as error:
            changes.append(UndecodableItem(key, f"{type(error).__name__}: {error}"))
            return
        changes.append(self._decode_value(key, incarnation, value))

    def _decode_value(self, key: str, incarnation: str, value: bytes) -> StoreChange:
        if key == names.MANIFEST_KEY:
            match decode_manifest(value):
                case Success(manifest):
                    return ManifestPublished(manifest)
                case Failure(error):
                    return UndecodableItem(key, error.detail)
        match decode_target(incarnation, value, self.regions):
            case Success(entry):
                return TargetPublished(entry)
            case Failure(error):
                return UndecodableItem(key, error.detail)
        raise AssertionError("a result is a success or a failure")

    async def _get(self, path: str, timeout_s: float = RESPONSE_TIMEOUT_S) -> Any:
        try:
            connection = await self._open_connection()
            async with asyncio.timeout(timeout_s):
                result = await self._exchange(connection, path)
        except _STORE_ERRORS as error:
            self._abort_connection()
            return StoreUnavailable(type(error).__name__)
        if isinstance(result, BrokenExchange):
            return StoreUnavailable(result.detail)
        if result.status != STATUS_OK:
            return StoreUnavailable(f"status {result.status}", result.status)
        try:
            return json.loads(result.body)
        except ValueError as error:
            return StoreUnavailable(f"undecodable response: {error}")

    async def _exchange(self, connection: HttpClientConnection, path: str) -> ExchangeResult:
        waiter: asyncio.Future[HttpClientResponse | BrokenExchange] = (
            asyncio.get_running_loop().create_future()
        )

        def on_result(result: ExchangeResult) -> None:
            if not waiter.done():
                waiter.set_result(result)

        request = f"GET {path} HTTP/1.1\r\nHost: {self.address.host}\r\n\r\n"
        connection.send(request.encode("ascii"), on_result)
        return await waiter

    async def _open_connection(self) -> HttpClientConnection:
        if self.connection is not None and self.connection.is_idle():
            return self.connection
        self._abort_connection()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self.connection = await asyncio.get_running_loop().create_connection(
                lambda: HttpClientConnection(_ignore, _ignore),
                self.address.host,
                self.address.port,
            )
        return self.connection

    def _abort_connection(self) -> None:
        if self.connection is not None:
            self.connection.abort()
        self.connection = None


def _ignore(_connection: HttpClientConnection) -> None:
    """Ignore state changes of the connection, as no requests are queued for it."""
