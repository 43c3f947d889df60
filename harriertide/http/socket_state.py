"""Detection of socket input that the event loop has not read yet.

The event loop polls sockets only once per iteration. Before a seemingly idle connection is used or closed,
its socket must be polled directly, at the cost of one system call. Transports without a socket provide
callables for this purpose as extra info 'unread' and 'ended'.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct

_POLL = select.poll()
# The field tcpi_last_data_recv of the kernel's struct tcp_info (linux/tcp.h), in milliseconds.
_LAST_INPUT_MS = struct.Struct("52xI")


def has_unread_input(transport: asyncio.BaseTransport | None, include_end: bool = False) -> bool:
    """Whether there are unread bytes or an unread end of stream; True for a closed transport.

    :param include_end: also detect an end of stream after unread bytes
    """
    if transport is None or transport.is_closing():
        return True
    transport_check = transport.get_extra_info("unread")
    if transport_check is not None:
        return bool(transport_check())
    return _poll(transport, select.POLLIN | (select.POLLRDHUP if include_end else 0))


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has closed the connection or its write side, even if unread bytes precede the close.

    A transport that cannot detect this counts as open.
    """
    if transport is None or transport.is_closing():
        return True
    transport_check = transport.get_extra_info("ended")
    if transport_check is not None:
        return bool(transport_check())
    return transport.get_extra_info("socket") is not None and _poll(transport, select.POLLRDHUP)


def has_waiting_connection(listening_socket: socket.socket) -> bool:
    """Whether a connection waits in the kernel's queue of a listening socket."""
    return _poll_descriptor(listening_socket.fileno(), select.POLLIN)


def time_since_input_s(transport: asyncio.BaseTransport | None, default_s: float) -> float:
    """How long ago the kernel received the last bytes of a connection.

    :param default_s: returned where the system does not tell
    """
    connected_socket = transport.get_extra_info("socket") if transport is not None else None
    if connected_socket is None:
        return default_s
    try:
        info = connected_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_INPUT_MS.size)
    except OSError:
        return default_s
    if len(info) < _LAST_INPUT_MS.size:
        return default_s
    (last_input_ms,) = _LAST_INPUT_MS.unpack(info)
    return float(last_input_ms) / 1000


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    """Whether one of the events is pending, or the connection is broken."""
    return _poll_descriptor(transport.get_extra_info("socket").fileno(), events)


def _poll_descriptor(descriptor: int, events: int) -> bool:
    _POLL.register(descriptor, events)
    try:
        return bool(_POLL.poll(0))
    finally:
        _POLL.unregister(descriptor)
