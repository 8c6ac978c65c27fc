"""Commands of the clients in a scenario: they send calls at a rate and record the results."""

import asyncio
import json
import random
import time
from typing import NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout

from jacinthsail.testing.run_record import AttemptResult, LoadSpan, RunRecord
from jacinthsail.testing.scenario_loader import read_mix
from jacinthsail.testing.scenario_model import Load, Mix

# Longer than any deadline of the scenarios, so that a node can always return its outcome first.
CLIENT_TIMEOUT = ClientTimeout(total=12.0)

# Outcome that is recorded when no complete response was received.
NO_RESPONSE = "no-answer"


class Client(NamedTuple):
    """The session, URLs and record that all calls of a run share."""

    session: ClientSession
    base_urls: dict[str, str]
    record: RunRecord


async def run_load(load: Load, client: Client) -> None:
    """Send the calls of a load in an open loop, then wait for all outcomes."""
    started_at = time.monotonic()
    client.record["spans"][load.label] = LoadSpan(started_at, load.duration_s)
    mixes = read_mix(load)
    shares = [mix.share for mix in mixes]
    chooser = random.Random(load.label)
    calls: set[asyncio.Task[None]] = set()
    for number in range(int(load.rate * load.duration_s)):
        await asyncio.sleep(max(0.0, started_at + number / load.rate - time.monotonic()))
        mix = chooser.choices(mixes, shares)[0]
        logical_call_id = f"{load.label}-{number}"
        calls.add(
            asyncio.create_task(_send_logical_call(load, mix, number, logical_call_id, client))
        )
    await asyncio.gather(*calls)


def _entry_vm(load: Load, number: int, rotation: int) -> str:
    shift = rotation if load.rotates else 0
    return load.entries[(number + shift) % len(load.entries)]


async def _send_logical_call(
    load: Load, mix: Mix, number: int, logical_call_id: str, client: Client
) -> None:
    key = await _obtain_key(mix, _entry_vm(load, number, 0), client)
    if key is None:
        client.record["attempt_results"].append(_no_key_result(load, mix, logical_call_id))
        return
    copies = []
    for copy in range(mix.repeats):
        copies.append(_send_with_retries(load, mix, number, copy, logical_call_id, key, client))
    await asyncio.gather(*copies)


def _no_key_result(load: Load, mix: Mix, logical_call_id: str) -> AttemptResult:
    return AttemptResult(
        label=load.label,
        request_id=logical_call_id,
        logical_call_id=logical_call_id,
        key="",
        service=mix.service,
        call_class=mix.call_class,
        sent_at=time.monotonic(),
        latency_s=0.0,
        status=0,
        outcome=NO_RESPONSE,
        reason="no-key-issued",
        body="",
        is_last=True,
    )


async def _obtain_key(mix: Mix, entry: str, client: Client) -> str | None:
    if mix.key == "none":
        return ""
    if mix.key == "timed":
        return new_timed_key()
    url = f"{client.base_urls[entry]}/keys/{mix.service}"
    try:
        async with client.session.post(url, timeout=CLIENT_TIMEOUT) as response:
            text = await response.text()
    except (ClientError, OSError, TimeoutError):
        return None
    if response.status >= 300:
        return None
    return str(json.loads(text)["key"]) if text.startswith("{") else text.strip()


def new_timed_key() -> str:
    """Return a new UUIDv7 with the current time."""
    created_at_ms = time.time_ns() // 1_000_000
    number = (created_at_ms << 80) | random.getrandbits(80)
    number = (number & ~(0xF << 76)) | (0x7 << 76)
    number = (number & ~(0x3 << 62)) | (0x2 << 62)
    digits = f"{number:032x}"
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    return "-".join(parts)


async def _send_with_retries(
    load: Load, mix: Mix, number: int, copy: int, logical_call_id: str, key: str, client: Client
) -> None:
    for attempt in range(load.client_retries + 1):
        entry = _entry_vm(load, number, copy + attempt)
        request_id = f"{logical_call_id}-{copy}-{attempt}"
        result = await _send(load, mix, entry, logical_call_id, request_id, key, client)
        is_last = result.outcome == "answered" or attempt == load.client_retries
        client.record["attempt_results"].append(result._replace(is_last=is_last))
        if is_last:
            return
        await asyncio.sleep(load.retry_after_s)


async def _send(
    load: Load,
    mix: Mix,
    entry: str,
    logical_call_id: str,
    request_id: str,
    key: str,
    client: Client,
) -> AttemptResult:
    url = f"{client.base_urls[entry]}/services/{mix.service}/{mix.call_class}"
    body = json.dumps({"id": logical_call_id, "then": mix.then})
    headers = {"Jacinthsail-Request-Id": request_id, "Jacinthsail-Caller": "member-1"}
    if key:
        headers["Idempotency-Key"] = key
    sent_at = time.monotonic()
    status, outcome, reason, text = 0, NO_RESPONSE, "", ""
    timeout = ClientTimeout(total=load.patience_s) if load.patience_s else CLIENT_TIMEOUT
    try:
        async with client.session.post(
            url, data=body, headers=headers, timeout=timeout
        ) as response:
            text = await response.text()
            status = response.status
            outcome = response.headers.get("Jacinthsail-Outcome", NO_RESPONSE)
            reason = response.headers.get("Jacinthsail-Reason", "")
    except (ClientError, OSError, TimeoutError) as error:
        reason = type(error).__name__
    return AttemptResult(
        label=load.label,
        request_id=request_id,
        logical_call_id=logical_call_id,
        key=key,
        service=mix.service,
        call_class=mix.call_class,
        sent_at=sent_at,
        latency_s=time.monotonic() - sent_at,
        status=status,
        outcome=outcome,
        reason=reason,
        body=text,
        is_last=True,
    )
