"""The scenario language: lines of ACTOR send|expect|close ..., and wait SECONDS.

Actors: c, c2, ... clients; b1, b2, ... stand-in boxes; s, s2 discovery; o the operator; d the daemon.

    c send METHOD TARGET [Header=Value ...] [@SHARD] [body=TEXT | body=N*TEXT]
    b1 expect METHOD TARGET-PATTERN [Header=PATTERN ...] [body=TEXT]   (or: b1 expect nothing)
    b1 send STATUS [Header=Value ...] [body=TEXT]                      (or: b1 send bytes TEXT, with escapes)
    b1 made N                                                          it was connected to so often
    b1 head BYTES                the head that it was last sent, byte for byte; escapes, * for what may vary
    c expect STATUS [Header=PATTERN ...] [body=PATTERN]                (or: c expect eof | c expect short)
    c send raw body=TEXT                                               more of a body
    c send / c send bytes TEXT                                         connect; bytes, with escapes
    c close / b1 close                                                 the connection last used
    b1 reset                                                           the same, once all it sent was read
    b1 end                                                             its side of that connection, in order
    s eof                                                              it was closed by the daemon
    s send list b1=draining ...   one line of the watch, in two chunks;   s send raw TEXT
    o send b1=draining|gone|up ...   plan and apply in one;   d close    SIGTERM's course begins
    d set boxes.BOUND=N / clients.BOUND=N       a bound of either side's connections
    d send config PATH=JSON ...   SIGHUP's course, with the configuration file changed there
    d expect COUNTER=VALUE ...                                         of the core

@SHARD writes the platform's headers. {NAME} is what an earlier "expect ... >NAME=REGEX" took from a body.
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
PATIENCE_S = 5.0
BEAT_S = 1.0


class Line:
    """One connection, either side of it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.head = False  # HEAD was asked for
        self.raw = b""  # the last head as it came
        self.midway = False  # a line of a watch is half written

    async def message(self, head: bool = False) -> tuple[list[str], Headers, bytes, bool]:
        """First line, headers, body, and whether the body is as long as it says. head: it has none."""
        self.raw = await self.reader.readuntil(b"\r\n\r\n")
        first, *rest = self.raw.decode("utf-8", "surrogateescape").split("\r\n")[:-2]
        headers = dict(row.split(": ", 1) for row in rest)
        if headers.get("Transfer-Encoding") == "chunked":
            return first.split(" ", 2), headers, b"", True
        size, body = 0 if head else int(headers.get("Content-Length", 0)), b""
        while len(body) < size and (chunk := await self.reader.read(size - len(body))):
            body += chunk
        return first.split(" ", 2), headers, body, len(body) == size


class Stand:
    """A stand-in server: hands out whole requests in the order of their last byte."""

    def __init__(self) -> None:
        self.asked: asyncio.Queue[tuple[list[str], Headers, bytes, Line]] = asyncio.Queue()
        self.partial = self.made = 0
        self.last: Line | None = None
        self.lines: list[Line] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = Line(reader, writer)
        self.lines.append(line)
        self.made += 1
        try:
            while True:
                first, headers, body, whole = await line.message()
                if not whole:
                    self.partial += 1
                    return
                self.asked.put_nowait((first, headers, body, line))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def close(self) -> None:
        self.server.close()
        for line in self.lines:
            line.writer.transport.abort()


