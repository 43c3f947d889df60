"""Pure ASGI middleware: Starlette, FastAPI and any other application, before a broker in its own process.

    app = BrokerMiddleware(app, broker, describe)

`describe(scope)` says what the decisions need to know of an HTTP request, or None to let it pass. The
application runs once an attempt, with it under `scope["state"]["attempt"]` (Starlette:
`request.state.attempt`). It lets the errors of `broker.nodes` pass, or raises AttemptError and its kinds
itself. A body that fits into the buffer is there for every attempt; a larger one is streamed once, and its
request not retried; one in a transfer coding that is not decoded is refused. Once the application has started
its response, that is the client's: no attempt follows, and a fault after that leaves as
ResponseInterruptedError, on which servers end the connection. The broker starts and stops with the lifespan.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from aiohttp import HttpVersion10, HttpVersion11

from harriertide.http.transfer_coding import TransferCodingError, check_transfer_codings
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

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
MAX_ERROR_PAGE_BYTES = 64 * 1024  # of a response of status 500 that is held back until the application ends


class ResponseInterruptedError(Exception):
    """A response that has started cannot be finished; the server is to end the connection."""


class _RequestBody:
    """A request's body: buffered for every attempt, or streamed once."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._buffered: bytes | None = None

    async def buffer(self) -> None:
        """Read it to its end, or until the client is gone, which the application is notified of later."""
        chunks: list[bytes] = []
        while True:
            message = await self._receive()
            if message["type"] != "http.request":
                return
            chunks.append(message.get("body", b""))
            if not message.get("more_body", False):
                self._buffered = b"".join(chunks)
                return

    async def wait_for_disconnect(self) -> None:
        """Wait until the client is gone; only once the body is buffered."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def receive_for_attempt(self) -> Receive:
        """The receive of one attempt, which has the buffered body from its start on."""
        is_delivered = False

        async def receive() -> Message:
            nonlocal is_delivered
            if self._buffered is None or is_delivered:
                return await self._receive()
            is_delivered = True
            return {"type": "http.request", "body": self._buffered, "more_body": False}

        return receive


class _AttemptResponse:
    """The response of one attempt on its way to the client.

    Guards against frameworks that answer 500 on any exception, before they let it pass: the client would have
    a response where a retry could have served it. Such a page is held back until the application has ended,
    as the error of a node may be what it is for.
    """

    def __init__(self, send: Send, attempt: Attempt) -> None:
        self._send = send
        self._attempt = attempt
        self._held_back: list[Message] = []
        self._held_back_bytes = 0

    async def send(self, message: Message) -> None:
        """Take one message of the application."""
        if message["type"] == "http.response.start" and message["status"] == 500:
            self._held_back.append(message)
        elif self._held_back:
            self._held_back.append(message)
            self._held_back_bytes += len(message.get("body", b""))
            if self._held_back_bytes > MAX_ERROR_PAGE_BYTES:
                await self.flush()
        else:
            await self._pass_on(message)

    async def flush(self) -> None:
        """Send what was held back."""
        messages = self._held_back
        self._held_back = []
        for message in messages:
            await self._pass_on(message)

    async def _pass_on(self, message: Message) -> None:
        self._attempt.response_started()
        await self._send(message)


def _content_length(scope: Scope) -> int | None:
    """The length of the body as the headers say; None: not known."""
    headers = dict(scope["headers"])
    text = headers.get(b"content-length")
    if text is None:
        return None if b"transfer-encoding" in headers else 0
    return int(text) if text.isdigit() else None


def _check_body_coding(scope: Scope) -> None:
    """Check that the server has given the body of a request as it was written.

    :raises TransferCodingError: it is in a transfer coding that servers do not decode
    """
    codings = [value.decode("latin-1") for name, value in scope["headers"] if name == b"transfer-encoding"]
    check_transfer_codings(codings, HttpVersion10 if scope.get("http_version") == "1.0" else HttpVersion11)


class BrokerMiddleware:
    """The requests of one application before one broker.

    :param describe: what the decisions need to know of a request; None: it passes beside the broker
    :param body_buffer: for bodies that a retry needs again
    """

    def __init__(
        self,
        app: App,
        broker: Broker,
        describe: Callable[[Scope], RequestSpec | None],
        body_buffer: BodyBuffer | None = None,
    ) -> None:
        self.app = app
        self.broker = broker
        self.body_buffer = body_buffer or BodyBuffer()
        self._describe = describe

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One scope of the server."""
        if scope["type"] == "lifespan":
            await self._run_lifespan(scope, receive, send)
            return
        spec = self._describe(scope) if scope["type"] == "http" else None
        if spec is None:
            await self.app(scope, receive, send)
            return
        try:
            _check_body_coding(scope)
        except TransferCodingError as error:
            await _send_page(send, error.status, f"{error}\n".encode(), [(b"connection", b"close")])
            return
        if not self.broker.has_started:  # a server without lifespan
            await self.broker.start()
        size = _content_length(scope)
        is_buffered = self.body_buffer.reserve(size)
        try:
            call = _Call(self.app, self.broker, scope, _RequestBody(receive), send, is_buffered)
            await call.run(spec)
        except RejectedError as rejected:
            headers = [(b"retry-after", rejected.retry_after.encode())] if rejected.retry_after_s > 0 else []
            await _send_page(send, 503, b"refused: trying again is harmless\n", headers)
        except FailedError:
            await _send_page(send, 502, b"failed\n", [])
        finally:
            if is_buffered and size:
                self.body_buffer.release(size)

    async def _run_lifespan(self, scope: Scope, receive: Receive, send: Send) -> None:
        """The broker takes calls before the application starts, and rejects them once it is to stop."""

        async def receive_and_follow() -> Message:
            message = await receive()
            if message["type"] == "lifespan.startup" and not self.broker.has_started:
                await self.broker.start()
            elif message["type"] == "lifespan.shutdown":
                await self.broker.stop()
            return message

        try:
            await self.app(scope, receive_and_follow, send)
        finally:
            await self.broker.stop()


