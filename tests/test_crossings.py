"""Where two events cross: each test holds the one until the other has happened, on real sockets.

Clients are plain sockets driven from the loop's own thread: what they do between two turns of the loop has
happened, for the system, before the broker's loop hears of any of it. docs/design/crossings.md lists them.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import pytest
from aiohttp import web

from harriertide.cli import shutdown
from harriertide.cli.daemon import Daemon
from harriertide.config import operator_file
from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.settings import from_wire, names_from_wire
from harriertide.http import client_connection, connection_table
from harriertide.library.attempt import Attempt
from harriertide.library.broker import Broker
from harriertide.library.errors import FailedError, NodeError
from harriertide.library.node_sources import Node
from harriertide.library.request_spec import RequestSpec
from harriertide.library.web import BrokerMiddleware
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import parse_page
from harriertide.platform.peers import parse_address
from tests.scenario import Line, Stand, World
from tests.test_net import OPERATOR, WIRE

FLOOD = b"x" * 40_000  # what a system takes for a program that does not read


class House:
    """A daemon with one stand-in box."""

    def __init__(self, daemon: Daemon, box: Stand, port: int) -> None:
        self.daemon, self.box, self.port = daemon, box, port
        self.made, self.stopped = 0, False

    async def stop(self) -> None:
        """SIGTERM's course."""
        self.stopped = True
        await self.daemon.stop()

    def client(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port))

    def request(self, method: str = "GET", body: bytes = b"") -> bytes:
        self.made += 1
        return (
            f"{method} /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: id{self.made}\r\nX-Call-Class: page-read\r\n"
            "X-Storage-Class: gold\r\nX-Budget-Ms: 1500\r\n"
            "X-Extent: volume=00000000000000aa,units=2,shard=0,hosts=1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def asked(self) -> Line:
        """The next request that the box gets."""
        async with asyncio.timeout(5):
            return (await self.box.asked.get())[3]

    async def resting(self, path: str, state: client_connection.ConnectionState) -> socket.socket:
        """A client that was answered, its connection in this state."""
        client = self.client()
        client.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        while not self.daemon.clients.in_state(state):
            await asyncio.sleep(0)
        return client

    async def settle(self) -> None:
        """Until all that can follow has: attempts leave a gap behind each other, and may connect first."""
        await asyncio.sleep(0.15)
        assert self.daemon.core.open_request_count() == 0

    async def read(self, client: socket.socket) -> bytes:
        """All that a client gets until the end of its connection; ConnectionResetError where it was reset."""
        client.setblocking(False)
        loop, got = asyncio.get_running_loop(), b""
        async with asyncio.timeout(5):
            while data := await loop.sock_recv(client, 65536):
                got += data
        return got


def answer(line: Line, status: int = 200, body: bytes = b"ok") -> None:
    line.writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))


def inside(
    play: Callable[[House], Awaitable[None]], objects: str = "", wire: dict = WIRE, **stated: object
) -> None:  # type: ignore[type-arg]
    """Play it on the platform's front, or on the object front with its catalogue at this path.

    stated: further fields of the configuration.
    """

    async def main() -> None:
        box, discovery = Stand(), Stand()
        ports = {"b1": await box.start(), "s": await discovery.start()}
        if objects:
            boxes = {"b1": {"address": f"127.0.0.1:{ports['b1']}", "shard": 0}}
            daemon = Daemon(
                None, operator_file.read_operator_file({**OPERATOR, "boxes": boxes, "catalogue": objects})
            )
        else:
            host = World({}, ports, None).host("b1", "up")
            config = Config(
                name="n", listen=parse_address("127.0.0.1:0"), discovery=f"127.0.0.1:{ports['s']}", seed=1,
                settings=from_wire(wire), names=names_from_wire(wire), peer_listen=None, peers=[],
                cached_list=parse_page({"seq": 7, "whole": True, "hosts": [host]}, {}), raw_settings=wire,
            )  # fmt: skip
            daemon = Daemon(replace(config, **stated), None)  # type: ignore[arg-type]
        await daemon.start()
        house = House(daemon, box, daemon.listeners.port(0))
        try:
            await play(house)
        finally:
            if not house.stopped:
                await daemon.stop()
            await box.close()
            await discovery.close()

    asyncio.run(main())


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    """A stop takes no longer than it must."""
    times = {
        "ACCEPT_GRACE_S": 0.05,
        "MAX_REQUEST_S": 0.3,
        "SHUTDOWN_SLACK_S": 0.1,
        "FINAL_RESPONSES_S": 0.1,
    }
    for name, seconds in times.items():
        monkeypatch.setattr(shutdown, name, seconds)


