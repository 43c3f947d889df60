"""The scenario language of the tests: lines of ACTOR send|expect|close ..., and wait SECONDS.

Actors: c, c2, ... are clients; b1, b2, ... stub nodes; s, s2 discovery stubs; o the operator; d the daemon.

    c send METHOD TARGET [Header=Value ...] [@SHARD] [body=TEXT | body=N*TEXT]
    b1 expect METHOD TARGET-PATTERN [Header=PATTERN ...] [body=TEXT]   (or: b1 expect nothing)
    b1 send STATUS [Header=Value ...] [body=TEXT]                      (or: b1 send bytes TEXT, with escapes)
    b1 made N                                         N connections to the node were opened so far
    b1 head BYTES                the head of its last request, byte for byte; escapes, * as a wildcard
    c expect STATUS [Header=PATTERN ...] [body=PATTERN]                (or: c expect eof | c expect short)
    c send raw body=TEXT                                               continue a body
    c send / c send bytes TEXT                           connect only; connect and send bytes, with escapes
    c close / b1 close                                                 abort the last used connection
    b1 reset                                  reset the connection once the daemon has read all its bytes
    b1 end                                                             shut down its write side
    s eof                                                  expect that the daemon closed the connection
    s send list b1=draining ...   send one line of the watch in two chunks;   s send raw TEXT   any line
    o send b1=draining|gone|up ...   plan and apply together;   d close      shut down as on SIGTERM
    d set boxes.LIMIT=N / clients.LIMIT=N       set a limit of the connections to nodes or clients
    d send config PATH=JSON ...   change the configuration file at PATH, and reload as on SIGHUP
    d expect COUNTER=VALUE ...                                         check counters of the core

@SHARD adds the platform's headers. {NAME} is replaced by the text that an earlier "expect ... >NAME=REGEX"
captured from a body.
"""

from __future__ import annotations

import asyncio
import json
import re
import shlex
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from fnmatch import fnmatchcase
from typing import Any

from harriertide.http.socket_state import has_unread_input

Headers = dict[str, str]
STEP_TIMEOUT_S = 5.0
HEARTBEAT_S = 1.0


