"""Transfer codings on real connections: what fronts and node client do with each form of the field."""

from __future__ import annotations

import asyncio
import gzip
import re
import socket
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

import pytest
from aiohttp import HttpVersion10, HttpVersion11

from harriertide.http.transfer_coding import TransferCodingError, check_transfer_codings
from harriertide.lifecycle.machine import Lifecycle, Stage
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
from tests.test_operators import address

BODY = b"page 1 " * 400
NEXT_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass(frozen=True)
class Form:
    """A form of the field, and the status that a front answers with.

    :param values: of the Transfer-Encoding fields of one message, in their order
    """

    values: tuple[str, ...]
    status: int
    is_http_1_0: bool = False

    def fields(self) -> str:
        return "".join(f"Transfer-Encoding: {value}\r\n" for value in self.values)


FORMS = {
    "chunked": Form(("chunked",), 200),
    "odd case": Form(("cHuNkEd",), 200),
    "an empty element": Form((", chunked",), 200),
    "gzip": Form(("gzip, chunked",), 501),
    "x-gzip": Form(("x-gzip, chunked",), 501),
    "gzip, odd case and spaces": Form(("GZip ,\tChunked",), 501),
    "a parameter": Form(("gzip;level=1, chunked",), 501),
    "a quoted parameter": Form(('other;a="x, y", chunked',), 501),
    "two codings": Form(("deflate, gzip, chunked",), 501),
    "the withdrawn identity": Form(("identity, chunked",), 501),
    "gzip alone": Form(("gzip",), 400),
    "identity alone": Form(("identity",), 400),
    "gzip after chunked": Form(("chunked, gzip",), 400),
    "chunked twice": Form(("chunked, chunked",), 400),
    "a parameter of chunked": Form(("chunked;a=b",), 400),
    "chunked within a name": Form(("xchunked",), 400),
    "an empty field": Form(("",), 400),
    "chunked in HTTP/1.0": Form(("chunked",), 400, is_http_1_0=True),
    "gzip in HTTP/1.0": Form(("gzip, chunked",), 400, is_http_1_0=True),
}
# RFC 9110, 5.3, has several fields be one list; the parser refuses more than one, whatever they say
FORMS_IN_TWO_FIELDS = {
    "gzip in a field of its own": Form(("gzip", "chunked"), 400),
    "gzip in a field after chunked": Form(("chunked", "gzip"), 400),
    "chunked in two fields": Form(("chunked", "chunked"), 400),
}
ALL_FORMS = FORMS | FORMS_IN_TWO_FIELDS


def coded_request(broker: SocketBroker, form: Form, body: bytes = BODY) -> tuple[bytes, bytes]:
    """Head and body of a write in this form. A body that is refused is coded, as its chunks would have it."""
    content = body if form.status == 200 else gzip.compress(body, compresslevel=0)
    head = request_head(broker, form.fields(), "PUT")
    if form.is_http_1_0:
        head = head.replace(b"HTTP/1.1", b"HTTP/1.0")
    return head, encode_chunks(content, 1000)


async def receive_last_response(client: socket.socket) -> bytes:
    """Receive what comes until the broker closes the connection."""
    received = await receive_all(client)
    assert received.count(b"HTTP/1.1 ") == 1 and b"Connection: close\r\n" in received, received
    return received


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS.keys())
def test_the_check_does_not_depend_on_what_the_parser_refuses(form: Form) -> None:
    """Guards against a parser of another version that accepts more forms than today's."""
    status = HTTPStatus.OK
    try:
        check_transfer_codings(form.values, HttpVersion10 if form.is_http_1_0 else HttpVersion11)
    except TransferCodingError as error:
        status = error.status
    assert status == form.status


