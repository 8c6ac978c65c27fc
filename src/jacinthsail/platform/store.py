"""Client of the platform's store."""

import asyncio
import base64
import json
import logging
from collections.abc import Mapping
from typing import Any, NamedTuple
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
    ChangesTooLarge,
    HistoryCompacted,
    ManifestPublished,
    PublishedItem,
    StoreChange,
    StoreDelta,
    StoreResponse,
    StoreSnapshot,
    StoreUnavailable,
    TargetRemoved,
    UndecodableItem,
)
from jacinthsail.platform import names
from jacinthsail.platform.decoding import decode_manifest, decode_target
from jacinthsail.platform.values import DECODE_ERRORS, bounded_integer, malformed, token

_LOG = logging.getLogger("jacinthsail.store")

# The store responds within milliseconds, a slow store within a few hundred. A read that times out
# is retried soon enough for a change made after an outage of the store to be in force within 2 s.
RESPONSE_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5

# An entry of a target has a few hundred bytes. Larger ones come from other writers, and a copy that
# holds many of them would exceed the largest message between nodes.
MAX_ENTRY_BYTES = 64 * 1024

# Revisions are sent between nodes as 64-bit numbers.
MAX_REVISION = 2**63 - 1

STATUS_OK = 200
STATUS_HISTORY_GONE = 410

_STORE_ERRORS = (OSError, TimeoutError)


class StorePage(NamedTuple):
    """The decoded body of a response, and the era of the store that sent it."""

    body: Any
    era: int


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
        items: list[PublishedItem] = []
        revision: int | None = None
        era = 0
        after = ""
        while True:
            page = await self._get(f"{names.RANGE_PATH}?prefix=&after={quote(after)}")
            if isinstance(page, StoreUnavailable):
                return page
            try:
                listed = page.body["items"]
                _append_items(listed, items)
                if revision is None:
                    revision = _revision(page.body["asOf"])
                    era = page.era
                if page.era != era:
                    return StoreUnavailable("the store went back while its items were read")
                if not page.body["hasMore"] or not listed:
                    return StoreSnapshot(tuple(items), revision, era)
                after = _last_key(listed)
            except DECODE_ERRORS as error:
                return StoreUnavailable(f"undecodable page: {malformed('', error).detail}")

    async def read_changes(self, after: int, wait_s: float) -> StoreResponse:
        """Read the changes after a revision, waiting up to ``wait_s`` for the first one."""
        wait_ms = int(wait_s * 1000)
        path = f"{names.WATCH_PATH}?prefix=&after={after}&waitMs={wait_ms}"
        response = await self._get(path, wait_s + RESPONSE_TIMEOUT_S)
        if isinstance(response, StoreUnavailable):
            if response.is_too_large:
                return ChangesTooLarge()
            return HistoryCompacted() if response.status == STATUS_HISTORY_GONE else response
        items: list[PublishedItem] = []
        try:
            _append_items(response.body["events"], items)
            revision = _revision(response.body["asOf"])
            return StoreDelta(tuple(items), after, revision, response.era)
        except DECODE_ERRORS as error:
            return StoreUnavailable(f"undecodable changes: {malformed('', error).detail}")

    def decode(self, item: PublishedItem) -> StoreChange:
        """Return the change that an item stands for, whether the store or a peer sent it."""
        incarnation = item.key.removeprefix(names.TARGETS_PREFIX)
        if item.body is None:
            if incarnation == item.key:
                return UndecodableItem(item.key, "the manifest was removed")
            return TargetRemoved(incarnation)
        if item.key == names.MANIFEST_KEY:
            match decode_manifest(item.body):
                case Success(manifest):
                    return ManifestPublished(manifest)
                case Failure(error):
                    return UndecodableItem(item.key, error.detail)
        if incarnation == item.key:
            return UndecodableItem(item.key, "neither the manifest nor a target")
        match decode_target(incarnation, item.body, self.regions):
            case Success(published):
                change: StoreChange = published
                return change
            case Failure(error):
                return UndecodableItem(item.key, error.detail)
        raise AssertionError("a result is a success or a failure")

    async def _get(
        self, path: str, timeout_s: float = RESPONSE_TIMEOUT_S
    ) -> "StorePage | StoreUnavailable":
        try:
            connection = await self._open_connection()
            async with asyncio.timeout(timeout_s):
                result = await self._exchange(connection, path)
        except _STORE_ERRORS as error:
            self._abort_connection()
            return StoreUnavailable(type(error).__name__)
        if isinstance(result, BrokenExchange):
            return StoreUnavailable(result.detail, is_too_large=result.is_too_large)
        if result.status != STATUS_OK:
            return StoreUnavailable(f"status {result.status}", result.status)
        try:
            return StorePage(json.loads(result.body), _era(result))
        except DECODE_ERRORS as error:
            return StoreUnavailable(f"undecodable response: {malformed('', error).detail}")

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


def _append_items(listed: Any, items: list[PublishedItem]) -> None:
    """Append the manifest and the targets among the listed items or events.

    An item without a valid key and revision is skipped, so that it does not hide the others.
    """
    if not isinstance(listed, list):
        raise TypeError("the list of items is not a list")
    skipped = 0
    for raw in listed:
        try:
            item = _published_item(raw)
        except DECODE_ERRORS:
            skipped += 1
            continue
        if item.key == names.MANIFEST_KEY or item.key.startswith(names.TARGETS_PREFIX):
            items.append(item)
    if skipped:
        _LOG.warning("ignoring %d store items without a valid key and revision", skipped)


def _published_item(raw: Any) -> PublishedItem:
    key = token(raw["key"])
    revision = _revision(raw["revision"])
    if raw.get("deleted") is True:
        return PublishedItem(key, revision, None)
    # No manifest or target decodes from an empty body, so the item is refused and logged once.
    unreadable = PublishedItem(key, revision, b"")
    try:
        body = base64.b64decode(raw["value"], validate=True)
    except DECODE_ERRORS:
        return unreadable
    if key.startswith(names.TARGETS_PREFIX) and len(body) > MAX_ENTRY_BYTES:
        _LOG.warning("store item %s has %d bytes, more than any target's entry", key, len(body))
        return unreadable
    return PublishedItem(key, revision, body)


def _era(response: HttpClientResponse) -> int:
    """Return the era of the store; a store that never states one has not gone back."""
    for name, value in response.headers:
        if name == names.HEADER_STORE_ERA:
            return bounded_integer(int(value), 0, MAX_REVISION)
    return 0


def _revision(value: object) -> int:
    return bounded_integer(value, 0, MAX_REVISION)


def _last_key(listed: list[Any]) -> str:
    """Return the last valid key of a page, after which the next page begins."""
    for raw in reversed(listed):
        try:
            return token(raw["key"])
        except DECODE_ERRORS:
            continue
    raise ValueError("no item of the page has a valid key")


def _ignore(_connection: HttpClientConnection) -> None:
    """Ignore state changes of the connection, as no requests are queued for it."""
