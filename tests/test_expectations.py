"""The Expect field at both fronts: 100 Continue for those who wait for it, and a refusal of all else."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.socket_broker import SocketBroker, receive_all, request_head, run_with_broker, send_response

BODY = b"data"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
FRONTS = ["platform", "objects"]
CONTINUE_VALUES = ["100-continue", "100-Continue", "100-continue, 100-continue", ",100-continue"]


def write_head(broker: SocketBroker, front: str, fields: str) -> bytes:
    """The head of a write at a front, with these fields beside its Content-Length."""
    fields += f"Content-Length: {len(BODY)}\r\n"
    if front == "platform":
        return request_head(broker, fields, "PUT")
    return f"PUT /v/key HTTP/1.1\r\nHost: x\r\n{fields}\r\n".encode()


async def finish_write(broker: SocketBroker, client: socket.socket) -> bytes:
    """Send the body of a write, have its node answer, and return what the client receives after that."""
    client.sendall(BODY)
    async with asyncio.timeout(5):
        _, fields, body, connection = await broker.node.requests.get()
    assert body == BODY and "Expect" not in fields
    send_response(connection, body=b"")
    return await receive_all(client, b"\r\n\r\n")


def run_at_front(front: str, folder: Path, scenario: Callable[[SocketBroker], Awaitable[None]]) -> None:
    run_with_broker(scenario, objects=str(folder / "catalogue") if front == "objects" else "")


@pytest.mark.parametrize("front", FRONTS)
@pytest.mark.parametrize(
    "value", ["100-continue", "100-Continue", "100-continue, 100-continue", ",100-continue"]
)
def test_a_client_that_waits_for_100_continue_gets_it(value: str, front: str, tmp_path: Path) -> None:
    """Guards against a client that waits in vain, as its expectation is spelt in another way."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(write_head(broker, front, f"Expect: {value}\r\n"))
        assert await receive_all(client, b"\r\n\r\n") == CONTINUE
        assert (await finish_write(broker, client)).startswith(b"HTTP/1.1 200 ")

    run_at_front(front, tmp_path, scenario)


@pytest.mark.parametrize("front", FRONTS)
def test_a_client_of_http_1_0_is_sent_no_interim_response(front: str, tmp_path: Path) -> None:
    """Guards against 100 Continue as the final response of a client that knows no other kind."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        head = write_head(broker, front, "Expect: 100-continue\r\n")
        client.sendall(head.replace(b"HTTP/1.1", b"HTTP/1.0"))
        await asyncio.sleep(0.02)
        assert (await finish_write(broker, client)).split(b" ")[1] == b"200"

    run_at_front(front, tmp_path, scenario)


@pytest.mark.parametrize("front", FRONTS)
@pytest.mark.parametrize("value", ["other", "100-continue, other=1"])
def test_an_unknown_expectation_is_refused(value: str, front: str, tmp_path: Path) -> None:
    """Guards against a write that is served though what its client made a condition of it is not done."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(write_head(broker, front, f"Expect: {value}\r\n"))
        received = await receive_all(client)
        assert received.startswith(b"HTTP/1.1 417 ") and b"Connection: close" in received
        assert broker.node.connection_count == 0

    run_at_front(front, tmp_path, scenario)
