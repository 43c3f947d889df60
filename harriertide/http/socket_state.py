"""Detection of socket input that the event loop has not read yet.

The event loop polls sockets only once per iteration. Before a seemingly idle connection is used or closed,
its socket must be polled directly, at the cost of one system call. Transports without a socket provide
callables for this purpose as extra info 'unread' and 'ended'.
"""

from __future__ import annotations

import asyncio
import select

_POLL = select.poll()


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


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    """Whether one of the events is pending, or the connection is broken."""
    descriptor = transport.get_extra_info("socket").fileno()
    _POLL.register(descriptor, events)
    try:
        return bool(_POLL.poll(0))
    finally:
        _POLL.unregister(descriptor)
