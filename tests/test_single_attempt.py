"""The runtime, the node client and its pool run at most one attempt of a request at a time, over sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.core.requests import RETRY_GAP_US
from harriertide.decide import api
from harriertide.engine.clock import Clock
from harriertide.engine.runtime import Attempt, AttemptResult, Runtime
from harriertide.http.limits import read_limits
from harriertide.http.node_client import NodeClient
from harriertide.http.node_connection import NodeConnection
from harriertide.lab.experiments import duplicate_attempts
from harriertide.lab.rigs import late_reading_nodes
from tests.helpers import SETTINGS
from tests.scenario import StubServer
from tests.scripted import NODES_LISTED, ScriptedModule

GET = b"GET /api HTTP/1.1\r\nX-Call-Id: r\r\n\r\n"


def make_attempt(runtime: Runtime, number: int = 0, not_before_us: int = 0) -> Attempt:
    return Attempt(runtime, "r", number, "n0", runtime.clock.now_us() + 2_000_000, not_before_us)


def run_with_stub_node(
    scenario: Callable[[Runtime, NodeClient, StubServer], Awaitable[None]], *script: Any
) -> None:
    """Run a scenario with a runtime, a node client, one stub node and a scripted decision module."""

    async def main() -> None:
        node = StubServer()
        port = await node.start()
        core = Reducer(SETTINGS, 1, ScriptedModule([], *script))
        runtime = Runtime(core, Clock(asyncio.get_running_loop()))
        client = NodeClient({"n0": f"127.0.0.1:{port}"}.get, 500_000, 5_000_000, read_limits())
        core.step(runtime.clock.now_us(), [NODES_LISTED])
        try:
            async with asyncio.timeout(5):
                await scenario(runtime, client, node)
        finally:
            await client.close()
            await node.close()

    asyncio.run(main())


class EndlessJob:
    """A job whose attempts run until they are cancelled."""

    context = None

    def __init__(self) -> None:
        self.start_count = 0

    async def perform(self, attempt: Attempt) -> AttemptResult:
        self.start_count += 1
        await asyncio.Event().wait()
        raise AssertionError

    def has_client_disconnected(self) -> bool:
        return False

    def respond(self, response: ev.Respond) -> None:
        pass


def make_arrival(runtime: Runtime) -> api.Arrival:
    return api.Arrival("r", 0, 0, "v", 0, runtime.clock.now_us() + 2_000_000)


def test_an_aborted_connection_is_closed_in_the_same_loop_iteration() -> None:
    """asyncio closes the descriptor of an aborted connection one loop iteration later. Bytes that are written
    to another connection in between must not reach the node before the close, or the node runs two attempts
    at the same time.
    """

    async def scenario(runtime: Runtime, client: NodeClient, node: StubServer) -> None:
        connection = await client.pool.connect(client._find_address("n0") or "")
        assert isinstance(connection, NodeConnection)
        connection.send_request(GET, None)
        await node.requests.get()
        node_socket = node.connections[0].writer.transport.get_extra_info("socket")
        connection.abort()  # without yielding to the event loop
        with socket.socket(fileno=socket.dup(node_socket.fileno())) as duplicate_socket:
            assert duplicate_socket.recv(1, socket.MSG_DONTWAIT) == b""

    run_with_stub_node(scenario)


def test_an_attempt_waits_while_another_connection_is_active_for_its_request() -> None:
    """The core starts an attempt while a connection is still active for the same request. The node client
    checks its connections independently of the core, delays the attempt, and counts the case.
    """

    async def scenario(runtime: Runtime, client: NodeClient, node: StubServer) -> None:
        runtime.core.step(runtime.clock.now_us(), [ev.RequestArrived(make_arrival(runtime))])
        connection = await client.pool.connect(client._find_address("n0") or "")
        assert isinstance(connection, NodeConnection)
        connection.send_request(GET, None)
        client.pool.mark_active(connection, "r")
        await node.requests.get()
        second = asyncio.create_task(client.exchange(make_attempt(runtime), "GET", "/api", {}, b""))
        await asyncio.sleep(0.05)
        assert node.requests.empty() and client.counts["second_copy_held_back"] == 1
        connection.abort()
        request = await node.requests.get()
        request[3].writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        kind, response = await second
        assert kind == "ok" and response is not None and response.body == b"ok"
        assert client.pool.active_connection("r") is None

    run_with_stub_node(scenario, [api.StartAttempt("r", "n0", 0)])


def test_no_byte_of_an_attempt_is_written_before_its_earliest_write_time() -> None:
    """After an interrupted attempt, the next attempt must wait until the gap has ended."""

    async def scenario(runtime: Runtime, client: NodeClient, node: StubServer) -> None:
        runtime.core.step(runtime.clock.now_us(), [ev.RequestArrived(make_arrival(runtime))])
        not_before_us = runtime.clock.now_us() + 5 * RETRY_GAP_US
        result = asyncio.create_task(
            client.exchange(make_attempt(runtime, 0, not_before_us), "GET", "/api", {}, b"")
        )
        request = await node.requests.get()
        assert runtime.clock.now_us() >= not_before_us
        request[3].writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await result)[0] == "ok"

    run_with_stub_node(scenario, [api.StartAttempt("r", "n0", 0)])


def test_an_attempt_cancelled_before_its_task_runs_is_reported_as_finished() -> None:
    """The decision module cancels an attempt in the same loop iteration in which it starts the attempt.

    Without a reported end, the request and its slot at the node would stay open forever.
    """

    async def scenario(runtime: Runtime, client: NodeClient, node: StubServer) -> None:
        job = EndlessJob()
        runtime.submit(make_arrival(runtime), job)
        while not runtime.core.counts["outcome_cancelled"]:
            await asyncio.sleep(0)
        assert job.start_count == 0 and not runtime.core.has_request("r")

    run_with_stub_node(
        scenario, [api.StartAttempt("r", "n0", 0), api.CancelAttempt("r", 0)], [api.Reject("r")]
    )


def test_two_attempts_of_one_request_never_run_concurrently() -> None:
    """A short run of the probe of docs/measurements/second-copy.md: the node reads late and in any order."""
    counts = duplicate_attempts.count_duplicates(attempts=6_000, width=64, late_ms=0.5, seed=1)
    assert counts["attempts"] > 5_000 and all(counts[name] > 20 for name in late_reading_nodes.ENDINGS)
    assert counts["open"] == 0
    assert counts["unread"] <= 6  # 60 to 130 without the gap
