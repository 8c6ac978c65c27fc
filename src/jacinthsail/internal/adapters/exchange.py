"""One HTTP exchange with the own target, without what the client session does for other uses.

The session's request method prepares redirects, cookies, proxies, traces, authentication and a
total time-out, and builds a request and a response object, on every call. A call to the own target
uses none of them, so the connections, the writer and the parser of aiohttp are used directly.
"""

import asyncio
from functools import lru_cache
from typing import NamedTuple

import aiohttp
from aiohttp import hdrs
from aiohttp.connector import Connection
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

_READ_BUFFER_BYTES = 1 << 16


class TargetResponse(NamedTuple):
    """What arrived as the answer of the target."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


async def post(
    session: aiohttp.ClientSession,
    url: URL,
    body: bytes,
    headers: dict[str, str],
    timeout: aiohttp.ClientTimeout,
    *,
    whole: bool,
) -> TargetResponse:
    """Send a request and return its response; without ``whole`` also one that is cut short.

    Redirects are not followed: the caller gets the target's own answer, and nothing runs twice.
    """
    connection = await _connect(session, url, timeout)
    try:
        await _write(connection, url, body, headers)
        response = await _read(connection, whole)
    except BaseException:
        # The rest of this exchange must not meet the next one on the connection.
        connection.close()
        raise
    connection.release()
    return response


async def _connect(
    session: aiohttp.ClientSession, url: URL, timeout: aiohttp.ClientTimeout
) -> Connection:
    assert session.connector is not None, "the session is closed"
    try:
        return await session.connector.connect(_request_to(url), traces=[], timeout=timeout)
    except TimeoutError as error:
        raise aiohttp.ConnectionTimeoutError(f"no connection to {url} in time") from error


@lru_cache(maxsize=256)
def _request_to(url: URL) -> aiohttp.ClientRequest:
    """Return a request from which a connector reads only where to connect to."""
    return aiohttp.ClientRequest(hdrs.METH_POST, url)


async def _write(connection: Connection, url: URL, body: bytes, headers: dict[str, str]) -> None:
    """Write head and body at once; the session starts a task for the body on Python 3.11."""
    assert connection.protocol is not None
    connection.protocol.set_response_params(
        read_until_eof=True, auto_decompress=False, read_bufsize=_READ_BUFFER_BYTES
    )
    fields = CIMultiDict(headers)
    fields[hdrs.HOST] = url.host_port_subcomponent or ""
    fields[hdrs.CONTENT_LENGTH] = str(len(body))
    writer = StreamWriter(connection.protocol, asyncio.get_running_loop())
    await writer.write_headers(f"POST {url.raw_path} HTTP/1.1", fields)
    await writer.write_eof(body)


async def _read(connection: Connection, whole: bool) -> TargetResponse:
    assert connection.protocol is not None
    try:
        message, payload = await connection.protocol.read()
        while 100 <= message.code < 200:
            message, payload = await connection.protocol.read()
    except HttpProcessingError as error:
        raise aiohttp.ClientConnectionError(f"malformed answer: {error}") from error
    body = await payload.read() if whole else await _read_what_comes(payload)
    return TargetResponse(message.code, message.headers, body)


async def _read_what_comes(payload: StreamReader) -> bytes:
    """Return the part of the answer that arrived; only without the whole-answers mechanism."""
    body = b""
    try:
        async for chunk in payload.iter_any():
            body += chunk
    except aiohttp.ClientPayloadError:
        return body
    return body
