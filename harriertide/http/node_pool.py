"""The pool of connections to storage nodes. It is bounded, and hands out only clean connections."""

from __future__ import annotations

import asyncio
from typing import Any

from harriertide.http.limits import Limits
from harriertide.http.node_connection import NodeConnection
from harriertide.http.socket_state import has_unread_input

# Behind a response, for what a node in trouble sends some milliseconds after it.
REUSE_DELAY_S = 0.01


class NodeConnectionPool:
    """All connections to nodes: idle ones, and those that carry an exchange.

    :param idle_timeout_s: after which an idle connection is closed
    """

    def __init__(self, limits: Limits, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.apply_limits(limits)
        self._loop = asyncio.get_running_loop()
        self._connections: set[NodeConnection] = set()
        self._connecting_count = 0
        self._buffered_bytes = 0  # of all responses
        self._idle: dict[NodeConnection, None] = {}  # longest idle first
        self._idle_by_address: dict[str, list[NodeConnection]] = {}  # longest idle first
        self._active: dict[str, NodeConnection] = {}  # by request ID
        self._expiry_timer: asyncio.TimerHandle | None = None

    def apply_limits(self, limits: Limits) -> None:
        """Go by these limits from now on."""
        self.max_connections = limits.max_node_connections
        self.max_response_bytes = limits.max_response_bytes
        self.max_buffered_bytes = limits.max_buffered_response_bytes

    def __len__(self) -> int:
        return len(self._connections) + self._connecting_count

    def connections(self) -> list[NodeConnection]:
        """All connections that are up."""
        return list(self._connections)

    # --- memory for responses ------------------------------------------------------------------

    def reserve(self, connection: NodeConnection, size: int) -> bool:
        """Whether there is memory for so much more of a response; it is returned with its connection."""
        if self._buffered_bytes + size > self.max_buffered_bytes:
            return False
        connection.buffered_bytes += size
        self._buffered_bytes += size
        return True

    def _return_memory(self, connection: NodeConnection) -> None:
        self._buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    # --- connections for requests --------------------------------------------------------------

    def take_idle(self, address: str) -> NodeConnection | None:
        """An idle connection that may carry a request: the one used last, so that spare ones run out.

        Guards against a request on a connection whose close, or whose surplus bytes, lie there unread or are
        still on their way: what follows a response late would pass for the response to the next request.
        """
        now = self._loop.time()
        for connection in reversed(self._idle_by_address.get(address, [])[:]):
            if now < connection.idle_since + REUSE_DELAY_S:
                continue
            self._remove_idle(connection)
            is_fresh = now < connection.idle_since + self.idle_timeout_s
            if is_fresh and not has_unread_input(connection.transport, include_end=True):
                return connection
            connection.abort()
        return None

    async def connect(self, address: str) -> NodeConnection | None:
        """Open a connection; None if the limit is reached and there is no idle one to close instead.

        :raises OSError: it can't be established
        """
        if len(self) >= self.max_connections:
            if not self._idle:
                return None
            self._close_idle(next(iter(self._idle)))
        host, _, port = address.rpartition(":")
        self._connecting_count += 1
        try:
            _, connection = await self._loop.create_connection(
                lambda: NodeConnection(self._loop, address, self), host, int(port)
            )
        finally:
            self._connecting_count -= 1
        if connection.transport is None:
            raise ConnectionResetError("the connection is closed")
        self._connections.add(connection)
        return connection

    def active_connection(self, request_id: str) -> NodeConnection | None:
        """The connection that an attempt of a request was written to, until it is idle or closed."""
        return self._active.get(request_id)

    def mark_active(self, connection: NodeConnection, request_id: str) -> None:
        """An attempt of a request was written to a connection."""
        connection.request_id = request_id
        self._active[request_id] = connection

    def _mark_inactive(self, connection: NodeConnection) -> None:
        if self._active.get(connection.request_id) is connection:
            del self._active[connection.request_id]

    # --- connections that are returned ----------------------------------------------------------

    def release(self, connection: NodeConnection) -> None:
        """Take a connection back after an exchange: keep it if it can carry another one, else close it."""
        self._return_memory(connection)
        if not connection.is_reusable or len(self) > self.max_connections:
            connection.abort()
            return
        self._mark_inactive(connection)
        self.keep_idle(connection)

    def keep_idle(self, connection: NodeConnection) -> None:
        """Keep a connection for later requests."""
        connection.mark_idle()
        connection.idle_since = self._loop.time()
        self._idle[connection] = None
        self._idle_by_address.setdefault(connection.address, []).append(connection)
        if self._expiry_timer is None:
            expires_at = connection.idle_since + self.idle_timeout_s
            self._expiry_timer = self._loop.call_at(expires_at, self._close_expired)

    def remove(self, connection: NodeConnection) -> None:
        """A connection is closed."""
        self._return_memory(connection)
        self._mark_inactive(connection)
        self._connections.discard(connection)
        if connection in self._idle:
            self._remove_idle(connection)

    def _remove_idle(self, connection: NodeConnection) -> None:
        """A connection is no longer idle."""
        del self._idle[connection]
        connections = self._idle_by_address[connection.address]
        connections.remove(connection)
        if not connections:
            del self._idle_by_address[connection.address]

    def _close_idle(self, connection: NodeConnection) -> None:
        self._remove_idle(connection)
        connection.abort()

    def _close_expired(self) -> None:
        """Close what has been idle for too long."""
        self._expiry_timer = None
        while self._idle:
            connection = next(iter(self._idle))
            expires_at = connection.idle_since + self.idle_timeout_s
            if expires_at > self._loop.time():
                self._expiry_timer = self._loop.call_at(expires_at, self._close_expired)
                return
            self._close_idle(connection)

    async def close(self) -> None:
        """Close all connections, and wait for their ends."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        closed_events: list[Any] = [
            closed for connection in self._connections if (closed := connection.closed) is not None
        ]
        for connection in list(self._connections):
            connection.abort()
        await asyncio.gather(*closed_events, return_exceptions=True)
