"""The client of disk nodes: one exchange an attempt, on kept connections, never sent twice."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from harriertide.decide import api
from harriertide.engine.clock import until
from harriertide.engine.runtime import Attempt
from harriertide.http.limits import Limits
from harriertide.http.node_connection import RELAY_BYTES, NodeConnection
from harriertide.http.pool import Pool
from harriertide.http.relay import Remainder

Body = bytes | AsyncIterator[bytes]
Headers = Mapping[str, str] | Sequence[tuple[bytes, bytes]]
KEEP_PART = 0.5  # of the node's idle time: a request that crosses its close would end as a reset
BODY_BYTES = 64 * 1024  # of an answer, where no more is asked for
# An attempt whose answer is passed on ends with so much of it, or so long behind its first bytes. What breaks
# before that may be made good by another attempt.
FIRST_BYTES, FIRST_S, SOME_BYTES = 64 * 1024, 0.05, 4096


class AttemptFailedError(Exception):
    """An exchange ended without a whole answer."""

    def __init__(self, kind: api.OutcomeKind) -> None:
        super().__init__(kind)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Reply:
    """A node's answer: whole, or as far as it has come."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    rest: Remainder | None = None  # behind that part of the body; None: it is whole

    def dispose(self) -> None:
        """Nobody wants it any more."""
        if self.rest is not None:
            self.rest.dispose()


class Incoming:
    """A node's answer, its head read and its body on the way. The connection bounds how much may come."""

    __slots__ = ("status", "headers", "content", "connection", "detached")

    def __init__(
        self, status: int, headers: Mapping[str, str], content: StreamReader, connection: NodeConnection
    ) -> None:
        self.status, self.headers, self.content, self.connection = status, headers, content, connection
        self.detached = False  # its connection has another owner now

    async def read(self) -> bytes:
        """The whole body."""
        return await self.content.read()

    async def first(self) -> bytes:
        """The first part of the body: FIRST_BYTES, or what has come FIRST_S after its first bytes.

        Less only where more is sure to follow: the length says so, or SOME_BYTES have come and it goes on.
        """
        loop = asyncio.get_running_loop()
        long = (self.content_length or 0) > FIRST_BYTES
        first = bytearray()
        enough_at: float | None = None
        while len(first) < FIRST_BYTES and not self.content.at_eof():
            if enough_at is not None and loop.time() >= enough_at and (long or len(first) >= SOME_BYTES):
                break
            limit = asyncio.timeout_at(enough_at if long else None)
            try:
                async with limit:
                    first += await self.content.readany()
            except TimeoutError:
                if not limit.expired():
                    raise
                break
            if enough_at is None and first:
                enough_at = loop.time() + FIRST_S
        return bytes(first)

    @property
    def content_length(self) -> int | None:
        """As the head says."""
        text = self.headers.get("Content-Length")
        return int(text) if text is not None else None


def outcome(answer: Incoming | Reply) -> api.OutcomeKind:
    """What a whole answer of a node means, by its status."""
    if 200 <= answer.status < 300:
        return "ok"
    if answer.headers.get("X-Rejected") == "1":
        if answer.status == 503:
            return "rejected"
        if answer.status == 504:  # the request is over, or for another shard: nothing about the node itself
            return "not_sent"
    return "error"


def _rows(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Header fields as bytes: those of a request that passes through stay the ones that came."""
    if not isinstance(headers, Mapping):
        return list(headers)
    return [(name.encode(), value.encode("utf-8", "surrogateescape")) for name, value in headers.items()]


def _head(method: str, target: str, rows: list[tuple[bytes, bytes]]) -> bytes:
    """Request line and headers, with the bytes that came: parsers decode them just so."""
    if not any(name.lower() == b"host" for name, _ in rows):
        rows = [(b"Host", b"service.internal"), *rows]
    first = f"{method} {target} HTTP/1.1\r\n".encode("utf-8", "surrogateescape")
    return first + b"".join(b"%b: %b\r\n" % row for row in rows) + b"\r\n"


class NodeClient:
    """Exchanges with nodes. find: the address of a node, by its id."""

    def __init__(
        self, find: Callable[[str], str | None], connect_us: int, idle_us: int, limits: Limits
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.pool = Pool(limits, KEEP_PART * idle_us / 1_000_000)
        self.connect_us = connect_us
        self._find = find

    async def close(self) -> None:
        """Drop all connections."""
        await self.pool.close()

    @asynccontextmanager
    async def open(
        self,
        attempt: Attempt,
        method: str,
        target: str,
        headers: Headers,
        body: Body = b"",
        most: int | None = BODY_BYTES,
        relayed: bool = False,
    ) -> AsyncIterator[Incoming]:
        """Send the request; the answer as it comes. most, relayed: see NodeConnection.ask.

        Raises AttemptFailedError as PROTOCOL's table has it.
        """
        address = self._find(attempt.node_id)
        if address is None:
            raise AttemptFailedError("rejected")
        connection: NodeConnection | None = None
        asked = False
        incoming: Incoming | None = None
        stream: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout_at(attempt.runtime.clock.loop_time(attempt.stop_at_us)) as limit:
                first = body if isinstance(body, bytes) else await anext(body)
                await self._alone(attempt)
                connection = self.pool.take(address)
                if connection is None:  # not "or": one without a message is an empty queue, and false
                    connection = await self._connect(address, attempt, limit)
                kind = attempt.may_write()
                if kind is not None:
                    self.pool.rest(connection)
                    connection = None
                    raise AttemptFailedError(kind)
                connection.ask(_head(method, target, _rows(headers)) + first, most, relayed)
                self.pool.begin(connection, attempt.request_id)
                asked = True
                if not isinstance(body, bytes):
                    stream = asyncio.get_running_loop().create_task(self._stream(connection, body, attempt))
                message, content = await connection.read()
                incoming = Incoming(message.code, message.headers, content, connection)
                yield incoming
        except TimeoutError:
            raise AttemptFailedError(self._end("timeout", connection, asked, stream)) from None
        except (aiohttp.ClientError, HttpProcessingError, OSError):
            raise AttemptFailedError(self._end("reset", connection, asked, stream)) from None
        finally:
            if stream is not None and not self._let_go(stream) and connection is not None:
                connection.force_close()  # an early answer: the rest of the body would be taken for a request
            if connection is not None and not (incoming is not None and incoming.detached):
                self.pool.put(connection)

    @staticmethod
    def _end(
        kind: api.OutcomeKind,
        connection: NodeConnection | None,
        asked: bool,
        stream: asyncio.Task[None] | None,
    ) -> api.OutcomeKind:
        """A node starts a request with its last byte: one that was not written out never ran.

        One that answered, if nothing of use, has shown that it lives and how fast it is.
        """
        if connection is not None and connection.spoilt:
            return "error"
        out = stream is None or (stream.done() and not stream.cancelled() and stream.exception() is None)
        if connection is None or not (asked and out) or connection.writing_paused:
            return "connect_failed"
        return kind

    @staticmethod
    def _let_go(stream: asyncio.Task[None]) -> bool:
        """Whether the body was written to its end; what is left of it is not."""
        if not stream.done():
            return not stream.cancel()
        return stream.cancelled() or stream.exception() is None

    async def _connect(self, address: str, attempt: Attempt, limit: asyncio.Timeout) -> NodeConnection:
        """A new connection, within the time for one."""
        clock = attempt.runtime.clock
        stop_at = clock.loop_time(attempt.stop_at_us)
        limit.reschedule(min(stop_at, clock.loop_time(clock.now_us() + self.connect_us)))
        connection = await self.pool.open(address)
        if connection is None:
            # refused early: nothing is wrong with the node, so this must not count against its health
            self.counts["no_room"] += 1
            raise AttemptFailedError("rejected")
        self.counts["connected"] += 1
        limit.reschedule(stop_at)
        return connection

    async def _alone(self, attempt: Attempt) -> None:
        """Until no other attempt of the request can be at work any more.

        The reducer starts no attempt before the last one has ended, and its descriptor is closed then. Held
        to here for certain, as a second copy may run twice what may run once.
        """
        if attempt.not_before_us > attempt.runtime.clock.now_us():
            await until(attempt.runtime.clock.loop_time(attempt.not_before_us))
        while (other := self.pool.at_work(attempt.request_id)) is not None:
            self.counts["second_copy_held_back"] += 1
            if (closed := other.closed) is None:
                return
            await asyncio.wait([closed])

    async def _stream(self, connection: NodeConnection, body: AsyncIterator[bytes], attempt: Attempt) -> None:
        """The rest of a body that passes through."""
        try:
            async for chunk in body:
                await connection.more(chunk)
            await connection.drained()
            attempt.body_written_us = attempt.runtime.clock.now_us()
        except BaseException:
            connection.abort()  # with its last byte missing the node does not start it
            raise

    async def probe(self, node: str, target: str) -> api.OutcomeKind:
        """Ask a node for a page beside all requests, within the time for a connection: how that ended."""
        address = self._find(node)
        if address is None:
            return "rejected"
        connection: NodeConnection | None = None
        try:
            async with asyncio.timeout(self.connect_us / 1_000_000):
                connection = self.pool.take(address)
                if connection is None:  # not "or": one without a message is an empty queue, and false
                    connection = await self.pool.open(address)
                if connection is None:
                    return "rejected"
                connection.ask(_head("GET", target, []), None)
                message, content = await connection.read()
                await content.read()
        except TimeoutError:
            return "timeout"
        except (aiohttp.ClientError, HttpProcessingError, OSError):
            return "reset" if connection is not None else "connect_failed"
        finally:
            if connection is not None:
                self.pool.put(connection)
        return "ok" if message.code == 200 else "error"

    async def relay(
        self, attempt: Attempt, method: str, target: str, headers: Headers, body: Body
    ) -> tuple[api.OutcomeKind, Reply | None]:
        """An exchange whose answer is passed on: over with its first part, if it is a good one and longer."""
        try:
            async with self.open(attempt, method, target, headers, body, RELAY_BYTES, relayed=True) as answer:
                first = await answer.first()
                kind = outcome(answer)
                if kind != "ok" or answer.content.at_eof():
                    return kind, Reply(answer.status, answer.headers, first)
                answer.detached = True
                rest = Remainder(answer.connection, self.pool, answer.content, answer.content_length)
                return kind, Reply(answer.status, answer.headers, first, rest)
        except AttemptFailedError as end:
            return end.kind, None

    async def exchange(
        self, attempt: Attempt, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[api.OutcomeKind, Reply | None]:
        """One whole exchange with a bounded answer."""
        if body or method != "GET":
            headers = [*_rows(headers), (b"Content-Length", b"%d" % len(body))]
        try:
            async with self.open(attempt, method, target, headers, body, most=None) as answer:
                reply = Reply(answer.status, answer.headers, await answer.read())
                return outcome(reply), reply
        except AttemptFailedError as end:
            return end.kind, None
