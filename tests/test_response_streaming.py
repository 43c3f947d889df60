"""Long responses: forwarding with bounded memory, truncation and retries."""

from __future__ import annotations

import asyncio
import re
import socket
from contextlib import suppress

import pytest

from harriertide.http import body_stream, node_response
from harriertide.http.node_connection import FORWARD_BUFFER_BYTES
from harriertide.http.node_response import FIRST_PART_BYTES
from tests.scenario import HttpConnection
from tests.socket_broker import (
    LONG_BODY,
    RESPONSE_HEAD,
    SocketBroker,
    encode_chunks,
    receive_all,
    request_head,
    response_body,
    run_with_broker,
    send_response,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture

LONG_RESPONSES = {
    "a length": RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY,
    "chunks": RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG_BODY, 10_000),
    "the end of the connection": RESPONSE_HEAD + b"Connection: close\r\n\r\n" + LONG_BODY,
}


@pytest.mark.parametrize("response", LONG_RESPONSES.values(), ids=LONG_RESPONSES.keys())
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_long_response_is_forwarded_byte_for_byte(response: bytes, version: str) -> None:
    """A node sends a long response, in each framing of HTTP.

    The client receives the same bytes, even if it uses HTTP/1.0 and cannot read chunks, and no memory stays
    reserved.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(
            request_head(broker, "Connection: close\r\n").replace(b"HTTP/1.1", f"HTTP/{version}".encode())
        )
        connection = await broker.next_request()
        connection.writer.write(response)
        if b"close" in response[:60]:
            connection.writer.close()
        received = await receive_all(client)
        assert response_body(received) == LONG_BODY
        assert version == "1.1" or b"chunked" not in received.partition(b"\r\n\r\n")[0]
        assert broker.daemon.client.pool.buffered_bytes == 0

    run_with_broker(scenario)


def test_an_attempt_ends_with_the_first_part_of_its_response_and_connections_are_kept() -> None:
    """A node takes a while to send a long response.

    The attempt ends with the first part, so that it does not occupy a slot of the node. The rest is forwarded
    after that, and both connections carry another request afterwards.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        connection = await broker.next_request()
        connection.writer.write(
            RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:1000]
        )
        async with asyncio.timeout(2):
            while not broker.daemon.core.counts["served"]:
                await asyncio.sleep(0.005)
        assert (
            broker.daemon.core.open_request_count() == 0 and len(broker.daemon.clients.in_state("busy")) == 1
        )
        await asyncio.sleep(0.15)  # longer than the stall timeout of a buffered response
        connection.writer.write(LONG_BODY[1000:])
        assert response_body(await receive_all(client, LONG_BODY[-2000:])) == LONG_BODY
        async with asyncio.timeout(2):
            while not broker.daemon.clients.in_state("idle"):
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        client.sendall(request_head(broker))
        assert await broker.next_request() is connection
        send_response(connection)
        assert (await receive_all(client, b"ok")).endswith(b"ok")

    run_with_broker(scenario)


def test_data_of_any_size_is_forwarded_on_arrival() -> None:
    """A node sends the middle of its response byte by byte.

    No byte is lost, and the response does not count as stalled.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n"))
        connection = await broker.next_request()
        connection.writer.write(RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY))
        connection.writer.write(LONG_BODY[:FIRST_PART_BYTES])
        for byte in LONG_BODY[FIRST_PART_BYTES : FIRST_PART_BYTES + 40]:
            connection.writer.write(bytes([byte]))
            await asyncio.sleep(0.005)
        connection.writer.write(LONG_BODY[FIRST_PART_BYTES + 40 :])
        assert response_body(await receive_all(client)) == LONG_BODY

    run_with_broker(scenario)


@pytest.mark.parametrize("response", list(LONG_RESPONSES.values())[:2], ids=list(LONG_RESPONSES)[:2])
def test_a_response_that_fails_after_its_first_part_is_truncated_without_a_retry(
    response: bytes,
) -> None:
    """A node aborts its response when the client has already received a part of it.

    A retry would mix two responses, so there is none. The client can tell that the response is incomplete.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        connection = await broker.next_request()
        connection.writer.write(response[:200_000])
        await connection.writer.drain()
        await asyncio.sleep(0.05)
        connection.writer.transport.abort()
        received = await receive_all(client)
        head, _, body = received.partition(b"\r\n\r\n")
        assert b" 200 " in head
        if b"chunked" in head:
            assert not body.endswith(b"0\r\n\r\n")
        else:
            assert len(body) < len(LONG_BODY)
        await broker.wait_until_settled()
        assert broker.node.requests.empty() and broker.daemon.client.pool.buffered_bytes == 0

    run_with_broker(scenario)