class HttpConnection:
    """The client or server side of one HTTP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.is_head_request = False  # the request was a HEAD
        self.raw_head = b""  # the last received head, unparsed
        self.is_mid_line = False  # a line of a watch is partly written

    async def read_message(self, head: bool = False) -> tuple[list[str], Headers, bytes, bool]:
        """Read a message: first line, headers, body, and whether the body is complete.

        :param head: the message has no body, as the response to a HEAD request
        """
        self.raw_head = await self.reader.readuntil(b"\r\n\r\n")
        first, *rest = self.raw_head.decode("utf-8", "surrogateescape").split("\r\n")[:-2]
        headers = dict(row.split(": ", 1) for row in rest)
        coding = headers.get("Transfer-Encoding")
        if coding == "chunked":
            return first.split(" ", 2), headers, b"", True
        assert coding is None, f"no broker may forward the transfer coding {coding}"
        size, body = 0 if head else int(headers.get("Content-Length", 0)), b""
        while len(body) < size and (chunk := await self.reader.read(size - len(body))):
            body += chunk
        return first.split(" ", 2), headers, body, len(body) == size


class StubServer:
    """A stub of a node or of discovery, which queues complete requests in the order of their last bytes."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[tuple[list[str], Headers, bytes, HttpConnection]] = asyncio.Queue()
        self.incomplete_request_count = self.connection_count = 0
        self.last_connection: HttpConnection | None = None
        self.connections: list[HttpConnection] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(reader, writer)
        self.connections.append(connection)
        self.connection_count += 1
        try:
            while True:
                first, headers, body, is_complete = await connection.read_message()
                if not is_complete:
                    self.incomplete_request_count += 1
                    return
                self.requests.put_nowait((first, headers, body, connection))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def close(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.writer.transport.abort()


class ScenarioRunner:
    """Runs scenarios on a daemon and its stub servers."""

    def __init__(self, stubs: dict[str, StubServer], ports: dict[str, int], daemon: Any) -> None:
        self.stubs, self.ports, self.daemon = stubs, ports, daemon
        self.clients: dict[str, HttpConnection] = {}
        self.captures: dict[str, str] = {}
        self.request_count = 0
        self.run_operator_call: Callable[[list[str]], Any] | None = None
        self.reload: Callable[[list[list[str]]], None] = lambda changes: None
        self.tasks: list[asyncio.Task[Any]] = []
        self.heartbeats: list[asyncio.Task[Any]] = []

    async def run(self, script: str) -> None:
        for line in filter(None, map(str.strip, script.splitlines())):
            text = re.sub(r"\{(\w+)\}", lambda match: self.captures.get(match[1], match[0]), line)
            actor, *words = shlex.split(text)
            try:
                async with asyncio.timeout(STEP_TIMEOUT_S):
                    await self._step(actor, words)
            except (AssertionError, TimeoutError, EOFError, ConnectionError) as error:
                raise AssertionError(f"scenario line: {line}\n{type(error).__name__}: {error}") from error
        for name, stub in self.stubs.items():
            assert stub.requests.empty(), f"{name} received a request that no line of the scenario expects"

    async def _step(self, actor: str, words: list[str]) -> None:
        verb, words = (words[0], words[1:]) if actor != "wait" else ("wait", words)
        if actor == "wait":
            await asyncio.sleep(float(words[0]))
        elif actor == "d" and verb == "expect":
            for name, _, value in (word.partition("=") for word in words):
                assert self.daemon.core.counts[name] == int(value), f"{name}: {self.daemon.core.counts}"
        elif actor == "d" and verb == "set":
            for path, _, value in (word.partition("=") for word in words):
                part, _, name = path.partition(".")
                limits = {"boxes": self.daemon.client.pool, "clients": self.daemon.clients}[part]
                assert hasattr(limits, name)
                setattr(limits, name, int(value))
        elif actor == "d" and verb == "send":
            self.reload([word.split("=", 1) for word in words[1:]])
        elif actor == "d":
            self.tasks.append(asyncio.create_task(self.daemon.stop()))
        elif actor == "o":
            assert self.run_operator_call is not None
            await self.run_operator_call(words)
        elif actor in self.stubs:
            if verb == "made":
                assert self.stubs[actor].connection_count == int(words[0]), (
                    f"connections opened: {self.stubs[actor].connection_count}"
                )
                return
            if verb == "head":
                connection = self.stubs[actor].last_connection
                expected = words[0].encode().decode("unicode_escape")
                assert connection is not None and fnmatchcase(
                    connection.raw_head.decode("latin-1"), expected
                ), f"{connection.raw_head!r}"
                return
            steps = {
                "send": self._send_response,
                "expect": self._expect_request,
                "close": self._close_connection,
                "eof": self._expect_end,
            }
            steps |= {"reset": self._reset, "end": self._half_close}
            await steps[verb](actor, words)
        else:
            await {"send": self._send_request, "expect": self._expect_response, "close": self.disconnect}[
                verb
            ](actor, words)

    # --- clients -------------------------------------------------------------------------------

    async def _send_request(self, actor: str, words: list[str]) -> None:
        if actor not in self.clients:
            self.clients[actor] = HttpConnection(
                *await asyncio.open_connection("127.0.0.1", self.ports["front"])
            )
        if not words:
            return
        if words[0] == "bytes":
            data = words[1].encode().decode("unicode_escape").encode("latin-1")
            self.clients[actor].writer.write(data)
            return
        if words[0] == "raw":
            self.clients[actor].writer.write(self._parse_fields(words[1:], {}))
            return
        method, target, *rest = words
        self.clients[actor].is_head_request = method == "HEAD"
        shard = next((word[1:] for word in rest if word.startswith("@")), None)
        headers: Headers = {"Host": "x"}
        if shard is not None:
            self.request_count += 1
            extent = f"volume=00000000000000aa,units=2,shard={shard},hosts=1"
            headers |= {
                "X-Call-Id": f"id{self.request_count}",
                "X-Call-Class": "page-read",
                "X-Storage-Class": "gold",
            }
            headers |= {"X-Budget-Ms": "1500", "X-Extent": extent}
        body = self._parse_fields([word for word in rest if not word.startswith("@")], headers)
        if body or method in ("PUT", "POST"):
            headers.setdefault("Content-Length", str(len(body)))
        headers = {name: value for name, value in headers.items() if value != "-"}
        self._write_message(self.clients[actor], f"{method} {target} HTTP/1.1", headers, body)

    async def _expect_response(self, actor: str, words: list[str]) -> None:
        connection = self.clients[actor]
        if words[0] == "eof":
            with suppress(ConnectionError):  # the broker closed the connection with unread input
                assert await connection.reader.read() == b""
            return
        if words[0] == "100":
            assert (await connection.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            return
        first, headers, body, is_complete = await connection.read_message(connection.is_head_request)
        if words[0] == "short":
            assert not is_complete, "the response is complete"
            return
        assert is_complete, "the response is truncated"
        assert fnmatchcase(first[1], words[0]), f"status {first[1]} {body[:200]!r}"
        self._assert_matches(words[1:], headers, body)

    async def disconnect(self, actor: str, words: list[str]) -> None:
        self.clients.pop(actor).writer.transport.abort()

    # --- stub servers --------------------------------------------------------------------------

    async def _expect_request(self, actor: str, words: list[str]) -> None:
        stub = self.stubs[actor]
        if words[0] == "nothing":
            assert stub.requests.empty(), f"{actor} received {stub.requests.get_nowait()[:2]}"
            return
        first, headers, body, stub.last_connection = await stub.requests.get()
        assert first[0] == words[0] and fnmatchcase(first[1], words[1]), f"{actor} received {first}"
        self._assert_matches(words[2:], headers, body)

    async def _send_response(self, actor: str, words: list[str]) -> None:
        connection = self.stubs[actor].last_connection
        assert connection is not None
        if words[0] == "bytes":
            connection.writer.write(words[1].encode().decode("unicode_escape").encode("latin-1"))
            return
        if words[0] in ("list", "raw"):
            text = self._encode_endpoint_page(words[1:]) if words[0] == "list" else words[1] + "\n"
            connection.is_mid_line = True
            for part in filter(None, (text[: len(text) // 2], text[len(text) // 2 :])):
                connection.writer.write(f"{len(part):x}\r\n{part}\r\n".encode())
                await asyncio.sleep(0.02)
            connection.is_mid_line = False
            return
        headers: Headers = {}
        body = self._parse_fields(words[1:], headers)
        if headers.get("Transfer-Encoding") != "chunked":
            headers.setdefault("Content-Length", str(len(body)))
        self._write_message(connection, f"HTTP/1.1 {words[0]} X", headers, body)
        if actor.startswith("s") and headers.get("Transfer-Encoding") == "chunked":
            self.heartbeats.append(asyncio.create_task(self._send_heartbeats(connection)))

    async def _send_heartbeats(self, connection: HttpConnection) -> None:
        """Send empty lines, as discovery does: a scenario may outlast the idle timeout of a watch."""
        while not connection.writer.transport.is_closing():
            await asyncio.sleep(HEARTBEAT_S)
            if not connection.is_mid_line:
                connection.writer.write(b"1\r\n\n\r\n")

    def _encode_endpoint_page(self, words: list[str]) -> str:
        hosts = [self.endpoint_entry(*word.split("=")) for word in words]
        return json.dumps({"seq": 9, "whole": False, "hosts": hosts}) + "\n"

    def endpoint_entry(self, name: str, health: str) -> dict[str, Any]:
        shard, dial = int(name[1:]) - 1, f"127.0.0.1:{self.ports[name]}"
        return {"host": name, "dial": dial, "site": "a", "block": shard, "health": health, "born_ms": 0}

    async def _close_connection(self, actor: str, words: list[str]) -> None:
        stub = self.stubs[actor]
        if words == ["listen"]:
            await stub.close()
            return
        assert stub.last_connection is not None
        stub.last_connection.writer.transport.abort()

    async def _reset(self, actor: str, words: list[str]) -> None:
        """Reset the connection after the daemon has read all data that was sent before."""
        connection = self.stubs[actor].last_connection
        assert connection is not None
        transport = connection.writer.transport
        while transport.get_write_buffer_size() or any(
            has_unread_input(connection_to_node.transport)
            for connection_to_node in self.daemon.client.pool.connections()
        ):
            await asyncio.sleep(0)
        node_socket = transport.get_extra_info("socket")
        node_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()

    async def _half_close(self, actor: str, words: list[str]) -> None:
        connection = self.stubs[actor].last_connection
        assert connection is not None
        connection.writer.write_eof()

    async def _expect_end(self, actor: str, words: list[str]) -> None:
        connection = self.stubs[actor].last_connection
        assert connection is not None
        while not connection.reader.at_eof():
            await asyncio.sleep(0.01)  # StubServer._serve reads from the connection

    # --- arguments of scenario lines -----------------------------------------------------------

    @staticmethod
    def _parse_fields(words: list[str], headers: Headers) -> bytes:
        body = b""
        for word in words:
            name, _, value = word.partition("=")
            if name == "body":
                count, star, text = value.partition("*")
                body = (text * int(count) if star and count.isdigit() else value).encode()
            else:
                headers[name] = value
        return body

    def _assert_matches(self, words: list[str], headers: Headers, body: bytes) -> None:
        for word in words:
            name, _, value = word.partition("=")
            if name.startswith(">"):
                match = re.search(value, body.decode())
                assert match, f"{value} does not match {body!r}"
                self.captures[name[1:]] = match[1]
            elif name == "body":
                count, star, text = value.partition("*")
                if star and count.isdigit():  # not as a pattern: a long one would hold the loop for a second
                    assert body.decode() == text * int(count), f"body {body[:200]!r}"
                else:
                    assert fnmatchcase(body.decode(), value), f"body {body[:200]!r}"
            else:
                assert fnmatchcase(headers.get(name, "-"), value), f"{name}: {headers.get(name)}"

    @staticmethod
    def _write_message(connection: HttpConnection, first: str, headers: Headers, body: bytes) -> None:
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        connection.writer.write(f"{first}\r\n{rows}\r\n".encode() + body)
