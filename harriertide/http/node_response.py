"""Responses of storage nodes: read as a whole, up to their first part, or as they come."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp.streams import StreamReader

from harriertide.decide import api
from harriertide.http.body_stream import ResponseRemainder
from harriertide.http.node_connection import NodeConnection

# An attempt whose response is forwarded is over with so much of it, or so long behind its first bytes. What
# breaks before that can be made good by another attempt.
FIRST_PART_BYTES = 64 * 1024
FIRST_PART_WAIT_S = 0.05
FIRST_PART_MIN_BYTES = 4096  # of a body of unknown length, before it may end the attempt


@dataclass(frozen=True, slots=True)
class Reply:
    """A node's response: all of it, or as far as it has come.

    :param rest: what follows in the body; None: nothing does
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    rest: ResponseRemainder | None = None

    def dispose(self) -> None:
        """Let go of the connection: nobody wants the rest any more."""
        if self.rest is not None:
            self.rest.dispose()


class IncomingResponse:
    """A node's response, its head read and its body on the way. The connection bounds how much may come."""

    __slots__ = ("status", "headers", "content", "connection", "detached")

    def __init__(
        self, status: int, headers: Mapping[str, str], content: StreamReader, connection: NodeConnection
    ) -> None:
        self.status = status
        self.headers = headers
        self.content = content
        self.connection = connection
        self.detached = False  # its connection has another owner now

    async def read(self) -> bytes:
        """The whole body."""
        return await self.content.read()

    async def read_first_part(self) -> bytes:
        """Read FIRST_PART_BYTES of the body, or what has come FIRST_PART_WAIT_S after its first bytes.

        It is less only where more is sure to follow: the head's length says so, or FIRST_PART_MIN_BYTES have
        come and it goes on.
        """
        loop = asyncio.get_running_loop()
        is_long = (self.content_length or 0) > FIRST_PART_BYTES
        part = bytearray()
        enough_at: float | None = None
        while len(part) < FIRST_PART_BYTES and not self.content.at_eof():
            is_enough = is_long or len(part) >= FIRST_PART_MIN_BYTES
            if is_enough and enough_at is not None and loop.time() >= enough_at:
                break
            limit = asyncio.timeout_at(enough_at if is_long else None)
            try:
                async with limit:
                    part += await self.content.readany()
            except TimeoutError:
                if not limit.expired():  # the deadline of the attempt, not of its first part
                    raise
                break
            if enough_at is None and part:
                enough_at = loop.time() + FIRST_PART_WAIT_S
        return bytes(part)

    @property
    def content_length(self) -> int | None:
        """The length that the head states."""
        text = self.headers.get("Content-Length")
        return int(text) if text is not None else None


def classify_response(response: IncomingResponse | Reply) -> api.OutcomeKind:
    """What a response means for its attempt, by its status."""
    if 200 <= response.status < 300:
        return "ok"
    if response.headers.get("X-Rejected") == "1":
        if response.status == 503:
            return "rejected"
        if response.status == 504:  # the request is over, or for another shard: no fault of the node
            return "not_sent"
    return "error"
