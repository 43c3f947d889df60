"""What a connection's socket has received that the event loop has not read yet.

The loop polls sockets only in its next turn. A decision to use or to close a connection that seems idle must
poll by itself, which takes one system call. Transports without a socket offer callables for it as extra info
'unread' and 'ended'.
"""

from __future__ import annotations

import asyncio
import select

_POLL = select.poll()


def has_unread_input(transport: asyncio.BaseTransport | None, include_end: bool = False) -> bool:
    """Whether there are unread bytes or an unread end of stream; True for a closed transport.

    :param include_end: also look for an end of stream behind unread bytes
    """
    if transport is None or transport.is_closing():
        return True
    own_check = transport.get_extra_info("unread")
    if own_check is not None:
        return bool(own_check())
    return _poll(transport, select.POLLIN | (select.POLLRDHUP if include_end else 0))


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has closed the connection or its write side, also behind unread bytes.

    A transport that can't tell counts as open.
    """
    if transport is None or transport.is_closing():
        return True
    own_check = transport.get_extra_info("ended")
    if own_check is not None:
        return bool(own_check())
    return transport.get_extra_info("socket") is not None and _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    """Whether one of these events is there now, or the connection is broken."""
    descriptor = transport.get_extra_info("socket").fileno()
    _POLL.register(descriptor, events)
    try:
        return bool(_POLL.poll(0))
    finally:
        _POLL.unregister(descriptor)
