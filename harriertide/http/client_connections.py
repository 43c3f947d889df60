"""Connections of clients, of all listeners: bounds on how many there are and on how long one may hold one.

A connection is silent (nothing has come yet), reading (a part of a request has come), busy (a request is
open on it), idle (kept after an answer) or lingering: its last answer is written, this side of it is ended,
and what still comes is read and thrown away, until the client ends its side too or LINGER_TIMEOUT_S is over.
Closing on bytes that were not read resets the connection, and takes an answer with it that is on its way.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from contextvars import ContextVar
from typing import Any, Literal

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from harriertide.http.limits import Limits
from harriertide.http.socket_state import has_unread_input

# A request must have come whole this long after its connection was accepted, later ones after their first
# byte: guards against connections that say nothing, and heads and bodies that never end.
REQUEST_TIMEOUT_S = 2.4
IDLE_TIMEOUT_S = 15.0  # kept after an answer
SCARCE_IDLE_TIMEOUT_S = 2.0  # kept after an answer, while connections are short
LINGER_TIMEOUT_S = 0.3  # for the client to read its last answer, and to end its side
LINGER_BYTES = 256 * 1024  # are thrown away meanwhile; more is left unread, as a flood is not to cost others
UNREAD_RESPONSE_TIMEOUT_S = 10.0  # for an answer that its client does not read
SWEEP_INTERVAL_S = 0.1
SCARCE_RATIO = (
    0.3  # of the bound: from here on connections are short; clients may hold a third of all descriptors
)
RETIRE_DELAY_S = (
    1.0  # in which a connection that is to end may still bring a request and be told in its answer
)
RETIRE_SILENT_S = 0.25  # for the first request on a new one that comes later
BODY_LINGER_S = 1.0  # an unread body is read on for so long, on fronts that take large ones

# The connection of the request that is being handled, for what is asked for it
CLIENT_TRANSPORT: ContextVar[asyncio.BaseTransport | None] = ContextVar("harriertide.asker", default=None)

State = Literal["silent", "reading", "busy", "idle", "lingering"]


class ClientConnection(RequestHandler):
    """aiohttp's handler of one connection, which is kept under what it is doing."""

    __slots__ = ("table", "state", "since", "discarded")

    def __init__(self, server: FrontServer, **named: Any) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), **named)
        self.table = server.table
        self.state: State = "silent"
        self.since = 0.0
        self.discarded = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.table.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.state == "lingering":
            self.discard(data)
            return
        if self.state in ("silent", "idle"):
            self.table.set_state(self, "reading")
        super().data_received(data)

    @property
    def request_timeout_s(self) -> float:
        """Time for a request to come, once it has begun."""
        return REQUEST_TIMEOUT_S

    def unsent(self) -> int:
        """Bytes of answers that are still to be written."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def linger(self) -> None:
        """End this side in order, behind what is still to be written. Nothing more is taken from it."""
        assert self.transport is not None
        self.table.set_state(self, "lingering")
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError):  # it is gone already
            self.drop()

    def discard(self, data: bytes) -> None:
        """What came after this side was ended."""
        self.discarded += len(data)
        if self.discarded > LINGER_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def drop(self) -> None:
        """End it now: this side in order first, as the other may have bytes on their way."""
        transport = self.transport
        if transport is not None and (end := transport.get_extra_info("socket")) is not None:
            with suppress(OSError):  # it is gone already
                end.shutdown(socket.SHUT_WR)
        self.force_close()
        if transport is not None:
            transport.abort()


class ConnectionTable:
    """All connections of clients, each under its state, the longest in that state first."""

    def __init__(self, limits: Limits) -> None:
        self.apply_limits(limits)
        self.counts: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._by_state: dict[State, dict[ClientConnection, None]] = {
            "silent": {}, "reading": {}, "busy": {}, "idle": {}, "lingering": {},
        }  # fmt: skip
        self._timer: asyncio.TimerHandle | None = None
        self._retire_at: float | None = None  # from when on none is kept that rests

    def apply_limits(self, limits: Limits) -> None:
        """Go by these bounds from now on."""
        self.max_connections, self.max_unsent_bytes = (
            limits.max_client_connections,
            limits.max_buffered_response_bytes,
        )

    def __len__(self) -> int:
        return sum(map(len, self._by_state.values()))

    def in_state(self, state: State) -> list[ClientConnection]:
        """Those in one state, the longest in it first."""
        return list(self._by_state[state])

    def admit(self, line: ClientConnection) -> None:
        """A new connection; past the bound one that is held for nothing makes room, or it goes itself."""
        self.counts["accepted"] += 1
        full = len(self) >= self.max_connections
        line.since = self._loop.time()
        self._by_state["silent"][line] = None
        if full and not self._evict(has_unread_input(line.transport)):
            self.counts["turned_away"] += 1
            line.drop()
        if self._timer is None:
            self._timer = self._loop.call_at(line.since + SWEEP_INTERVAL_S, self._sweep)

    def remove(self, line: ClientConnection) -> None:
        """It is gone."""
        self._by_state[line.state].pop(line, None)

    def set_state(self, line: ClientConnection, state: State) -> None:
        """Another state. What is read first on a connection counts from when it was accepted."""
        if self._by_state[line.state].pop(line, line) is line:
            return  # gone
        if (line.state, state) != ("silent", "reading"):
            line.since = self._loop.time()
        line.state = state
        self._by_state[state][line] = None

    def set_retiring(self, on: bool) -> None:
        """Whether clients are sent away: from RETIRE_DELAY_S on, those that rest are ended in order."""
        if not on:
            self._retire_at = None
        elif self._retire_at is None:
            self._retire_at = self._loop.time() + RETIRE_DELAY_S

    # --- closing -------------------------------------------------------------------------------

    def _evict(self, asks: bool) -> bool:
        """Close the connection that is missed least. asks: a request is there on the one that needs the room.

        Guards against a crowd that comes at once and says nothing, or half of a request: none of it has been
        there for long.
        """
        ways: tuple[tuple[State, float], ...] = (
            ("lingering", 0.0), ("silent", 0.25), ("idle", SCARCE_IDLE_TIMEOUT_S), ("silent", 0.02),
            ("idle", 0.0), ("reading", 0.5),
        )  # fmt: skip
        if asks:
            ways = (*ways, ("silent", 0.0), ("reading", 0.0))
        return any(self._close_aged(state, age, 1, hurry=True) for state, age in ways)

    def _close_aged(self, state: State, age_s: float, most: int, hurry: bool = False) -> int:
        """Close up to so many that have been in a state for so long; hurry: their descriptors are needed."""
        due, shed = self._loop.time() - age_s, 0
        for line in list(self._by_state[state]) if self._by_state[state] else ():
            if shed >= most:
                break
            if state == "reading" and not hurry and line.since + line.request_timeout_s > self._loop.time():
                continue
            # a close on a request that lies there unread would be a lost one to its client
            if line.since > due or (state in ("silent", "idle") and has_unread_input(line.transport)):
                continue
            if line.unsent() and self._loop.time() < line.since + UNREAD_RESPONSE_TIMEOUT_S:
                continue
            self.counts[f"shed_{state}"] += 1
            shed += 1
            if state in ("silent", "idle") and not hurry:
                line.linger()  # a request may be on its way, and is not to be answered by a reset
                continue
            self._by_state[state].pop(line)
            line.drop()
        return shed

    def _sweep(self) -> None:
        """Close what is over its time."""
        self._timer = None
        count = len(self)
        if not count:
            return
        self._close_unread()
        over: tuple[tuple[State, float], ...] = (
            ("silent", REQUEST_TIMEOUT_S), ("reading", REQUEST_TIMEOUT_S), ("lingering", LINGER_TIMEOUT_S),
        )  # fmt: skip
        for state, age_s in over:
            self._close_aged(state, age_s, count)
        self._close_aged(
            "idle",
            SCARCE_IDLE_TIMEOUT_S if count > SCARCE_RATIO * self.max_connections else IDLE_TIMEOUT_S,
            count,
        )
        if self._retire_at is not None and self._loop.time() >= self._retire_at:
            self._close_aged("idle", 0.0, count)
            self._close_aged("silent", RETIRE_SILENT_S, count)
        self._timer = self._loop.call_at(self._loop.time() + SWEEP_INTERVAL_S, self._sweep)

    def _close_unread(self) -> None:
        """Close where answers lie unread the longest, while they take more memory than there is for them."""
        unread = [line for lines in self._by_state.values() for line in lines if line.unsent()]
        total = sum(line.unsent() for line in unread)
        for line in sorted(unread, key=lambda each: each.since):
            if total <= self.max_unsent_bytes:
                break
            total -= line.unsent()
            self.counts["shed_unread"] += 1
            self._by_state[line.state].pop(line)
            line.drop()

    def close_idle(self) -> None:
        """Close those on which nothing is asked, and nothing is about to be."""
        both: tuple[State, State] = ("silent", "idle")
        for state in both:
            self._close_aged(state, 0.0, len(self))

    def close(self) -> None:
        """Close all, and end the watch over them."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for lines in self._by_state.values():
            for line in list(lines):
                line.drop()


class FrontServer(web.Server):
    """aiohttp's low-level server, whose connections are kept in a table."""

    def __init__(
        self, table: ConnectionTable, line: type[ClientConnection], handle: Callable[..., Any], **named: Any
    ) -> None:
        super().__init__(handle, **named)
        self.table, self._line = table, line

    def __call__(self) -> ClientConnection:
        return self._line(self, **self._kwargs)


def make_server(
    table: ConnectionTable,
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    body_bytes: int = 65536,
) -> FrontServer:
    """A server around a handler; a request whose client leaves is cancelled."""
    loop = asyncio.get_running_loop()

    def make(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=body_bytes)

    async def tracked(request: web.BaseRequest) -> web.StreamResponse:
        line = request.protocol
        assert isinstance(line, ClientConnection)
        table.set_state(line, "busy")
        CLIENT_TRANSPORT.set(line.transport)
        try:
            return await handle(request)
        finally:
            table.set_state(line, "idle")

    return FrontServer(
        table,
        ClientConnection,
        tracked,
        request_factory=make,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        lingering_time=BODY_LINGER_S,
        max_line_size=16_384,
    )
