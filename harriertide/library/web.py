"""Middleware for aiohttp.web: an application's requests go through a broker in its own process.

    middleware = BrokerMiddleware(broker, describe)
    app = web.Application(middlewares=[middleware.middleware])
    middleware.attach(app)

`describe(request)` says what the decisions need to know of a request, or None to let it pass beside the
broker. The handler runs once an attempt, with it under `request[ATTEMPT]`; what it returns is the response.
It lets the errors of `broker.nodes` pass, or raises AttemptError and its kinds itself. A body that fits into
the buffer is there for every attempt by `await request.read()`; a larger one is streamed once, and its
request not retried; one in a transfer coding that is not decoded is refused. Once a handler has prepared its
response, that is the client's: no attempt follows, and a fault after that ends the connection, so that the
client can tell.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from aiohttp import web

from harriertide.http.socket_state import is_closed_by_peer
from harriertide.http.transfer_coding import TransferCodingError, check_body_coding
from harriertide.library.attempt import Attempt
from harriertide.library.body_buffer import BodyBuffer
from harriertide.library.broker import Broker
from harriertide.library.errors import (
    AttemptError,
    FailedError,
    NotWrittenError,
    RejectedError,
    RequestError,
)
from harriertide.library.request_spec import RequestSpec

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
ATTEMPT = web.RequestKey("harriertide.attempt", Attempt)


class BrokerMiddleware:
    """The requests of one application before one broker.

    :param describe: what the decisions need to know of a request; None: it passes beside the broker
    :param body_buffer: for bodies that a retry needs again
    """

    def __init__(
        self,
        broker: Broker,
        describe: Callable[[web.Request], RequestSpec | None],
        body_buffer: BodyBuffer | None = None,
    ) -> None:
        self.broker = broker
        self.body_buffer = body_buffer or BodyBuffer()
        self._describe = describe

    def attach(self, app: web.Application) -> None:
        """Start and stop the broker with the application, and see each response as it starts."""
        app.on_response_prepare.append(self._on_response_prepare)
        app.cleanup_ctx.append(self._run_broker)
        app.on_shutdown.append(self._on_shutdown)

    async def _run_broker(self, app: web.Application) -> AsyncIterator[None]:
        if not self.broker.is_accepting_calls:
            await self.broker.start()
        yield
        await self.broker.stop()

    async def _on_shutdown(self, app: web.Application) -> None:
        """New requests are rejected while the server waits for those that are open."""
        self.broker.reject_calls()

    async def _on_response_prepare(self, request: web.Request, response: web.StreamResponse) -> None:
        attempt = request.get(ATTEMPT)
        if attempt is not None:
            attempt.response_started()

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """One request of the application, one response."""
        spec = self._describe(request)
        if spec is None:
            return await handler(request)
        try:
            check_body_coding(request)
        except TransferCodingError as error:
            response = web.Response(status=error.status, text=f"{error}\n")
            response.force_close()
            return response
        size = request.content_length if request.body_exists else 0
        is_buffered = self.body_buffer.reserve(size)
        try:
            if is_buffered and size:
                await request.read()  # aiohttp keeps it for every later read
            return await self._call(spec, request, handler, may_retry=is_buffered)
        except RejectedError as rejected:
            headers = {"Retry-After": rejected.retry_after} if rejected.retry_after_s > 0 else {}
            return web.Response(status=503, headers=headers, text="refused: trying again is harmless\n")
        except FailedError:
            return web.Response(status=502, text="failed\n")
        finally:
            if is_buffered and size:
                self.body_buffer.release(size)

    async def _call(
        self, spec: RequestSpec, request: web.Request, handler: Handler, may_retry: bool
    ) -> web.StreamResponse:
        last_attempt: Attempt | None = None

        async def perform(attempt: Attempt) -> web.StreamResponse:
            nonlocal last_attempt
            if last_attempt is not None and not may_retry:
                raise NotWrittenError("not_sent")  # the body is gone: only the client still has it
            last_attempt = attempt
            request[ATTEMPT] = attempt
            return await handler(request)

        def has_client_left() -> bool:
            return is_closed_by_peer(request.transport)

        try:
            # aiohttp lets a handler run on when its client has gone: so it is looked up before each attempt.
            return await self.broker.call(spec, perform, has_client_left)
        except (RequestError, AttemptError):
            if last_attempt is not None and last_attempt.has_response_started:
                _abort_connection(request)
            raise
        finally:
            request.pop(ATTEMPT, None)


def _abort_connection(request: web.Request) -> None:
    """End the connection of a response that has started and has no end: its client must be able to tell."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
