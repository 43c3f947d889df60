"""Responses of storage nodes, read completely, up to the first part, or as a stream."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp.streams import StreamReader

from harriertide.decide import api
from harriertide.http.body_stream import ResponseRemainder
from harriertide.http.node_connection import FIRST_PART_BYTES, NodeConnection

# An attempt whose response is forwarded ends after FIRST_PART_BYTES of the body, or this long after the first
# bytes. A failure before that point can still be retried.
FIRST_PART_WAIT_S = 0.05
FIRST_PART_MIN_BYTES = 4096  # of a body of unknown length, before its attempt may end


@dataclass(frozen=True, slots=True)
class Reply:
    """A node's response with its whole body, or with the first part of it.

    :param rest: the rest of the body; None if `body` is complete
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    rest: ResponseRemainder | None = None

    def dispose(self) -> None:
        """Release the connection, if the rest of the body is not needed any more."""
        if self.rest is not None:
            self.rest.dispose()


class IncomingResponse:
    """A node's response whose head was read. The connection limits the size of the body."""

    __slots__ = ("status", "headers", "content", "connection", "detached")

    def __init__(
        self, status: int, headers: Mapping[str, str], content: StreamReader, connection: NodeConnection
    ) -> None:
        self.status = status
        self.headers = headers
        self.content = content
        self.connection = connection
        self.detached = False  # the connection was passed to a ResponseRemainder

    async def read(self) -> bytes:
        """Read the whole body."""
        return await self.content.read()

    async def read_first_part(self) -> bytes:
        """Read FIRST_PART_BYTES of the body, or what has arrived FIRST_PART_WAIT_S after its first bytes.

        The shorter part is returned only if the stated length exceeds FIRST_PART_BYTES, or if at least
        FIRST_PART_MIN_BYTES have arrived and the body has not ended. Otherwise the body is read to its end.
        """
        loop = asyncio.get_running_loop()
        is_long = (self.content_length or 0) > FIRST_PART_BYTES
        first_part = bytearray()
        wait_until: float | None = None
        while len(first_part) < FIRST_PART_BYTES and not self.content.at_eof():
            is_enough = is_long or len(first_part) >= FIRST_PART_MIN_BYTES
            if is_enough and wait_until is not None and loop.time() >= wait_until:
                break
            timeout = asyncio.timeout_at(wait_until if is_long else None)
            try:
                async with timeout:
                    first_part += await self.content.readany()
            except TimeoutError:
                if not timeout.expired():  # the attempt's deadline, not the first part's
                    raise
                break
            if wait_until is None and first_part:
                wait_until = loop.time() + FIRST_PART_WAIT_S
        return bytes(first_part)

    @property
    def content_length(self) -> int | None:
        """The body length stated in the head."""
        text = self.headers.get("Content-Length")
        return int(text) if text is not None else None


def classify_response(response: IncomingResponse | Reply) -> api.OutcomeKind:
    """Return the outcome of an attempt from the status of its response."""
    if 200 <= response.status < 300:
        return "ok"
    if response.headers.get("X-Rejected") == "1":
        if response.status == 503:
            return "rejected"
        if response.status == 504:  # the request expired or is for another shard: not the node's fault
            return "not_sent"
    return "error"
