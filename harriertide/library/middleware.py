"""Middleware for aiohttp.web: an application's requests go through the same core as those of the daemon.

    from aiohttp import web
    from harriertide.library import middleware

    guard = middleware.Guard(settings, boxes, describe)
    app = web.Application(middlewares=[guard.middleware])
    guard.attach(app)

Each request that describe knows becomes an arrival. The core admits or refuses it at once, holds it for its
turn, and chooses the box; the handler runs once for each attempt, with the box under request[BOX] and the
absolute end of the attempt, on the loop's clock, under request[STOP_AT]. It reports a box's refusal or fault
by raising one of the exceptions here; what it returns is the answer. It may run again after such an
exception, so it must not prepare its response before it is sure.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from secrets import token_hex

from aiohttp import web

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine.clock import Clock
from harriertide.engine.runtime import Attempt, Ending, Runtime

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
BOX = web.RequestKey("harriertide.box", str)
STOP_AT = web.RequestKey("harriertide.stop_at", float)


class BoxError(Exception):
    """The box answered with an error; the attempt may have run."""

    kind: api.OutcomeKind = "error"


class BoxFullError(BoxError):
    """The box turned the attempt away; it never ran."""

    kind = "full"


class BoxUnreachableError(BoxError):
    """No connection to the box; the attempt never ran."""

    kind = "connect_failed"


class BoxBrokeError(BoxError):
    """The connection broke; the attempt may have run."""

    kind = "reset"


@dataclass(frozen=True, slots=True)
class Ask:
    """What the core is told of an application's request. shard -1: any box may take it."""

    volume: str
    request_class: int = 0
    plan: int = 0
    shard: int = -1
    units: float = 1.0
    key: str = ""
    budget_us: int | None = None  # how long the client waits; None: the class's deadline


class _Job:
    def __init__(self, request: web.Request, handler: Handler) -> None:
        self._request, self._handler = request, handler
        self.final: asyncio.Future[ev.Answer] = asyncio.get_running_loop().create_future()

    async def attempt(self, attempt: Attempt) -> Ending:
        kind = attempt.may_write()
        if kind is not None:
            return kind, None
        stop_at = attempt.runtime.clock.loop_time(attempt.stop_at_us)
        self._request[BOX], self._request[STOP_AT] = attempt.node, stop_at
        try:
            async with asyncio.timeout_at(stop_at):
                return "ok", await self._handler(self._request)
        except TimeoutError:
            return "timeout", None
        except BoxError as fault:
            return fault.kind, None
        except Exception as fault:  # the application's own affair: it answers, the box is not to blame
            return "ok", fault

    def answer(self, answer: ev.Answer) -> None:
        if not self.final.done():
            self.final.set_result(answer)


class Guard:
    """A core for one application. describe: None lets a request pass beside the core."""

    def __init__(
        self,
        settings: api.Settings,
        boxes: Iterable[api.NodeEntry],
        describe: Callable[[web.Request], Ask | None],
        seed: int | None = None,
    ) -> None:
        self.core = Reducer(settings, time.time_ns() if seed is None else seed)
        self._boxes, self._describe = tuple(boxes), describe
        self._runtime: Runtime | None = None

    def attach(self, app: web.Application) -> None:
        """Start with the application."""
        app.on_startup.append(self._start)

    async def _start(self, app: web.Application) -> None:
        self._runtime = Runtime(self.core, Clock(asyncio.get_running_loop()))
        self._runtime.post(ev.Listed(api.NodeList("held", self._boxes)))

    def tell(self, *changed: api.NodeEntry) -> None:
        """The list of boxes has changed: up, draining or gone from now on."""
        assert self._runtime is not None, "the application has not started"
        self._runtime.post(ev.Listed(api.NodeList("changes", changed)))

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """One request of the application, one answer."""
        ask = self._describe(request)
        if ask is None:
            return await handler(request)
        runtime = self._runtime
        assert runtime is not None, "the application has not started"
        span_us = self.core.settings.classes[ask.request_class].deadline_us
        if ask.budget_us is not None:
            span_us = min(span_us, ask.budget_us)
        arrival = api.Arrival(
            request=token_hex(8),
            request_class=ask.request_class,
            plan=ask.plan,
            volume=ask.volume,
            shard=ask.shard,
            give_up_us=runtime.clock.now_us() + span_us,
            units=ask.units,
            key=ask.key,
        )
        job = _Job(request, handler)
        runtime.submit(arrival, job)
        try:
            answer = await job.final
        except asyncio.CancelledError:
            runtime.left(arrival.request)
            raise
        if answer.kind == "served":
            if isinstance(answer.reply, Exception):
                raise answer.reply
            assert isinstance(answer.reply, web.StreamResponse)
            return answer.reply
        if answer.kind == "refused":
            wait = f"{answer.retry_after_us / 1_000_000:.3f}"
            text = "refused: trying again is harmless\n"
            raise web.HTTPServiceUnavailable(headers={"Retry-After": wait}, text=text)
        raise web.HTTPBadGateway(text="failed\n")
