"""A client connection on any listener, tracked by the connection table.

A connection is silent (nothing was received yet), reading (a part of a request was received), busy (a request
is being handled), idle (kept alive after a response) or lingering: its last response is written, its write
side is shut down, and further input is discarded until the client closes its side or the table closes the
connection. Closing a socket with unread input makes the kernel reset the connection, which can destroy a
response that the client has not read.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import Any, Literal, Protocol

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from harriertide.http.read_scheduler import ReadScheduler
from harriertide.http.read_size import SOCKET_READ_BYTES, limit_read_size

# Time for a request to arrive completely, measured from the accept for the first request and from the
# first byte for later ones. Guards against connections that send nothing, and endless heads and bodies.
REQUEST_TIMEOUT_S = 2.4
# Maximum input discarded while a connection lingers. Further input is left unread, so that a flood does not
# take processor time from other clients.
MAX_LINGER_BYTES = 256 * 1024

MAX_HEAD_BYTES = 64 * 1024  # of a request
LONG_HEAD_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with 0 s: close() sends a TCP reset

ConnectionState = Literal["silent", "reading", "busy", "idle", "lingering"]  # parts of counter names


class ConnectionTracker(Protocol):
    """The part of the connection table's interface that a connection uses."""

    def admit(self, connection: ClientConnection) -> None:
        """Add an accepted connection."""

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def set_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Move a connection to another state."""

    def close_unread(self) -> None:
        """Close connections whose clients do not read, if too much output waits for all clients."""

    @property
    def read_scheduler(self) -> ReadScheduler:
        """Shares the time for parsing input among the connections."""


class ClientConnection(RequestHandler):
    """aiohttp's handler of one connection, which reports its state to the connection table.

    :param server: the server that accepted the connection
    :param table: the table of all connections
    :param options: options of aiohttp's handler
    """

    __slots__ = ("table", "state", "since", "queue_time_s", "discarded", "is_held", "head_bytes")

    def __init__(self, server: web.Server, table: ConnectionTracker, **options: Any) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), **options)
        self.table = table
        self.state: ConnectionState = "silent"
        self.since = 0.0  # when the connection entered its state, in the event loop's time
        self.queue_time_s = 0.0  # for which the first request waited until the connection was accepted
        self.discarded = 0  # bytes discarded while the connection lingers
        self.head_bytes = 0  # received of a head that is not complete
        self.is_held = False  # the read scheduler lets the input wait

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the handler, and add the connection to the table."""
        super().connection_made(transport)
        limit_read_size(transport, SOCKET_READ_BYTES)
        self.table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.table.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the request parser, or discard them while the connection lingers."""
        if self.state == "lingering":
            self.discard(data)
            return
        if self.state in ("silent", "idle"):
            self.table.set_state(self, "reading")
        if self._waiter is not None:  # aiohttp's handler waits for a head
            self.head_bytes += len(data)
            self.table.read_scheduler.record(self, data.count(b"\n"))
            if self.head_bytes > MAX_HEAD_BYTES:
                self._refuse_long_head()
                return
        super().data_received(data)
        if self._messages or self._waiter is None:
            self.head_bytes = 0

    def _refuse_long_head(self) -> None:
        if self.transport is not None:
            self.transport.write(LONG_HEAD_RESPONSE)
        self.drop()

    def hold_reading(self) -> None:
        """Read no input until `release_reading`."""
        self.is_held = True
        self._pause_transport_reading()

    def release_reading(self) -> None:
        """Read input again, unless a buffer is full."""
        self.is_held = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self.is_held:
            super()._resume_transport_reading()

    @property
    def request_timeout_s(self) -> float:
        """Time for a request to arrive completely."""
        return REQUEST_TIMEOUT_S

    def unsent_bytes(self) -> int:
        """Return the number of response bytes that wait in the write buffer."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def linger(self) -> None:
        """Shut down the write side once pending output is written. Further input is discarded."""
        assert self.transport is not None
        self.table.set_state(self, "lingering")
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError):  # the transport is closed already
            self.drop()

    def discard(self, data: bytes) -> None:
        """Count discarded input, and stop reading beyond MAX_LINGER_BYTES."""
        self.discarded += len(data)
        if self.discarded > MAX_LINGER_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def reset(self) -> None:
        """Close the connection immediately with a TCP reset, which no client takes for the end of a body."""
        transport = self.transport
        if transport is not None and (sock := transport.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.force_close()
        if transport is not None:
            transport.abort()

    def end_unfinished(self) -> None:
        """Close the connection immediately: no complete request was read from it in time."""
        self.drop()

    def drop(self) -> None:
        """Close the connection immediately, write side first: the client sees an EOF before any reset."""
        transport = self.transport
        if transport is not None and (sock := transport.get_extra_info("socket")) is not None:
            with suppress(OSError):  # the socket is closed already
                sock.shutdown(socket.SHUT_WR)
        self.force_close()
        if transport is not None:
            transport.abort()
