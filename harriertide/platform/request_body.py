"""Bodies of platform requests: buffered until complete, or streamed to the node while they arrive.

A retry can send a buffered body again. All buffered bodies share a memory budget; one that finds no room in
it is streamed, and has one attempt.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from aiohttp.streams import StreamReader

from harriertide.engine.runtime import Attempt
from harriertide.http.body_stream import STREAM_IDLE_TIMEOUT_S, BodyBudget
from harriertide.platform.fields import HeaderFields
from harriertide.platform.response_writer import LAST_CHUNK, encode_chunk

MAX_REQUEST_BODY_BYTES = 32 * 1024 * 1024  # the longest that the platform's protocol allows
MAX_LENGTH_DIGITS = 9  # of a Content-Length; more say nothing but "too long"
ALWAYS_BUFFERED_BYTES = 64 * 1024  # a body up to so long is buffered even where the budget is used up


class BodyTooLongError(Exception):
    """The client sent a body of more than MAX_REQUEST_BODY_BYTES; it is answered with status 413."""


def declared_length(fields: HeaderFields) -> int:
    """The length that the head states; 0 where it states none.

    :raises BodyTooLongError: it is more than a body may have, or no number at all
    """
    digits = fields.get(b"content-length", b"0")
    if len(digits) > MAX_LENGTH_DIGITS or not digits.isdigit() or int(digits) > MAX_REQUEST_BODY_BYTES:
        raise BodyTooLongError("the body is too long")
    return int(digits)


class RequestBodyBuffer:
    """The received part of the current request's body, and its share of the memory budget.

    :param budget: for the buffered bodies of all connections
    """

    __slots__ = ("_budget", "_parts", "_reserved_bytes", "received_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._parts: list[bytes] = []
        self._reserved_bytes = 0  # until the request is answered, as a retry sends the body again
        self.received_bytes = 0

    def append(self, part: bytes) -> None:
        """Take the next bytes of the body."""
        self._parts.append(part)
        self.received_bytes += len(part)

    def reserve(self, size: int) -> bool:
        """Reserve memory for so many bytes of this body in total; whether the budget had room for them."""
        missing = size - self._reserved_bytes
        if missing > 0 and self._budget.reserve(missing, may_exceed=size <= ALWAYS_BUFFERED_BYTES):
            self._reserved_bytes = size
        return self._reserved_bytes >= size

    def is_too_long(self) -> bool:
        """Whether more was received than a body may have."""
        return self.received_bytes > MAX_REQUEST_BODY_BYTES

    def take(self) -> bytes:
        """Take what was received, in one piece. The buffer keeps nothing: no budget counts a second copy."""
        joined = b"".join(self._parts)
        self._parts = []
        return joined

    def clear(self) -> None:
        """Forget the body and return its memory to the budget."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._parts = []
        self.received_bytes = 0


class BodyOwner(Protocol):
    """The connection that a body is received on."""

    fields: HeaderFields

    def on_body_too_long(self) -> None:
        """More was received than a body may have."""

    def on_body_end(self) -> None:
        """The last byte of the body was read."""


class StreamedRequestBody:
    """A request body that is streamed to the node: the received part any number of times, the rest once.

    :param owner: the connection that it is received on
    :param reader: of its rest
    :param first_part: what was received already; a retry can send it again while nothing more was sent
    """

    def __init__(self, owner: BodyOwner, reader: StreamReader, first_part: bytes) -> None:
        self._owner = owner
        self._reader = reader
        self._first_part = first_part
        length = owner.fields.get(b"content-length")
        self._is_chunked = length is None
        self.framing_header = (
            (b"Content-Length", length) if length is not None else (b"Transfer-Encoding", b"chunked")
        )

    async def chunks(self, attempt: Attempt) -> AsyncIterator[bytes]:
        """Yield the body in its framing. Once more than the first part is read, no retry can follow.

        :raises BodyTooLongError: the client sends more than a body may have
        :raises TimeoutError: the client sends nothing for STREAM_IDLE_TIMEOUT_S
        """
        yield self._frame(self._first_part)
        attempt.runtime.response_started(attempt)
        received_bytes = len(self._first_part)
        self._first_part = b""
        while not self._reader.at_eof():
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                chunk = await self._reader.readany()
            received_bytes += len(chunk)
            if received_bytes > MAX_REQUEST_BODY_BYTES:
                self._owner.on_body_too_long()
                raise BodyTooLongError("the body is too long")
            if chunk:
                yield self._frame(chunk)
        if self._is_chunked:
            yield LAST_CHUNK
        self._owner.on_body_end()

    def _frame(self, data: bytes) -> bytes:
        return encode_chunk(data) if self._is_chunked else data
