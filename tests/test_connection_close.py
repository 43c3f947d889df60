"""The close of a client's connection, and what crosses it."""

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


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_ended_in_order_and_not_forwarded() -> None:
    """The broker ends its side of an idle connection, and a request comes before the client could hear of
    that.

    The client must see an orderly end: behind a reset it could not tell whether its request ran.
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


def test_a_request_that_crosses_the_eviction_of_its_connection_sees_the_end_first() -> None:
    """An idle connection is evicted, as its descriptor is needed at once. Its end is sent before the turn
    in which it is closed, so a request that crosses it sees the end and no reset.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/health/ready", "idle")
        client.setblocking(False)
        assert client.recv(65536).endswith(b"ready\n")
        assert broker.daemon.clients._evict_one(False)
        assert client.recv(65536) == b""  # no turn of the loop has passed; without its end this would block
        client.sendall(broker.request())
        await broker.wait_until_settled()
        assert broker.node.requests.empty() and broker.daemon.core.counts["taken"] == 0
        client.close()

    run_with_broker(scenario)


def test_a_final_response_is_delivered_whole_before_unexpected_bytes() -> None:
    """A client sends on while it gets the last response of its connection. The bytes are read, as unread
    ones would reset the connection and take the response with them.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/nowhere", "lingering")
        client.sendall(broker.request() * 3)
        received = await broker.read(client)
        assert received.startswith(b"HTTP/1.1 404") and received.endswith(b"no such route\n")
        client.close()
        assert broker.daemon.core.counts["taken"] == 0

    run_with_broker(scenario)


def test_a_flood_behind_the_final_response_is_read_up_to_a_bound() -> None:
    """A client goes on sending behind its last answer.

    What comes is thrown away up to a bound, and then left unread, as it would cost other clients their time.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/nowhere", "lingering")
        (server_side,) = broker.daemon.clients.in_state("lingering")
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        with suppress(ConnectionError):
            async with asyncio.timeout(2):
                for _ in range(1000):
                    await loop.sock_sendall(client, FLOOD)
        assert (
            client_connection.LINGER_BYTES < server_side.discarded <= client_connection.LINGER_BYTES + 262_144
        )
        assert len(broker.daemon.clients) == 0
        client.close()

    run_with_broker(scenario)


def test_a_connection_whose_client_never_ends_its_side_is_closed() -> None:
    """A client neither reads the end of its connection nor ends its side.

    The connection is closed after the linger timeout.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = await broker.connect_in_state("/health/ready", "idle")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        broker.daemon.clients.close_idle()
        while len(broker.daemon.clients):
            await asyncio.sleep(0.01)
        assert (
            loop.time() - started_at
            < connection_table.LINGER_TIMEOUT_S + 2 * connection_table.SWEEP_INTERVAL_S + 0.2
        )
        client.close()

    run_with_broker(scenario)
