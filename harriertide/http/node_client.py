"""The client of storage nodes: one exchange per attempt, on pooled connections, never sent twice."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from harriertide.decide import api
from harriertide.engine.clock import sleep_until
from harriertide.engine.runtime import Attempt
from harriertide.http.body_stream import ResponseRemainder
from harriertide.http.errors import AttemptFailedError, AttemptWithheldError, NodeFailureError
from harriertide.http.limits import Limits
from harriertide.http.node_connection import MAX_FORWARDED_BYTES, NodeConnection
from harriertide.http.node_pool import NodeConnectionPool
from harriertide.http.node_response import IncomingResponse, Reply, classify_response
from harriertide.http.request_format import Body, Headers, encode_request_head, header_rows

# Part of the time after which a node closes an idle connection for which one is kept here: a request that
# crosses the node's close ends as a reset.
IDLE_KEEP_RATIO = 0.5
MAX_BODY_BYTES = 64 * 1024  # of a response, where the caller asks for no other bound


@dataclass(slots=True)
class _Exchange:
    """The state of one attempt's exchange, and what has to be released after it.

    :param connection: that it goes over
    :param is_sent: the request, or the first part of it, was written
    :param response: whose head was read
    :param body_task: writes the rest of a body that is streamed
    """

    connection: NodeConnection | None = None
    is_sent: bool = False
    response: IncomingResponse | None = None
    body_task: asyncio.Task[None] | None = None

    def to_failure(self, outcome: api.OutcomeKind, reason: str) -> NodeFailureError:
        """The error for an exchange that broke off or ran out of time.

        A node starts a request with its last byte: one that was not written out never ran. A node that
        answered, if nothing of use, has shown that it lives and how fast it is.
        """
        connection = self.connection
        if connection is not None and connection.is_malformed:
            return NodeFailureError("error", "malformed response")
        if connection is None or not self._is_written_out(connection):
            return NodeFailureError("connect_failed", f"{reason} before the request was written out")
        return NodeFailureError(outcome, reason)

    def _is_written_out(self, connection: NodeConnection) -> bool:
        """Whether the system has taken all bytes of the request."""
        task = self.body_task
        body_is_out = task is None or (task.done() and not task.cancelled() and task.exception() is None)
        return self.is_sent and body_is_out and not connection.writing_paused

    def stop_body(self) -> bool:
        """Write no more of a streamed body.

        :returns: whether all of it was written, or its connection was aborted before
        """
        task = self.body_task
        if task is None:
            return True
        if not task.done():
            return not task.cancel()
        return task.cancelled() or task.exception() is None


class NodeClient:
    """Exchanges with storage nodes.

    :param find: the host:port of a node, by its ID; None if it has none
    :param connect_us: for a new connection, in microseconds
    :param idle_us: after which nodes close idle connections, in microseconds
    """

    def __init__(
        self, find: Callable[[str], str | None], connect_us: int, idle_us: int, limits: Limits
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.pool = NodeConnectionPool(limits, IDLE_KEEP_RATIO * idle_us / 1_000_000)
        self.connect_us = connect_us
        self._find_address = find

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.close()

    @asynccontextmanager
    async def open(
        self,
        attempt: Attempt,
        method: str,
        target: str,
        headers: Headers,
        body: Body = b"",
        max_body_bytes: int | None = MAX_BODY_BYTES,
        may_forward: bool = False,
    ) -> AsyncIterator[IncomingResponse]:
        """Send the request of an attempt, and give its response once its head is read.

        :param body: of the request; an iterator is streamed
        :param max_body_bytes: see NodeConnection.send_request, as `may_forward`
        :raises AttemptWithheldError: nothing was sent
        :raises NodeFailureError: the exchange broke off, ran out of time, or the response is malformed
        """
        address = self._find_address(attempt.node_id)
        if address is None:
            raise AttemptWithheldError("rejected", "the node has no address")
        exchange = _Exchange()
        try:
            async with asyncio.timeout_at(attempt.runtime.clock.loop_time(attempt.stop_at_us)) as limit:
                first_part = body if isinstance(body, bytes) else await anext(body)
                connection = await self._acquire(exchange, address, attempt, limit)
                head = encode_request_head(method, target, header_rows(headers))
                connection.send_request(head + first_part, max_body_bytes, may_forward)
                self.pool.mark_active(connection, attempt.request_id)
                exchange.is_sent = True
                if not isinstance(body, bytes):
                    writing = self._write_body(connection, body, attempt)
                    exchange.body_task = asyncio.get_running_loop().create_task(writing)
                message, content = await connection.read()
                response = IncomingResponse(message.code, message.headers, content, connection)
                exchange.response = response
                yield response
        except TimeoutError:
            raise exchange.to_failure("timeout", "no response in time") from None
        except (aiohttp.ClientError, HttpProcessingError, OSError):
            raise exchange.to_failure("reset", "the connection broke") from None
        finally:
            self._release(exchange)

    async def _acquire(
        self, exchange: _Exchange, address: str, attempt: Attempt, limit: asyncio.Timeout
    ) -> NodeConnection:
        """A connection on which the attempt may be written in this very turn of the loop.

        :raises AttemptWithheldError: there is no room for a connection, or the core no longer allows it
        """
        await self._await_exclusive(attempt)
        connection = self.pool.take_idle(address)
        if connection is None:  # not `or`: an idle connection is falsy, as it is an empty queue of messages
            connection = await self._connect(address, attempt, limit)
        exchange.connection = connection
        outcome = attempt.may_write()
        if outcome is not None:
            exchange.connection = None
            self.pool.keep_idle(connection)
            raise AttemptWithheldError(outcome, "withheld at the moment of writing")
        return connection

    def _release(self, exchange: _Exchange) -> None:
        """Return the connection to the pool, unless the response has taken it over."""
        all_written = exchange.stop_body()
        connection = exchange.connection
        if connection is None:
            return
        if not all_written:
            connection.force_close()  # an early response: the rest of the body would be taken for a request
        if exchange.response is None or not exchange.response.detached:
            self.pool.release(connection)

    async def _connect(self, address: str, attempt: Attempt, limit: asyncio.Timeout) -> NodeConnection:
        """A new connection, within the time for one."""
        clock = attempt.runtime.clock
        stop_at = clock.loop_time(attempt.stop_at_us)
        limit.reschedule(min(stop_at, clock.loop_time(clock.now_us() + self.connect_us)))
        connection = await self.pool.connect(address)
        if connection is None:
            # rejected early: nothing is wrong with the node, so this must not count against its health
            self.counts["no_room"] += 1
            raise AttemptWithheldError("rejected", "all connections to nodes are in use")
        self.counts["connected"] += 1
        limit.reschedule(stop_at)
        return connection

    async def _await_exclusive(self, attempt: Attempt) -> None:
        """Wait until the attempt may be written, and no other attempt of its request can run any more.

        The reducer starts no attempt before the last one has ended, and its descriptor is closed then. Guards
        against one that is not: a second copy may run twice what may run once.
        """
        if attempt.not_before_us > attempt.runtime.clock.now_us():
            await sleep_until(attempt.runtime.clock.loop_time(attempt.not_before_us))
        while (other := self.pool.active_connection(attempt.request_id)) is not None:
            self.counts["second_copy_held_back"] += 1
            if (closed := other.closed) is None:
                return
            await asyncio.wait([closed])

    async def _write_body(
        self, connection: NodeConnection, body: AsyncIterator[bytes], attempt: Attempt
    ) -> None:
        """Write the rest of a streamed body."""
        try:
            async for chunk in body:
                await connection.send_more(chunk)
            await connection.flush()
            attempt.body_written_us = attempt.runtime.clock.now_us()
        except BaseException:
            connection.abort()  # with its last byte missing the node does not start it
            raise

    async def probe(self, node: str, target: str) -> api.OutcomeKind:
        """Ask a node for a page beside all requests, within the time for a connection; how that ended."""
        address = self._find_address(node)
        if address is None:
            return "rejected"
        connection: NodeConnection | None = None
        try:
            async with asyncio.timeout(self.connect_us / 1_000_000):
                connection = self.pool.take_idle(address)
                if connection is None:  # not `or`: an idle connection is falsy
                    connection = await self.pool.connect(address)
                if connection is None:
                    return "rejected"
                connection.send_request(encode_request_head("GET", target, []), None)
                message, content = await connection.read()
                await content.read()
        except TimeoutError:
            return "timeout"
        except (aiohttp.ClientError, HttpProcessingError, OSError):
            return "reset" if connection is not None else "connect_failed"
        finally:
            if connection is not None:
                self.pool.release(connection)
        return "ok" if message.code == 200 else "error"

    async def forward(
        self, attempt: Attempt, method: str, target: str, headers: Headers, body: Body
    ) -> tuple[api.OutcomeKind, Reply | None]:
        """An exchange whose response is forwarded: over with its first part, if that is good and not all."""
        try:
            async with self.open(
                attempt, method, target, headers, body, MAX_FORWARDED_BYTES, may_forward=True
            ) as response:
                first_part = await response.read_first_part()
                outcome = classify_response(response)
                if outcome != "ok" or response.content.at_eof():
                    return outcome, Reply(response.status, response.headers, first_part)
                response.detached = True
                rest = ResponseRemainder(
                    response.connection, self.pool, response.content, response.content_length
                )
                return outcome, Reply(response.status, response.headers, first_part, rest)
        except AttemptFailedError as failure:
            return failure.outcome, None

    async def exchange(
        self, attempt: Attempt, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[api.OutcomeKind, Reply | None]:
        """An exchange whose response is read to its end."""
        if body or method != "GET":
            headers = [*header_rows(headers), (b"Content-Length", b"%d" % len(body))]
        try:
            async with self.open(attempt, method, target, headers, body, max_body_bytes=None) as response:
                reply = Reply(response.status, response.headers, await response.read())
                return classify_response(reply), reply
        except AttemptFailedError as failure:
            return failure.outcome, None
