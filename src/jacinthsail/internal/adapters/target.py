"""Calls the local target over HTTP."""

import asyncio
import json
from functools import lru_cache, singledispatch
from typing import Any

import aiohttp
import mode
from yarl import URL

from jacinthsail.internal.adapters.exchange import TargetResponse, post, read_body
from jacinthsail.internal.adapters.headers import (
    CONTENT_LENGTH,
    CONTENT_TYPE,
    NOT_RUN,
    OUTCOME,
    RETRIES_LEFT,
    TRANSFER_ENCODING,
    request_headers,
)
from jacinthsail.internal.commands.draining import record_health
from jacinthsail.internal.model.calls import Answered, Call, NotRun, Outcome, Reason, Unknown
from jacinthsail.internal.model.draining import DrainState
from jacinthsail.internal.model.settings import Endpoint, Mechanism, NodeSettings

# A target on the same VM that accepts no connection within this time has a full accept queue.
CONNECT_TIMEOUT_S = 1.0

# Fraction of the remaining time that connecting may take. Connecting times out before the deadline,
# so that a call that only waited for a connection is known not to have run.
CONNECT_TIMEOUT_FRACTION = 0.95

HEALTH_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 1.0

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


def new_session() -> aiohttp.ClientSession:
    """Return a client session without the features that a call to a target does not need.

    Admission control limits the calls in flight, so the connector needs no limit. The cookie jar,
    automatic headers and total timeouts would add 0.17 ms to a call at the median.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=_TIMEOUT,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


async def call_target(
    session: aiohttp.ClientSession, settings: NodeSettings, call: Call, now: float
) -> Outcome:
    """Send the call to the target and return its outcome."""
    context = call.context
    url = _target_url(settings.target, context.service, context.call_class)
    headers = request_headers(call, now)
    timeout = _connect_timeout(context.deadline - now)
    require_complete = Mechanism.WHOLE_ANSWERS not in settings.disabled
    try:
        async with asyncio.timeout_at(context.deadline):
            response = await post(
                session, url, call.body, headers, timeout, require_complete=require_complete
            )
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        if Mechanism.NOT_RUN_PROOF in settings.disabled:
            return NotRun(Reason.CONNECTION_LOST, context.retries_left)
        return failure_outcome(error, context.retries_left)
    retries_left = _parse_retries_left(response.headers.get(RETRIES_LEFT), context.retries_left)
    if response.headers.get(OUTCOME) == NOT_RUN:
        return NotRun(Reason.TARGET_REFUSED, retries_left)
    if require_complete and not _is_truncation_detectable(response):
        return Unknown(Reason.INCOMPLETE_ANSWER, retries_left)
    content_type = response.headers.get(CONTENT_TYPE, "application/octet-stream")
    return Answered(response.status, content_type, response.body, retries_left)


@lru_cache(maxsize=256)
def _target_url(endpoint: Endpoint, service: str, call_class: str) -> URL:
    """Return the URL of a call class at the target; it is cached because a target serves few."""
    return URL(f"http://{endpoint.host}:{endpoint.port}/{service}/{call_class}", encoded=True)


def _connect_timeout(remaining_s: float) -> aiohttp.ClientTimeout:
    if remaining_s > CONNECT_TIMEOUT_S:
        return _TIMEOUT
    return aiohttp.ClientTimeout(
        total=None, sock_connect=max(remaining_s, 0.0) * CONNECT_TIMEOUT_FRACTION
    )


def _is_truncation_detectable(response: TargetResponse) -> bool:
    """Return whether a connection loss would have been detected as a truncated response.

    A response without a length ends with its connection, even when the target died while sending.
    """
    if CONTENT_LENGTH in response.headers or TRANSFER_ENCODING in response.headers:
        return True
    return response.status in (204, 304)


@singledispatch
def failure_outcome(error: Exception, retries_left: int) -> Outcome:
    """Return the outcome of a call whose exchange with the target failed."""
    return Unknown(Reason.CONNECTION_LOST, retries_left)


@failure_outcome.register
def _(error: aiohttp.ClientConnectorError, retries_left: int) -> Outcome:
    return NotRun(Reason.TARGET_UNREACHABLE, retries_left)


@failure_outcome.register
def _(error: aiohttp.ConnectionTimeoutError, retries_left: int) -> Outcome:
    return NotRun(Reason.TARGET_UNREACHABLE, retries_left)


@failure_outcome.register
def _(error: aiohttp.ClientPayloadError, retries_left: int) -> Outcome:
    return Unknown(Reason.INCOMPLETE_ANSWER, retries_left)


@failure_outcome.register
def _(error: TimeoutError, retries_left: int) -> Outcome:
    return Unknown(Reason.DEADLINE_EXPIRED, retries_left)


def _parse_retries_left(text: str | None, default: int) -> int:
    if text is None or not text.isdigit():
        return default
    return min(int(text), default)


class TargetHealth(mode.Service):
    """Polls the local target every second for whether it is draining."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoint: Endpoint,
        drain_state: DrainState,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.session = session
        self.url = URL(f"http://{endpoint.host}:{endpoint.port}/health")
        self.drain_state = drain_state

    @mode.Service.task
    async def poll(self) -> None:
        """Record each response; a failed poll changes nothing."""
        while not self.should_stop:
            await asyncio.sleep(HEALTH_INTERVAL_S)
            try:
                is_draining = await self._fetch_health()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                continue
            record_health(self.drain_state, is_draining)

    async def _fetch_health(self) -> bool:
        async with asyncio.timeout(HEALTH_TIMEOUT_S):
            async with self.session.get(self.url) as response:
                return reports_draining(json.loads(await read_body(response.content)))


def reports_draining(response: object) -> bool:
    """Return whether a health response reports that the target is draining."""
    match response:
        case {"state": "draining"}:
            return True
    return False
