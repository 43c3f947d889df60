"""The middleware in an aiohttp.web application on a real socket."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import aiohttp
import pytest
from aiohttp import web

from harriertide.decide import api
from harriertide.library import middleware
from harriertide.library.middleware import BOX, Ask, BoxError, BoxFullError, Guard
from tests.helpers import SETTINGS

LONE = replace(SETTINGS, heads=1, may_tell=False)
BOXES = (api.NodeEntry("b1", 0), api.NodeEntry("b2", 1))
Handler = Callable[[web.Request, int], web.Response]


def play(handler: Handler, *gets: tuple[str, int], then: Callable[[Guard], None] | None = None) -> list[str]:
    """Ask an application for paths, in turn; the boxes its handler ran for."""
    ran: list[str] = []

    async def handle(request: web.Request) -> web.StreamResponse:
        ran.append(request.get(BOX, "-"))
        return handler(request, len(ran))

    def describe(request: web.Request) -> Ask | None:
        name, _, shard = request.path[1:].partition("/")
        return Ask("v", shard=int(shard or -1), budget_us=250_000) if name == "box" else None

    async def main() -> None:
        guard = Guard(LONE, BOXES, describe, seed=1)
        app = web.Application(middlewares=[guard.middleware])
        guard.attach(app)
        app.router.add_route("*", "/{tail:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        if then is not None:
            then(guard)
        port = runner.addresses[0][1]
        async with aiohttp.ClientSession() as session:
            for path, status in gets:
                async with session.get(f"http://127.0.0.1:{port}{path}") as response:
                    assert response.status == status
                    assert status != 503 or float(response.headers["Retry-After"]) > 0
        counts = guard.core.counts
        assert guard.core.owed() == 0
        assert counts["taken"] == sum(counts[kind] for kind in ("served", "refused", "failed"))
        await runner.cleanup()

    asyncio.run(main())
    return ran


def test_a_request_runs_for_the_box_of_its_shard_and_others_pass_beside() -> None:
    ran = play(lambda request, n: web.Response(), ("/box/1", 200), ("/free", 200))
    assert ran == ["b2", "-"]


def test_a_box_that_turns_away_is_tried_again_no_more_often_than_allowed() -> None:
    def full(request: web.Request, n: int) -> web.Response:
        raise BoxFullError

    assert play(full, ("/box/0", 503)) == ["b1"] * LONE.max_attempts


def test_an_error_of_the_box_is_mended_by_a_further_attempt() -> None:
    def once(request: web.Request, n: int) -> web.Response:
        if n == 1:
            raise BoxError
        return web.Response()

    assert play(once, ("/box/0", 200)) == ["b1", "b1"]


def test_an_error_of_the_application_is_its_answer_and_is_not_repeated() -> None:
    def wrong(request: web.Request, n: int) -> web.Response:
        raise web.HTTPNotFound

    assert play(wrong, ("/box/0", 404)) == ["b1"]


def test_nothing_runs_for_a_box_that_drains() -> None:
    def drain(guard: Guard) -> None:
        guard.tell(replace(BOXES[0], state="draining"))

    assert play(lambda request, n: web.Response(), ("/box/0", 503), ("/box/-1", 200), then=drain) == ["b2"]


def test_a_guard_that_was_not_attached_says_so() -> None:
    guard = middleware.Guard(LONE, BOXES, lambda request: None)
    with pytest.raises(AssertionError, match="not started"):
        guard.tell(BOXES[0])
