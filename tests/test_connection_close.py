"""Closing a client's connection while the client sends."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from harriertide.http import client_connection, connection_table
from tests.socket_broker import (
    FLOOD,
    SocketBroker,
    run_with_broker,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture


def test_a_request_during_the_close_of_an_idle_connection_sees_eof_and_is_not_forwarded() -> None:
    """The broker closes its side of an idle connection, and a request arrives before the client sees it.

    The client must see an EOF: after a reset it could not tell whether its request ran.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/health/ready", "idle")
        broker.daemon.clients.close_idle()
        client.sendall(broker.request())
        received = await broker.read(client)
        assert received.count(b"HTTP/1.1") == 1 and received.endswith(b"ready\n")
        client.close()
        while len(broker.daemon.clients):
            await asyncio.sleep(0)
        assert broker.node.requests.empty() and broker.daemon.core.counts["taken"] == 0

    run_with_broker(scenario)


def test_a_request_during_the_eviction_of_its_connection_sees_eof_first() -> None:
    """An idle connection is evicted because its descriptor is needed immediately.

    The EOF is sent before the iteration of the event loop in which the socket is closed, so that a request
    sent at that moment sees the EOF and no reset.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/health/ready", "idle")
        client.setblocking(False)
        assert client.recv(65536).endswith(b"ready\n")
        assert broker.daemon.clients.evict_one()
        assert client.recv(65536) == b""  # the event loop has not run since; without an EOF this would block
        client.sendall(broker.request())
        await broker.wait_until_settled()
        assert broker.node.requests.empty() and broker.daemon.core.counts["taken"] == 0
        client.close()

    run_with_broker(scenario)


def test_a_final_response_is_delivered_whole_before_unexpected_bytes() -> None:
    """A client keeps sending while it receives the last response on its connection.

    The broker reads these bytes: unread input would reset the connection and destroy the response.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/nowhere", "lingering")
        client.sendall(broker.request() * 3)
        received = await broker.read(client)
        assert received.startswith(b"HTTP/1.1 404") and received.endswith(b"no such route\n")
        client.close()
        assert broker.daemon.core.counts["taken"] == 0

    run_with_broker(scenario)


def test_a_flood_after_the_final_response_is_read_up_to_a_limit() -> None:
    """A client keeps sending after its last response.

    The input is discarded up to MAX_LINGER_BYTES, then left unread so that it does not delay other clients.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/nowhere", "lingering")
        (server_connection,) = broker.daemon.clients.in_state("lingering")
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        with suppress(ConnectionError):
            async with asyncio.timeout(2):
                for _ in range(1000):
                    await loop.sock_sendall(client, FLOOD)
        assert (
            client_connection.MAX_LINGER_BYTES
            < server_connection.discarded
            <= client_connection.MAX_LINGER_BYTES + 262_144
        )
        assert len(broker.daemon.clients) == 0
        client.close()

    run_with_broker(scenario)


def test_a_connection_whose_client_never_closes_its_side_is_closed() -> None:
    """A client neither reads the EOF on its connection nor closes its side.

    The connection is closed after the linger timeout.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/health/ready", "idle")
        loop = asyncio.get_running_loop()
        start_time = loop.time()
        broker.daemon.clients.close_idle()
        while len(broker.daemon.clients):
            await asyncio.sleep(0.01)
        assert (
            loop.time() - start_time
            < connection_table.LINGER_TIMEOUT_S + 2 * connection_table.SWEEP_INTERVAL_S + 0.2
        )
        client.close()

    run_with_broker(scenario)
