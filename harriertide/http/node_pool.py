"""The bounded pool of connections to storage nodes. It returns no connection with unread or surplus input."""

from __future__ import annotations

import asyncio
from typing import Any

from harriertide.http.limits import Limits
from harriertide.http.node_connection import NodeConnection
from harriertide.http.socket_state import has_unread_input

# Delay after a response before the connection is reused: a faulty node may send surplus bytes some
# milliseconds after its response.
REUSE_DELAY_S = 0.01


class NodeConnectionPool:
    """All connections to nodes, idle or active.

    :param idle_timeout_s: time after which an idle connection is closed
    """

    def __init__(self, limits: Limits, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.apply_limits(limits)
        self._loop = asyncio.get_running_loop()
        self._connections: set[NodeConnection] = set()
        self._connecting_count = 0
        self.buffered_bytes = 0  # reserved for all responses
        self._idle: dict[NodeConnection, None] = {}  # longest idle first
        self._idle_by_address: dict[str, list[NodeConnection]] = {}  # longest idle first
        self._active: dict[str, NodeConnection] = {}  # by request ID
        self._expiry_timer: asyncio.TimerHandle | None = None

    def apply_limits(self, limits: Limits) -> None:
        """Apply new limits; open connections above them are closed when they are released."""
        self.max_connections = limits.max_node_connections
        self.max_response_bytes = limits.max_response_bytes
        self.max_buffered_bytes = limits.max_buffered_response_bytes

    def __len__(self) -> int:
        return len(self._connections) + self._connecting_count

    def connections(self) -> list[NodeConnection]:
        """Return all open connections."""
        return list(self._connections)

    # --- memory for responses ------------------------------------------------------------------

    def reserve(self, connection: NodeConnection, size: int) -> bool:
        """Reserve memory for a response until its connection is released; False above the limit."""
        if self.buffered_bytes + size > self.max_buffered_bytes:
            return False
        connection.buffered_bytes += size
        self.buffered_bytes += size
        return True

    def _return_memory(self, connection: NodeConnection) -> None:
        self.buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    # --- connections for requests --------------------------------------------------------------

    def take_idle(self, address: str) -> NodeConnection | None:
        """Take the most recently used idle connection to an address, so that surplus connections expire.

        Connections with an unread close or unread bytes are aborted, and those used within REUSE_DELAY_S are
        skipped: bytes that arrive late would be taken for the response to the next request.
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
        """Open a connection; None if the limit is reached and no idle connection can be closed instead.

        :raises OSError: the connection cannot be established
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
            raise ConnectionResetError("the connection was closed while it was being established")
        self._connections.add(connection)
        return connection

    def active_connection(self, request_id: str) -> NodeConnection | None:
        """Return the connection that carries an attempt of a request; None once it is idle or closed."""
        return self._active.get(request_id)

    def mark_active(self, connection: NodeConnection, request_id: str) -> None:
        """Record that an attempt of a request was written to a connection."""
        connection.request_id = request_id
        self._active[request_id] = connection

    def _mark_inactive(self, connection: NodeConnection) -> None:
        if self._active.get(connection.request_id) is connection:
            del self._active[connection.request_id]

    # --- released and closed connections ---------------------------------------------------------

    def release(self, connection: NodeConnection) -> None:
        """Take a connection back after an exchange: keep it if it is reusable, else abort it."""
        self._return_memory(connection)
        if not connection.is_reusable or len(self) > self.max_connections:
            connection.abort()
            return
        self._mark_inactive(connection)
        self.keep_idle(connection)

    def keep_idle(self, connection: NodeConnection) -> None:
        """Keep a connection idle for later requests."""
        connection.mark_idle()
        connection.idle_since = self._loop.time()
        self._idle[connection] = None
        self._idle_by_address.setdefault(connection.address, []).append(connection)
        if self._expiry_timer is None:
            expires_at = connection.idle_since + self.idle_timeout_s
            self._expiry_timer = self._loop.call_at(expires_at, self._close_expired)

    def remove(self, connection: NodeConnection) -> None:
        """Remove a closed connection."""
        self._return_memory(connection)
        self._mark_inactive(connection)
        self._connections.discard(connection)
        if connection in self._idle:
            self._remove_idle(connection)

    def _remove_idle(self, connection: NodeConnection) -> None:
        """Remove a connection from the idle ones."""
        del self._idle[connection]
        connections = self._idle_by_address[connection.address]
        connections.remove(connection)
        if not connections:
            del self._idle_by_address[connection.address]

    def _close_idle(self, connection: NodeConnection) -> None:
        self._remove_idle(connection)
        connection.abort()

    def _close_expired(self) -> None:
        """Close the connections that have been idle for longer than the idle timeout."""
        self._expiry_timer = None
        while self._idle:
            connection = next(iter(self._idle))
            expires_at = connection.idle_since + self.idle_timeout_s
            if expires_at > self._loop.time():
                self._expiry_timer = self._loop.call_at(expires_at, self._close_expired)
                return
            self._close_idle(connection)

    async def close(self) -> None:
        """Close all connections, and wait until they are closed."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        close_waiters: list[Any] = [
            closed for connection in self._connections if (closed := connection.closed) is not None
        ]
        for connection in list(self._connections):
            connection.abort()
        await asyncio.gather(*close_waiters, return_exceptions=True)
