"""What lies at a connection's socket that the event loop has not read yet.

The loop looks at sockets in its next turn only. A decision on a connection that seems idle, to use it or to
close it, must look itself: at most one system call. A transport that is no socket's tells by extra info of
its own: 'unread' and 'ended' are callables there.
"""

from __future__ import annotations

import asyncio
import select

_POLL = select.poll()


def has_unread_input(transport: asyncio.BaseTransport | None, include_end: bool = False) -> bool:
    """Whether bytes, or the end of the peer's sending, came and were not read. True where it is closed.

    :param include_end: look for an end behind bytes, too
    """
    if transport is None or transport.is_closing():
        return True
    own_check = transport.get_extra_info("unread")
    if own_check is not None:
        return bool(own_check())
    return _poll(transport, select.POLLIN | (select.POLLRDHUP if include_end else 0))


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has ended its sending or is gone, also behind bytes that were not read.

    A transport that can't tell is not known to be closed.
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
