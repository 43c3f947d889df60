"""Long bodies on their way through: what is still to come of one, and what is kept of all.

Reading stops where the other side does not take what came: a body that passes through holds a bounded part of
itself in memory, however long it is.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp.streams import StreamReader

from harriertide.http.node_connection import NodeConnection
from harriertide.http.node_pool import NodeConnectionPool

STREAM_IDLE_TIMEOUT_S = (
    10.0  # without a byte from the one that sends, or one taken by the one that reads, a body is over
)


class ResponseRemainder:
    """What is still to come of a node's answer, with the connection on which it comes."""

    def __init__(
        self, connection: NodeConnection, pool: NodeConnectionPool, content: StreamReader, length: int | None
    ) -> None:
        self._connection: NodeConnection | None = connection
        self._pool, self._content = pool, content
        self.length = length  # of the whole answer; None: not said
        connection.start_forwarding()

    async def chunks(self) -> AsyncIterator[bytes]:
        """All that comes, to the end; raises as the connection does where it breaks."""
        while True:
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                chunk = await self._content.readany()
            if not chunk:
                return
            yield chunk

    def dispose(self) -> None:
        """Nothing more of it is wanted: the connection is kept only if it came whole."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.release(connection)


class BodyBudget:
    """Bytes of clients' bodies that are kept so that they may be sent again."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int, may_exceed: bool = False) -> bool:
        """Whether there is room for so many more; may_exceed: they are counted where there is none, too."""
        if self.reserved_bytes + size > self.limit_bytes and not may_exceed:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """They are not kept any more."""
        self.reserved_bytes -= size
