"""Responses to the platform's clients as bytes: heads, framing, chunks, and streamed bodies."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from harriertide.http.body_stream import STREAM_IDLE_TIMEOUT_S, ResponseRemainder

LAST_CHUNK = b"0\r\n\r\n"
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large", 502: "Bad Gateway",
    503: "Service Unavailable",
}  # fmt: skip


class Framing(Enum):
    """How a client finds the end of a response's body."""

    LENGTH = "its length is in the head"
    CHUNKED = "it is sent in chunks"
    UNTIL_CLOSE = "the connection is closed behind it"


def choose_framing(length: int | None, is_http_1_0: bool) -> Framing:
    """The framing for a body.

    :param length: of the whole body, in bytes; None: not known yet
    :param is_http_1_0: the client reads no chunks
    """
    if length is not None:
        return Framing.LENGTH
    return Framing.UNTIL_CLOSE if is_http_1_0 else Framing.CHUNKED


def encode_head(
    status: int, fields: str, length: int | None, framing: Framing, closes: bool, date: str
) -> bytes:
    """The head of a response.

    :param fields: header lines to begin with, each with its line end
    :param length: of the body, where the framing needs it
    :param closes: whether it is the last response on its connection
    :param date: the value of the field Date
    """
    if closes:
        fields += "Connection: close\r\n"
    if framing is Framing.LENGTH:
        fields += f"Content-Length: {length}\r\n"
    elif framing is Framing.CHUNKED:
        fields += "Transfer-Encoding: chunked\r\n"
    head = f"HTTP/1.1 {status} {_REASONS[status]}\r\n{fields}Date: {date}\r\n\r\n"
    return head.encode("utf-8", "surrogateescape")


def encode_chunk(data: bytes) -> bytes:
    """Some bytes as one chunk of a body in chunks."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def send_remainder(
    transport: asyncio.Transport,
    drain: Callable[[], Awaitable[None]],
    remainder: ResponseRemainder,
    framing: Framing,
) -> bool:
    """Send what follows the first part of a body, as fast as the client reads it, and dispose of it.

    :param transport: of the client's connection
    :param drain: waits until the client has read enough for more to be written
    :returns: whether the body went out to its end; False where either side broke off or stood still for
        STREAM_IDLE_TIMEOUT_S
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
