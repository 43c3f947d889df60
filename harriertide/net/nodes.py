"""The client of disk nodes: one exchange an attempt, on kept connections, never sent twice."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from yarl import URL

from harriertide import api
from harriertide.net.runtime import Attempt

Body = bytes | AsyncIterator[bytes]
KEEP_PART = 0.5  # of the node's idle time: a request that crosses its close would end as a reset
HELD_MOST = 450  # connections to all nodes, well within 1,024 descriptors beside those of clients


class NotWrittenError(Exception):
    """The attempt ended before its first byte."""

    def __init__(self, kind: api.OutcomeKind) -> None:
        super().__init__(kind)
        self.kind = kind


@dataclass(slots=True)
class _Course:
    """How far an exchange has come."""

    attempt: Attempt
    limit: asyncio.Timeout
    stop_at: float
    connected: bool = False
    written: bool = False


_COURSE: ContextVar[_Course] = ContextVar("course")


class OnceConnector(aiohttp.TCPConnector):
    """Hands out one connection for each exchange and asks the core once more before it does.

    aiohttp's session by itself repeats GET, PUT and other idempotent methods when a kept connection
    breaks. That would be a second copy that the core knows nothing of: the second connect of an
    exchange is refused here, which ends the exchange as the break that it was.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        course = _COURSE.get()
        if course.connected:
            raise NotWrittenError("reset" if course.written else "connect_failed")
        course.connected = True
        connection = await super().connect(req, traces, timeout)
        kind = course.attempt.may_write()
        if kind is not None:
            connection.release()
            raise NotWrittenError(kind)
        course.limit.reschedule(course.stop_at)
        return connection


async def _headers_sent(session: aiohttp.ClientSession, context: SimpleNamespace, params: Any) -> None:
    course = _COURSE.get()
    course.written = course.written or context.trace_request_ctx == 0


async def _chunk_sent(session: aiohttp.ClientSession, context: SimpleNamespace, params: Any) -> None:
    context.trace_request_ctx -= len(params.chunk)
    course = _COURSE.get()
    course.written = course.written or context.trace_request_ctx <= 0


@dataclass(frozen=True, slots=True)
class Reply:
    """A node's whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class NodeClient:
    """Exchanges with nodes. find: the address of a node, by its id."""

    def __init__(self, find: Callable[[str], str | None], connect_us: int, idle_us: int) -> None:
        self._find, self.connect_us = find, connect_us
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_headers_sent)
        trace.on_request_chunk_sent.append(_chunk_sent)
        self._session = aiohttp.ClientSession(
            connector=OnceConnector(
                limit=HELD_MOST,
                keepalive_timeout=KEEP_PART * idle_us / 1_000_000,
                use_dns_cache=False,
                force_close=False,
            ),
            timeout=aiohttp.ClientTimeout(total=None, connect=None, sock_connect=None, sock_read=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            trust_env=False,
        )

    async def close(self) -> None:
        """Drop all connections."""
        await self._session.close()

    @asynccontextmanager
    async def open(
        self,
        attempt: Attempt,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: Body = b"",
        size: int = 0,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send the request; the answer as it comes. size: of a body that is streamed.

        Raises BrokenError as PROTOCOL's table has it.
        """
        address = self._find(attempt.node)
        if address is None:
            raise BrokenError("full")
        clock = attempt.runtime.clock
        stop_at = clock.loop_time(attempt.stop_at_us)
        connect_by = clock.loop_time(clock.now_us() + self.connect_us)
        limit = asyncio.timeout_at(min(stop_at, connect_by))
        course = _Course(attempt, limit, stop_at)
        token = _COURSE.set(course)
        response: aiohttp.ClientResponse | None = None
        try:
            async with limit:
                response = await self._session.request(
                    method,
                    # the target goes on as the bytes that came: no requoting
                    URL(f"http://{address}{target}", encoded=True),
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                    trace_request_ctx=len(body) if isinstance(body, bytes) else size,
                )
                yield response
        except TimeoutError:
            # a box starts a request with its last byte: one that was not written out never ran
            raise BrokenError("timeout" if course.written else "connect_failed") from None
        except NotWrittenError as early:
            raise BrokenError(early.kind) from None
        except aiohttp.ClientError:
            raise BrokenError("reset" if course.written else "connect_failed") from None
        except OSError:
            raise BrokenError("reset" if course.written else "connect_failed") from None
        finally:
            _COURSE.reset(token)
            if response is not None:
                response.close()  # read to its end, the connection is kept; else the attempt ends with it

    async def exchange(
        self, attempt: Attempt, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> tuple[api.OutcomeKind, Reply | None]:
        """One whole exchange with a bounded answer."""
        try:
            async with self.open(attempt, method, target, headers, body) as response:
                answer = await response.read()
                return outcome(response), Reply(response.status, response.headers, answer)
        except BrokenError as end:
            return end.kind, None


class BrokenError(Exception):
    """An exchange ended without a whole answer."""

    def __init__(self, kind: api.OutcomeKind) -> None:
        super().__init__(kind)
        self.kind = kind


def outcome(response: aiohttp.ClientResponse) -> api.OutcomeKind:
    """What a whole answer of a node means, by its status."""
    if 200 <= response.status < 300:
        return "ok"
    if response.status in (503, 504) and response.headers.get("X-Rejected") == "1":
        return "full"
    return "error"
