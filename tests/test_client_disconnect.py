"""Nothing more is sent for a disconnected client, even if the event loop has not read its close yet."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from pathlib import Path

import pytest
from aiohttp import web

from harriertide.decide.settings import from_wire
from harriertide.library.attempt import Attempt
from harriertide.library.broker import Broker
from harriertide.library.errors import FailedError, NodeError
from harriertide.library.node_sources import Node
from harriertide.library.request_spec import RequestSpec
from harriertide.library.web import BrokerMiddleware
from tests.socket_broker import (
    FLOOD,
    SocketBroker,
    run_with_broker,
    send_response,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture
from tests.test_net import WIRE


def test_no_retry_starts_for_a_client_whose_close_is_unread() -> None:
    """A client floods its connection and closes it, so unread bytes precede the close. Then the node fails
    the attempt.

    No retry may start, because no client waits for it.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(broker.request())
        connection = await broker.next_request()
        (server_side,) = broker.daemon.clients.in_state("busy")
        assert isinstance(server_side.transport, asyncio.Transport)
        server_side.transport.pause_reading()
        client.sendall(FLOOD)
        client.close()
        send_response(connection, 500)
        await broker.wait_until_settled()
        assert broker.node.requests.empty() and broker.daemon.core.counts["left"] == 1

    run_with_broker(scenario)


def test_requests_whose_clients_disconnect_in_the_same_loop_iteration_are_not_sent() -> None:
    """Ten clients send a request and disconnect immediately, in one iteration of the event loop, while an
    idle connection to the node is available for the first request.
    """

    async def scenario(broker: SocketBroker) -> None:
        first = broker.connect()
        first.sendall(broker.request())
        send_response(await broker.next_request())
        while broker.daemon.core.counts["served"] == 0:
            await asyncio.sleep(0)
        clients = [broker.connect() for _ in range(10)]
        while len(broker.daemon.clients) < 11:
            await asyncio.sleep(0)
        for client in clients:
            client.sendall(broker.request())
            client.close()
        while broker.daemon.core.counts["taken"] < 11:
            await asyncio.sleep(0)
        await broker.wait_until_settled()
        assert broker.node.requests.empty() and broker.daemon.core.counts["left"] == 10
        first.close()

    run_with_broker(scenario)


def test_the_object_front_does_not_retry_for_a_client_whose_close_is_unread(tmp_path: Path) -> None:
    """A client of the object front floods its connection and closes it, so unread bytes precede the close.

    The node's error must not cause a retry, because no client waits for it.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(b"PUT /v/key HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
        connection = await broker.next_request()
        (server_side,) = broker.daemon.clients.in_state("busy")
        assert isinstance(server_side.transport, asyncio.Transport)
        server_side.transport.pause_reading()
        client.sendall(FLOOD)
        client.close()
        send_response(connection, 500)
        await asyncio.sleep(0.15)
        assert broker.node.requests.empty() and broker.daemon.core.counts["left"] == 1

    run_with_broker(scenario, objects=str(tmp_path / "catalogue"))


def test_the_library_does_not_retry_for_a_client_that_disconnected() -> None:
    """aiohttp continues a handler after its client has disconnected, and the client's close is unread."""

    async def main() -> None:
        run_count = 0
        handler_started = asyncio.Event()
        settings = from_wire(WIRE)
        broker = Broker(replace(settings, shard_count=1), [Node("b1", 0, "127.0.0.1:1")], seed=1)

        async def handler(request: web.Request) -> web.Response:
            nonlocal run_count
            run_count += 1
            assert request.transport is not None
            request.transport.pause_reading()  # type: ignore[attr-defined]
            handler_started.set()
            while run_count == 1 and not has_disconnected:
                await asyncio.sleep(0)
            raise NodeError("error")

        has_disconnected: list[bool] = []
        broker_middleware = BrokerMiddleware(broker, lambda request: RequestSpec("v", shard=0))
        app = web.Application(middlewares=[broker_middleware.middleware])
        broker_middleware.attach(app)
        app.router.add_get("/", handler)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        client = socket.create_connection(runner.addresses[0][:2])
        client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await handler_started.wait()
        client.sendall(FLOOD)
        client.close()
        has_disconnected.append(True)
        await asyncio.sleep(0.15)
        assert run_count == 1 and broker.core.counts["left"] == 1 and broker.core.open_request_count() == 0
        await runner.cleanup()

    asyncio.run(main())


def test_a_library_call_ends_immediately_when_its_caller_has_disconnected() -> None:
    """The application reports that its caller has disconnected; the call ends without another attempt."""

    async def main() -> None:
        has_disconnected: list[bool] = []

        async def perform(attempt: Attempt) -> None:
            has_disconnected.append(True)
            raise NodeError("error")

        async with Broker(from_wire(WIRE), [Node("b1", 0, "127.0.0.1:1")], seed=1) as broker:
            async with asyncio.timeout(0.5):
                with pytest.raises(FailedError):
                    await broker.call(RequestSpec("v", shard=0), perform, lambda: bool(has_disconnected))
            await asyncio.sleep(0)
            assert len(has_disconnected) == 1 and broker.core.open_request_count() == 0

    asyncio.run(main())
