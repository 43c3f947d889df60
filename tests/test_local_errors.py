"""Guards against healthy nodes that are ejected for errors of the broker's own machine.

`connect` fails as on a machine that lacks a descriptor, a buffer, a local port or a route.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Awaitable, Callable

import pytest

from harriertide.http.local_errors import LOCAL_ERRNOS
from harriertide.http.node_connection import NodeConnection
from harriertide.http.node_pool import NodeConnectionPool
from tests.socket_broker import SocketBroker, receive_all, request_head, run_with_broker, send_response

Connect = Callable[[NodeConnectionPool, str], Awaitable[NodeConnection | None]]


def fail_connects(monkeypatch: pytest.MonkeyPatch, number: int, count: int) -> None:
    """Let the next `count` connects to nodes fail with an errno."""
    connect: Connect = NodeConnectionPool.connect
    remaining = [count]

    async def connect_or_fail(pool: NodeConnectionPool, address: str) -> NodeConnection | None:
        if not remaining[0]:
            return await connect(pool, address)
        remaining[0] -= 1
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(NodeConnectionPool, "connect", connect_or_fail)


# Guards against an attempt that fails, and a node that is ejected, for a moment's shortage of this machine.
@pytest.mark.parametrize("number", sorted(LOCAL_ERRNOS), ids=errno.errorcode.get)
def test_a_short_local_error_ejects_no_node_and_the_request_is_served(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fail_connects(monkeypatch, number, 2)

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n", "GET"))
        send_response(await broker.next_request())
        assert b" 200 " in (await receive_all(client)).splitlines()[0]
        counts = broker.daemon.core.counts
        assert counts["outcome_connect_failed"] == 0 and counts["attempts"] == 1

    run_with_broker(scenario)


# Guards against nodes that stay ejected once the shortage is over.
def test_after_a_long_local_error_the_next_request_is_served_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(broker: SocketBroker) -> None:
        with monkeypatch.context() as shortage:
            fail_connects(shortage, errno.EMFILE, 10_000)
            client = broker.connect()
            client.sendall(request_head(broker, "Connection: close\r\n", "GET"))
            assert b" 503 " in (await receive_all(client)).splitlines()[0]
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n", "GET"))
        send_response(await broker.next_request())
        assert b" 200 " in (await receive_all(client)).splitlines()[0]
        assert broker.daemon.core.counts["outcome_connect_failed"] == 0

    run_with_broker(scenario)
