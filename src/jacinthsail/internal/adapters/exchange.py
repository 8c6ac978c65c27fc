"""One HTTP exchange with the local target, without the overhead of the client session.

The session's request method sets up redirects, cookies, proxies, traces, authentication and a
total timeout, and builds a request and a response object, on every call. A call to the local target
needs none of these, so the connections, the writer and the parser of aiohttp are used directly.
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

from jacinthsail.internal.model.statuses import MAX_STATUS, MIN_FINAL_STATUS, MIN_STATUS

_READ_BUFFER_BYTES = 1 << 16

# The size of frames between nodes is limited; a response that exceeds it would close the connection
# between the nodes and fail the other calls on it.
MAX_RESPONSE_BYTES = 1024 * 1024


class TargetResponse(NamedTuple):
    """The response received from the target."""

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
    require_complete: bool,
) -> TargetResponse:
    """Send a request and return its response, or a truncated one if not ``require_complete``.

    A body of more than ``MAX_RESPONSE_BYTES`` raises ``ClientPayloadError``. Redirects are not
    followed: the caller gets the target's response, and the call is not executed twice.
    """
    connection = await _connect(session, url, timeout)
    try:
        await _write(connection, url, body, headers)
        response = await _read(connection, require_complete)
    except BaseException:
        # Leftover bytes of this exchange must not be read by the next one on the connection.
        connection.close()
        raise
    connection.release()
    return response


async def _connect(
    session: aiohttp.ClientSession, url: URL, timeout: aiohttp.ClientTimeout
) -> Connection:
    assert session.connector is not None, "the session is closed"
    try:
        return await session.connector.connect(_connection_request(url), traces=[], timeout=timeout)
    except TimeoutError as error:
        raise aiohttp.ConnectionTimeoutError(f"timed out connecting to {url}") from error


@lru_cache(maxsize=256)
def _connection_request(url: URL) -> aiohttp.ClientRequest:
    """Return a request for the connector, which reads only the address from it."""
    return aiohttp.ClientRequest(hdrs.METH_POST, url)


async def _write(connection: Connection, url: URL, body: bytes, headers: dict[str, str]) -> None:
    """Write head and body without a task; on Python 3.11 the session starts one for the body."""
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


async def _read(connection: Connection, require_complete: bool) -> TargetResponse:
    assert connection.protocol is not None
    try:
        message, payload = await connection.protocol.read()
        while MIN_STATUS <= message.code < MIN_FINAL_STATUS:
            message, payload = await connection.protocol.read()
    except HttpProcessingError as error:
        raise aiohttp.ClientConnectionError(f"malformed response: {error}") from error
    if not MIN_FINAL_STATUS <= message.code <= MAX_STATUS:
        raise aiohttp.ClientConnectionError(f"status {message.code} is not a status of HTTP")
    body = await read_body(payload, require_complete)
    return TargetResponse(message.code, message.headers, body)


async def read_body(payload: StreamReader, require_complete: bool = True) -> bytes:
    """Return a body, or if not ``require_complete`` the part of it that arrived."""
    body = bytearray()
    try:
        async for part in payload.iter_any():
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                break
    except aiohttp.ClientPayloadError:
        if require_complete:
            raise
    if len(body) > MAX_RESPONSE_BYTES:
        # A body without an end would take the memory of the process.
        raise aiohttp.ClientPayloadError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)
