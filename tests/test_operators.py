"""The operators' address and the drain: calls whole, half and wrong, in any order, beside clients."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import pytest

from harriertide.http import connection_table
from harriertide.http.limits import OPERATOR_DESCRIPTOR_COUNT, Limits
from harriertide.http.listener import listen
from harriertide.lifecycle import operator_api
from harriertide.lifecycle.machine import Lifecycle, Stage
from harriertide.lifecycle.operator_api import MAX_CONNECTION_COUNT, OperatorApi
from harriertide.platform.configuration import BadConfigError
from tests.socket_broker import SocketBroker, run_with_broker, send_response
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture

SOON_S = 1.0  # by when each call of an operator is to be answered
GET = b"GET /api/ready HTTP/1.1\r\nHost: x\r\n"
POST = b"POST /api/rejoin HTTP/1.1\r\nHost: x\r\n"
GOOD = GET + b"\r\n"


# --- the state machine ---------------------------------------------------------------------------


def test_a_process_that_starts_is_not_ready_and_a_drain_told_then_holds_from_its_first_moment() -> None:
    """Operators drain a process that is still starting: no client may be sent to it for a moment."""
    lifecycle = Lifecycle()
    assert not lifecycle.report_readiness().accepted and not lifecycle.is_healthy
    assert lifecycle.evacuate().accepted
    lifecycle.mark_serving()
    assert lifecycle.report_readiness().accepted and not lifecycle.is_healthy and lifecycle.closes_connections
    assert lifecycle.rejoin().accepted and lifecycle.is_healthy and not lifecycle.closes_connections


def test_calls_that_come_twice_change_nothing_more() -> None:
    """A script repeats its call as the answer got lost."""
    lifecycle = Lifecycle(Stage.SERVING)
    for _ in range(2):
        assert lifecycle.evacuate().accepted and lifecycle.is_draining
    for _ in range(2):
        assert lifecycle.rejoin().accepted and lifecycle.is_healthy


def test_a_process_that_stops_takes_no_clients_back() -> None:
    """A rejoin crosses SIGTERM: the process ends, whatever operators ask."""
    lifecycle = Lifecycle(Stage.SERVING)
    lifecycle.evacuate()
    lifecycle.mark_stopping()
    assert not lifecycle.rejoin().accepted and not lifecycle.is_healthy
    assert not lifecycle.report_readiness().accepted
    assert lifecycle.evacuate().accepted


def test_a_superseded_process_speaks_for_the_newer_one_and_takes_no_calls() -> None:
    """Health checks reach the old process during an upgrade: the broker is up, but drains are the newer
    one's.
    """
    lifecycle = Lifecycle(Stage.SERVING)
    lifecycle.mark_superseded()
    assert lifecycle.is_healthy and lifecycle.closes_connections
    assert not lifecycle.evacuate().accepted and not lifecycle.rejoin().accepted
    lifecycle.mark_stopping()
    assert lifecycle.is_healthy  # the broker serves, if not this process


def test_a_process_takes_back_from_a_newer_one_that_died_unless_it_stops() -> None:
    """The newer process has died: the old one is in charge again, but not when it is ending itself."""
    lifecycle = Lifecycle(Stage.SERVING, is_superseded=True)
    lifecycle.mark_active_again()
    assert not lifecycle.is_superseded
    lifecycle = Lifecycle(Stage.STOPPING, is_superseded=True)
    lifecycle.mark_active_again()
    assert lifecycle.is_superseded


def test_a_stage_moves_by_its_table_alone() -> None:
    """The end is asked for before all is ready, or readiness comes again: a stage never goes back."""
    reached = {}
    for stage in Stage:
        for event, move in (("ready", Lifecycle.mark_serving), ("stop", Lifecycle.mark_stopping)):
            lifecycle = Lifecycle(stage)
            move(lifecycle)
            reached[stage, event] = lifecycle.stage
    assert reached == {
        (Stage.STARTING, "ready"): Stage.SERVING,
        (Stage.STARTING, "stop"): Stage.STOPPING,
        (Stage.SERVING, "ready"): Stage.SERVING,
        (Stage.SERVING, "stop"): Stage.STOPPING,
        (Stage.STOPPING, "ready"): Stage.STOPPING,
        (Stage.STOPPING, "stop"): Stage.STOPPING,
    }


@pytest.mark.parametrize(
    ("lifecycle", "line"),
    [
        (Lifecycle(), "starting"),
        (Lifecycle(Stage.SERVING, is_draining=True), "serving, drained"),
        (Lifecycle(Stage.STOPPING, is_superseded=True), "stopping, superseded"),
        (Lifecycle(Stage.SERVING, is_in_maintenance=True), "serving, in maintenance"),
    ],
)
def test_operators_read_the_state_in_the_words_of_their_page(lifecycle: Lifecycle, line: str) -> None:
    """Scripts match these lines: docs/operators/operations.md lists them."""
    assert lifecycle.report_readiness().state == line


# --- calls on sockets ----------------------------------------------------------------------------


async def call(port: int, data: bytes) -> tuple[int, bytes]:
    """Send bytes, read to the end: status and all that came."""
    async with asyncio.timeout(SOON_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        send_response = await reader.read()
        writer.close()
    return int(send_response.split(b" ")[1]), send_response


@asynccontextmanager
async def address(lifecycle: Lifecycle) -> AsyncIterator[tuple[int, OperatorApi]]:
    api = OperatorApi(lifecycle, lambda: None)
    server = await listen(("127.0.0.1", 0), api.connection)
    try:
        yield server.sockets[0].getsockname()[1], api
    finally:
        api.close()
        server.close()


CALLS = {
    "ready": (GOOD, 200),
    "in pieces of a query": (b"GET /api/ready?now=1 HTTP/1.1\r\nHost: x\r\n\r\n", 200),
    "a body": (b"POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", 200),
    "a chunked body": (
        b"POST /api/rejoin HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200,
    ),
    "unknown": (b"GET /api/stop HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    "the clients' own path": (b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    "wrong method": (b"GET /api/evacuate HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    "garbage": (b"\x16\x03\x01 what\r\n\r\n", 400),
    "a body of two lengths": (GET + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
    "another protocol": (b"GET /api/ready HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    "a long line": (b"GET /api/" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n", 431),
    "many fields": (GET + b"X-A: b\r\n" * 2_000, 431),
    "a long body": (POST + b"Content-Length: 90000\r\n\r\n" + b"x" * 90_000, 413),
}  # fmt: skip


@pytest.mark.parametrize("data, status", CALLS.values(), ids=CALLS.keys())
def test_a_call_is_answered_once_and_closed(data: bytes, status: int) -> None:
    """Good, wrong and hostile calls: each is answered once, and never leaves its connection open."""

    async def main() -> None:
        async with address(Lifecycle(Stage.SERVING)) as (port, _):
            got, send_response = await call(port, data)
            assert got == status, send_response
            assert send_response.count(b"HTTP/1.1") == 1 and b"Connection: close" in send_response
            assert (b"Allow: POST" in send_response) == (status == 405)

    asyncio.run(main())


def test_a_call_in_single_bytes_counts_once_it_is_whole_and_half_of_one_never() -> None:
    """A call trickles in, and another is cut off in the middle: half a call must not end a drain."""

    async def main() -> None:
        lifecycle = Lifecycle(Stage.SERVING)
        async with address(lifecycle) as (port, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            whole = b"POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nyes"
            for byte in whole[:-1]:
                writer.write(bytes([byte]))
                await writer.drain()
            await call(port, GOOD)  # all that was written has been read by now, or nearly
            assert not lifecycle.is_draining
            writer.write(whole[-1:])
            assert (await reader.read()).startswith(b"HTTP/1.1 200") and lifecycle.is_draining
            _, half = await asyncio.open_connection("127.0.0.1", port)
            half.write(b"POST /api/rejoin HTTP/1.1\r\nHost: x\r\n")
            half.close()
            await call(port, GOOD)
            assert lifecycle.is_draining

    asyncio.run(main())


def test_callers_that_say_nothing_never_keep_out_one_that_calls() -> None:
    """A monitor leaks connections until all are held: a drain must still get through at once."""

    async def main() -> None:
        async with address(Lifecycle(Stage.SERVING)) as (port, api):
            silent = []
            for number in range(MAX_CONNECTION_COUNT + 40):
                silent.append(await asyncio.open_connection("127.0.0.1", port))
                if number % 2:
                    silent[-1][1].write(b"GET /api/re")
                if number % 8 == 0:
                    assert (await call(port, GOOD))[0] == 200
            assert len(api._connections) <= MAX_CONNECTION_COUNT
            for _, writer in silent:
                writer.close()

    asyncio.run(main())


def test_half_a_call_is_ended_after_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller stops in the middle of a call: its connection is answered 408 and closed."""
    monkeypatch.setattr(operator_api, "REQUEST_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with address(Lifecycle(Stage.SERVING)) as (port, api):
            assert (await call(port, b"GET /api/ready HTTP/1.1\r\n"))[0] == 408
            async with asyncio.timeout(SOON_S):
                while api._connections:
                    await asyncio.sleep(0.01)

    asyncio.run(main())


def test_descriptors_of_callers_are_kept_from_clients() -> None:
    without, with_callers = (
        Limits.from_resources(384, 80),
        Limits.from_resources(384, 80, OPERATOR_DESCRIPTOR_COUNT),
    )
    taken = (
        without.max_client_connections
        + without.max_node_connections
        - with_callers.max_client_connections
        - with_callers.max_node_connections
    )
    assert taken >= 0.9 * OPERATOR_DESCRIPTOR_COUNT - 1


# --- the drain -----------------------------------------------------------------------------------


READY = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
EVACUATE, REJOIN = (b"POST /api/%s HTTP/1.1\r\nHost: x\r\n\r\n" % name for name in (b"evacuate", b"rejoin"))


def drain(scenario: Callable[[SocketBroker, int], Awaitable[None]], monkeypatch: pytest.MonkeyPatch) -> None:
    """Play on a daemon with an operators' address, whose drains are short."""
    monkeypatch.setattr(connection_table, "RETIRE_DELAY_S", 0.1)

    async def main(broker: SocketBroker) -> None:
        await scenario(broker, broker.daemon.listeners.operator_port())

    run_with_broker(main, operator=("127.0.0.1", 0))


async def healthy(broker: SocketBroker) -> bool:
    """What a new connection's health check hears."""
    return (await call(broker.port, READY.replace(b"Host", b"Connection: close\r\nHost")))[0] == 200


async def answered(client: socket.socket) -> bytes:
    """One answer on a connection that may stay open."""
    client.setblocking(False)
    async with asyncio.timeout(SOON_S):
        return await asyncio.get_running_loop().sock_recv(client, 65536)


def test_from_the_call_on_the_health_check_says_no_and_answers_end_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """From the moment of a drain no client is attracted or kept, and a rejoin turns that round."""

    async def scenario(broker: SocketBroker, port: int) -> None:
        kept = broker.connect()
        kept.sendall(READY)
        assert b"Connection: close" not in await answered(kept)
        assert await healthy(broker)
        assert (await call(port, EVACUATE))[0] == 200
        assert not await healthy(broker)
        kept.sendall(READY)
        answer_bytes = await broker.read(kept)  # to its end
        assert answer_bytes.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer_bytes
        assert (await call(port, GOOD))[0] == 200  # the process itself can serve
        assert (await call(port, REJOIN))[0] == 200
        assert await healthy(broker)

    drain(scenario, monkeypatch)


def test_a_drained_broker_serves_what_still_comes_and_no_connection_rests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clients are slow to hear of a drain: what they still send is served, idle connections are closed
    in order.
    """

    async def scenario(broker: SocketBroker, port: int) -> None:
        resting = [await broker.connect_in_state("/health/ready", "idle") for _ in range(20)]
        busy = broker.connect()
        busy.sendall(broker.request())
        line = await broker.next_request()
        await call(port, EVACUATE)
        late = broker.connect()
        late.sendall(broker.request())
        send_response(await broker.next_request())
        assert b"200 OK" in await broker.read(late)
        for client in resting:
            assert (await broker.read(client)).endswith(b"ready\n")  # to an end in order, no reset
        assert [len(broker.daemon.clients.in_state(state)) for state in ("silent", "idle", "busy")] == [
            0,
            0,
            1,
        ]
        send_response(line)
        assert b"200 OK" in await broker.read(busy)

    drain(scenario, monkeypatch)


def test_three_hundred_clients_that_never_stop_sending_are_all_sent_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clients that always have a next request would keep their connections for ever: a drain has to end."""

    async def scenario(broker: SocketBroker, port: int) -> None:
        crowd = [await broker.connect_in_state("/health/ready", "idle") for _ in range(300)]

        async def keep_sending(client: socket.socket) -> None:
            loop = asyncio.get_running_loop()
            client.setblocking(False)
            with suppress(ConnectionError):  # it goes on behind the end, as some clients do
                while await loop.sock_recv(client, 65536):
                    await loop.sock_sendall(client, READY)
                    await asyncio.sleep(0.002)

        senders = [asyncio.create_task(keep_sending(client)) for client in crowd]
        await call(port, EVACUATE)
        async with asyncio.timeout(3):
            await asyncio.gather(*senders)
            while len(broker.daemon.clients):
                await asyncio.sleep(0.01)

    drain(scenario, monkeypatch)


def test_a_client_that_pipelines_is_answered_once_and_sent_away(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends three requests at once to a drained broker: it must not be served on for all of them."""

    async def scenario(broker: SocketBroker, port: int) -> None:
        await call(port, EVACUATE)
        client = broker.connect()
        client.sendall(READY * 3)
        assert (await broker.read(client)).count(b"HTTP/1.1 ") == 1

    drain(scenario, monkeypatch)


def test_a_rejoin_within_the_drain_keeps_connections_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Operators change their mind within the drain: connections that it has not closed yet are kept."""

    async def scenario(broker: SocketBroker, port: int) -> None:
        client = await broker.connect_in_state("/health/ready", "idle")
        await call(port, EVACUATE)
        await call(port, REJOIN)
        await asyncio.sleep(0.3)  # beyond the time in which the drain would have ended it
        client.recv(65536)
        client.sendall(READY)
        assert (await answered(client)).startswith(b"HTTP/1.1 200")

    drain(scenario, monkeypatch)


def test_a_drain_outlasts_a_reload_and_a_stop_ends_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """A bad configuration is reloaded during a drain: the drain stays; SIGTERM is above a rejoin."""

    async def scenario(broker: SocketBroker, port: int) -> None:
        await call(port, EVACUATE)
        broker.daemon.reload({})  # LB_CONFIG can't be read: what is in force stays
        assert not await healthy(broker)
        stopping = asyncio.create_task(broker.stop())
        await asyncio.sleep(0)
        assert (await call(port, REJOIN))[0] == 409
        assert (await call(port, GOOD))[0] == 503
        await stopping

    drain(scenario, monkeypatch)


def test_a_drain_and_its_end_need_no_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    """The stand-in of discovery answers no call in any of these tests; here its watch has failed too."""

    async def scenario(broker: SocketBroker, port: int) -> None:
        assert broker.daemon.watch is not None
        await broker.daemon.watch.close()
        assert (await call(port, EVACUATE))[0] == 200 and not await healthy(broker)
        client = broker.connect()
        client.sendall(broker.request())
        send_response(await broker.next_request())
        assert b"200 OK" in await broker.read(client)
        assert (await call(port, REJOIN))[0] == 200 and await healthy(broker)

    drain(scenario, monkeypatch)


def test_an_address_that_is_taken_is_named_with_its_key() -> None:
    """Another program has the operators' address: the start ends with a line that names the key."""
    with socket.create_server(("127.0.0.1", 0)) as other, pytest.raises(BadConfigError, match="operator: "):
        run_with_broker(lambda broker: broker.wait_until_settled(), operator=other.getsockname())
