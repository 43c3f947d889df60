"""The pool of connections to storage nodes: bounded, and it hands out only those that are clean."""

from __future__ import annotations

import asyncio
from typing import Any

from harriertide.http.limits import Limits
from harriertide.http.node_connection import NodeConnection
from harriertide.http.socket_state import has_unread_input

REUSE_DELAY_S = 0.01  # behind an answer, for what a node in trouble sends some milliseconds after it


class NodeConnectionPool:
    """All connections to nodes, within a bound."""

    def __init__(self, limits: Limits, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self._buffered_bytes = 0
        self.apply_limits(limits)
        self._loop = asyncio.get_running_loop()
        self._all: set[NodeConnection] = set()
        self._opening = 0
        self._idle: dict[NodeConnection, None] = {}  # longest idle first
        self._by_address: dict[str, list[NodeConnection]] = {}
        self._active: dict[str, NodeConnection] = {}  # by request
        self._sweeper: asyncio.TimerHandle | None = None

    def apply_limits(self, limits: Limits) -> None:
        """Go by these bounds from now on."""
        self.max_connections, self.max_response_bytes, self.max_buffered_bytes = (
            limits.max_node_connections,
            limits.max_response_bytes,
            limits.max_buffered_response_bytes,
        )

    def __len__(self) -> int:
        return len(self._all) + self._opening

    def connections(self) -> list[NodeConnection]:
        """All connections that are up."""
        return list(self._all)

    def reserve(self, connection: NodeConnection, size: int) -> bool:
        """Whether there is room in memory for an answer; it is given back with its connection."""
        if self._buffered_bytes + size > self.max_buffered_bytes:
            return False
        connection.buffered_bytes += size
        self._buffered_bytes += size
        return True

    def _return_memory(self, connection: NodeConnection) -> None:
        self._buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    def take_idle(self, address: str) -> NodeConnection | None:
        """An idle connection that is fit for a request: the one used last, so that spare ones run out.

        Guards against a request on one whose close, or whose stray bytes, lie there unread, or are still on
        their way: what follows an answer late would pass for the answer to the next request.
        """
        now = self._loop.time()
        for connection in reversed(self._by_address.get(address, [])[:]):
            if now < connection.idle_since + REUSE_DELAY_S:
                continue
            self._remove_idle(connection)
            if (
                not has_unread_input(connection.transport, ends=True)
                and now < connection.idle_since + self.idle_timeout_s
            ):
                return connection
            connection.abort()
        return None

    async def connect(self, address: str) -> NodeConnection | None:
        """A new connection; None where the bound has no room for it."""
        if len(self) >= self.max_connections:
            if not self._idle:
                return None
            self._close_idle(next(iter(self._idle)))
        host, _, port = address.rpartition(":")
        self._opening += 1
        try:
            _, connection = await self._loop.create_connection(
                lambda: NodeConnection(self._loop, address, self), host, int(port)
            )
        finally:
            self._opening -= 1
        if connection.transport is None:
            raise ConnectionResetError("the connection is gone")
        self._all.add(connection)
        return connection

    def active_connection(self, request: str) -> NodeConnection | None:
        """The connection that an attempt of a request was written to, until it is free or closed."""
        return self._active.get(request)

    def mark_active(self, connection: NodeConnection, request: str) -> None:
        """An attempt is about to be written to it."""
        connection.request_id = request
        self._active[request] = connection

    def _mark_inactive(self, connection: NodeConnection) -> None:
        if self._active.get(connection.request_id) is connection:
            del self._active[connection.request_id]

    def release(self, connection: NodeConnection) -> None:
        """Back after an exchange: kept if it is fit, else closed."""
        self._return_memory(connection)
        if not connection.is_reusable or len(self) > self.max_connections:
            connection.abort()
            return
        self._mark_inactive(connection)
        self.keep_idle(connection)

    def keep_idle(self, connection: NodeConnection) -> None:
        """Keep a connection on which nothing is asked."""
        connection.mark_idle()
        connection.idle_since = self._loop.time()
        self._idle[connection] = None
        self._by_address.setdefault(connection.address, []).append(connection)
        if self._sweeper is None:
            self._sweeper = self._loop.call_at(
                connection.idle_since + self.idle_timeout_s, self._close_expired
            )

    def _remove_idle(self, connection: NodeConnection) -> None:
        """No longer idle."""
        del self._idle[connection]
        connections = self._by_address[connection.address]
        connections.remove(connection)
        if not connections:
            del self._by_address[connection.address]

    def _close_idle(self, connection: NodeConnection) -> None:
        self._remove_idle(connection)
        connection.abort()

    def remove(self, connection: NodeConnection) -> None:
        """It is gone."""
        self._return_memory(connection)
        self._mark_inactive(connection)
        self._all.discard(connection)
        if connection in self._idle:
            self._remove_idle(connection)

    def _close_expired(self) -> None:
        """Close what has been idle for too long."""
        self._sweeper = None
        while self._idle:
            connection = next(iter(self._idle))
            if connection.idle_since + self.idle_timeout_s > self._loop.time():
                self._sweeper = self._loop.call_at(
                    connection.idle_since + self.idle_timeout_s, self._close_expired
                )
                return
            self._close_idle(connection)

    async def close(self) -> None:
        """Drop all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        waits: list[Any] = [closed for connection in self._all if (closed := connection.closed) is not None]
        for connection in list(self._all):
            connection.abort()
        await asyncio.gather(*waits, return_exceptions=True)
