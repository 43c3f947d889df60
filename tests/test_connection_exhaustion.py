"""New requests, slow requests and a shutdown while stalled clients hold all connections."""

from __future__ import annotations

import asyncio
import socket

import pytest

from harriertide.cli import shutdown
from harriertide.http.limits import Limits
from tests.socket_broker import (
    SocketBroker,
    receive_all,
    request_head,
    run_with_broker,
    send_response,
)

LIMITS = Limits.from_resources(96, 40)  # about 40 client connections
BATCH_COUNT, BATCH_CONNECTION_COUNT, SERVED_REQUEST_COUNT = 10, 60, 5
PARTIAL_HEAD = b"GET /api HTTP/1.1\r\nHost: "


def open_stalled_connections(broker: SocketBroker) -> list[socket.socket]:
    """Open connections, half of which send a partial request head and half of which send nothing."""
    stalled = [broker.connect() for _ in range(BATCH_CONNECTION_COUNT)]
    for stalled_client in stalled[::2]:
        stalled_client.sendall(PARTIAL_HEAD)
    return stalled


async def assert_served(broker: SocketBroker, client: socket.socket) -> None:
    """Assert that a request on this connection gets a response."""
    client.sendall(request_head(broker, "Connection: close\r\n"))
    send_response(await broker.next_request())
    assert (await receive_all(client)).startswith(b"HTTP/1.1 200 ")


def test_new_connections_are_served_among_hundreds_that_stall() -> None:
    """Hundreds of connections send nothing or a partial head, and the limit is about 40 connections.

    Requests on new connections are still served: inactive connections are evicted for them.
    """

    async def scenario(broker: SocketBroker) -> None:
        stalled: list[socket.socket] = []
        for _ in range(BATCH_COUNT):
            stalled += open_stalled_connections(broker)
            for _ in range(SERVED_REQUEST_COUNT):
                await assert_served(broker, broker.connect())
            assert len(broker.daemon.clients) <= LIMITS.max_client_connections + 1
        assert broker.daemon.core.counts["served"] == BATCH_COUNT * SERVED_REQUEST_COUNT
        for stalled_client in stalled:
            stalled_client.close()

    run_with_broker(scenario, limits=LIMITS)


def test_a_slow_request_head_is_served_beside_idle_connections() -> None:
    """A slow client needs two seconds for its request head, which is within the timeout.

    Other clients that connect and disconnect do not cause its eviction.
    """

    async def scenario(broker: SocketBroker) -> None:
        client, request = broker.connect(), request_head(broker, "Connection: close\r\n")
        chunk_size = len(request) // 10 + 1
        for offset in range(0, len(request), chunk_size):
            client.sendall(request[offset : offset + chunk_size])
            broker.connect().close()
            await asyncio.sleep(0.2)
        send_response(await broker.next_request())
        assert (await receive_all(client)).startswith(b"HTTP/1.1 200 ")

    run_with_broker(scenario, limits=LIMITS)


def test_a_shutdown_among_stalled_connections_serves_requests_and_ends_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The broker shuts down while stalled clients hold its connections.

    Requests in flight and new requests are served, and the stalled connections do not delay the shutdown.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_GRACE_S", 0.3)

    async def scenario(broker: SocketBroker) -> None:
        loop = asyncio.get_running_loop()
        stalled = open_stalled_connections(broker)
        await assert_served(broker, broker.connect())
        waiting_client = broker.connect()
        waiting_client.sendall(request_head(broker, "Connection: close\r\n"))
        node_connection = await broker.next_request()
        start_time, stopping = loop.time(), asyncio.create_task(broker.stop())
        await asyncio.sleep(0.05)
        await assert_served(broker, broker.connect())  # the load balancer still sends requests
        send_response(node_connection)
        assert (await receive_all(waiting_client)).startswith(b"HTTP/1.1 200 ")
        await stopping
        max_deadline_s = (
            max(request_class.deadline_us for request_class in broker.daemon.core.settings.classes) / 1e6
        )
        assert loop.time() - start_time < max_deadline_s + shutdown.SHUTDOWN_SLACK_S + 1.0
        for stalled_client in stalled:
            stalled_client.close()

    run_with_broker(scenario, limits=LIMITS)
