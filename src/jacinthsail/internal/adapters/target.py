"""Calls the own target over HTTP."""

import asyncio
from functools import lru_cache, singledispatch
from typing import Any

import aiohttp
import mode
from yarl import URL

from jacinthsail.internal.adapters.exchange import TargetResponse, post
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
from jacinthsail.internal.model.draining import LeavingState
from jacinthsail.internal.model.settings import Endpoint, Mechanism, NodeSettings

# A target on the same VM that does not accept within this time has a full accept queue.
CONNECT_TIMEOUT_S = 1.0

# The time-out for connecting ends a little before the deadline, so that a call that only waited
# for a connection is known not to have run.
CONNECT_SHARE = 0.95

# Frames between nodes are limited to 2 MB; a larger answer would end the connection and with it
# the other calls on it.
MAX_ANSWER_BYTES = 1024 * 1024

HEALTH_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 1.0

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


def new_session() -> aiohttp.ClientSession:
    """Return a client session without the features that a call to a target does not need.

    Admission limits the calls in flight, so the connector needs no limit of its own; the cookie
    jar, automatic headers and time-out machinery cost 0.17 ms a call at the median.
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
    """Send the call to the target and return what is known of it afterwards."""
    head = call.head
    url = _target_url(settings.target, head.service, head.call_class)
    headers = request_headers(call, now)
    timeout = _timeout_before(head.deadline - now)
    whole = Mechanism.WHOLE_ANSWERS not in settings.disabled
    try:
        async with asyncio.timeout_at(head.deadline):
            response = await post(session, url, call.body, headers, timeout, whole=whole)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        if Mechanism.NOT_RUN_PROOF in settings.disabled:
            return NotRun(Reason.CONNECTION_LOST, head.retries_left)
        return outcome_of_failure(error, head.retries_left)
    retries_left = _integer(response.headers.get(RETRIES_LEFT), head.retries_left)
    if response.headers.get(OUTCOME) == NOT_RUN:
        return NotRun(Reason.TARGET_REFUSED, retries_left)
    if whole and not _has_known_end(response):
        return Unknown(Reason.INCOMPLETE_ANSWER, retries_left)
    if len(response.body) > MAX_ANSWER_BYTES:
        return Unknown(Reason.INCOMPLETE_ANSWER, retries_left)
    content_type = response.headers.get(CONTENT_TYPE, "application/octet-stream")
    return Answered(response.status, content_type, response.body, retries_left)


@lru_cache(maxsize=256)
def _target_url(endpoint: Endpoint, service: str, call_class: str) -> URL:
    """Return the URL of a class at the target; a target serves few, so they are kept."""
    return URL(f"http://{endpoint.host}:{endpoint.port}/{service}/{call_class}", encoded=True)


def _timeout_before(remaining_s: float) -> aiohttp.ClientTimeout:
    if remaining_s > CONNECT_TIMEOUT_S:
        return _TIMEOUT
    return aiohttp.ClientTimeout(total=None, sock_connect=max(remaining_s, 0.0) * CONNECT_SHARE)


def _has_known_end(response: TargetResponse) -> bool:
    """Tell whether a lost connection would have been noticed as a short answer.

    An answer without a length ends where its connection ends, even when the target died half-way.
    """
    if CONTENT_LENGTH in response.headers or TRANSFER_ENCODING in response.headers:
        return True
    return response.status in (204, 304)


@singledispatch
def outcome_of_failure(error: Exception, retries_left: int) -> Outcome:
    """Return what is known of a call whose exchange with the target failed."""
    return Unknown(Reason.CONNECTION_LOST, retries_left)


@outcome_of_failure.register
def _(error: aiohttp.ClientConnectorError, retries_left: int) -> Outcome:
    return NotRun(Reason.TARGET_UNREACHABLE, retries_left)


@outcome_of_failure.register
def _(error: aiohttp.ConnectionTimeoutError, retries_left: int) -> Outcome:
    return NotRun(Reason.TARGET_UNREACHABLE, retries_left)


@outcome_of_failure.register
def _(error: aiohttp.ClientPayloadError, retries_left: int) -> Outcome:
    return Unknown(Reason.INCOMPLETE_ANSWER, retries_left)


@outcome_of_failure.register
def _(error: TimeoutError, retries_left: int) -> Outcome:
    return Unknown(Reason.DEADLINE_EXPIRED, retries_left)


def _integer(text: str | None, default: int) -> int:
    if text is None or not text.isdigit():
        return default
    return min(int(text), default)


class TargetHealth(mode.Service):
    """Asks the own target every second whether it is draining."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoint: Endpoint,
        leaving: LeavingState,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.session = session
        self.url = URL(f"http://{endpoint.host}:{endpoint.port}/health")
        self.leaving = leaving

    @mode.Service.task
    async def poll(self) -> None:
        """Record each answer; no answer says nothing about draining."""
        while not self.should_stop:
            await asyncio.sleep(HEALTH_INTERVAL_S)
            try:
                says_draining = await self._ask()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                continue
            record_health(self.leaving, says_draining)

    async def _ask(self) -> bool:
        async with asyncio.timeout(HEALTH_TIMEOUT_S):
            async with self.session.get(self.url) as response:
                return says_draining_of(await response.json(content_type=None))


def says_draining_of(answer: object) -> bool:
    """Tell whether a health answer says that the target drains."""
    match answer:
        case {"state": "draining"}:
            return True
    return False
