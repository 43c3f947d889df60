"""Encodes responses to platform clients: heads, framing, chunks and streamed bodies."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from harriertide.http.body_stream import STREAM_IDLE_TIMEOUT_S, ResponseRemainder

LAST_CHUNK = b"0\r\n\r\n"
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large", 417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
}  # fmt: skip


class Framing(Enum):
    """How a client detects the end of a response body."""

    LENGTH = "the head states the length of the body"
    CHUNKED = "the body uses the chunked transfer encoding"
    UNTIL_CLOSE = "the connection is closed after the body"


def choose_framing(length: int | None, is_http_1_0: bool) -> Framing:
    """Return the framing for a response body.

    :param length: the length of the whole body in bytes; None: not known yet
    :param is_http_1_0: whether the client uses HTTP/1.0, which has no chunked encoding
    """
    if length is not None:
        return Framing.LENGTH
    return Framing.UNTIL_CLOSE if is_http_1_0 else Framing.CHUNKED


def encode_head(
    status: int, fields: str, length: int | None, framing: Framing, closes_connection: bool, date: str
) -> bytes:
    """Encode the head of a response.

    :param fields: the first header lines, each with its line end
    :param length: the length of the body, if the framing needs it
    :param closes_connection: whether the connection closes after this response
    :param date: the value of the Date header
    """
    if closes_connection:
        fields += "Connection: close\r\n"
    if framing is Framing.LENGTH:
        fields += f"Content-Length: {length}\r\n"
    elif framing is Framing.CHUNKED:
        fields += "Transfer-Encoding: chunked\r\n"
    head = f"HTTP/1.1 {status} {_REASONS[status]}\r\n{fields}Date: {date}\r\n\r\n"
    return head.encode("utf-8", "surrogateescape")


def encode_chunk(data: bytes) -> bytes:
    """Encode bytes as a chunk of the chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def send_remainder(
    transport: asyncio.Transport,
    drain: Callable[[], Awaitable[None]],
    remainder: ResponseRemainder,
    framing: Framing,
) -> bool:
    """Send the remainder of a body, as fast as the client reads it, and dispose of the remainder.

    :param transport: the transport of the client connection
    :param drain: waits until the client has read enough for more data to be written
    :returns: whether the whole body was sent; False if the client or the node closed its connection or was
        idle for STREAM_IDLE_TIMEOUT_S
    """
    try:
        async for chunk in remainder.chunks():
            transport.write(encode_chunk(chunk) if framing is Framing.CHUNKED else chunk)
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                await drain()
    except (OSError, TimeoutError, aiohttp.ClientError, HttpProcessingError):
        return False
    finally:
        remainder.dispose()
    if framing is Framing.CHUNKED:
        transport.write(LAST_CHUNK)
    return True
