"""The end of chunked bodies on reused connections, and bytes after it."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tests.socket_broker import (
    LONG_BODY,
    RESPONSE_HEAD,
    SocketBroker,
    encode_chunks,
    receive_all,
    request_head,
    run_with_broker,
    send_response,
)

CHUNKED_HEAD = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_RESPONSE = CHUNKED_HEAD + b"4;name=value\r\ndata\r\n0\r\n\r\n"
RESPONSE_WITH_TRAILER = CHUNKED_HEAD + b"4\r\ndata\r\n0\r\nX-Rejected: 1\r\n\r\n"
CHUNKED_RESPONSES = {
    "short": SHORT_RESPONSE,
    "with a trailer": RESPONSE_WITH_TRAILER,
    "long": CHUNKED_HEAD + encode_chunks(LONG_BODY, 10_000),
}
RESPONSES_WITH_SURPLUS = {
    "another response": SHORT_RESPONSE + RESPONSE_HEAD + b"Content-Length: 5\r\n\r\nstray",
    "another response without a body": SHORT_RESPONSE + RESPONSE_HEAD + b"Content-Length: 0\r\n\r\n",
    "a part of a head": SHORT_RESPONSE + b"HTTP/1.1 2",
    "an incomplete head with a field": SHORT_RESPONSE + b"HTTP/1.1 200 OK\r\nX-Long: 1\r\n",
    "garbage": SHORT_RESPONSE + b"\xff\r\n\r\n",
}


async def exchange(broker: SocketBroker, client: socket.socket, response: bytes, piece_size: int) -> bytes:
    """Send a request, respond in pieces of this size, and return the bytes that the client receives."""
    client.sendall(request_head(broker))
    connection = await broker.next_request()
    for offset in range(0, len(response), piece_size):
        connection.writer.write(response[offset : offset + piece_size])
        await connection.writer.drain()
        await asyncio.sleep(0)
    return await receive_all(
        client, b"0\r\n\r\n" if response.endswith(encode_chunks(LONG_BODY, 10_000)) else b"data"
    )


@pytest.mark.parametrize("piece_size", [1 << 20, 7])
@pytest.mark.parametrize("response", CHUNKED_RESPONSES.values(), ids=CHUNKED_RESPONSES.keys())
def test_a_connection_is_reused_after_a_chunked_response(response: bytes, piece_size: int) -> None:
    """A chunked response arrives in pieces of any size, with chunk extensions and trailers.

    Its end is detected, so that the connection carries the next request, and no trailer is taken for a header
    field of the next response.
    """

    async def scenario(broker: SocketBroker) -> None:
        client, pool = broker.connect(), broker.daemon.client.pool
        await exchange(broker, client, response, max(piece_size, len(response) // 100))
        async with asyncio.timeout(2):
            while not pool._idle:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)  # more than REUSE_DELAY_S
        assert b"X-Rejected" not in await exchange(broker, client, SHORT_RESPONSE, 1 << 20)
        assert broker.daemon.client.counts["connected"] == 1

    run_with_broker(scenario)


@pytest.mark.parametrize("response", RESPONSES_WITH_SURPLUS.values(), ids=RESPONSES_WITH_SURPLUS.keys())
def test_bytes_after_the_last_chunk_are_never_the_response_to_the_next_request(response: bytes) -> None:
    """A faulty node sends bytes after its last chunk.

    The response is valid, but the connection must not be reused: the bytes would be taken for the response to
    the next request.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        (await broker.next_request()).writer.write(response)
        assert (await receive_all(client, b"data")).startswith(b"HTTP/1.1 200 ")
        await asyncio.sleep(0.02)
        client.sendall(request_head(broker))
        send_response(await broker.next_request(), body=b"mine")
        assert (await receive_all(client, b"mine")).startswith(b"HTTP/1.1 200 ")
        assert broker.daemon.client.counts["connected"] == 2

    run_with_broker(scenario)


@pytest.mark.parametrize("piece_size", [1 << 20, 50])
def test_a_trailer_is_not_a_header_field_of_the_next_request(piece_size: int) -> None:
    """A client's body ends with trailers, one of which is named like a header field that the broker uses.

    The next request on the connection has its own header fields and none of the trailers.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        request = request_head(broker, "Transfer-Encoding: chunked\r\n", "PUT")
        request += b"4\r\ndata\r\n0\r\nX-Sum: 1\r\nX-Budget-Ms: 1\r\n\r\n"
        for offset in range(0, len(request), piece_size):
            client.sendall(request[offset : offset + piece_size])
            await asyncio.sleep(0)
        send_response(await broker.next_request())
        await receive_all(client, b"ok")
        client.sendall(request_head(broker, "X-Own: 1\r\n"))
        async with asyncio.timeout(5):
            _, fields, _, connection = await broker.node.requests.get()
        send_response(connection)
        assert (await receive_all(client, b"ok")).startswith(b"HTTP/1.1 200 ")
        assert "X-Sum" not in fields and int(fields["X-Budget-Ms"]) > 1000 and fields["X-Own"] == "1"

    run_with_broker(scenario)


def test_a_request_pipelined_with_the_end_of_a_body_is_not_read() -> None:
    """A client sends its next request in one piece with the end of a body.

    The first request gets its response and the connection is closed; the second request is not read.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Content-Length: 6\r\n", "PUT") + b"abc")
        await asyncio.sleep(0.02)
        client.sendall(b"def" + request_head(broker))
        async with asyncio.timeout(5):
            (method, *_), _, body, connection = await broker.node.requests.get()
        assert (method, body) == ("PUT", b"abcdef")
        send_response(connection)
        received = await receive_all(client)
        assert (
            received.startswith(b"HTTP/1.1 200 ")
            and b"Connection: close" in received
            and received.endswith(b"ok")
        )
        assert broker.node.requests.empty()

    run_with_broker(scenario)
