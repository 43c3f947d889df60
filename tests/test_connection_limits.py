"""Limits of descriptors and memory, and the idle timeout of node connections."""

from __future__ import annotations

import asyncio

import pytest

from harriertide.decide.settings import SettingsSection
from harriertide.http.limits import OWN_DESCRIPTOR_COUNT, OWN_MEMORY_MB, Limits, read_limits
from harriertide.http.node_client import IDLE_TIMEOUT_RATIO, NodeClient
from harriertide.http.node_pool import NodeConnectionPool

LIMITS = Limits.from_resources(256, 64)


def test_idle_connections_are_closed_before_the_node_would() -> None:
    """A node closes connections after an idle timeout.

    A request sent at that moment would end in a reset, so the pool closes idle connections earlier.
    """

    async def main() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        pool = NodeConnectionPool(LIMITS, 0.05)
        assert (
            NodeClient(lambda node: None, 250_000, 10_000_000, LIMITS).pool.idle_timeout_s
            == IDLE_TIMEOUT_RATIO * 10
            < 10
        )
        connection = await pool.connect(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        assert connection is not None and len(pool) == 1
        pool.keep_idle(connection)
        await asyncio.sleep(0.1)
        assert len(pool) == 0 and not connection.is_connected()
        await pool.close()
        server.close()

    asyncio.run(main())


def test_descriptors_are_divided_with_a_reserve() -> None:
    for sockets in (64, 256, 384, 1024):
        limits = Limits.from_resources(sockets, 64)
        assert (
            limits.max_client_connections + limits.max_node_connections + OWN_DESCRIPTOR_COUNT < sockets
            or sockets == 64
        )
        # clients may hold up to a third of the descriptors for requests
        assert (
            sockets == 64
            or limits.max_client_connections >= sockets / 3
            and limits.max_node_connections >= sockets / 4
        )
        assert (
            limits.max_buffered_response_bytes + limits.max_response_bytes < (64 - OWN_MEMORY_MB) << 20
            and limits.max_response_bytes >= 1 << 20
        )
    assert read_limits(SettingsSection({"sockets": 300, "memory_mb": 80}, "limits")) == Limits.from_resources(
        300, 80
    )
    with pytest.raises(ValueError, match="limits.sockets"):
        read_limits(SettingsSection({"sockets": 10}, "limits"))
