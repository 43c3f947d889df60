"""Duplicate responses of a node, and retries that become ready after their deduplication window."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.settings import from_wire
from tests.socket_broker import (
    SocketBroker,
    run_with_broker,
    send_response,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture
from tests.test_net import WIRE


def test_a_duplicate_response_is_not_used_for_the_next_request() -> None:
    """A faulty node repeats its response milliseconds later, after the next request on the connection."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        loop = asyncio.get_running_loop()
        client.setblocking(False)
        client.sendall(broker.request())
        first = await broker.next_request()
        send_response(first, body=b"first")
        assert (await loop.sock_recv(client, 65536)).endswith(b"first")
        client.sendall(broker.request())
        second = await broker.next_request()
        send_response(first, body=b"first")
        send_response(second, body=b"second")
        assert (await loop.sock_recv(client, 65536)).endswith(b"second")
        client.close()

    run_with_broker(scenario)


@pytest.mark.parametrize("delay_ratio", [0.4, 1.4])
def test_a_retry_that_gets_a_connection_after_its_window_is_not_written(delay_ratio: float) -> None:
    """Nodes deduplicate for only 0.4 s, and the connection of the retry is established late: within or after
    that window.
    """
    window_us = 400_000
    wire = {**WIRE, "classes": [{**WIRE["classes"][0], "effect": "deduplicated", "dedupScope": "all"}]}
    wire["classes"][0]["windowUs"] = window_us
    wire["limits"] = {**WIRE["limits"], "connectTimeoutUs": 2_000_000}
    delays_s = [0.0, delay_ratio * window_us / 1e6]

    async def scenario(broker: SocketBroker) -> None:
        pool = broker.daemon.client.pool
        original_connect = pool.connect

        async def connect_with_delay(address: str):  # type: ignore[no-untyped-def]
            connection = await original_connect(address)
            await asyncio.sleep(delays_s.pop(0))
            return connection

        pool.connect = connect_with_delay  # type: ignore[method-assign]
        client = broker.connect()
        client.sendall(broker.request())
        connection = await broker.next_request()
        connection.writer.write(b"HTTP/1.1 500 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        if delay_ratio < 1:
            send_response(await broker.next_request())
        while broker.daemon.core.open_request_count():
            await asyncio.sleep(0.01)
        assert broker.node.requests.empty()
        assert broker.daemon.core.counts["served"] == (delay_ratio < 1)
        client.close()

    run_with_broker(scenario, wire=wire)


def test_the_deduplication_window_starts_at_the_first_attempt_that_may_have_executed() -> None:
    """An attempt that was not executed opens no window; the first attempt that may have executed does. The
    reducer checks the window at the write."""
    from harriertide.core.reducer import Reducer

    request_class = api.RequestClass(
        latency_objective_us=900_000,
        deadline_us=1_000_000,
        idempotency="keyed",
        deduplication_scope="all",
        deduplication_window_us=300_000,
    )
    settings = replace(from_wire(WIRE), classes=(request_class,))

    class RetryingModule:
        def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
            return [
                api.StartAttempt("r", "b1", 1_000_000)
                for event in events
                if isinstance(event, (api.Arrival, api.AttemptFinished))
                and getattr(event, "kind", "") != "not_sent"
            ]

    core = Reducer(settings, 1, lambda settings, seed: RetryingModule())
    core.step(0, [ev.EndpointsUpdated(api.EndpointUpdate("cached", (api.NodeEntry("b1", 0),)))])
    core.step(0, [ev.RequestArrived(api.Arrival("r", 0, 0, "v", 0, 1_000_000))])
    core.step(200_000, [ev.AttemptFinished("r", 0, "connect_failed")])
    assert core.may_write("r", 1, 400_000) is None  # no attempt has executed
    core.step(400_000, [ev.AttemptFinished("r", 1, "reset")])  # decided at 200 ms
    assert core.may_write("r", 2, 440_000) is None
    assert core.may_write("r", 2, 460_000) == "not_sent"  # past the end of the window minus its margin
    core.step(450_000, [ev.AttemptFinished("r", 2, "rejected")])
    assert core.may_write("r", 3, 460_000) == "not_sent"
