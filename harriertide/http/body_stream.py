"""Bodies that are streamed through the broker, and the memory budget of those that are buffered.

Reading pauses while the other side does not take the data: however long a body is, a bounded part of it is in
memory.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp.streams import StreamReader

from harriertide.http.node_connection import NodeConnection
from harriertide.http.node_pool import NodeConnectionPool

# A body is over when its sender sends no byte for so long, or its reader takes none.
STREAM_IDLE_TIMEOUT_S = 10.0


class ResponseRemainder:
    """The rest of a node's response, and the connection that it is received on.

    :param pool: takes the connection back
    :param content: reads the rest of the body
    :param length: of the whole body; None: the head does not say
    """

    def __init__(
        self, connection: NodeConnection, pool: NodeConnectionPool, content: StreamReader, length: int | None
    ) -> None:
        self._connection: NodeConnection | None = connection
        self._pool = pool
        self._content = content
        self.length = length
        connection.start_forwarding()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the rest of the body to its end; raises as the connection does where it breaks.

        :raises TimeoutError: the node sends nothing for STREAM_IDLE_TIMEOUT_S
        """
        while True:
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                chunk = await self._content.readany()
            if not chunk:
                return
            yield chunk

    def dispose(self) -> None:
        """Release the connection: the rest is not wanted. It is reused only if the body was complete."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            self._pool.release(connection)


class BodyBudget:
    """Memory for request bodies that are buffered so that they can be sent again.

    :param limit_bytes: for all of them together
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int, may_exceed: bool = False) -> bool:
        """Reserve so many bytes; whether there was room for them.

        :param may_exceed: reserve them where there is no room, too
        """
        if self.reserved_bytes + size > self.limit_bytes and not may_exceed:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return what was reserved."""
        self.reserved_bytes -= size
