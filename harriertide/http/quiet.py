"""Whether something lies at a connection that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import select

_POLL = select.poll()


def unread(transport: asyncio.BaseTransport | None, ends: bool = False) -> bool:
    """Bytes or an end that came and were not read; ends: also an end behind bytes. True where it is closed.

    The loop looks at sockets in its next turn only, so a decision on a connection that seems idle, to use it
    or to close it, must look itself. A transport that is no socket's says so by its extra info 'unread'.
    """
    if transport is None or transport.is_closing():
        return True
    look = transport.get_extra_info("unread")
    if look is not None:
        return bool(look())
    number = transport.get_extra_info("socket").fileno()
    _POLL.register(number, select.POLLIN | (select.POLLRDHUP if ends else 0))
    try:
        return bool(_POLL.poll(0))
    finally:
        _POLL.unregister(number)
