"""Long request bodies: buffered and retried, or streamed once if the memory budget is exhausted."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from harriertide.decide import api
from harriertide.http import client_connection
from harriertide.http.buffer_budget import BufferBudget
from harriertide.platform import request_body
from harriertide.platform.request_memory import MAX_SHORT_BODY_BYTES
from tests.socket_broker import (
    LONG_BODY,
    SocketBroker,
    decode_chunks,
    encode_chunks,
    receive_all,
    request_head,
    run_with_broker,
    send_response,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture


class RecordingNode:
    """A node that records the bytes of one request in any framing."""

    def __init__(self) -> None:
        self.received = b""
        self.connection_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            self.received += data
        self.connection_count += 1
        writer.close()


@pytest.fixture
def exhausted_body_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Exhaust the body budget for all that a request can be served without."""

    def reserve_needed(budget: BufferBudget, size: int, is_optional: bool = False) -> bool:
        budget.reserved_bytes += 0 if is_optional else size
        return not is_optional

    monkeypatch.setattr(BufferBudget, "reserve", reserve_needed)


def test_a_buffered_request_is_retried_whole_if_a_node_fails_it() -> None:
    """A node responds to a write with an error.

    The body is buffered, so the retry sends all of it again. Its memory is returned with the response.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(
            request_head(broker, f"Connection: close\r\nContent-Length: {len(LONG_BODY)}\r\n", "PUT")
        )
        client.sendall(LONG_BODY)
        _, _, body, connection = await broker.node.requests.get()
        assert body == LONG_BODY
        send_response(connection, 500)
        _, headers, body, connection = await broker.node.requests.get()
        assert body == LONG_BODY and headers["Content-Length"] == str(len(LONG_BODY))
        send_response(connection)
        assert (await receive_all(client)).endswith(b"ok")
        assert broker.daemon.memory.requests.reserved_bytes == 0

    run_with_broker(scenario)


def test_a_request_body_is_in_memory_once(exhausted_body_budget: None) -> None:
    """A request body is not copied into the buffer of its connection, which would double the memory."""

    async def scenario(broker: SocketBroker) -> None:
        for size in (MAX_SHORT_BODY_BYTES, len(LONG_BODY)):
            client = broker.connect()
            client.sendall(request_head(broker, f"Content-Length: {size}\r\n", "PUT") + LONG_BODY[:size])
            _, _, body, connection = await broker.node.requests.get()
            (server_connection,) = broker.daemon.clients.in_state("busy")
            assert body == LONG_BODY[:size] and server_connection._buffer._parts == []  # type: ignore[attr-defined]
            send_response(connection)
            assert (await receive_all(client, b"ok")).endswith(b"ok")
            client.close()

    run_with_broker(scenario)


def test_a_chunked_request_with_extensions_and_trailers_is_buffered_whole() -> None:
    """A client sends a body of unknown length in chunks, after it has received 100 Continue.

    The body is buffered without the client's chunk framing.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", "PUT"))
        assert (await receive_all(client, b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        await asyncio.get_running_loop().sock_sendall(client, encode_chunks(LONG_BODY, 7_000))
        _, _, body, connection = await broker.node.requests.get()
        assert body == LONG_BODY
        send_response(connection)
        assert (await receive_all(client, b"ok")).endswith(b"ok")

    run_with_broker(scenario)


def test_a_request_beyond_the_body_budget_is_streamed(exhausted_body_budget: None) -> None:
    """The body budget is exhausted.

    A long body is streamed: the node receives most of it before its last byte has arrived.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(
            request_head(broker, f"Connection: close\r\nContent-Length: {len(LONG_BODY)}\r\n", "PUT")
        )
        client.sendall(LONG_BODY[:-1])
        while not (broker.node.connections and broker.daemon.core.counts["attempts"]):
            await asyncio.sleep(0.005)
        assert broker.node.requests.empty()  # the last byte was not sent yet
        client.sendall(LONG_BODY[-1:])
        _, headers, body, connection = await broker.node.requests.get()
        assert body == LONG_BODY and headers["Content-Length"] == str(len(LONG_BODY))
        send_response(connection)
        assert (await receive_all(client)).endswith(b"ok")

    run_with_broker(scenario)


def test_a_streamed_request_is_not_retried(exhausted_body_budget: None) -> None:
    """A streamed body is not in memory any more when the node responds with an error.

    The request is not retried, but rejected with 503 and Retry-After.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(
            request_head(broker, f"Connection: close\r\nContent-Length: {len(LONG_BODY)}\r\n", "PUT")
        )
        client.sendall(LONG_BODY)
        send_response((await broker.node.requests.get())[3], 500)
        assert b" 503 " in (await receive_all(client)).partition(b"\r\n")[0]
        await broker.wait_until_settled()
        assert broker.node.requests.empty()

    run_with_broker(scenario)


def test_a_chunked_request_is_streamed_in_chunks(exhausted_body_budget: None) -> None:
    """A body of unknown length is streamed to the node in chunks."""

    async def scenario(broker: SocketBroker) -> None:
        recording_node = RecordingNode()
        server = await asyncio.start_server(recording_node.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        broker.daemon.directory._addresses["b1"] = f"127.0.0.1:{port}"
        client = broker.connect()
        client.setblocking(False)
        request = request_head(broker, "Transfer-Encoding: chunked\r\n", "PUT") + encode_chunks(
            LONG_BODY, 9_000
        )
        await asyncio.get_running_loop().sock_sendall(client, request)
        async with asyncio.timeout(2):
            while not recording_node.received.endswith(b"0\r\n\r\n"):
                await asyncio.sleep(0.005)
        head, _, body = recording_node.received.partition(b"\r\n\r\n")
        assert b"Transfer-Encoding: chunked" in head and b"Content-Length" not in head
        assert decode_chunks(body) == LONG_BODY
        client.close()
        server.close()

    run_with_broker(scenario)


def test_a_node_never_gets_the_last_byte_of_a_streamed_request_if_the_client_disconnects(
    exhausted_body_budget: None,
) -> None:
    """A client disconnects in the middle of a streamed body.

    A node executes a request when it receives the last byte, so it must never receive one. The memory is
    returned.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(
            request_head(broker, f"Content-Length: {len(LONG_BODY)}\r\n", "PUT") + LONG_BODY[:200_000]
        )
        while not broker.node.connections:
            await asyncio.sleep(0.005)
        client.close()
        async with asyncio.timeout(2):
            while not broker.node.incomplete_request_count or len(broker.daemon.client.pool):
                await asyncio.sleep(0.005)
        await broker.wait_until_settled()
        assert broker.node.requests.empty() and broker.daemon.memory.requests.reserved_bytes == 0

    run_with_broker(scenario)


def test_a_streamed_request_beyond_its_size_limit_is_rejected(
    exhausted_body_budget: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A streamed body of unknown length exceeds the size limit.

    The client receives one response with status 413, and the node never receives the last byte.
    """
    monkeypatch.setattr(request_body, "MAX_REQUEST_BODY_BYTES", 200_000)

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.setblocking(False)
        request = request_head(broker, "Transfer-Encoding: chunked\r\n", "PUT") + encode_chunks(
            LONG_BODY[:250_000], 9_000
        )
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(client, request))
        received = await receive_all(client)
        assert b" 413 " in received.partition(b"\r\n")[0] and received.count(b"HTTP/1.1 ") == 1
        with suppress(ConnectionError):
            await sending

    run_with_broker(scenario)


def test_no_request_is_streamed_to_a_warming_node(exhausted_body_budget: None) -> None:
    """The only node is in its slow start.

    A body that can be sent only once is not sent to such a node: the request is rejected.
    """

    async def scenario(broker: SocketBroker) -> None:
        warming = api.NodeEntry("b1", 0, started_us=broker.daemon.runtime.clock.now_us())
        broker.daemon.core._endpoints.update(api.EndpointUpdate("delta", (warming,)))
        client = broker.connect()
        client.sendall(
            request_head(broker, f"Connection: close\r\nContent-Length: {len(LONG_BODY)}\r\n", "PUT")
        )
        client.sendall(LONG_BODY)
        assert b" 503 " in (await receive_all(client)).partition(b"\r\n")[0]
        assert broker.node.requests.empty()

    run_with_broker(scenario)


def test_the_timeout_of_a_slow_upload_grows_with_its_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends a body more slowly than REQUEST_TIMEOUT_S allows.

    The timeout is extended as bytes keep arriving.
    """
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.3)

    async def scenario(broker: SocketBroker) -> None:
        body = LONG_BODY[:MAX_SHORT_BODY_BYTES]
        client = broker.connect()
        client.sendall(request_head(broker, f"Connection: close\r\nContent-Length: {len(body)}\r\n", "PUT"))
        for offset in range(0, len(body), 8_192):
            await asyncio.sleep(0.08)
            client.sendall(body[offset : offset + 8_192])
        _, _, body_received, connection = await broker.node.requests.get()
        assert body_received == body
        send_response(connection)
        assert (await receive_all(client)).endswith(b"ok")

    run_with_broker(scenario)


def test_connections_share_one_budget_that_none_may_exceed() -> None:
    """What a request can be served without leaves half of the budget to what can't."""
    budget = BufferBudget(100)
    assert budget.reserve(40, is_optional=True) and not budget.reserve(20, is_optional=True)
    assert budget.reserve(60) and not budget.reserve(1)
    budget.release(100)
    assert budget.reserved_bytes == 0
    budget.is_short = True
    assert budget.reserve(1) and not budget.reserve(1)
