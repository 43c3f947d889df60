"""Streamed bodies.

Reading pauses while the other side does not accept the data, so that only a bounded part of a body is in
memory.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp.streams import StreamReader

from harriertide.http.node_connection import NodeConnection
from harriertide.http.node_pool import NodeConnectionPool

# A streamed body is aborted if its sender sends nothing, or its reader accepts nothing, for this long.
STREAM_IDLE_TIMEOUT_S = 10.0


class ResponseRemainder:
    """The rest of a node's response, and the connection that receives it.

    :param pool: the pool that the connection is returned to
    :param content: reader of the rest of the body
    :param length: length of the whole body; None if the head does not state it
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
        """Yield the rest of the body; errors of the connection are passed on.

        :raises TimeoutError: the node sent nothing for STREAM_IDLE_TIMEOUT_S
        """
        while True:
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                chunk = await self._content.readany()
            if not chunk:
                return
            yield chunk

    def dispose(self) -> None:
        """Release the connection, which is reused only if the body was received completely."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            self._pool.release(connection)