# --- a client that left --------------------------------------------------------------------------


def test_no_further_attempt_begins_behind_a_close_that_the_loop_has_not_read() -> None:
    """Its close lies behind bytes that are not read, as reading is paused; then its box fails it."""

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(house.request())
        line = await house.asked()
        (mine,) = house.daemon.clients.in_state("busy")
        assert isinstance(mine.transport, asyncio.Transport)
        mine.transport.pause_reading()
        client.sendall(FLOOD)
        client.close()
        answer(line, 500)
        await house.settle()
        assert house.box.asked.empty() and house.daemon.core.counts["left"] == 1

    inside(play)


def test_requests_whose_clients_leave_in_the_turn_in_which_they_come_are_not_sent() -> None:
    """Ten at once, request and close in one; a kept connection to the box lies ready for the first."""

    async def play(house: House) -> None:
        first = house.client()
        first.sendall(house.request())
        answer(await house.asked())
        while house.daemon.core.counts["served"] == 0:
            await asyncio.sleep(0)
        crowd = [house.client() for _ in range(10)]
        while len(house.daemon.clients) < 11:
            await asyncio.sleep(0)
        for client in crowd:
            client.sendall(house.request())
            client.close()
        while house.daemon.core.counts["taken"] < 11:
            await asyncio.sleep(0)
        await house.settle()
        assert house.box.asked.empty() and house.daemon.core.counts["left"] == 10
        first.close()

    inside(play)


