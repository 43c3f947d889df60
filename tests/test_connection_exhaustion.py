"""Stalled connections that use up those there are: new requests, slow ones, and a shutdown among them."""

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

LIMITS = Limits.from_resources(96, 40)  # some 40 connections of clients
BATCH_COUNT, BATCH_CONNECTION_COUNT, HONEST_REQUEST_COUNT = 10, 60, 5
PARTIAL_HEAD = b"GET /api HTTP/1.1\r\nHost: "


def open_stalled_connections(broker: SocketBroker) -> list[socket.socket]:
    """Connections of which every second sends nothing, and the others half of a head."""
    stalled = [broker.connect() for _ in range(BATCH_CONNECTION_COUNT)]
    for stalled_client in stalled[::2]:
        stalled_client.sendall(PARTIAL_HEAD)
    return stalled


async def assert_served(broker: SocketBroker, client: socket.socket) -> None:
    """A request on this connection is answered."""
    client.sendall(request_head(broker, "Connection: close\r\n"))
    send_response(await broker.next_request())
    assert (await receive_all(client)).startswith(b"HTTP/1.1 200 ")


def test_new_connections_are_served_among_hundreds_that_stall() -> None:
    """Hundreds of connections send nothing, or half of a head, and there is room for forty.

    Requests on new ones are served all the same: connections that do nothing are evicted for them.
    """

    async def scenario(broker: SocketBroker) -> None:
        stalled: list[socket.socket] = []
        for _ in range(BATCH_COUNT):
            stalled += open_stalled_connections(broker)
            for _ in range(HONEST_REQUEST_COUNT):
                await assert_served(broker, broker.connect())
            assert len(broker.daemon.clients) <= LIMITS.max_client_connections + 1
        assert broker.daemon.core.counts["served"] == BATCH_COUNT * HONEST_REQUEST_COUNT
        for stalled_client in stalled:
            stalled_client.close()

    run_with_broker(scenario, limits=LIMITS)


def test_a_slow_request_head_is_served_beside_idle_connections() -> None:
    """A slow client needs two seconds for its head, within its time.

    Others that come and go do not cost it its connection.
    """

    async def scenario(broker: SocketBroker) -> None:
        client, request = broker.connect(), request_head(broker, "Connection: close\r\n")
        step = len(request) // 10 + 1
        for offset in range(0, len(request), step):
            client.sendall(request[offset : offset + step])
            broker.connect().close()
            await asyncio.sleep(0.2)
        send_response(await broker.next_request())
        assert (await receive_all(client)).startswith(b"HTTP/1.1 200 ")

    run_with_broker(scenario, limits=LIMITS)


def test_a_shutdown_among_stalled_connections_serves_requests_and_ends_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The broker shuts down while stalled clients hold its connections.

    Requests in flight and new ones are served, and the stalled connections do not delay the end.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_GRACE_S", 0.3)

    async def scenario(broker: SocketBroker) -> None:
        loop = asyncio.get_running_loop()
        stalled = open_stalled_connections(broker)
        await assert_served(broker, broker.connect())
        open_client = broker.connect()
        open_client.sendall(request_head(broker, "Connection: close\r\n"))
        node_connection = await broker.next_request()
        started_at, stopping = loop.time(), asyncio.create_task(broker.stop())
        await asyncio.sleep(0.05)
        await assert_served(broker, broker.connect())  # the load balancer in front still sends some
        send_response(node_connection)
        assert (await receive_all(open_client)).startswith(b"HTTP/1.1 200 ")
        await stopping
        longest_s = max(kind.deadline_us for kind in broker.daemon.core.settings.classes) / 1e6
        assert loop.time() - started_at < longest_s + shutdown.SHUTDOWN_SLACK_S + 1.0
        for stalled_client in stalled:
            stalled_client.close()

    run_with_broker(scenario, limits=LIMITS)
