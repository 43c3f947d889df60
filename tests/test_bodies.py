"""Long bodies, both ways: what passes, byte for byte, what is kept in memory, and what breaks on the way."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from harriertide.decide import api
from harriertide.http import body_stream, client_connection, node_response
from harriertide.http.node_connection import FORWARD_BUFFER_BYTES
from harriertide.http.node_response import FIRST_PART_BYTES
from harriertide.platform import request_body
from harriertide.platform.request_body import ALWAYS_BUFFERED_BYTES
from tests.scenario import Line
from tests.test_crossings import House, inside
from tests.test_crossings import answer as reply
from tests.test_crossings import short as short  # a fixture: stops are short

LONG = bytes(range(256)) * 1200  # 300 KiB
HEAD = b"HTTP/1.1 200 OK\r\n"


def ask(house: House, fields: str = "", method: str = "GET") -> bytes:
    """The head of a request with these fields."""
    return house.request(method).replace(b"Content-Length: 0\r\n", fields.encode())


async def all_of(client: socket.socket, until: bytes = b"") -> bytes:
    """What comes until the connection ends, or until these bytes have come."""
    client.setblocking(False)
    got = bytearray()
    async with asyncio.timeout(5):
        while not (until and got.endswith(until)):
            data = await asyncio.get_running_loop().sock_recv(client, 1 << 20)
            if not data:
                break
            got += data
    return bytes(got)


def dechunked(data: bytes) -> bytes:
    """The body of chunks without extensions, up to the last one."""
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        if int(size, 16) == 0:
            return body
        body, data = body + data[: int(size, 16)], data[int(size, 16) + 2 :]


def body_of(answer: bytes) -> bytes:
    head, _, body = answer.partition(b"\r\n\r\n")
    return dechunked(body) if b"chunked" in head else body


def chunks(data: bytes, size: int) -> bytes:
    """As chunks with an extension each, and trailers."""
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    coded = b"".join(b"%x;name=value\r\n%b\r\n" % (len(part), part) for part in parts)
    return coded + b"0\r\nX-Sum: 1\r\n\r\n"


# --- answers -------------------------------------------------------------------------------------

ANSWERS = {
    "a length": HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 10_000),
    "the end of the connection": HEAD + b"Connection: close\r\n\r\n" + LONG,
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_long_answer_passes_byte_for_byte(answer: bytes, version: str) -> None:
    """A node answers at length, in each framing that HTTP has.

    The client gets the same bytes, also where it speaks HTTP/1.0 and reads no chunks, and no memory stays
    reserved.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, "Connection: close\r\n").replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
        line = await house.asked()
        line.writer.write(answer)
        if b"close" in answer[:60]:
            line.writer.close()
        got = await all_of(client)
        assert body_of(got) == LONG
        assert version == "1.1" or b"chunked" not in got.partition(b"\r\n\r\n")[0]
        assert house.daemon.client.pool._buffered_bytes == 0

    inside(play)


def test_an_attempt_is_over_with_the_first_part_of_its_answer_and_the_connections_are_kept() -> None:
    """A long response takes its time.

    Its attempt ends with the first part, so that it holds no slot of the node; the rest is forwarded beside
    it, and both connections carry another request afterwards.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house))
        line = await house.asked()
        line.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:1000])
        async with asyncio.timeout(2):
            while not house.daemon.core.counts["served"]:
                await asyncio.sleep(0.005)
        assert house.daemon.core.open_request_count() == 0 and len(house.daemon.clients.in_state("busy")) == 1
        await asyncio.sleep(0.15)  # more than an answer may stop short that is held
        line.writer.write(LONG[1000:])
        assert body_of(await all_of(client, LONG[-2000:])) == LONG
        async with asyncio.timeout(2):
            while not house.daemon.clients.in_state("idle"):
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        client.sendall(ask(house))
        assert await house.asked() is line
        reply(line)
        assert (await all_of(client, b"ok")).endswith(b"ok")

    inside(play)


def test_pieces_of_any_size_over_seconds_pass_as_they_come() -> None:
    """A node sends the middle of its response byte by byte.

    Nothing is lost, and nobody takes it for stalled.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, "Connection: close\r\n"))
        line = await house.asked()
        line.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG))
        line.writer.write(LONG[:FIRST_PART_BYTES])
        for byte in LONG[FIRST_PART_BYTES : FIRST_PART_BYTES + 40]:
            line.writer.write(bytes([byte]))
            await asyncio.sleep(0.005)
        line.writer.write(LONG[FIRST_PART_BYTES + 40 :])
        assert body_of(await all_of(client)) == LONG

    inside(play)


