"""Requests that arrive or are open during a graceful shutdown."""

from __future__ import annotations

import asyncio

from harriertide.core import events as ev
from tests.socket_broker import (
    SocketBroker,
    run_with_broker,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture


def test_a_request_completed_after_the_final_responses_is_rejected_and_not_forwarded() -> None:
    """The broker has received part of a request when it shuts down; the rest arrives in the loop iteration in
    which the broker sends its final responses.
    """

    async def scenario(broker: SocketBroker) -> None:
        daemon, client = broker.daemon, broker.connect()
        request = broker.request("PUT", b"body")
        client.sendall(request[:-2])
        while not daemon.clients.in_state("reading"):
            await asyncio.sleep(0)
        post = daemon.runtime.post

        def post_and_send(event: ev.Event) -> None:
            post(event)
            if isinstance(event, ev.ShutdownStarted):
                client.sendall(request[-2:])

        daemon.runtime.post = post_and_send  # type: ignore[method-assign]
        stopping = asyncio.create_task(broker.stop())
        received = await broker.read(client)
        client.close()
        await stopping
        assert received.startswith(b"HTTP/1.1 503") and b"Connection: close" in received
        assert broker.node.requests.empty() and daemon.core.counts["taken"] == 0

    run_with_broker(scenario)


def test_a_request_open_at_the_end_of_a_shutdown_gets_a_complete_response() -> None:
    """A node hangs at the end of a shutdown, and the client has sent a second request after the first."""

    async def scenario(broker: SocketBroker) -> None:
        daemon, client = broker.daemon, broker.connect()
        client.sendall(broker.request())
        await broker.next_request()
        stopping = asyncio.create_task(broker.stop())
        post = daemon.runtime.post

        def post_and_send(event: ev.Event) -> None:
            post(event)
            if isinstance(event, ev.ShutdownStarted):
                client.sendall(broker.request())

        daemon.runtime.post = post_and_send  # type: ignore[method-assign]
        received = await broker.read(client)
        client.close()
        await stopping
        assert received.startswith(b"HTTP/1.1 503") and received.count(b"HTTP/1.1") == 1
        assert daemon.core.counts["attempts"] == 1

    run_with_broker(scenario)