def test_a_truncated_response_that_ends_with_its_connection_is_reset() -> None:
    """An HTTP/1.0 client takes the end of the connection for the end of the body.

    If the node aborts the response, an orderly close would make it look complete, so the connection is reset.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker).replace(b"HTTP/1.1", b"HTTP/1.0"))
        connection = await broker.next_request()
        connection.writer.write(LONG_RESPONSES["chunks"][:200_000])
        await connection.writer.drain()
        await asyncio.sleep(0.05)
        connection.writer.transport.abort()
        with pytest.raises(ConnectionResetError):
            await receive_all(client)

    run_with_broker(scenario)


def test_a_response_that_fails_within_its_first_part_is_retried() -> None:
    """A node aborts its response before the client has received any of it, and a retry succeeds."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n"))
        connection = await broker.next_request()
        connection.writer.write(
            RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100]
        )
        connection.writer.transport.abort()
        connection = await broker.next_request()
        send_response(connection)
        assert (await receive_all(client)).endswith(b"ok")

    run_with_broker(scenario)


def test_reading_from_the_node_pauses_while_the_client_does_not_read() -> None:
    """A client requests 32 MiB and does not read.

    The broker must not buffer the response in memory: it stops reading from the node, and continues when the
    client reads.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", broker.port))
        client.sendall(request_head(broker, "Connection: close\r\n"))
        connection = await broker.next_request()
        size = 32 << 20
        connection.writer.write(RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % size)
        body_writer = asyncio.create_task(write_body(connection, size))
        await asyncio.sleep(0.3)
        assert not body_writer.done()  # the socket buffers cannot hold the whole body
        (server_connection,) = broker.daemon.clients.in_state("busy")
        buffered_bytes = server_connection.unsent_bytes() + sum(
            node_connection._payload._size
            for node_connection in broker.daemon.client.pool.connections()
            if node_connection._payload is not None
        )
        assert buffered_bytes <= FORWARD_BUFFER_BYTES + FIRST_PART_BYTES
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        assert len(response_body(await receive_all(client))) == size
        await body_writer

    run_with_broker(scenario)


async def write_body(connection: HttpConnection, size: int) -> None:
    part = b"x" * 65_536
    for _ in range(size // len(part)):
        connection.writer.write(part)
        await connection.writer.drain()


def test_a_client_that_disconnects_during_a_long_response_frees_the_node_connection() -> None:
    """A client disconnects in the middle of a long response.

    The connection to the node is closed and its memory returned.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        connection = await broker.next_request()
        connection.writer.write(
            RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100_000]
        )
        while not broker.daemon.core.counts["served"]:
            await asyncio.sleep(0.005)
        client.close()
        async with asyncio.timeout(2):
            while len(broker.daemon.client.pool) or broker.daemon.client.pool.buffered_bytes:
                await asyncio.sleep(0.005)

    run_with_broker(scenario)


def test_a_long_response_for_a_disconnected_client_is_discarded() -> None:
    """A client disconnects before its response begins, and the node still sends the response.

    The connection to the node is closed, and no memory stays reserved.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        connection = await broker.next_request()
        client.close()
        async with asyncio.timeout(2):
            while not broker.daemon.core.counts["left"]:
                await asyncio.sleep(0.005)
        with suppress(ConnectionError):
            connection.writer.write(LONG_RESPONSES["a length"])
            await connection.writer.drain()
        async with asyncio.timeout(2):
            while len(broker.daemon.client.pool) or broker.daemon.client.pool.buffered_bytes:
                await asyncio.sleep(0.005)

    run_with_broker(scenario)


def test_a_stream_that_stalls_ends_after_its_idle_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node sends a third of a response and then nothing, on a connection that stays open.

    The client's connection ends after STREAM_IDLE_TIMEOUT_S.
    """
    monkeypatch.setattr(body_stream, "STREAM_IDLE_TIMEOUT_S", 0.1)

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        connection = await broker.next_request()
        connection.writer.write(LONG_RESPONSES["a length"][:100_000])
        assert len(await receive_all(client)) < len(LONG_BODY)

    run_with_broker(scenario)


def test_the_first_part_of_a_response_fits_the_forward_buffer() -> None:
    assert node_response.FIRST_PART_MIN_BYTES < FIRST_PART_BYTES <= FORWARD_BUFFER_BYTES
    assert FORWARD_BUFFER_BYTES <= 128 * 1024  # for each of many concurrent responses


def test_a_coded_response_is_passed_on_with_its_content_coding() -> None:
    """Guards against a body that its node has compressed and that a client reads as it came.

    A client asks for compressed content, and one node states two codings in fields of their own.
    """

    async def scenario(broker: SocketBroker) -> None:
        for fields, expected in (
            (b"Content-Encoding: gzip\r\n", b"Content-Encoding: gzip\r\n"),
            (b"content-encoding: aes\r\nContent-Encoding: br\r\n", b"Content-Encoding: aes, br\r\n"),
            (b"", b""),
        ):
            client = broker.connect()
            client.sendall(request_head(broker, "Accept-Encoding: gzip\r\n"))
            connection = await broker.next_request()
            connection.writer.write(RESPONSE_HEAD + fields + b"Content-Length: 5\r\n\r\ncoded")
            head, _, _ = (await receive_all(client, b"coded")).partition(b"\r\n\r\n")
            assert b"".join(re.findall(rb"Content-Encoding: [^\r]*\r\n", head + b"\r\n")) == expected
            client.close()

    run_with_broker(scenario)