@pytest.mark.parametrize("answer", list(ANSWERS.values())[:2], ids=list(ANSWERS)[:2])
def test_an_answer_that_breaks_behind_its_first_part_is_cut_off_for_good(
    answer: bytes,
) -> None:
    """A node breaks off when the client has a part of the response already.

    A retry would mix two responses, so there is none, and the client can tell that it has not all of it.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house))
        line = await house.asked()
        line.writer.write(answer[:200_000])
        await line.writer.drain()
        await asyncio.sleep(0.05)
        line.writer.transport.abort()
        got = await all_of(client)
        head, _, body = got.partition(b"\r\n\r\n")
        assert b" 200 " in head
        if b"chunked" in head:
            assert not body.endswith(b"0\r\n\r\n")
        else:
            assert len(body) < len(LONG)
        await house.settle()
        assert house.box.asked.empty() and house.daemon.client.pool._buffered_bytes == 0

    inside(play)


def test_an_answer_cut_off_whose_end_would_be_that_of_the_connection_is_reset() -> None:
    """A client of HTTP/1.0 takes the end of the connection for the end of the body.

    Where the node breaks off, an orderly close would pass half a response for a whole one: the connection is
    reset.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house).replace(b"HTTP/1.1", b"HTTP/1.0"))
        line = await house.asked()
        line.writer.write(ANSWERS["chunks"][:200_000])
        await line.writer.drain()
        await asyncio.sleep(0.05)
        line.writer.transport.abort()
        with pytest.raises(ConnectionResetError):
            await all_of(client)

    inside(play)


def test_an_answer_that_breaks_within_its_first_part_is_asked_for_again() -> None:
    """A node breaks off before anything went to the client. A retry makes it good, unseen."""

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, "Connection: close\r\n"))
        line = await house.asked()
        line.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100])
        line.writer.transport.abort()
        line = await house.asked()
        reply(line)
        assert (await all_of(client)).endswith(b"ok")

    inside(play)


def test_reading_stops_where_the_client_does_not_read() -> None:
    """A client asks for 32 MiB and does not read.

    The broker must not take the response into its memory: it stops reading from the node, and goes on when
    the client does.
    """

    async def play(house: House) -> None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", house.port))
        client.sendall(ask(house, "Connection: close\r\n"))
        line = await house.asked()
        size = 32 << 20
        line.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
        written = asyncio.create_task(_write(line, size))
        await asyncio.sleep(0.3)
        assert not written.done()  # what the sockets hold is not all of it
        (mine,) = house.daemon.clients.in_state("busy")
        held = mine.unsent_bytes() + sum(
            each._payload._size for each in house.daemon.client.pool._connections if each._payload is not None
        )
        assert held <= FORWARD_BUFFER_BYTES + FIRST_PART_BYTES
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        assert len(body_of(await all_of(client))) == size
        await written

    inside(play)


async def _write(line: Line, size: int) -> None:
    part = b"x" * 65_536
    for _ in range(size // len(part)):
        line.writer.write(part)
        await line.writer.drain()


def test_a_client_that_leaves_a_long_answer_lets_go_of_the_nodes_connection() -> None:
    """A client leaves in the middle of a long response.

    The connection to the node is closed and its memory returned.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house))
        line = await house.asked()
        line.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100_000])
        while not house.daemon.core.counts["served"]:
            await asyncio.sleep(0.005)
        client.close()
        async with asyncio.timeout(2):
            while len(house.daemon.client.pool) or house.daemon.client.pool._buffered_bytes:
                await asyncio.sleep(0.005)

    inside(play)


def test_a_long_answer_for_a_client_that_left_meanwhile_is_let_go() -> None:
    """A client leaves before its response begins.

    The response comes all the same: nobody wants it, so its connection is closed and no memory stays
    reserved.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house))
        line = await house.asked()
        client.close()
        async with asyncio.timeout(2):
            while not house.daemon.core.counts["left"]:
                await asyncio.sleep(0.005)
        with suppress(ConnectionError):
            line.writer.write(ANSWERS["a length"])
            await line.writer.drain()
        async with asyncio.timeout(2):
            while len(house.daemon.client.pool) or house.daemon.client.pool._buffered_bytes:
                await asyncio.sleep(0.005)

    inside(play)


