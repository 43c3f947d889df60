"""The middlewares, in applications on real sockets: aiohttp.web and ASGI under uvicorn."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
import uvicorn
from aiohttp import ClientSession, web
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route
from starlette.testclient import TestClient

from harriertide.engine.clock import sleep_until
from harriertide.library import (
    Attempt,
    Broker,
    Node,
    NodeConnectionLostError,
    NodeError,
    NodeList,
    NodeOverloadedError,
    RequestSpec,
    asgi,
)
from harriertide.library.body_buffer import BodyBuffer
from harriertide.library.web import ATTEMPT
from harriertide.library.web import BrokerMiddleware as WebMiddleware
from tests.test_library import ALONE, NODES


@dataclass
class Seen:
    """What an application did."""

    ran: list[str] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)


Fault = Callable[[int], Exception | None]


def asked(path: str) -> RequestSpec | None:
    name, _, shard = path[1:].partition("/")
    return RequestSpec("v", shard=int(shard or -1)) if name in ("node", "begun") else None


@asynccontextmanager
async def aiohttp_app(
    broker: Broker, seen: Seen, fault: Fault, body_buffer: BodyBuffer
) -> AsyncIterator[int]:
    async def handle(request: web.Request) -> web.StreamResponse:
        attempt = request.get(ATTEMPT)
        seen.ran.append(attempt.node_id if attempt is not None else "-")
        seen.bodies.append(await request.read())
        if request.path.startswith("/begun"):
            response = web.StreamResponse()
            response.content_length = 100
            await response.prepare(request)
            await response.write(b"part")
        wrong = fault(len(seen.ran))
        if wrong is not None:
            raise wrong
        return web.Response(text="done")

    guard = WebMiddleware(broker, lambda request: asked(request.path), body_buffer)
    app = web.Application(middlewares=[guard.middleware])
    guard.attach(app)
    app.router.add_route("*", "/{tail:.*}", handle)
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield int(runner.addresses[0][1])
    finally:
        await runner.cleanup()


def starlette_app(broker: Broker, seen: Seen, fault: Fault, body_buffer: BodyBuffer) -> asgi.BrokerMiddleware:
    async def handle(request: Request) -> Any:
        attempt: Attempt | None = getattr(request.state, "attempt", None)
        seen.ran.append(attempt.node_id if attempt is not None else "-")
        seen.bodies.append(await request.body())
        if request.url.path.startswith("/begun"):

            async def parts() -> AsyncIterator[bytes]:
                yield b"part"
                wrong = fault(len(seen.ran))
                if wrong is not None:
                    raise wrong

            return StreamingResponse(parts(), headers={"Content-Length": "100"})
        wrong = fault(len(seen.ran))
        if wrong is not None:
            raise wrong
        return PlainTextResponse("done")

    app = Starlette(routes=[Route("/{tail:path}", handle, methods=["GET", "PUT"])])
    return asgi.BrokerMiddleware(app, broker, lambda scope: asked(scope["path"]), body_buffer)


@asynccontextmanager
async def uvicorn_app(
    broker: Broker, seen: Seen, fault: Fault, body_buffer: BodyBuffer
) -> AsyncIterator[int]:
    config = uvicorn.Config(
        starlette_app(broker, seen, fault, body_buffer), port=0, log_level="critical", lifespan="on"
    )
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server._serve())
    while not server.started:
        await asyncio.sleep(0.005)
    try:
        yield int(server.servers[0].sockets[0].getsockname()[1])
    finally:
        server.should_exit = True
        await serving


Client = Callable[[ClientSession, str], Awaitable[None]]
APPS = {"aiohttp": aiohttp_app, "starlette": uvicorn_app}


def play(
    kind: str, fault: Fault, client: Client, *nodes: Node, body_buffer: BodyBuffer | None = None
) -> Seen:
    """One application, one client; nothing is left of either."""
    seen, broker = Seen(), Broker(ALONE, nodes or NODES, seed=1)

    async def main() -> None:
        async with asyncio.timeout(10):
            async with (
                APPS[kind](broker, seen, fault, body_buffer or BodyBuffer()) as port,
                ClientSession(f"http://127.0.0.1:{port}") as session,
            ):
                await client(session, "")
        assert not broker.is_accepting_calls and broker.core.open_request_count() == 0
        left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        assert not left, left

    asyncio.run(main())
    counts = broker.core.counts
    assert counts["taken"] == sum(counts[kind] for kind in ("served", "rejected", "failed", "left"))
    return seen


def gets(path: str, status: int, text: str | None = None, body: bytes | None = None) -> Client:
    async def client(session: ClientSession, base: str) -> None:
        async with session.request("PUT" if body else "GET", path, data=body) as response:
            assert response.status == status
            said = await response.text()
            assert text is None or said == text
            assert status != 503 or float(response.headers["Retry-After"]) > 0

    return client


def never(n: int) -> Exception | None:
    return None


both = pytest.mark.parametrize("kind", APPS)


@both
def test_a_request_runs_for_the_node_of_its_shard_and_others_pass_beside(kind: str) -> None:
    assert play(kind, never, gets("/node/1", 200, "done")).ran == ["b2"]
    assert play(kind, never, gets("/free", 200, "done")).ran == ["-"]


@both
def test_an_error_of_a_node_is_mended_by_a_retry_which_has_the_body(kind: str) -> None:
    seen = play(kind, lambda n: NodeError() if n == 1 else None, gets("/node/0", 200, "done", b"x" * 100_000))
    assert seen.ran == ["b1", "b1"] and seen.bodies == [b"x" * 100_000] * 2


@both
def test_a_body_beyond_the_buffer_is_streamed_once_and_has_one_attempt(kind: str) -> None:
    """The handler has read it when the connection to the node breaks: only the client still has it."""
    body_buffer = BodyBuffer(max_body_bytes=1000, max_total_bytes=2000)
    seen = play(
        kind,
        lambda n: NodeConnectionLostError(),
        gets("/node/0", 503, body=b"x" * 100_000),
        body_buffer=body_buffer,
    )
    assert seen.ran == ["b1"] and seen.bodies == [b"x" * 100_000] and body_buffer.reserved_bytes == 0


@both
def test_a_request_whose_node_rejects_is_retried_as_often_as_allowed_and_then_rejected_at_once(
    kind: str,
) -> None:
    assert (
        play(kind, lambda n: NodeOverloadedError(), gets("/node/0", 503)).ran == ["b1"] * ALONE.max_attempts
    )


@both
def test_a_response_that_has_started_is_not_run_again_and_its_client_can_tell(kind: str) -> None:
    """A node fails behind the start of a response.

    A handler that ran again would write to a closed response, and its client would wait for good.
    """

    async def client(session: ClientSession, base: str) -> None:
        with pytest.raises(Exception, match="(?i)disconnect|payload|not enough|closed|reset"):
            async with session.get("/begun/0") as response:
                assert response.status == 200
                await response.read()

    assert play(kind, lambda n: NodeConnectionLostError(), client).ran == ["b1"]


@both
def test_an_error_of_the_application_is_its_answer_and_is_not_retried(kind: str) -> None:
    assert play(kind, lambda n: KeyError("own"), gets("/node/0", 500)).ran == ["b1"]


@both
def test_with_all_nodes_draining_the_rejection_is_at_once(kind: str) -> None:
    nodes = [replace(node, state="draining") for node in NODES]
    assert play(kind, never, gets("/node/0", 503), *nodes).ran == []


@both
def test_a_client_that_goes_ends_the_work_done_for_it(kind: str) -> None:
    """A client closes its connection while the work for it waits for a node."""
    ends: list[str] = []

    async def client(session: ClientSession, base: str) -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.15):
                await session.get("/node/0")
        loop = asyncio.get_running_loop()
        while broker.core.counts["left"] == 0:
            await sleep_until(loop.time() + 0.01)

    broker = Broker(ALONE, NODES, seed=1)

    async def main() -> None:
        seen = Seen()
        async with asyncio.timeout(10):
            async with (
                APPS[kind](broker, seen, never, BodyBuffer()) as port,
                ClientSession(f"http://127.0.0.1:{port}") as session,
            ):
                await client(session, "")

    slow = broker.call

    async def slower(ask: RequestSpec, perform: Any, *more: Any) -> Any:
        async def first(attempt: Attempt) -> Any:
            try:
                await asyncio.Event().wait()
            finally:
                ends.append("ended")

        return await slow(ask, first, *more)

    broker.call = slower  # type: ignore[method-assign]
    asyncio.run(main())
    assert ends == ["ended"] and broker.core.open_request_count() == 0 and broker.core.counts["left"] == 1


def test_an_application_that_stops_answers_open_requests_and_rejects_new_ones() -> None:
    """The application is stopped while a request is open."""
    broker = Broker(ALONE, NODES, seed=1)

    async def main() -> None:
        async def handle(request: web.Request) -> web.Response:
            await asyncio.sleep(0.1)
            return web.Response(text="done")

        guard = WebMiddleware(broker, lambda request: RequestSpec("v", shard=0))
        app = web.Application(middlewares=[guard.middleware])
        guard.attach(app)
        app.router.add_get("/", handle)
        runner = web.AppRunner(app, shutdown_timeout=2)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        async with ClientSession(f"http://127.0.0.1:{port}") as session, ClientSession() as other:
            async with other.get(f"http://127.0.0.1:{port}/") as warm:
                assert warm.status == 200
            opened = asyncio.create_task(session.get("/"))
            await asyncio.sleep(0.03)
            ending = asyncio.create_task(runner.cleanup())
            response = await opened
            assert response.status == 200 and await response.text() == "done"
            response.close()
            await ending
        assert not broker.is_accepting_calls and broker.core.open_request_count() == 0

    asyncio.run(asyncio.wait_for(main(), 10))


def test_an_error_page_of_an_attempt_that_timed_out_is_not_sent() -> None:
    """A framework has sent its page for an error, which is held back, when the attempt's time is over."""
    sent: list[Any] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await send({"type": "http.response.start", "status": 500, "headers": []})
        await asyncio.Event().wait()

    async def receive() -> Any:
        if not sent and not asked_for:
            asked_for.append(1)
            return {"type": "http.request", "body": b"", "more_body": False}
        await asyncio.Event().wait()

    async def send(message: Any) -> None:
        sent.append(message)

    asked_for: list[int] = []

    async def main() -> None:
        async with Broker(ALONE, NODES, seed=1) as broker:
            guard = asgi.BrokerMiddleware(app, broker, lambda scope: RequestSpec("v", shard=0))
            await guard({"type": "http", "path": "/", "headers": []}, receive, send)

    asyncio.run(asyncio.wait_for(main(), 10))
    assert [message["status"] for message in sent if "status" in message] == [503]