@pytest.mark.parametrize("pause_s", [0, 0.02], ids=["at once", "head first"])
@pytest.mark.parametrize("form", ALL_FORMS.values(), ids=ALL_FORMS.keys())
def test_a_write_in_any_transfer_coding_is_forwarded_as_written_or_refused(
    form: Form, pause_s: float
) -> None:
    """Guards against a coded body that is answered with 200 and stored without a word of its coding.

    A refused request reaches no node and leaves nothing behind; its connection is closed, so that no byte of
    its body is taken for a request. After a request that is served, the connection is in step.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        head, body = coded_request(broker, form)
        if pause_s:
            client.sendall(head)
            await asyncio.sleep(pause_s)
            client.sendall(body)
        else:
            client.sendall(head + body)
        if form.status == 200:
            async with asyncio.timeout(5):
                _, fields, body, connection = await broker.node.requests.get()
            assert body == BODY and fields["Content-Length"] == str(len(BODY))
            assert "Transfer-Encoding" not in fields
            send_response(connection)
            assert (await receive_all(client, b"ok")).startswith(b"HTTP/1.1 200 ")
            client.sendall(NEXT_REQUEST)
            assert (await receive_all(client, b"ready\n")).startswith(b"HTTP/1.1 200 ")
            return
        await asyncio.sleep(pause_s)
        client.sendall(NEXT_REQUEST)  # not answered
        assert (await receive_last_response(client)).startswith(b"HTTP/1.1 %d " % form.status)
        assert broker.node.connection_count == 0 and broker.daemon.core.open_request_count() == 0
        assert broker.daemon.memory.requests.reserved_bytes == 0

    run_with_broker(scenario)


def test_a_coded_body_is_refused_before_the_client_is_told_to_send_it() -> None:
    """A client with a coded body waits for 100 Continue. It gets the refusal and keeps its body."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        fields = "Transfer-Encoding: gzip, chunked\r\nExpect: 100-continue\r\n"
        client.sendall(request_head(broker, fields, "PUT"))
        assert (await receive_last_response(client)).startswith(b"HTTP/1.1 501 ")

    run_with_broker(scenario)


def test_a_client_that_sends_a_long_coded_body_reads_its_refusal() -> None:
    """A client goes on with a coded body that would be streamed: the response is not lost to a reset."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        head, body = coded_request(broker, FORMS["gzip"], LONG_BODY[: 200 * 1024])
        client.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(client, head + body)
        assert (await receive_last_response(client)).startswith(b"HTTP/1.1 501 ")
        assert broker.node.connection_count == 0 and broker.daemon.memory.requests.reserved_bytes == 0

    run_with_broker(scenario)


@dataclass(frozen=True)
class Call:
    """A call of another address than the platform's.

    :param status: of the response to a body in chunks
    """

    start_line: str
    status: int

    def encode(self, form: Form) -> tuple[bytes, bytes]:
        """Head and body of the call, with a body in this form."""
        start_line = self.start_line.replace("1.1", "1.0") if form.is_http_1_0 else self.start_line
        head = f"{start_line}\r\nHost: x\r\n{form.fields()}\r\n".encode()
        return head, encode_chunks(gzip.compress(BODY, compresslevel=0), 1000)


UPLOAD = Call("PUT /v/key HTTP/1.1", 411)
DELETION = Call("DELETE /v/key HTTP/1.1", 204)
STATE_CALL = Call("GET /state HTTP/1.1", 200)
REJOIN_CALL = Call("POST /api/rejoin HTTP/1.1", 200)


async def exchange(port: int, pieces: list[bytes], pause_s: float) -> bytes:
    """Send pieces with pauses between them, and receive until the connection is closed or reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = bytearray()

    async def receive() -> None:
        with suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                received.extend(data)

    async with asyncio.timeout(5), asyncio.TaskGroup() as tasks:
        tasks.create_task(receive())
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)
    writer.close()
    return bytes(received)


async def check_call(port: int, call: Call, form: Form, pause_s: float) -> None:
    """Make a call: a body in chunks gets the call's response, another one the form's, and no more."""
    last_call = f"{call.start_line}\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    received = await exchange(port, [*call.encode(form), last_call], pause_s)
    statuses = re.findall(rb"HTTP/1\.\d (\d+) ", received)
    expected = call.status if form.status == 200 else form.status
    assert int(statuses[0]) == expected, received
    assert form.status == 200 or len(statuses) == 1, received


