"""One attempt of a request at a time, at the sockets: what the runtime, the client and its pool hold to."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.core.requests import CUT_OFF_GAP_US
from harriertide.decide import api
from harriertide.engine.clock import Clock
from harriertide.engine.runtime import Attempt, AttemptResult, Runtime
from harriertide.http.limits import read_limits
from harriertide.http.node_client import NodeClient
from harriertide.http.node_connection import NodeConnection
from harriertide.lab.experiments import duplicate_attempts
from harriertide.lab.rigs import late_reading_nodes
from tests.helpers import SETTINGS
from tests.scenario import Stand
from tests.scripted import NODES_LISTED, ScriptedModule

GET = b"GET /api HTTP/1.1\r\nX-Call-Id: r\r\n\r\n"


def attempt(runtime: Runtime, number: int = 0, not_before_us: int = 0) -> Attempt:
    return Attempt(runtime, "r", number, "n0", runtime.clock.now_us() + 2_000_000, not_before_us)


def beside_a_node(play: Callable[[Runtime, NodeClient, Stand], Awaitable[None]], *script: Any) -> None:
    """Run with a runtime, a client and one stand-in node; the decision module is scripted."""

    async def main() -> None:
        box = Stand()
        port = await box.start()
        core = Reducer(SETTINGS, 1, ScriptedModule([], *script))
        runtime = Runtime(core, Clock(asyncio.get_running_loop()))
        client = NodeClient({"n0": f"127.0.0.1:{port}"}.get, 500_000, 5_000_000, read_limits())
        core.step(runtime.clock.now_us(), [NODES_LISTED])
        try:
            async with asyncio.timeout(5):
                await play(runtime, client, box)
        finally:
            await client.close()
            await box.close()

    asyncio.run(main())


class Idle:
    """A request whose attempts last until they are stopped."""

    context = None

    def __init__(self) -> None:
        self.begun = 0

    async def perform(self, attempt: Attempt) -> AttemptResult:
        self.begun += 1
        await asyncio.Event().wait()
        raise AssertionError

    def has_client_disconnected(self) -> bool:
        return False

    def respond(self, answer: ev.Respond) -> None:
        pass


def arrival(runtime: Runtime) -> api.Arrival:
    return api.Arrival("r", 0, 0, "v", 0, runtime.clock.now_us() + 2_000_000)


def test_the_end_of_a_connection_leaves_in_the_turn_in_which_it_is_aborted() -> None:
    """asyncio closes the descriptor a turn later; what is written meanwhile must not overtake it."""

    async def play(runtime: Runtime, client: NodeClient, box: Stand) -> None:
        line = await client.pool.connect(client._find("n0") or "")
        assert isinstance(line, NodeConnection)
        line.send_request(GET, None)
        await box.asked.get()
        end = box.lines[0].writer.transport.get_extra_info("socket")
        line.abort()  # and no turn of the loop
        with socket.socket(fileno=socket.dup(end.fileno())) as seen:
            assert seen.recv(1, socket.MSG_DONTWAIT) == b""

    beside_a_node(play)


def test_an_attempt_is_held_back_while_another_connection_is_active_for_its_request() -> None:
    """Whatever the reducer was told: the guard looks at connections, and counts."""

    async def play(runtime: Runtime, client: NodeClient, box: Stand) -> None:
        runtime.core.step(runtime.clock.now_us(), [ev.RequestArrived(arrival(runtime))])
        line = await client.pool.connect(client._find("n0") or "")
        assert isinstance(line, NodeConnection)
        line.send_request(GET, None)
        client.pool.mark_active(line, "r")
        await box.asked.get()
        second = asyncio.create_task(client.exchange(attempt(runtime), "GET", "/api", {}, b""))
        await asyncio.sleep(0.05)
        assert box.asked.empty() and client.counts["second_copy_held_back"] == 1
        line.abort()
        asked = await box.asked.get()
        asked[3].writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        kind, reply = await second
        assert kind == "ok" and reply is not None and reply.body == b"ok"
        assert client.pool.active_connection("r") is None

    beside_a_node(play, [api.StartAttempt("r", "n0", 0)])


def test_no_byte_of_an_attempt_leaves_before_its_time() -> None:
    async def play(runtime: Runtime, client: NodeClient, box: Stand) -> None:
        runtime.core.step(runtime.clock.now_us(), [ev.RequestArrived(arrival(runtime))])
        not_before_us = runtime.clock.now_us() + 5 * CUT_OFF_GAP_US
        ends = asyncio.create_task(
            client.exchange(attempt(runtime, 0, not_before_us), "GET", "/api", {}, b"")
        )
        asked = await box.asked.get()
        assert runtime.clock.now_us() >= not_before_us
        asked[3].writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await ends)[0] == "ok"

    beside_a_node(play, [api.StartAttempt("r", "n0", 0)])


def test_an_attempt_that_is_cancelled_before_it_began_ends_all_the_same() -> None:
    """The decision module cancels an attempt in the turn in which it starts it.

    Without an end of it the request and its slot at the node would stay open for good.
    """

    async def play(runtime: Runtime, client: NodeClient, box: Stand) -> None:
        job = Idle()
        runtime.submit(arrival(runtime), job)
        while not runtime.core.counts["outcome_cancelled"]:
            await asyncio.sleep(0)
        assert job.begun == 0 and not runtime.core.has_request("r")

    beside_a_node(play, [api.StartAttempt("r", "n0", 0), api.CancelAttempt("r", 0)], [api.Reject("r")])


def test_attempts_with_ends_of_every_kind_are_never_two_at_work_for_one_request() -> None:
    """The probe of docs/measurements/second-copy.md, in small: a box that is late and reads in any order."""
    seen = duplicate_attempts.count_duplicates(attempts=6_000, width=64, late_ms=0.5, seed=1)
    assert seen["attempts"] > 5_000 and all(seen[name] > 20 for name in late_reading_nodes.ENDINGS)
    assert seen["open"] == 0
    assert seen["unread"] <= 6  # 60 to 130 of them without the gap
