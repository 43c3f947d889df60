"""A connection of a client, of any listener, as the connection table follows it.

A connection is silent (nothing was received yet), reading (a part of a request was received), busy (a request
is open on it), idle (kept alive after a response) or lingering: its last response is written, its write side
is shut down, and further input is discarded until the client closes too or the table closes it. Closing with
unread input in the socket makes the kernel reset the connection, which can destroy a response that the client
has not read.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Any, Literal, Protocol

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

# A request must be complete so long after its connection was accepted, a later one after its first byte.
# Guards against connections that send nothing, and heads and bodies that never end.
REQUEST_TIMEOUT_S = 2.4
# Discarded while a connection lingers; more is left unread, as a flood is not to cost other clients.
LINGER_BYTES = 256 * 1024

ConnectionState = Literal["silent", "reading", "busy", "idle", "lingering"]  # as the counters name them


class ConnectionTracker(Protocol):
    """What a connection needs of the connection table."""

    def admit(self, connection: ClientConnection) -> None:
        """A connection was accepted."""

    def remove(self, connection: ClientConnection) -> None:
        """A connection is closed."""

    def set_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """A connection is in this state from now on."""


class ClientConnection(RequestHandler):
    """aiohttp's handler of one connection, which reports to the table what it is doing.

    :param server: that accepted it
    :param table: of all connections
    :param options: of aiohttp's handler
    """

    __slots__ = ("table", "state", "since", "discarded")

    def __init__(self, server: web.Server, table: ConnectionTracker, **options: Any) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), **options)
        self.table = table
        self.state: ConnectionState = "silent"
        self.since = 0.0  # when it came into its state, by the loop's clock
        self.discarded = 0  # bytes discarded while it lingers

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start, and enter the table."""
        super().connection_made(transport)
        self.table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Leave the table."""
        self.table.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take the next bytes of a request."""
        if self.state == "lingering":
            self.discard(data)
            return
        if self.state in ("silent", "idle"):
            self.table.set_state(self, "reading")
        super().data_received(data)

    @property
    def request_timeout_s(self) -> float:
        """Time for a request to arrive, once it has begun."""
        return REQUEST_TIMEOUT_S

    def unsent_bytes(self) -> int:
        """How much of its responses the client has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def linger(self) -> None:
        """Shut down the write side behind what is still to be written. Further input is discarded."""
        assert self.transport is not None
        self.table.set_state(self, "lingering")
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError):  # it is closed already
            self.drop()

    def discard(self, data: bytes) -> None:
        """Discard input after the write side was shut down."""
        self.discarded += len(data)
        if self.discarded > LINGER_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def drop(self) -> None:
        """Close the connection now, the write side first: the client sees an orderly end before any reset."""
        transport = self.transport
        if transport is not None and (own_socket := transport.get_extra_info("socket")) is not None:
            with suppress(OSError):  # it is closed already
                own_socket.shutdown(socket.SHUT_WR)
        self.force_close()
        if transport is not None:
            transport.abort()
