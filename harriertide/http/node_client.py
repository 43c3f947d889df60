"""The client for storage nodes, which makes one exchange per attempt and never sends an attempt twice."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from harriertide.decide import api
from harriertide.engine.clock import sleep_until
from harriertide.engine.repeated_log import RepeatedLog
from harriertide.engine.runtime import Attempt
from harriertide.http.body_stream import ResponseRemainder
from harriertide.http.errors import AttemptFailedError, AttemptWithheldError, NodeFailureError
from harriertide.http.limits import Limits
from harriertide.http.local_errors import describe, is_local
from harriertide.http.node_connection import MAX_FORWARDED_RESPONSE_BYTES, NodeConnection
from harriertide.http.node_pool import NodeConnectionPool
from harriertide.http.node_response import IncomingResponse, Reply, classify_response
from harriertide.http.request_format import Body, Headers, encode_request_head, header_rows
from harriertide.http.silence_timer import SilenceTimer

# An idle connection is kept for this fraction of the node's idle timeout: a request that is sent while the
# node closes the connection would end in a reset.
IDLE_TIMEOUT_RATIO = 0.5
MAX_BODY_BYTES = 64 * 1024  # of a response, unless the caller sets another limit
LOCAL_RETRY_DELAY_S = 0.02  # between connects while this machine lacks a resource for them
LOCAL_RETRY_RATIO = 0.5  # fraction of the connect timeout for which they are repeated


@dataclass(slots=True)
class _Exchange:
    """The state of one attempt's exchange, and the resources to release after it.

    :param connection: the connection that carries the exchange
    :param is_sent: the request, or the first part of it, was written
    :param response: the response, once its head was read
    :param body_task: writes the rest of a streamed body
    :param awaits_body: the writer of a streamed body waits for more of it, not for the node
    """

    connection: NodeConnection | None = None
    is_sent: bool = False
    response: IncomingResponse | None = None
    body_task: asyncio.Task[None] | None = None
    awaits_body: bool = False

    def to_failure(self, outcome: api.OutcomeKind, reason: str) -> AttemptFailedError:
        """Return the error for an exchange that was interrupted or timed out.

        A node executes a request only after its last byte, so a request that was not fully written never ran.
        A response that is malformed, or not complete in time, still shows that the node is alive.
        """
        connection = self.connection
        if self._is_unfinished_by_client(outcome):
            return AttemptWithheldError("withheld", "the client has not sent the whole body")
        if connection is not None and connection.is_malformed:
            return NodeFailureError("incomplete", "malformed response")
        if connection is not None and outcome == "timeout" and connection.has_partial_response:
            return NodeFailureError("incomplete", "the response was not complete before the deadline")
        if connection is None or not self._is_written_out(connection):
            return NodeFailureError("connect_failed", f"{reason} before the request was written out")
        return NodeFailureError(outcome, reason)

    def _is_unfinished_by_client(self, outcome: api.OutcomeKind) -> bool:
        """Whether the exchange failed because its streamed body did not come in time, or broke off."""
        task = self.body_task
        if task is None or not self.awaits_body:
            return False
        return outcome == "timeout" or (task.done() and not task.cancelled() and task.exception() is not None)

    def _is_written_out(self, connection: NodeConnection) -> bool:
        """Whether the kernel has accepted all bytes of the request."""
        task = self.body_task
        is_body_written = task is None or (task.done() and not task.cancelled() and task.exception() is None)
        return self.is_sent and is_body_written and not connection.writing_paused

    def stop_body_task(self) -> bool:
        """Stop writing a streamed body.

        :returns: whether the body was written completely, or the connection was already aborted
        """
        task = self.body_task
        if task is None:
            return True
        if not task.done():
            return not task.cancel()
        return task.cancelled() or task.exception() is None


class NodeClient:
    """Exchanges requests and responses with storage nodes.

    :param find_address: returns the host:port of a node by its ID, or None if the node has no address
    :param connect_us: timeout for opening a connection, in microseconds
    :param idle_timeout_us: time after which nodes close idle connections, in microseconds
    """

    def __init__(
        self, find_address: Callable[[str], str | None], connect_us: int, idle_timeout_us: int, limits: Limits
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.pool = NodeConnectionPool(limits, IDLE_TIMEOUT_RATIO * idle_timeout_us / 1_000_000)
        self.connect_us = connect_us
        self._log = RepeatedLog()
        self._find_address = find_address

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
        """Send the request of an attempt, and yield its response once the head is read.

        :param body: the request body; an iterator is streamed
        :param max_body_bytes: see NodeConnection.send_request, also for `may_forward`
        :raises AttemptWithheldError: nothing was sent
        :raises NodeFailureError: the exchange was interrupted or timed out, or the response is malformed
        """
        address = self._find_address(attempt.node_id)
        if address is None:
            raise AttemptWithheldError("rejected", "the node has no address")
        exchange = _Exchange()
        try:
            async with asyncio.timeout_at(attempt.runtime.clock.loop_time(attempt.stop_at_us)) as timeout:
                first_part = body if isinstance(body, bytes) else await anext(body)
                connection = await self._acquire(exchange, address, attempt, timeout)
                head = encode_request_head(method, target, header_rows(headers))
                connection.send_request(head + first_part, max_body_bytes, may_forward, attempt.silence)
                self.pool.mark_active(connection, attempt.request_id)
                exchange.is_sent = True
                if not isinstance(body, bytes):
                    body_writer = self._write_body(exchange, connection, body, attempt)
                    exchange.body_task = asyncio.get_running_loop().create_task(body_writer)
                message, content = await connection.read()
                response = IncomingResponse(message.code, message.headers, content, connection)
                exchange.response = response
                yield response
        except TimeoutError:
            raise self._failure(
                attempt, exchange, "timeout", "no complete response before the deadline"
            ) from None
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            raise self._failure(
                attempt, exchange, "reset", f"the connection broke: {describe(error)}"
            ) from None
        finally:
            self._release(exchange)

    def _failure(
        self, attempt: Attempt, exchange: _Exchange, outcome: api.OutcomeKind, reason: str
    ) -> AttemptFailedError:
        """Return the error for an exchange that has failed, and log why it failed."""
        failure = exchange.to_failure(outcome, reason)
        self.counts[f"failed_{failure.outcome}"] += 1
        self._log(
            failure.outcome,
            "attempt failed",
            request=attempt.request_id,
            attempt=attempt.number,
            node=attempt.node_id,
            outcome=failure.outcome,
            reason=failure.reason,
        )
        return failure

    async def _acquire(
        self, exchange: _Exchange, address: str, attempt: Attempt, timeout: asyncio.Timeout
    ) -> NodeConnection:
        """Return a connection to which the attempt may be written in the current iteration of the event loop.

        :raises AttemptWithheldError: the connection limit is reached, or the core forbids the attempt
        """
        await self._await_exclusive(attempt)
        connection = self.pool.take_idle(address)
        if connection is None:  # not `or`: a connection is a queue of messages, and falsy while it is empty
            connection = await self._connect(address, timeout)
        exchange.connection = connection
        outcome = attempt.may_write()
        if outcome is not None:
            exchange.connection = None
            self.pool.keep_idle(connection)
            raise AttemptWithheldError(outcome, "the core no longer allows the attempt to be written")
        return connection

    def _release(self, exchange: _Exchange) -> None:
        """Return the connection to the pool, unless the forwarded response still uses it."""
        is_fully_written = exchange.stop_body_task()
        connection = exchange.connection
        if connection is None:
            return
        if connection.is_malformed:
            self.counts["malformed_responses"] += 1
        if not is_fully_written:
            connection.force_close()  # early response: the node would take the rest of the body for a request
        if exchange.response is None or not exchange.response.detached:
            self.pool.release(connection)

    async def _connect(self, address: str, timeout: asyncio.Timeout) -> NodeConnection:
        """Open a new connection within the connect timeout."""
        with self._silence_ends(timeout):
            connection = await self._connect_despite_local_errors(address)
        if connection is None:
            # The outcome is `rejected`: the node is not at fault, so this must not count against its health.
            self.counts["no_room"] += 1
            raise AttemptWithheldError("rejected", "all connections to nodes are in use")
        self.counts["connected"] += 1
        return connection

    async def _connect_despite_local_errors(self, address: str) -> NodeConnection | None:
        """Open a connection, and try again for a while if this machine lacks a resource for it.

        :returns: None if the connection limit is reached
        :raises AttemptWithheldError: the resource did not become free; the node is not at fault
        :raises OSError: the node, or the path to it, failed
        """
        loop = asyncio.get_running_loop()
        retry_until_s = loop.time() + LOCAL_RETRY_RATIO * self.connect_us / 1e6
        while True:
            try:
                return await self.pool.connect(address)
            except OSError as error:
                if not is_local(error):
                    raise
                self.counts["local_connect_errors"] += 1
                self._log("local error", "cannot connect for now", address=address, reason=describe(error))
                if loop.time() + LOCAL_RETRY_DELAY_S > retry_until_s:
                    raise AttemptWithheldError("withheld", describe(error)) from None
            await sleep_until(loop.time() + LOCAL_RETRY_DELAY_S)

    @contextmanager
    def _silence_ends(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Let a timeout expire if a node does not answer within the connect timeout."""
        loop = asyncio.get_running_loop()
        timer = SilenceTimer(loop, self.connect_us / 1e6, lambda: timeout.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()

    async def _await_exclusive(self, attempt: Attempt) -> None:
        """Wait until the attempt may be written, and no other attempt of its request can still run.

        The reducer starts an attempt only after the previous one has ended and its connection is closed. This
        is a second safeguard: with two copies in flight, a non-idempotent request could run twice.
        """
        if attempt.not_before_us > attempt.runtime.clock.now_us():
            await sleep_until(attempt.runtime.clock.loop_time(attempt.not_before_us))
        while (other := self.pool.active_connection(attempt.request_id)) is not None:
            self.counts["second_copy_held_back"] += 1
            if (closed := other.closed) is None:
                return
            await asyncio.wait([closed])

    async def _write_body(
        self, exchange: _Exchange, connection: NodeConnection, body: AsyncIterator[bytes], attempt: Attempt
    ) -> None:
        """Write the rest of a streamed request body."""
        try:
            exchange.awaits_body = True
            async for chunk in body:
                exchange.awaits_body = False
                await connection.send_body_chunk(chunk)
                exchange.awaits_body = True
            exchange.awaits_body = False
            await connection.flush()
            attempt.body_written_us = attempt.runtime.clock.now_us()
        except BaseException:
            connection.abort()  # without the last byte the node does not execute the request
            raise

    async def probe(self, node: str, target: str) -> api.OutcomeKind:
        """Send a GET request for a health probe within the connect timeout, and return its outcome."""
        address = self._find_address(node)
        if address is None:
            return "rejected"
        connection: NodeConnection | None = None
        try:
            async with asyncio.timeout(None) as timeout:
                with self._silence_ends(timeout):
                    connection = self.pool.take_idle(address)
                    if connection is None:  # not `or`: see _acquire
                        connection = await self.pool.connect(address)
                    if connection is None:
                        return "rejected"
                    connection.send_request(encode_request_head("GET", target, []), None)
                    message, content = await connection.read()
                    await content.read()
        except TimeoutError:
            return "timeout"
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            if is_local(error):
                return "withheld"
            return "reset" if connection is not None else "connect_failed"
        finally:
            if connection is not None:
                self.pool.release(connection)
        return "ok" if message.code == 200 else "error"

    async def forward(
        self, attempt: Attempt, method: str, target: str, headers: Headers, body: Body
    ) -> tuple[api.OutcomeKind, Reply | None]:
        """Make an exchange that ends with the first part of its response if the rest can be forwarded."""
        try:
            async with self.open(
                attempt, method, target, headers, body, MAX_FORWARDED_RESPONSE_BYTES, may_forward=True
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
        """Make an exchange whose response is read completely."""
        if body or method != "GET":
            headers = [*header_rows(headers), (b"Content-Length", b"%d" % len(body))]
        try:
            async with self.open(attempt, method, target, headers, body, max_body_bytes=None) as response:
                reply = Reply(response.status, response.headers, await response.read())
                return classify_response(reply), reply
        except AttemptFailedError as failure:
            return failure.outcome, None