class World:
    """A daemon with its stand-ins, and the run of a scenario on them."""

    def __init__(self, stands: dict[str, Stand], ports: dict[str, int], daemon: Any) -> None:
        self.stands, self.ports, self.daemon = stands, ports, daemon
        self.clients: dict[str, Line] = {}
        self.taken: dict[str, str] = {}
        self.ids = 0
        self.operate: Callable[[list[str]], Any] | None = None
        self.reload: Callable[[list[list[str]]], None] = lambda changes: None
        self.tasks: list[asyncio.Task[Any]] = []
        self.beats: list[asyncio.Task[Any]] = []

    async def run(self, script: str) -> None:
        for raw in filter(None, map(str.strip, script.splitlines())):
            text = re.sub(r"\{(\w+)\}", lambda found: self.taken.get(found[1], found[0]), raw)
            actor, *words = shlex.split(text)
            try:
                async with asyncio.timeout(PATIENCE_S):
                    await self._step(actor, words)
            except (AssertionError, TimeoutError, EOFError, ConnectionError) as fault:
                raise AssertionError(f"at: {raw}\n{type(fault).__name__}: {fault}") from fault
        for name, stand in self.stands.items():
            assert stand.asked.empty(), f"{name} got a request that no line expects"

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
                held = {"boxes": self.daemon.client.pool, "clients": self.daemon.clients}[part]
                assert hasattr(held, name)
                setattr(held, name, int(value))
        elif actor == "d" and verb == "send":
            self.reload([word.split("=", 1) for word in words[1:]])
        elif actor == "d":
            self.tasks.append(asyncio.create_task(self.daemon.stop()))
        elif actor == "o":
            assert self.operate is not None
            await self.operate(words)
        elif actor in self.stands:
            if verb == "made":
                assert self.stands[actor].made == int(words[0]), f"made {self.stands[actor].made}"
                return
            if verb == "head":
                line = self.stands[actor].last
                want = words[0].encode().decode("unicode_escape")
                assert line is not None and fnmatchcase(line.raw.decode("latin-1"), want), f"{line.raw!r}"
                return
            steps = {"send": self._answer, "expect": self._asked, "close": self._hang_up, "eof": self._ended}
            steps |= {"reset": self._reset, "end": self._half_close}
            await steps[verb](actor, words)
        else:
            await {"send": self._ask, "expect": self._answered, "close": self._leave}[verb](actor, words)

    # --- clients -------------------------------------------------------------------------------

    async def _ask(self, actor: str, words: list[str]) -> None:
        if actor not in self.clients:
            self.clients[actor] = Line(*await asyncio.open_connection("127.0.0.1", self.ports["front"]))
        if not words:
            return
        if words[0] == "bytes":
            data = words[1].encode().decode("unicode_escape").encode("latin-1")
            self.clients[actor].writer.write(data)
            return
        if words[0] == "raw":
            self.clients[actor].writer.write(self._fields(words[1:], {}))
            return
        method, target, *rest = words
        self.clients[actor].head = method == "HEAD"
        shard = next((word[1:] for word in rest if word.startswith("@")), None)
        headers: Headers = {"Host": "x"}
        if shard is not None:
            self.ids += 1
            extent = f"volume=00000000000000aa,units=2,shard={shard},hosts=1"
            headers |= {"X-Call-Id": f"id{self.ids}", "X-Call-Class": "page-read", "X-Storage-Class": "gold"}
            headers |= {"X-Budget-Ms": "1500", "X-Extent": extent}
        body = self._fields([word for word in rest if not word.startswith("@")], headers)
        if body or method in ("PUT", "POST"):
            headers.setdefault("Content-Length", str(len(body)))
        headers = {name: value for name, value in headers.items() if value != "-"}
        self._write(self.clients[actor], f"{method} {target} HTTP/1.1", headers, body)

    async def _answered(self, actor: str, words: list[str]) -> None:
        line = self.clients[actor]
        if words[0] == "eof":
            with suppress(ConnectionError):  # closed on bytes that it did not read
                assert await line.reader.read() == b""
            return
        if words[0] == "100":
            assert (await line.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            return
        first, headers, body, whole = await line.message(line.head)
        if words[0] == "short":
            assert not whole, "the answer is whole"
            return
        assert whole, "the answer is short"
        assert fnmatchcase(first[1], words[0]), f"status {first[1]} {body[:200]!r}"
        self._match(words[1:], headers, body)

    async def _leave(self, actor: str, words: list[str]) -> None:
        self.clients.pop(actor).writer.transport.abort()

    # --- stand-ins -----------------------------------------------------------------------------

    async def _asked(self, actor: str, words: list[str]) -> None:
        stand = self.stands[actor]
        if words[0] == "nothing":
            assert stand.asked.empty(), f"{actor} got {stand.asked.get_nowait()[:2]}"
            return
        first, headers, body, stand.last = await stand.asked.get()
        assert first[0] == words[0] and fnmatchcase(first[1], words[1]), f"{actor} got {first}"
        self._match(words[2:], headers, body)

    async def _answer(self, actor: str, words: list[str]) -> None:
        line = self.stands[actor].last
        assert line is not None
        if words[0] == "bytes":
            line.writer.write(words[1].encode().decode("unicode_escape").encode("latin-1"))
            return
        if words[0] in ("list", "raw"):
            text = self._page(words[1:]) if words[0] == "list" else words[1] + "\n"
            line.midway = True
            for part in filter(None, (text[: len(text) // 2], text[len(text) // 2 :])):
                line.writer.write(f"{len(part):x}\r\n{part}\r\n".encode())
                await asyncio.sleep(0.02)
            line.midway = False
            return
        headers: Headers = {}
        body = self._fields(words[1:], headers)
        if headers.get("Transfer-Encoding") != "chunked":
            headers.setdefault("Content-Length", str(len(body)))
        self._write(line, f"HTTP/1.1 {words[0]} X", headers, body)
        if actor.startswith("s") and headers.get("Transfer-Encoding") == "chunked":
            self.beats.append(asyncio.create_task(self._beat(line)))

    async def _beat(self, line: Line) -> None:
        """As discovery does, an empty line now and then: a scenario may take longer than a watch may rest."""
        while not line.writer.transport.is_closing():
            await asyncio.sleep(BEAT_S)
            if not line.midway:
                line.writer.write(b"1\r\n\n\r\n")

    def _page(self, words: list[str]) -> str:
        hosts = [self.host(*word.split("=")) for word in words]
        return json.dumps({"seq": 9, "whole": False, "hosts": hosts}) + "\n"

    def host(self, name: str, health: str) -> dict[str, Any]:
        shard, dial = int(name[1:]) - 1, f"127.0.0.1:{self.ports[name]}"
        return {"host": name, "dial": dial, "site": "a", "block": shard, "health": health, "born_ms": 0}

    async def _hang_up(self, actor: str, words: list[str]) -> None:
        stand = self.stands[actor]
        if words == ["listen"]:
            await stand.close()
            return
        assert stand.last is not None
        stand.last.writer.transport.abort()

    async def _reset(self, actor: str, words: list[str]) -> None:
        """A reset that crosses nothing: what was sent before it has been read."""
        last = self.stands[actor].last
        assert last is not None
        transport = last.writer.transport
        while transport.get_write_buffer_size() or any(
            has_unread_input(each.transport) for each in self.daemon.client.pool.connections()
        ):
            await asyncio.sleep(0)
        end = transport.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()

    async def _half_close(self, actor: str, words: list[str]) -> None:
        last = self.stands[actor].last
        assert last is not None
        last.writer.write_eof()

    async def _ended(self, actor: str, words: list[str]) -> None:
        line = self.stands[actor].last
        assert line is not None
        while not line.reader.at_eof():
            await asyncio.sleep(0.01)  # the serving task is the one that reads

    # --- words ---------------------------------------------------------------------------------

    @staticmethod
    def _fields(words: list[str], headers: Headers) -> bytes:
        body = b""
        for word in words:
            name, _, value = word.partition("=")
            if name == "body":
                times, star, text = value.partition("*")
                body = (text * int(times) if star and times.isdigit() else value).encode()
            else:
                headers[name] = value
        return body

    def _match(self, words: list[str], headers: Headers, body: bytes) -> None:
        for word in words:
            name, _, value = word.partition("=")
            if name.startswith(">"):
                found = re.search(value, body.decode())
                assert found, f"{value} is not in {body!r}"
                self.taken[name[1:]] = found[1]
            elif name == "body":
                times, star, text = value.partition("*")
                want = text * int(times) if star and times.isdigit() else value
                assert fnmatchcase(body.decode(), want), f"body {body[:200]!r}"
            else:
                assert fnmatchcase(headers.get(name, "-"), value), f"{name}: {headers.get(name)}"

    @staticmethod
    def _write(line: Line, first: str, headers: Headers, body: bytes) -> None:
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        line.writer.write(f"{first}\r\n{rows}\r\n".encode() + body)
