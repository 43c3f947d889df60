"""Servers that create and track the client connections of a listener."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any

from aiohttp import web

from harriertide.http.client_connection import ClientConnection
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.transfer_coding import TransferCodingError, check_body_coding

MAX_BODY_BYTES = 64 * 1024  # of a request, unless the caller sets another limit
MAX_START_LINE_BYTES = 16_384  # of a request
READ_AHEAD_BYTES = 32 * 1024  # of a request body; reading pauses above twice as much
BODY_LINGER_S = 1.0  # time to discard an unread request body, for servers that accept large bodies

# The transport of the request being handled, for calls made on behalf of its client.
CLIENT_TRANSPORT: ContextVar[asyncio.BaseTransport | None] = ContextVar(
    "harriertide.client_transport", default=None
)


class TrackedServer(web.Server):
    """aiohttp's low-level server, with its connections tracked in a connection table.

    :param connection_class: class of the connections
    :param handle: request handler for aiohttp
    :param options: options of aiohttp's server
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
        """Create the protocol of an accepted connection."""
        return self._connection_class(self, self.table, **self._kwargs)


def make_server(
    table: ConnectionTable,
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    refuse_coding: Callable[[web.BaseRequest, TransferCodingError], web.StreamResponse],
    max_body_bytes: int = MAX_BODY_BYTES,
) -> TrackedServer:
    """Create a server for a handler, which is cancelled if its client disconnects.

    :param refuse_coding: returns the response to a request whose body can't be decoded, which ends the
        connection
    """
    loop = asyncio.get_running_loop()

    def build_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=max_body_bytes)

    async def handle_tracked(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        table.set_state(connection, "busy")
        CLIENT_TRANSPORT.set(connection.transport)
        try:
            check_body_coding(request)
            return await handle(request)
        except TransferCodingError as error:
            response = refuse_coding(request, error)
            response.force_close()
            return response
        finally:
            table.set_state(connection, "idle")

    return TrackedServer(
        table,
        ClientConnection,
        handle_tracked,
        request_factory=build_request,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        lingering_time=BODY_LINGER_S,
        max_line_size=MAX_START_LINE_BYTES,
        read_bufsize=READ_AHEAD_BYTES,
    )
