"""Guards against heads without an end at the object front, each field of which is within its own limit."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

from harriertide.http.client_connection import MAX_HEAD_BYTES
from tests.socket_broker import SocketBroker, receive_all, run_with_broker

FIELD = b"X-Field-%d: " + b"v" * 4_000 + b"\r\n"


# Guards against a connection that holds up to 128 fields of 8 KB: 583 of them took 600 MB.
def test_a_head_of_the_object_front_is_bounded_as_a_whole(tmp_path: Path) -> None:
    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, b"GET /bucket/key HTTP/1.1\r\nHost: x\r\n")
        with suppress(ConnectionError):
            for number in range(2 * MAX_HEAD_BYTES // len(FIELD)):
                await loop.sock_sendall(client, FIELD % number)
                await asyncio.sleep(0.01)
        assert b" 431 " in (await receive_all(client)).splitlines()[0]
        assert not len(broker.daemon.clients)

    run_with_broker(scenario, objects=str(tmp_path / "catalogue"))


def test_heads_within_the_bound_are_served_one_after_the_other(tmp_path: Path) -> None:
    """The count starts anew with each head, and a body does not count."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        fields = b"".join(FIELD % number for number in range(10))
        for _ in range(3):
            client.sendall(b"GET /nobucket/key HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n")
            answer = await receive_all(client, b"</Error>")
            assert b" 404 " in answer.splitlines()[0], answer[:200]
            client.setblocking(True)

    run_with_broker(scenario, objects=str(tmp_path / "catalogue"))
