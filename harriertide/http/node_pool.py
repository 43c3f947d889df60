"""The pool of connections to storage nodes: bounded, and it hands out only those that are clean."""

from __future__ import annotations

import asyncio
from typing import Any

from harriertide.http.limits import Limits
from harriertide.http.node_connection import NodeConnection
from harriertide.http.socket_state import unread

REST_S = 0.01  # behind an answer, for what a node in trouble sends some milliseconds after it


class Pool:
    """All connections to nodes, within a bound."""

    def __init__(self, limits: Limits, keep_s: float) -> None:
        self.keep_s = keep_s
        self._held = 0
        self.limit(limits)
        self._loop = asyncio.get_running_loop()
        self._all: set[NodeConnection] = set()
        self._opening = 0
        self._idle: dict[NodeConnection, None] = {}  # longest idle first
        self._by_address: dict[str, list[NodeConnection]] = {}
        self._at_work: dict[str, NodeConnection] = {}  # by request
        self._sweeper: asyncio.TimerHandle | None = None

    def limit(self, limits: Limits) -> None:
        """Go by these bounds from now on."""
        self.most, self.answer, self.held_most = limits.boxes, limits.answer, limits.held

    def __len__(self) -> int:
        return len(self._all) + self._opening

    def connections(self) -> list[NodeConnection]:
        """All connections that are up."""
        return list(self._all)

    def hold(self, connection: NodeConnection, size: int) -> bool:
        """Whether there is room in memory for an answer; it is given back with its connection."""
        if self._held + size > self.held_most:
            return False
        connection.held += size
        self._held += size
        return True

    def _let_go(self, connection: NodeConnection) -> None:
        self._held -= connection.held
        connection.held = 0

    def take(self, address: str) -> NodeConnection | None:
        """An idle connection that is fit for a request: the one used last, so that spare ones run out.

        Guards against a request on one whose close, or whose stray bytes, lie there unread, or are still on
        their way: what follows an answer late would pass for the answer to the next request.
        """
        now = self._loop.time()
        for connection in reversed(self._by_address.get(address, [])[:]):
            if now < connection.idle_since + REST_S:
                continue
            self._forget(connection)
            if not unread(connection.transport, ends=True) and now < connection.idle_since + self.keep_s:
                return connection
            connection.abort()
        return None

    async def open(self, address: str) -> NodeConnection | None:
        """A new connection; None where the bound has no room for it."""
        if len(self) >= self.most:
            if not self._idle:
                return None
            self._close(next(iter(self._idle)))
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

    def at_work(self, request: str) -> NodeConnection | None:
        """The connection that an attempt of a request was written to, until it is free or closed."""
        return self._at_work.get(request)

    def begin(self, connection: NodeConnection, request: str) -> None:
        """An attempt is about to be written to it."""
        connection.request = request
        self._at_work[request] = connection

    def _done(self, connection: NodeConnection) -> None:
        if self._at_work.get(connection.request) is connection:
            del self._at_work[connection.request]

    def put(self, connection: NodeConnection) -> None:
        """Back after an exchange: kept if it is fit, else closed."""
        self._let_go(connection)
        if not connection.fit or len(self) > self.most:
            connection.abort()
            return
        self._done(connection)
        self.rest(connection)

    def rest(self, connection: NodeConnection) -> None:
        """Keep a connection on which nothing is asked."""
        connection.rest()
        connection.idle_since = self._loop.time()
        self._idle[connection] = None
        self._by_address.setdefault(connection.address, []).append(connection)
        if self._sweeper is None:
            self._sweeper = self._loop.call_at(connection.idle_since + self.keep_s, self._sweep)

    def _forget(self, connection: NodeConnection) -> None:
        """No longer idle."""
        del self._idle[connection]
        connections = self._by_address[connection.address]
        connections.remove(connection)
        if not connections:
            del self._by_address[connection.address]

    def _close(self, connection: NodeConnection) -> None:
        self._forget(connection)
        connection.abort()

    def drop(self, connection: NodeConnection) -> None:
        """It is gone."""
        self._let_go(connection)
        self._done(connection)
        self._all.discard(connection)
        if connection in self._idle:
            self._forget(connection)

    def _sweep(self) -> None:
        """Close what has been idle for too long."""
        self._sweeper = None
        while self._idle:
            connection = next(iter(self._idle))
            if connection.idle_since + self.keep_s > self._loop.time():
                self._sweeper = self._loop.call_at(connection.idle_since + self.keep_s, self._sweep)
                return
            self._close(connection)

    async def close(self) -> None:
        """Drop all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        waits: list[Any] = [closed for connection in self._all if (closed := connection.closed) is not None]
        for connection in list(self._all):
            connection.abort()
        await asyncio.gather(*waits, return_exceptions=True)