class _Call:
    """One request of the application on its way through the broker."""

    def __init__(
        self, app: App, broker: Broker, scope: Scope, body: _RequestBody, send: Send, is_buffered: bool
    ) -> None:
        self._app = app
        self._broker = broker
        self._scope = scope
        self._body = body
        self._send = send
        self._is_buffered = is_buffered
        self._last_attempt: Attempt | None = None

    async def run(self, spec: RequestSpec) -> None:
        """Serve the request, unless its client is gone before its response has started.

        :raises RequestError: the final answer, before the response has started
        :raises ResponseInterruptedError: a fault after that
        """
        if self._is_buffered:
            await self._body.buffer()
        call = asyncio.ensure_future(self._broker.call(spec, self._perform))
        tasks: list[asyncio.Future[None]] = [call]
        if self._is_buffered:
            # Servers do not cancel an application whose client is gone: they say so to who receives.
            tasks.append(asyncio.ensure_future(self._body.wait_for_disconnect()))
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if not call.done() and not self._has_response_started:
                call.cancel()  # nobody is there to answer
                return
            await call
        except (RequestError, AttemptError) as error:
            if self._has_response_started:
                raise ResponseInterruptedError("a node failed after the response had started") from error
            raise
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def _has_response_started(self) -> bool:
        return self._last_attempt is not None and self._last_attempt.has_response_started

    async def _perform(self, attempt: Attempt) -> None:
        if self._last_attempt is not None and not self._is_buffered:
            raise NotWrittenError("not_sent")  # the body is gone: only the client still has it
        self._last_attempt = attempt
        response = _AttemptResponse(self._send, attempt)
        state = {**self._scope.get("state", {}), "attempt": attempt}
        scope = {**self._scope, "state": state}
        try:
            await self._app(scope, self._body.receive_for_attempt(), response.send)
        except (AttemptError, asyncio.CancelledError):
            # What was held back was the framework's page for it, or of an attempt that is given up.
            raise
        except BaseException:
            await response.flush()
            raise
        await response.flush()


async def _send_page(send: Send, status: int, body: bytes, headers: list[tuple[bytes, bytes]]) -> None:
    length = str(len(body)).encode()
    headers = [(b"content-type", b"text/plain"), (b"content-length", length), *headers]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
