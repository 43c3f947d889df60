"""Bodies in chunks on connections that are kept: where they end, and what lies behind them."""

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

CHUNKED = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT = CHUNKED + b"4;name=value\r\ndata\r\n0\r\n\r\n"
TRAILED = CHUNKED + b"4\r\ndata\r\n0\r\nX-Rejected: 1\r\n\r\n"
ANSWERS = {"short": SHORT, "with a trailer": TRAILED, "long": CHUNKED + encode_chunks(LONG_BODY, 10_000)}
SURPLUS = {
    "another answer": SHORT + RESPONSE_HEAD + b"Content-Length: 5\r\n\r\nstray",
    "another answer without a body": SHORT + RESPONSE_HEAD + b"Content-Length: 0\r\n\r\n",
    "a part of a head": SHORT + b"HTTP/1.1 2",
    "a head that goes on": SHORT + b"HTTP/1.1 200 OK\r\nX-Long: 1\r\n",
    "noise": SHORT + b"\xff\r\n\r\n",
}


async def answered(broker: SocketBroker, client: socket.socket, data: bytes, piece: int) -> bytes:
    """One request, answered by these bytes in pieces of that size: what its client gets."""
    client.sendall(request_head(broker))
    node = await broker.next_request()
    for at in range(0, len(data), piece):
        node.writer.write(data[at : at + piece])
        await node.writer.drain()
        await asyncio.sleep(0)
    return await receive_all(
        client, b"0\r\n\r\n" if data.endswith(encode_chunks(LONG_BODY, 10_000)) else b"data"
    )


@pytest.mark.parametrize("piece", [1 << 20, 7])
@pytest.mark.parametrize("data", ANSWERS.values(), ids=ANSWERS.keys())
def test_a_connection_is_kept_behind_an_answer_in_chunks(data: bytes, piece: int) -> None:
    """A response in chunks comes in pieces of any size, with extensions and trailers.

    Its end is recognised, so the connection carries the next request, and no trailer is taken for a field of
    the next response.
    """

    async def scenario(broker: SocketBroker) -> None:
        client, pool = broker.connect(), broker.daemon.client.pool
        await answered(broker, client, data, max(piece, len(data) // 100))
        async with asyncio.timeout(2):
            while not pool._idle:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)  # the connection's rest behind an answer
        assert b"X-Rejected" not in await answered(broker, client, SHORT, 1 << 20)
        assert broker.daemon.client.counts["connected"] == 1

    run_with_broker(scenario)


@pytest.mark.parametrize("data", SURPLUS.values(), ids=SURPLUS.keys())
def test_what_lies_behind_the_last_chunk_never_answers_the_next_request(data: bytes) -> None:
    """A node in trouble sends something behind its last chunk.

    The response is good, but the connection is not: what lies there would be taken for the response to the
    next request.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        (await broker.next_request()).writer.write(data)
        assert (await receive_all(client, b"data")).startswith(b"HTTP/1.1 200 ")
        await asyncio.sleep(0.02)
        client.sendall(request_head(broker))
        send_response(await broker.next_request(), body=b"mine")
        assert (await receive_all(client, b"mine")).startswith(b"HTTP/1.1 200 ")
        assert broker.daemon.client.counts["connected"] == 2

    run_with_broker(scenario)


@pytest.mark.parametrize("piece", [1 << 20, 50])
def test_a_trailer_is_no_field_of_the_next_request(piece: int) -> None:
    """A client's body ends with trailers, one of them named like a field that decides.

    The next request on the connection has its own fields and none of these.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        put = request_head(broker, "Transfer-Encoding: chunked\r\n", "PUT")
        put += b"4\r\ndata\r\n0\r\nX-Sum: 1\r\nX-Budget-Ms: 1\r\n\r\n"
        for at in range(0, len(put), piece):
            client.sendall(put[at : at + piece])
            await asyncio.sleep(0)
        send_response(await broker.next_request())
        await receive_all(client, b"ok")
        client.sendall(request_head(broker, "X-Own: 1\r\n"))
        async with asyncio.timeout(5):
            _, fields, _, node = await broker.node.requests.get()
        send_response(node)
        assert (await receive_all(client, b"ok")).startswith(b"HTTP/1.1 200 ")
        assert "X-Sum" not in fields and int(fields["X-Budget-Ms"]) > 1000 and fields["X-Own"] == "1"

    run_with_broker(scenario)


def test_a_request_sent_ahead_with_the_end_of_a_body_does_not_take_its_place() -> None:
    """A client sends its next request in one piece with the end of a body.

    The first request is answered, and its connection closed; the second is not read.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Content-Length: 6\r\n", "PUT") + b"abc")
        await asyncio.sleep(0.02)
        client.sendall(b"def" + request_head(broker))
        async with asyncio.timeout(5):
            (method, *_), _, body, node = await broker.node.requests.get()
        assert (method, body) == ("PUT", b"abcdef")
        send_response(node)
        got = await receive_all(client)
        assert got.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in got and got.endswith(b"ok")
        assert broker.node.requests.empty()

    run_with_broker(scenario)
