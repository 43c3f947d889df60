"""The size of the event loop's reads, which take memory before anything counts it."""

from __future__ import annotations

import asyncio

SOCKET_READ_BYTES = 32 * 1024  # maximum per read: several copies of the data read are in memory at once


def limit_read_size(transport: asyncio.BaseTransport | None, size_bytes: int) -> None:
    """Limit the reads from a connection; asyncio's default is 256 KiB."""
    if transport is not None and hasattr(transport, "max_size"):  # only asyncio's socket transports have it
        transport.max_size = size_bytes
