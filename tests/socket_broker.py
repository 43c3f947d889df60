"""A broker on real sockets with a stub node, and plain sockets as its clients.

Clients run in the thread of the event loop: what they do between two iterations of the loop has taken effect
in the kernel before the broker's loop handles any of it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from harriertide.cli import shutdown
from harriertide.cli.daemon import Daemon
from harriertide.config import operator_file
from harriertide.decide.settings import from_wire, names_from_wire
from harriertide.http import client_connection
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import parse_page
from harriertide.platform.peers import parse_address
from tests.scenario import HttpConnection, ScenarioRunner, StubServer
from tests.test_net import OPERATOR, WIRE

FLOOD = b"x" * 40_000  # fits into the socket buffer of a peer that does not read
LONG_BODY = bytes(range(256)) * 1200  # 300 KiB
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"


class SocketBroker:
    """A broker daemon with one stub node."""

    def __init__(self, daemon: Daemon, node: StubServer, port: int) -> None:
        self.daemon, self.node, self.port = daemon, node, port
        self.request_count, self.stopped = 0, False

    async def stop(self) -> None:
        """Shut the broker down as on SIGTERM."""
        self.stopped = True
        await self.daemon.stop()

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port))

    def request(self, method: str = "GET", body: bytes = b"") -> bytes:
        self.request_count += 1
        return (
            f"{method} /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: id{self.request_count}\r\n"
            "X-Call-Class: page-read\r\n"
            "X-Storage-Class: gold\r\nX-Budget-Ms: 1500\r\n"
            "X-Extent: volume=00000000000000aa,units=2,shard=0,hosts=1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def next_request(self) -> HttpConnection:
        """Return the connection of the next request that the node receives."""
        async with asyncio.timeout(5):
            return (await self.node.requests.get())[3]

    async def connect_in_state(self, path: str, state: client_connection.ConnectionState) -> socket.socket:
        """Return a client that has sent a request, once the broker has its connection in the given state."""
        client = self.connect()
        client.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        while not self.daemon.clients.in_state(state):
            await asyncio.sleep(0)
        return client

    async def wait_until_settled(self) -> None:
        """Wait until no retry can follow; attempts are spaced in time, and may have to connect first."""
        await asyncio.sleep(0.15)
        assert self.daemon.core.open_request_count() == 0

    async def read(self, client: socket.socket) -> bytes:
        """Return all data up to the end of the connection; raises ConnectionResetError after a reset."""
        client.setblocking(False)
        loop, received = asyncio.get_running_loop(), b""
        async with asyncio.timeout(5):
            while data := await loop.sock_recv(client, 65536):
                received += data
        return received


def send_response(connection: HttpConnection, status: int = 200, body: bytes = b"ok") -> None:
    connection.writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))


def run_with_broker(
    scenario: Callable[[SocketBroker], Awaitable[None]],
    objects: str = "",
    wire: dict[str, Any] = WIRE,
    **config_fields: object,
) -> None:
    """Run a scenario with the front of the platform's protocol, or with that of the object protocol.

    :param objects: the path of the object front's catalogue; empty for the platform's protocol
    :param config_fields: further fields of the configuration
    """

    async def main() -> None:
        node, discovery = StubServer(), StubServer()
        ports = {"b1": await node.start(), "s": await discovery.start()}
        if objects:
            nodes = {"b1": {"address": f"127.0.0.1:{ports['b1']}", "shard": 0}}
            daemon = Daemon(
                None, operator_file.read_operator_file({**OPERATOR, "boxes": nodes, "catalogue": objects})
            )
        else:
            entry = ScenarioRunner({}, ports, None).endpoint_entry("b1", "up")
            config = Config(
                name="n", listen=parse_address("127.0.0.1:0"), discovery=f"127.0.0.1:{ports['s']}", seed=1,
                settings=from_wire(wire), names=names_from_wire(wire), peer_listen=None, peers=[],
                cached_list=parse_page({"seq": 7, "whole": True, "hosts": [entry]}, {}), raw_settings=wire,
            )  # fmt: skip
            daemon = Daemon(replace(config, **config_fields), None)  # type: ignore[arg-type]
        await daemon.start()
        broker = SocketBroker(daemon, node, daemon.listeners.port(0))
        try:
            await scenario(broker)
        finally:
            if not broker.stopped:
                await daemon.stop()
            await node.close()
            await discovery.close()

    asyncio.run(main())


@pytest.fixture(autouse=True)
def short_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the timeouts of a graceful shutdown."""
    times = {
        "ACCEPT_GRACE_S": 0.05,
        "MAX_REQUEST_S": 0.3,
        "SHUTDOWN_SLACK_S": 0.1,
        "FINAL_RESPONSES_S": 0.1,
    }
    for name, seconds in times.items():
        monkeypatch.setattr(shutdown, name, seconds)


def request_head(broker: SocketBroker, extra_fields: str = "", method: str = "GET") -> bytes:
    """Return a request head with these fields in place of Content-Length."""
    return broker.request(method).replace(b"Content-Length: 0\r\n", extra_fields.encode())


async def receive_all(client: socket.socket, until: bytes = b"") -> bytes:
    """Receive all bytes up to the end of the connection, or up to the given bytes."""
    client.setblocking(False)
    received = bytearray()
    async with asyncio.timeout(5):
        while not (until and received.endswith(until)):
            data = await asyncio.get_running_loop().sock_recv(client, 1 << 20)
            if not data:
                break
            received += data
    return bytes(received)


def decode_chunks(data: bytes) -> bytes:
    """Decode a chunked body without extensions, up to its last chunk."""
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        if int(size, 16) == 0:
            return body
        body, data = body + data[: int(size, 16)], data[int(size, 16) + 2 :]


def response_body(response: bytes) -> bytes:
    head, _, body = response.partition(b"\r\n\r\n")
    return decode_chunks(body) if b"chunked" in head else body


def encode_chunks(data: bytes, size: int) -> bytes:
    """Encode data in chunks that have an extension each, followed by a trailer."""
    parts = [data[offset : offset + size] for offset in range(0, len(data), size)]
    encoded_chunks = b"".join(b"%x;name=value\r\n%b\r\n" % (len(part), part) for part in parts)
    return encoded_chunks + b"0\r\nX-Sum: 1\r\n\r\n"