@pytest.mark.parametrize("pause_s", [0, 0.02], ids=["at once", "head first"])
@pytest.mark.parametrize("call", [UPLOAD, DELETION, STATE_CALL], ids=["upload", "deletion", "state"])
def test_object_front_and_admin_address_refuse_a_body_that_they_cannot_decode(
    call: Call, pause_s: float, tmp_path: Path
) -> None:
    """Guards against a call that is carried out though its body is in an unknown coding or has no end."""

    async def scenario(broker: SocketBroker) -> None:
        port = broker.daemon.listeners.port(1 if call is STATE_CALL else 0)
        for form in ALL_FORMS.values():
            await check_call(port, call, form, pause_s)
        assert broker.node.connection_count == 0 and broker.daemon.core.open_request_count() == 0

    run_with_broker(scenario, objects=str(tmp_path / "catalogue"))


@pytest.mark.parametrize("pause_s", [0, 0.02], ids=["at once", "head first"])
def test_the_operators_address_refuses_a_body_that_it_cannot_decode(pause_s: float) -> None:
    """Guards against an operator's call that is carried out for a body in an unknown coding."""

    async def main() -> None:
        async with address(Lifecycle(Stage.SERVING)) as (port, api):
            for form in ALL_FORMS.values():
                await check_call(port, REJOIN_CALL, form, pause_s)
            decodable_count = sum(form.status == 200 for form in ALL_FORMS.values())
            assert api.counts["rejoin"] == decodable_count

    asyncio.run(main())


DECODABLE_RESPONSE_FIELDS = ("chunked", "Chunked", ", chunked")
CODED_RESPONSE_HEADS = {
    "gzip": RESPONSE_HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "gzip in a field of its own": (
        RESPONSE_HEAD + b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    ),
    "identity": RESPONSE_HEAD + b"Transfer-Encoding: identity, chunked\r\n\r\n",
    "chunked twice": RESPONSE_HEAD + b"Transfer-Encoding: chunked, chunked\r\n\r\n",
    "gzip up to the end": RESPONSE_HEAD + b"Connection: close\r\nTransfer-Encoding: gzip\r\n\r\n",
    "chunked, not last": RESPONSE_HEAD + b"Connection: close\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
    "an empty field": RESPONSE_HEAD + b"Connection: close\r\nTransfer-Encoding: \r\n\r\n",
    "chunked in HTTP/1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}


@pytest.mark.parametrize("head", CODED_RESPONSE_HEADS.values(), ids=CODED_RESPONSE_HEADS.keys())
def test_a_response_in_a_transfer_coding_is_never_the_body_of_a_200(head: bytes) -> None:
    """Guards against a node's coded bytes that a client gets as the plain body of its response."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        connection = await broker.next_request()
        connection.writer.write(head + encode_chunks(gzip.compress(BODY), 1000))
        connection.writer.close()
        send_response(await broker.next_request(), body=b"plain")
        received = await receive_all(client, b"plain")
        assert received.startswith(b"HTTP/1.1 200 ") and b"Content-Length: 5\r\n" in received
        assert broker.daemon.client.counts["malformed_responses"] == 1

    run_with_broker(scenario)


@pytest.mark.parametrize("value", DECODABLE_RESPONSE_FIELDS)
def test_a_chunked_response_is_decoded_whatever_its_spelling(value: str) -> None:
    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker))
        head = RESPONSE_HEAD + f"Transfer-Encoding: {value}\r\n\r\n".encode()
        (await broker.next_request()).writer.write(head + encode_chunks(b"plain", 2))
        assert (await receive_all(client, b"plain")).startswith(b"HTTP/1.1 200 ")
        assert broker.daemon.client.counts["malformed_responses"] == 0

    run_with_broker(scenario)
