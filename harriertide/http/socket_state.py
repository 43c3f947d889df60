"""Whether something lies at a connection that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import select

_POLL = select.poll()


def has_unread_input(transport: asyncio.BaseTransport | None, ends: bool = False) -> bool:
    """Bytes or an end that came and were not read; ends: also an end behind bytes. True where it is closed.

    The loop looks at sockets in its next turn only, so a decision on a connection that seems idle, to use it
    or to close it, must look itself. A transport that is no socket's says so by its extra info 'unread'.
    """
    if transport is None or transport.is_closing():
        return True
    look = transport.get_extra_info("unread")
    if look is not None:
        return bool(look())
    return _look(transport, select.POLLIN | (select.POLLRDHUP if ends else 0))


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side has ended its sending or is gone, also behind bytes that were not read.

    A transport that is no socket's says so by its extra info 'ended'; one that can't is not known to have.
    """
    if transport is None or transport.is_closing():
        return True
    look = transport.get_extra_info("ended")
    if look is not None:
        return bool(look())
    return transport.get_extra_info("socket") is not None and _look(transport, select.POLLRDHUP)


def _look(transport: asyncio.BaseTransport, events: int) -> bool:
    """Whether one of these lies there now, or the connection is broken."""
    number = transport.get_extra_info("socket").fileno()
    _POLL.register(number, events)
    try:
        return bool(_POLL.poll(0))
    finally:
        _POLL.unregister(number)
