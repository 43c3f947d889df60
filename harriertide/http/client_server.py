"""Servers for clients: what makes the connections of a listener."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any

from aiohttp import web

from harriertide.http.client_connection import ClientConnection
from harriertide.http.connection_table import ConnectionTable

MAX_BODY_BYTES = 64 * 1024  # of a request, where the caller asks for no other bound
MAX_START_LINE_BYTES = 16_384  # of a request
BODY_LINGER_S = 1.0  # an unread body is read on for so long, on fronts that take large ones

# The connection of the request that is handled, for what is asked on its behalf.
CLIENT_TRANSPORT: ContextVar[asyncio.BaseTransport | None] = ContextVar(
    "harriertide.client_transport", default=None
)


class TrackedServer(web.Server):
    """aiohttp's low-level server, whose connections are kept in a table.

    :param connection_class: of its connections
    :param handle: aiohttp's handler of requests
    :param options: of aiohttp's server
    """

    def __init__(
        self,
        table: ConnectionTable,
        connection_class: type[ClientConnection],
        handle: Callable[..., Any],
        **options: Any,
    ) -> None:
        super().__init__(handle, **options)
        self.table = table
        self._connection_class = connection_class

    def __call__(self) -> ClientConnection:
        """The protocol of a connection that was accepted."""
        return self._connection_class(self, self.table, **self._kwargs)


def make_server(
    table: ConnectionTable,
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    max_body_bytes: int = MAX_BODY_BYTES,
) -> TrackedServer:
    """A server around a handler; the handling of a request whose client leaves is cancelled."""
    loop = asyncio.get_running_loop()

    def make_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=max_body_bytes)

    async def handle_tracked(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        table.set_state(connection, "busy")
        CLIENT_TRANSPORT.set(connection.transport)
        try:
            return await handle(request)
        finally:
            table.set_state(connection, "idle")

    return TrackedServer(
        table,
        ClientConnection,
        handle_tracked,
        request_factory=make_request,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        lingering_time=BODY_LINGER_S,
        max_line_size=MAX_START_LINE_BYTES,
    )