def test_under_starlettes_own_test_client() -> None:
    seen, broker = Seen(), Broker(ALONE, NODES, seed=1)
    app = starlette_app(broker, seen, lambda n: NodeError() if n == 1 else None, BodyBuffer())
    with TestClient(app) as client:
        assert client.get("/node/0").text == "done"
        assert isinstance(broker.source, NodeList)
    assert (
        seen.ran == ["b1", "b1"] and not broker.is_accepting_calls and broker.core.open_request_count() == 0
    )


CODED_HEAD = b"PUT %b HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"


@pytest.mark.parametrize(("path", "status"), [("/node/0", b"501"), ("/free", b"200")])
def test_a_coded_body_is_not_given_to_a_handler_as_plain(path: str, status: bytes) -> None:
    """Guards against an application that writes a client's coded bytes to nodes as its body.

    A request that passes beside the broker is the application's own affair.
    """

    async def client(session: ClientSession, base: str) -> None:
        assert session._base_url is not None and session._base_url.port is not None
        reader, writer = await asyncio.open_connection("127.0.0.1", session._base_url.port)
        writer.write(CODED_HEAD % path.encode() + b"5\r\ncoded\r\n0\r\n\r\n")
        assert (await reader.read()).split(b" ")[1] == status
        writer.close()

    assert len(play("aiohttp", never, client).ran) == (1 if status == b"200" else 0)


def test_a_coded_body_is_not_given_to_an_asgi_application_as_plain() -> None:
    """Guards against servers that take off chunked alone, as the one for aiohttp does."""
    sent: list[Any] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        raise AssertionError("the application has run")

    async def send(message: Any) -> None:
        sent.append(message)

    async def receive() -> Any:
        return {"type": "http.request", "body": b"coded", "more_body": False}

    async def main() -> None:
        async with Broker(ALONE, NODES, seed=1) as broker:
            guard = asgi.BrokerMiddleware(app, broker, lambda scope: RequestSpec("v", shard=0))
            headers = [(b"transfer-encoding", b"gzip"), (b"transfer-encoding", b"chunked")]
            await guard({"type": "http", "path": "/", "headers": headers}, receive, send)
            assert broker.core.counts["taken"] == 0

    asyncio.run(asyncio.wait_for(main(), 10))
    assert [message["status"] for message in sent if "status" in message] == [501]