def test_the_object_front_begins_nothing_for_a_client_that_left_unread(tmp_path: Path) -> None:
    """A client of the object front floods its connection and leaves; its close lies behind bytes that
    nobody reads.

    The node's error is no reason for a retry: nobody waits for it.
    """

    async def play(house: House) -> None:
        client = house.client()
        client.sendall(b"PUT /v/key HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
        line = await house.asked()
        (mine,) = house.daemon.clients.in_state("busy")
        assert isinstance(mine.transport, asyncio.Transport)
        mine.transport.pause_reading()
        client.sendall(FLOOD)
        client.close()
        answer(line, 500)
        await asyncio.sleep(0.15)
        assert house.box.asked.empty() and house.daemon.core.counts["left"] == 1

    inside(play, objects=str(tmp_path / "catalogue"))


def test_the_library_runs_nothing_again_for_one_who_left() -> None:
    """aiohttp lets a handler run on when its client has gone; here it has gone unread."""

    async def main() -> None:
        ran = 0
        left = asyncio.Event()
        settings = from_wire(WIRE)
        broker = Broker(replace(settings, shard_count=1), [Node("b1", 0, "127.0.0.1:1")], seed=1)

        async def handler(request: web.Request) -> web.Response:
            nonlocal ran
            ran += 1
            assert request.transport is not None
            request.transport.pause_reading()  # type: ignore[attr-defined]
            left.set()
            while ran == 1 and not gone:
                await asyncio.sleep(0)
            raise NodeError("error")

        gone: list[bool] = []
        guard = BrokerMiddleware(broker, lambda request: RequestSpec("v", shard=0))
        app = web.Application(middlewares=[guard.middleware])
        guard.attach(app)
        app.router.add_get("/", handler)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        client = socket.create_connection(runner.addresses[0][:2])
        client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await left.wait()
        client.sendall(FLOOD)
        client.close()
        gone.append(True)
        await asyncio.sleep(0.15)
        assert ran == 1 and broker.core.counts["left"] == 1 and broker.core.open_request_count() == 0
        await runner.cleanup()

    asyncio.run(main())


def test_a_call_of_the_library_for_one_who_left_ends_at_once() -> None:
    """The application says that its caller has gone. The call ends without another attempt."""

    async def main() -> None:
        gone: list[bool] = []

        async def perform(attempt: Attempt) -> None:
            gone.append(True)
            raise NodeError("error")

        async with Broker(from_wire(WIRE), [Node("b1", 0, "127.0.0.1:1")], seed=1) as broker:
            async with asyncio.timeout(0.5):
                with pytest.raises(FailedError):
                    await broker.call(RequestSpec("v", shard=0), perform, lambda: bool(gone))
            await asyncio.sleep(0)
            assert len(gone) == 1 and broker.core.open_request_count() == 0

    asyncio.run(main())


# --- the end of a client's connection ------------------------------------------------------------


def test_a_request_that_crosses_the_close_of_a_resting_connection_is_ended_in_order_and_not_sent_on() -> None:
    """The broker ends its side; the request comes before it could hear of that, and gets no reset."""

    async def play(house: House) -> None:
        client = await house.resting("/health/ready", "idle")
        house.daemon.clients.close_idle()
        client.sendall(house.request())
        got = await house.read(client)
        assert got.count(b"HTTP/1.1") == 1 and got.endswith(b"ready\n")
        client.close()
        while len(house.daemon.clients):
            await asyncio.sleep(0)
        assert house.box.asked.empty() and house.daemon.core.counts["taken"] == 0

    inside(play)


def test_a_request_that_crosses_the_close_of_a_connection_that_must_make_room_sees_its_end_first() -> None:
    """There its descriptor is needed at once: its end is out before the turn in which it is closed."""

    async def play(house: House) -> None:
        client = await house.resting("/health/ready", "idle")
        client.setblocking(False)
        assert client.recv(65536).endswith(b"ready\n")
        assert house.daemon.clients._evict_one(False)
        assert client.recv(65536) == b""  # no turn of the loop has passed; without its end this would block
        client.sendall(house.request())
        await house.settle()
        assert house.box.asked.empty() and house.daemon.core.counts["taken"] == 0
        client.close()

    inside(play)


def test_an_answer_in_front_of_bytes_that_were_not_asked_for_is_read_whole() -> None:
    """A client that sends on while it is answered for good: that is read, so nothing is reset away."""

    async def play(house: House) -> None:
        client = await house.resting("/nowhere", "lingering")
        client.sendall(house.request() * 3)
        got = await house.read(client)
        assert got.startswith(b"HTTP/1.1 404") and got.endswith(b"no such route\n")
        client.close()
        assert house.daemon.core.counts["taken"] == 0

    inside(play)


def test_a_flood_behind_the_last_answer_is_read_no_further_than_its_bound() -> None:
    """A client goes on sending behind its last answer.

    What comes is thrown away up to a bound, and then left unread, as it would cost other clients their time.
    """

    async def play(house: House) -> None:
        client = await house.resting("/nowhere", "lingering")
        (mine,) = house.daemon.clients.in_state("lingering")
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        with suppress(ConnectionError):
            async with asyncio.timeout(2):
                for _ in range(1000):
                    await loop.sock_sendall(client, FLOOD)
        assert client_connection.LINGER_BYTES < mine.discarded <= client_connection.LINGER_BYTES + 262_144
        assert len(house.daemon.clients) == 0
        client.close()

    inside(play)


def test_a_connection_whose_client_never_ends_its_side_goes_all_the_same() -> None:
    """A client neither reads the end of its connection nor ends its side.

    The connection is closed after the linger timeout.
    """

    async def play(house: House) -> None:
        client = await house.resting("/health/ready", "idle")
        loop = asyncio.get_running_loop()
        begun = loop.time()
        house.daemon.clients.close_idle()
        while len(house.daemon.clients):
            await asyncio.sleep(0.01)
        assert (
            loop.time() - begun
            < connection_table.LINGER_TIMEOUT_S + 2 * connection_table.SWEEP_INTERVAL_S + 0.2
        )
        client.close()

    inside(play)


# --- SIGTERM -------------------------------------------------------------------------------------


def test_a_request_that_comes_whole_behind_the_last_answers_is_refused_and_not_sent_on() -> None:
    """Half of it is there all along; the rest comes in the turn in which the broker answers what is open."""

    async def play(house: House) -> None:
        daemon, client = house.daemon, house.client()
        whole = house.request("PUT", b"body")
        client.sendall(whole[:-2])
        while not daemon.clients.in_state("reading"):
            await asyncio.sleep(0)
        post = daemon.runtime.post

        def crossed(event: ev.Event) -> None:
            post(event)
            if isinstance(event, ev.ShutdownStarted):
                client.sendall(whole[-2:])

        daemon.runtime.post = crossed  # type: ignore[method-assign]
        stopping = asyncio.create_task(house.stop())
        got = await house.read(client)
        client.close()
        await stopping
        assert got.startswith(b"HTTP/1.1 503") and b"Connection: close" in got
        assert house.box.asked.empty() and daemon.core.counts["taken"] == 0

    inside(play)


def test_a_request_that_is_open_at_the_end_of_a_stop_has_its_answer_read_whole() -> None:
    """Its box hangs; its client has sent more behind it."""

    async def play(house: House) -> None:
        daemon, client = house.daemon, house.client()
        client.sendall(house.request())
        await house.asked()
        stopping = asyncio.create_task(house.stop())
        post = daemon.runtime.post

        def crossed(event: ev.Event) -> None:
            post(event)
            if isinstance(event, ev.ShutdownStarted):
                client.sendall(house.request())

        daemon.runtime.post = crossed  # type: ignore[method-assign]
        got = await house.read(client)
        client.close()
        await stopping
        assert got.startswith(b"HTTP/1.1 503") and got.count(b"HTTP/1.1") == 1
        assert daemon.core.counts["attempts"] == 1

    inside(play)


# --- nodes ---------------------------------------------------------------------------------------


def test_a_second_answer_that_comes_behind_the_next_request_is_not_taken_for_its_answer() -> None:
    """A box in trouble sends its answer once more, some milliseconds later."""

    async def play(house: House) -> None:
        client = house.client()
        loop = asyncio.get_running_loop()
        client.setblocking(False)
        client.sendall(house.request())
        first = await house.asked()
        answer(first, body=b"first")
        assert (await loop.sock_recv(client, 65536)).endswith(b"first")
        client.sendall(house.request())
        second = await house.asked()
        answer(first, body=b"first")
        answer(second, body=b"second")
        assert (await loop.sock_recv(client, 65536)).endswith(b"second")
        client.close()

    inside(play)


@pytest.mark.parametrize("part", [0.4, 1.4])
def test_a_repeat_that_waits_for_a_connection_beyond_its_window_is_not_written(part: float) -> None:
    """Repeats are dropped for 0.4 s only; the second connection comes up late, within that or behind."""
    window_us = 400_000
    wire = {**WIRE, "classes": [{**WIRE["classes"][0], "effect": "deduplicated", "dedupScope": "all"}]}
    wire["classes"][0]["windowUs"] = window_us
    wire["limits"] = {**WIRE["limits"], "connectTimeoutUs": 2_000_000}
    late = [0.0, part * window_us / 1e6]

    async def play(house: House) -> None:
        pool = house.daemon.client.pool
        up = pool.connect

        async def slow(where: str):  # type: ignore[no-untyped-def]
            line = await up(where)
            await asyncio.sleep(late.pop(0))
            return line

        pool.connect = slow  # type: ignore[method-assign]
        client = house.client()
        client.sendall(house.request())
        line = await house.asked()
        line.writer.write(b"HTTP/1.1 500 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        if part < 1:
            answer(await house.asked())
        while house.daemon.core.open_request_count():
            await asyncio.sleep(0.01)
        assert house.box.asked.empty()
        assert house.daemon.core.counts["served"] == (part < 1)
        client.close()

    inside(play, wire=wire)


def test_the_window_of_a_repeat_runs_from_the_first_attempt_that_may_have_run() -> None:
    """Asked at the write, by the reducer alone: one that never ran opens no window."""
    from harriertide.core.reducer import Reducer

    kind = api.RequestClass(
        latency_objective_us=900_000,
        deadline_us=1_000_000,
        idempotency="keyed",
        deduplication_scope="all",
        deduplication_window_us=300_000,
    )
    settings = replace(from_wire(WIRE), classes=(kind,))

    class Scripted:
        def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
            return [
                api.StartAttempt("r", "b1", 1_000_000)
                for event in events
                if isinstance(event, (api.Arrival, api.AttemptFinished))
                and getattr(event, "kind", "") != "not_sent"
            ]

    core = Reducer(settings, 1, lambda settings, seed: Scripted())
    core.step(0, [ev.EndpointsUpdated(api.EndpointUpdate("cached", (api.NodeEntry("b1", 0),)))])
    core.step(0, [ev.RequestArrived(api.Arrival("r", 0, 0, "v", 0, 1_000_000))])
    core.step(200_000, [ev.AttemptFinished("r", 0, "connect_failed")])
    assert core.may_write("r", 1, 400_000) is None  # nothing has run
    core.step(400_000, [ev.AttemptFinished("r", 1, "reset")])  # decided at 200 ms
    assert core.may_write("r", 2, 440_000) is None
    assert core.may_write("r", 2, 460_000) == "not_sent"  # its end less what a write may take to arrive
    core.step(450_000, [ev.AttemptFinished("r", 2, "rejected")])
    assert core.may_write("r", 3, 460_000) == "not_sent"
