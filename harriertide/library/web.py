"""Middleware for aiohttp.web: an application's requests go through a broker in its own process.

    guard = Guard(broker, describe)
    app = web.Application(middlewares=[guard.middleware])
    guard.attach(app)

describe(request) says what a request asks for, or None to let it pass beside the broker. The handler runs
once for each attempt, with it under request[ATTEMPT]; what it returns is the answer. It lets the errors of
broker.boxes pass, or raises BoxError and its kinds itself. A body of up to hold.each bytes is there for every
attempt by `await request.read()`; a larger one passes once, and has one attempt. Once a handler has prepared
its response, the answer is the client's: no attempt follows, and a fault after that ends the connection, so
that the client can tell.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from harriertide.http.socket_state import is_closed_by_peer
from harriertide.library.bodies import Holding
from harriertide.library.broker import Broker
from harriertide.library.types import Ask, Attempt, BoxError, FailedError, NotWrittenError, RefusedError

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
ATTEMPT = web.RequestKey("harriertide.attempt", Attempt)


class Guard:
    """The requests of one application before one broker."""

    def __init__(
        self, broker: Broker, describe: Callable[[web.Request], Ask | None], hold: Holding | None = None
    ) -> None:
        self.broker, self.hold = broker, hold or Holding()
        self._describe = describe

    def attach(self, app: web.Application) -> None:
        """Start and stop with the application, and see each response as it begins."""
        app.on_response_prepare.append(self._began)
        app.cleanup_ctx.append(self._life)
        app.on_shutdown.append(self._shutdown)

    async def _life(self, app: web.Application):  # type: ignore[no-untyped-def]
        if not self.broker.running:
            await self.broker.start()
        yield
        await self.broker.stop()

    async def _shutdown(self, app: web.Application) -> None:
        """New requests are refused while the server waits for those that are open."""
        self.broker.refuse()

    async def _began(self, request: web.Request, response: web.StreamResponse) -> None:
        attempt = request.get(ATTEMPT)
        if attempt is not None:
            attempt.began()

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """One request of the application, one answer."""
        ask = self._describe(request)
        if ask is None:
            return await handler(request)
        size = request.content_length if request.body_exists else 0
        held = self.hold.take(size)
        try:
            if held and size:
                await request.read()  # aiohttp keeps it for every later read
            return await self._call(ask, request, handler, held)
        except RefusedError as refused:
            headers = {"Retry-After": refused.header} if refused.retry_after_s > 0 else {}
            return web.Response(status=503, headers=headers, text="refused: trying again is harmless\n")
        except FailedError:
            return web.Response(status=502, text="failed\n")
        finally:
            if held and size:
                self.hold.give_back(size)

    async def _call(self, ask: Ask, request: web.Request, handler: Handler, held: bool) -> web.StreamResponse:
        last: list[Attempt] = []

        async def perform(attempt: Attempt) -> web.StreamResponse:
            if last and not held:
                raise NotWrittenError("not_sent")  # the body is gone: only the client still has it
            last.append(attempt)
            request[ATTEMPT] = attempt
            return await handler(request)

        try:
            # aiohttp lets a handler run on when its client has gone
            return await self.broker.call(ask, perform, lambda: is_closed_by_peer(request.transport))
        except (RefusedError, FailedError, BoxError):
            if last and last[-1].begun:
                _break_off(request)
            raise
        finally:
            request.pop(ATTEMPT, None)


def _break_off(request: web.Request) -> None:
    """An answer that has begun and has no end: its client must be able to tell."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError
