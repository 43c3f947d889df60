"""Connections beyond the limit wait in the kernel's queue, and their requests are answered."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from harriertide.cli import shutdown
from harriertide.http.limits import Limits
from harriertide.http.listener import Listener
from tests.scenario import HttpConnection
from tests.socket_broker import (
    SocketBroker,
    receive_all,
    request_head,
    run_with_broker,
    send_response,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture

LIMITS = Limits.from_resources(64, 40).split(
    1, 16
)  # one node gets two requests at once, and all connections are busy
LIMIT = LIMITS.max_client_connections
WAITING_COUNT = 12  # requests beyond the limit and the one connection that may exceed it
BUDGET_SLACK_S = 0.15  # by which the time told to a node may exceed what is left to the client


def send_requests(broker: SocketBroker, count: int) -> list[socket.socket]:
    """Send a request on each of so many new connections."""
    clients = [broker.connect() for _ in range(count)]
    for client in clients:
        client.sendall(request_head(broker, "Connection: close\r\n"))
    return clients


async def fill(broker: SocketBroker) -> tuple[list[socket.socket], list[HttpConnection]]:
    """Make all connections busy; the clients, and their requests at the node."""
    clients = send_requests(broker, LIMIT + 1)
    return clients, [await broker.next_request() for _ in clients]


async def assert_all_served(clients: list[socket.socket]) -> None:
    for client in clients:
        assert (await receive_all(client)).startswith(b"HTTP/1.1 200 ")


def test_requests_beyond_the_limit_wait_and_are_served() -> None:
    """Guards against a request that is shut unread because its connection was accepted without room."""

    async def scenario(broker: SocketBroker) -> None:
        clients, requests = await fill(broker)
        waiting = send_requests(broker, WAITING_COUNT)
        await asyncio.sleep(0.1)
        assert len(broker.daemon.clients) == LIMIT + 1 and broker.node.requests.empty()
        for request in requests:
            send_response(request)
        for _ in waiting:
            send_response(await broker.next_request())
        await assert_all_served(clients + waiting)
        counts = broker.daemon.clients.counts
        assert counts["accept_paused"] and counts["longest_queue_ms"] >= 80

    run_with_broker(scenario, limits=LIMITS)


def test_the_time_in_the_queue_counts_against_the_deadline() -> None:
    """Guards against a node that works on a request whose client has stopped waiting."""

    async def scenario(broker: SocketBroker) -> None:
        clients, requests = await fill(broker)
        clients += send_requests(broker, 1)
        await asyncio.sleep(0.5)
        for request in requests:
            send_response(request)
        async with asyncio.timeout(5):
            _, headers, _, request = await broker.node.requests.get()
        assert int(headers["X-Budget-Ms"]) <= 1000 * (1.0 + BUDGET_SLACK_S)
        send_response(request)
        await assert_all_served(clients)

    run_with_broker(scenario, limits=LIMITS)


def test_a_request_whose_deadline_passed_in_the_queue_is_rejected() -> None:
    """Guards against attempts that are too late from the first: the request is answered at once."""

    async def scenario(broker: SocketBroker) -> None:
        _, requests = await fill(broker)
        client = broker.connect()
        head = request_head(broker, "Connection: close\r\n")
        client.sendall(head.replace(b"X-Budget-Ms: 1500", b"X-Budget-Ms: 300"))
        await asyncio.sleep(0.4)
        for request in requests:
            send_response(request)
        assert (await receive_all(client)).startswith(b"HTTP/1.1 503 ")
        assert broker.node.requests.empty()

    run_with_broker(scenario, limits=LIMITS)


@pytest.mark.parametrize("stalled", [b"", b"GET /api HTTP/1.1\r\nHost: "], ids=["silent", "half a head"])
def test_stalled_connections_are_evicted_while_nothing_is_accepted(stalled: bytes) -> None:
    """Guards against a crowd that keeps requests in the queue: it loses its place by age alone."""

    async def scenario(broker: SocketBroker) -> None:
        crowd = [broker.connect() for _ in range(3 * LIMIT)]
        for client in crowd:
            client.sendall(stalled)
        (client,) = send_requests(broker, 1)
        async with asyncio.timeout(1.0):
            send_response(await broker.next_request())
        await assert_all_served([client])
        assert len(broker.daemon.clients) <= LIMIT + 1
        for each in crowd:
            each.close()

    run_with_broker(scenario, limits=LIMITS)


def test_requests_that_wait_at_sigterm_are_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a listener that closes over its queue: the system resets what waits there."""
    monkeypatch.setattr(shutdown, "MAX_REQUEST_S", 1.0)

    async def scenario(broker: SocketBroker) -> None:
        clients, requests = await fill(broker)
        waiting = send_requests(broker, WAITING_COUNT)
        stopping = asyncio.create_task(broker.stop())
        await asyncio.sleep(2 * shutdown.ACCEPT_GRACE_S)
        for request in requests:
            send_response(request)
        for _ in waiting:
            send_response(await broker.next_request())
        await assert_all_served(clients + waiting)
        await stopping

    run_with_broker(scenario, limits=LIMITS)


def test_a_higher_limit_lets_the_queue_in_at_once() -> None:
    """A process beside its predecessor has few connections, and all of them once that one has ended."""

    async def scenario(broker: SocketBroker) -> None:
        daemon = broker.daemon
        clients = send_requests(broker, 4)
        requests = [await broker.next_request() for _ in range(2)]
        await asyncio.sleep(0.1)
        assert broker.node.requests.empty()
        daemon.clients.apply_limits(LIMITS.split(8, 16))
        await asyncio.sleep(0.01)  # less than the time between two checks for room
        assert len(daemon.clients) == len(clients)
        for request in requests:
            send_response(request)
        for _ in range(2):
            send_response(await broker.next_request())
        await assert_all_served(clients)

    run_with_broker(scenario, limits=LIMITS)


def test_a_client_that_leaves_the_queue_is_not_served() -> None:
    """Guards against attempts for clients that left while they waited."""

    async def scenario(broker: SocketBroker) -> None:
        _, requests = await fill(broker)
        for client in send_requests(broker, WAITING_COUNT):
            client.close()
        for request in requests:
            send_response(request)
        await broker.wait_until_settled()
        assert broker.node.requests.empty()
        control = broker.daemon.clients.accept_control
        assert not control.has_waiting_connections
        assert control.queue_time_s(None) == 0  # the next one has not waited

    run_with_broker(scenario, limits=LIMITS)


def test_a_listener_accepts_again_once_the_system_has_descriptors() -> None:
    """Guards against a listener that spins, or stops for good, where accept fails."""

    class ExhaustedSocket(socket.socket):
        failures = 2

        def accept(self) -> tuple[socket.socket, object]:
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return super().accept()

    async def main() -> None:
        listening_socket = ExhaustedSocket()
        listening_socket.bind(("127.0.0.1", 0))
        listening_socket.listen()
        connected = asyncio.Event()

        class Recorder(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                connected.set()
                transport.close()

        listener = Listener(listening_socket, Recorder, None)
        with socket.create_connection(listening_socket.getsockname()):
            async with asyncio.timeout(5):
                await connected.wait()
        assert listening_socket.failures == 0
        listener.close()

    asyncio.run(main())
