"""Pure ASGI middleware: Starlette, FastAPI and any other application, before a broker in its own process.

    app = Guard(app, broker, describe)

describe(scope) says what an HTTP request asks for, or None to let it pass. The application runs once for each
attempt, with it under scope["state"]["attempt"] (Starlette: request.state.attempt). It lets the errors of
broker.boxes pass, or raises BoxError and its kinds itself. A body of up to hold.each bytes is there for every
attempt; a larger one passes once, and has one attempt. Once the application has begun its response, the
answer is the client's: no attempt follows, and a fault after that leaves as AnswerBrokenError, on which
servers end the connection. The broker starts and stops with the lifespan.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from harriertide.library.bodies import Holding
from harriertide.library.broker import Broker
from harriertide.library.types import Ask, Attempt, BoxError, FailedError, NotWrittenError, RefusedError

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
PAGE_BYTES = 64 * 1024  # of an answer of status 500 that is held until the application ends
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class AnswerBrokenError(Exception):
    """A response that has begun can't be finished; the server is to end the connection."""


class _Body:
    """A request's body: held whole for every attempt, or passing once."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self.whole: bytes | None = None

    async def hold(self) -> None:
        """Read it to its end."""
        parts: list[bytes] = []
        while True:
            message = await self._receive()
            if message["type"] != "http.request":
                return  # the client is gone; the application hears of it
            parts.append(message.get("body", b""))
            if not message.get("more_body", False):
                self.whole = b"".join(parts)
                return

    async def gone(self) -> None:
        """Until the client has gone, once its body is held."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def once(self) -> Receive:
        """As one attempt reads it."""
        given = False

        async def receive() -> Message:
            nonlocal given
            if self.whole is None or given:
                return await self._receive()
            given = True
            return {"type": "http.request", "body": self.whole, "more_body": False}

        return receive


class _Answer:
    """A response on its way to the client.

    Guards against frameworks that answer 500 on any exception, in front of letting it pass: such a page is
    held until the application has ended, as a box's fault may be what it is for, and is to be tried again.
    """

    def __init__(self, send: Send, attempt: Attempt) -> None:
        self._send, self._attempt = send, attempt
        self._held: list[Message] = []
        self._size = 0

    async def take(self, message: Message) -> None:
        """One message of the application."""
        if message["type"] == "http.response.start" and message["status"] == 500:
            self._held.append(message)
            return
        if self._held:
            self._held.append(message)
            self._size += len(message.get("body", b""))
            if self._size > PAGE_BYTES:
                await self.go_on()
            return
        self._attempt.began()
        await self._send(message)

    async def go_on(self) -> None:
        """Let go of what was held."""
        held, self._held = self._held, []
        for message in held:
            self._attempt.began()
            await self._send(message)


def _length(scope: Scope) -> int | None:
    """Of the body, as the headers say; None: not known."""
    headers = dict(scope["headers"])
    text = headers.get(b"content-length")
    if text is None:
        return None if b"transfer-encoding" in headers else 0
    return int(text) if text.isdigit() else None


class Guard:
    """The requests of one application before one broker."""

    def __init__(
        self,
        app: App,
        broker: Broker,
        describe: Callable[[Scope], Ask | None],
        hold: Holding | None = None,
    ) -> None:
        self.app, self.broker, self.hold = app, broker, hold or Holding()
        self._describe = describe

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One scope of the server."""
        if scope["type"] == "lifespan":
            await self._lifespan(scope, receive, send)
            return
        ask = self._describe(scope) if scope["type"] == "http" else None
        if ask is None:
            await self.app(scope, receive, send)
            return
        if not self.broker.started:  # a server without lifespan
            await self.broker.start()
        size = _length(scope)
        held = self.hold.take(size)
        try:
            await self._call(ask, scope, _Body(receive), send, held)
        except RefusedError as refused:
            await _answer(send, 503, b"refused: trying again is harmless\n", refused)
        except FailedError:
            await _answer(send, 502, b"failed\n")
        finally:
            if held and size:
                self.hold.give_back(size)

    async def _call(self, ask: Ask, scope: Scope, body: _Body, send: Send, held: bool) -> None:
        if held:
            await body.hold()
        last: list[Attempt] = []

        async def perform(attempt: Attempt) -> None:
            if last and not held:
                raise NotWrittenError("not_sent")  # the body is gone: only the client still has it
            last.append(attempt)
            answer = _Answer(send, attempt)
            own = {**scope, "state": {**scope.get("state", {}), "attempt": attempt}}
            try:
                await self.app(own, body.once(), answer.take)
            except (BoxError, asyncio.CancelledError):
                raise  # what was held was the framework's page for it, or of an attempt that is given up
            except BaseException:
                await answer.go_on()
                raise
            await answer.go_on()

        call = asyncio.ensure_future(self.broker.call(ask, perform))
        # servers don't cancel an application whose client has gone: they say so to who asks
        gone = asyncio.ensure_future(body.gone()) if held else None
        try:
            await asyncio.wait({call, gone} if gone else {call}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done() and not (last and last[-1].begun):
                call.cancel()  # nobody is there to answer
                return
            await call
        except (RefusedError, FailedError, BoxError) as fault:
            if last and last[-1].begun:
                raise AnswerBrokenError("a box failed after the response had begun") from fault
            raise
        finally:
            for task in (call, gone):
                if task is not None and not task.done():
                    task.cancel()
            await asyncio.gather(call, *([gone] if gone else []), return_exceptions=True)

    async def _lifespan(self, scope: Scope, receive: Receive, send: Send) -> None:
        """The broker takes calls before the application starts, and refuses them once it is to stop."""

        async def heard() -> Message:
            message = await receive()
            if message["type"] == "lifespan.startup" and not self.broker.started:
                await self.broker.start()
            elif message["type"] == "lifespan.shutdown":
                await self.broker.stop()
            return message

        try:
            await self.app(scope, heard, send)
        finally:
            await self.broker.stop()


async def _answer(send: Send, status: int, body: bytes, refused: RefusedError | None = None) -> None:
    headers = [(b"content-type", b"text/plain"), (b"content-length", str(len(body)).encode())]
    if refused is not None and refused.retry_after_s > 0:
        headers.append((b"retry-after", refused.header.encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