def test_a_node_that_falls_silent_in_a_long_answer_holds_its_client_for_no_longer_than_it_must(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node sends a third of a response and then nothing, on a connection that stays open.

    The client's connection ends after the idle timeout of a stream.
    """
    monkeypatch.setattr(body_stream, "STREAM_IDLE_TIMEOUT_S", 0.1)

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house))
        line = await house.asked()
        line.writer.write(ANSWERS["a length"][:100_000])
        assert len(await all_of(client)) < len(LONG)

    inside(play)


# --- requests ------------------------------------------------------------------------------------


def test_a_long_request_is_kept_and_sent_again_where_a_node_fails_it() -> None:
    """A node answers a write with an error.

    The body was buffered, so a retry sends all of it again, and its memory is returned with the answer.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, f"Connection: close\r\nContent-Length: {len(LONG)}\r\n", "PUT"))
        client.sendall(LONG)
        _, _, body, line = await house.box.asked.get()
        assert body == LONG
        reply(line, 500)
        _, headers, body, line = await house.box.asked.get()
        assert body == LONG and headers["Content-Length"] == str(len(LONG))
        reply(line)
        assert (await all_of(client)).endswith(b"ok")
        assert house.daemon.bodies.reserved_bytes == 0

    inside(play)


def test_a_request_on_its_way_is_in_memory_once(little: None) -> None:
    """Whole, or as far as it had come when it was sent on: the connection keeps no copy of it."""

    async def play(house: House) -> None:
        for size in (ALWAYS_BUFFERED_BYTES, len(LONG)):
            client = house.client()
            client.sendall(ask(house, f"Content-Length: {size}\r\n", "PUT") + LONG[:size])
            _, _, body, line = await house.box.asked.get()
            (mine,) = house.daemon.clients.in_state("busy")
            assert body == LONG[:size] and mine._buffer._parts == []  # type: ignore[attr-defined]
            reply(line)
            assert (await all_of(client, b"ok")).endswith(b"ok")
            client.close()

    inside(play)


def test_a_long_request_in_chunks_with_extensions_and_trailers_is_kept_whole() -> None:
    """A client does not know the length of its body, and waits for the word to send it.

    The body is buffered without the framing that the client chose.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", "PUT"))
        assert (await all_of(client, b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        await asyncio.get_running_loop().sock_sendall(client, chunks(LONG, 7_000))
        _, _, body, line = await house.box.asked.get()
        assert body == LONG
        reply(line)
        assert (await all_of(client, b"ok")).endswith(b"ok")

    inside(play)


class Taker:
    """A node that takes one request as it comes, in whatever framing, and shows what has come."""

    def __init__(self) -> None:
        self.come = b""
        self.ends = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            self.come += data
        self.ends += 1
        writer.close()


@pytest.fixture
def little(monkeypatch: pytest.MonkeyPatch) -> None:
    """No budget for bodies beyond the small ones."""
    monkeypatch.setattr(body_stream.BodyBudget, "reserve", lambda self, size, may_exceed=False: may_exceed)


def test_a_request_that_memory_has_no_room_for_passes_as_it_comes(little: None) -> None:
    """The budget for bodies is used up.

    A long body is streamed: the node has most of it before its last byte has come.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, f"Connection: close\r\nContent-Length: {len(LONG)}\r\n", "PUT"))
        client.sendall(LONG[:-1])
        while not (house.box.lines and house.daemon.core.counts["attempts"]):
            await asyncio.sleep(0.005)
        assert house.box.asked.empty()  # its last byte has not come
        client.sendall(LONG[-1:])
        _, headers, body, line = await house.box.asked.get()
        assert body == LONG and headers["Content-Length"] == str(len(LONG))
        reply(line)
        assert (await all_of(client)).endswith(b"ok")

    inside(play)


def test_one_that_passed_is_not_sent_again(little: None) -> None:
    """A body was streamed, so nobody has it any more when the node answers with an error.

    There is no retry; the client is told to come again.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, f"Connection: close\r\nContent-Length: {len(LONG)}\r\n", "PUT"))
        client.sendall(LONG)
        reply((await house.box.asked.get())[3], 500)
        assert b" 503 " in (await all_of(client)).partition(b"\r\n")[0]
        await house.settle()
        assert house.box.asked.empty()

    inside(play)


def test_chunks_pass_as_chunks_where_they_are_not_kept(little: None) -> None:
    """A body of unknown length is streamed.

    Its length is not known to the node either, so it goes on in chunks.
    """

    async def play(house: House) -> None:
        taker = Taker()
        server = await asyncio.start_server(taker.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        house.daemon.directory._addresses["b1"] = f"127.0.0.1:{port}"
        client = house.client()
        client.setblocking(False)
        request = ask(house, "Transfer-Encoding: chunked\r\n", "PUT") + chunks(LONG, 9_000)
        await asyncio.get_running_loop().sock_sendall(client, request)
        async with asyncio.timeout(2):
            while not taker.come.endswith(b"0\r\n\r\n"):
                await asyncio.sleep(0.005)
        head, _, body = taker.come.partition(b"\r\n\r\n")
        assert b"Transfer-Encoding: chunked" in head and b"Content-Length" not in head
        assert dechunked(body) == LONG
        client.close()
        server.close()

    inside(play)


def test_a_client_that_leaves_a_passing_request_keeps_its_last_byte_from_the_node(
    little: None,
) -> None:
    """A client leaves in the middle of a body that is streamed.

    A node starts a request with its last byte: it must never get one, and the memory is returned.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(ask(house, f"Content-Length: {len(LONG)}\r\n", "PUT") + LONG[:200_000])
        while not house.box.lines:
            await asyncio.sleep(0.005)
        client.close()
        async with asyncio.timeout(2):
            while not house.box.partial or len(house.daemon.client.pool):
                await asyncio.sleep(0.005)
        await house.settle()
        assert house.box.asked.empty() and house.daemon.bodies.reserved_bytes == 0

    inside(play)


def test_a_passing_request_beyond_its_bound_is_refused(little: None, monkeypatch: pytest.MonkeyPatch) -> None:
    """A body of unknown length goes on and on while it is streamed.

    At the bound the client gets one answer, and the node no last byte.
    """
    monkeypatch.setattr(request_body, "MAX_REQUEST_BODY_BYTES", 200_000)

    async def play(house: House) -> None:
        client = house.client()
        client.setblocking(False)
        request = ask(house, "Transfer-Encoding: chunked\r\n", "PUT") + chunks(LONG[:250_000], 9_000)
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(client, request))
        got = await all_of(client)
        assert b" 413 " in got.partition(b"\r\n")[0] and got.count(b"HTTP/1.1 ") == 1
        with suppress(ConnectionError):
            await sending

    inside(play)


def test_nothing_passes_to_a_cold_node(little: None) -> None:
    """The only node warms up.

    A body that can be sent only once is not risked on it: the client is told to come again.
    """

    async def play(house: House) -> None:
        warming = api.NodeEntry("b1", 0, started_us=house.daemon.runtime.clock.now_us())
        house.daemon.core._endpoints.update(api.EndpointUpdate("delta", (warming,)))
        client = house.client()
        client.sendall(ask(house, f"Connection: close\r\nContent-Length: {len(LONG)}\r\n", "PUT"))
        client.sendall(LONG)
        assert b" 503 " in (await all_of(client)).partition(b"\r\n")[0]
        assert house.box.asked.empty()

    inside(play)


def test_who_sends_slowly_is_given_time_by_what_has_come(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends a body slower than a request's timeout allows.

    As its bytes keep coming, its time grows with them.
    """
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.3)

    async def play(house: House) -> None:
        body = LONG[:ALWAYS_BUFFERED_BYTES]
        client = house.client()
        client.sendall(ask(house, f"Connection: close\r\nContent-Length: {len(body)}\r\n", "PUT"))
        for at in range(0, len(body), 8_192):
            await asyncio.sleep(0.08)
            client.sendall(body[at : at + 8_192])
        _, _, come, line = await house.box.asked.get()
        assert come == body
        reply(line)
        assert (await all_of(client)).endswith(b"ok")

    inside(play)


def test_bodies_count_against_one_budget() -> None:
    """Bodies of many connections share one budget. Small ones may exceed it, and still count."""
    budget = body_stream.BodyBudget(100)
    assert budget.reserve(60) and not budget.reserve(60) and budget.reserve(60, may_exceed=True)
    budget.release(120)
    assert budget.reserved_bytes == 0


def test_the_first_part_is_no_longer_than_it_must_be() -> None:
    assert node_response.FIRST_PART_MIN_BYTES < FIRST_PART_BYTES <= FORWARD_BUFFER_BYTES
    assert FORWARD_BUFFER_BYTES <= 128 * 1024  # of each of many answers at once
