"""Guards against clients whose input takes long to parse, and so takes the event loop from all others."""

from __future__ import annotations

import asyncio
import functools
import itertools
import tempfile
from pathlib import Path

import pytest

from harriertide.engine.clock import sleep_until
from harriertide.http import client_connection
from harriertide.http.read_scheduler import (
    MIN_COUNTED_LINES,
    PERIOD_S,
    QUANTUM_LINES,
    SHARED_LINES,
    ReadScheduler,
)
from harriertide.lab.rigs.clients import DEADLINE_MS
from harriertide.lab.rigs.overload_run import OverloadCase, OverloadResult, play_overload
from tests.socket_broker import SocketBroker, receive_all, request_head, run_with_broker, send_response

LATE_ANSWER_S = DEADLINE_MS / 1000 + 0.5  # an answer after that counts as lost


class Reader:
    """A connection that records whether it is read."""

    def __init__(self) -> None:
        self.is_held = False

    def hold_reading(self) -> None:
        assert not self.is_held
        self.is_held = True

    def release_reading(self) -> None:
        assert self.is_held
        self.is_held = False


async def pass_periods(count: int) -> None:
    await sleep_until(asyncio.get_running_loop().time() + (count + 0.5) * PERIOD_S)


def test_ordinary_input_is_never_held() -> None:
    async def main() -> None:
        scheduler, reader = ReadScheduler(), Reader()
        for _ in range(10_000):
            scheduler.record(reader, MIN_COUNTED_LINES - 1)
        assert not reader.is_held and not scheduler.counts["held"]

    asyncio.run(main())


def test_a_connection_beyond_its_quantum_waits_for_the_next_period() -> None:
    async def main() -> None:
        scheduler, reader = ReadScheduler(), Reader()
        scheduler.record(reader, QUANTUM_LINES)
        assert not reader.is_held
        scheduler.record(reader, QUANTUM_LINES)
        assert reader.is_held
        await pass_periods(1)
        assert not reader.is_held
        scheduler.close()

    asyncio.run(main())


def test_connections_that_wait_share_a_part_of_the_time_in_the_order_in_which_they_came() -> None:
    async def main() -> None:
        scheduler, readers = ReadScheduler(), [Reader() for _ in range(20)]
        line_count = SHARED_LINES // 4
        for reader in readers:
            scheduler.record(reader, line_count)
        assert all(reader.is_held for reader in readers)
        scheduler.forget(readers[1])
        scheduler._begin_period()
        released = [number for number, reader in enumerate(readers) if not reader.is_held]
        assert released == [0, 2, 3, 4]
        scheduler.close()

    asyncio.run(main())


@functools.cache
def play_tiny_chunks(memory_mb: int) -> OverloadResult:
    """Play 700 clients with chunks of one byte; both tests below check the same play."""
    case = OverloadCase("chunks of one byte", memory_mb, sockets=1024, client_count=700, duration_s=4.0)
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play_overload(case, Path(folder)))


# Guards against clients that get no answer, or mostly refusals, beside 700 that send chunks of one byte.
# At 32 MB, where there are some 110 connections, also against their keeping all of these.
@pytest.mark.parametrize("memory_mb", [192, 32])
def test_hundreds_of_clients_with_tiny_chunks_leave_others_their_answers(memory_mb: int) -> None:
    result = play_tiny_chunks(memory_mb)
    assert result.honest_statuses[0] == 0
    assert result.honest_statuses[200] >= result.honest_statuses.total() / 2


# Guards against clients that wait for seconds beside them.
@pytest.mark.parametrize("memory_mb", [192, 32])
def test_hundreds_of_clients_with_tiny_chunks_make_no_answer_late(memory_mb: int) -> None:
    assert play_tiny_chunks(memory_mb).honest_latencies_s[-1] <= LATE_ANSWER_S


# Guards against a request that has arrived and is not read, as its connection waits, and is shut unanswered.
def test_a_request_that_was_not_read_in_time_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.3)

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Content-Length: 4\r\n", "PUT") + b"bo")
        async with asyncio.timeout(5):
            while not (reading := broker.daemon.clients.in_state("reading")):
                await asyncio.sleep(0.005)
        reading[0].hold_reading()
        client.sendall(b"dy")
        answer = await receive_all(client)
        assert b" 503 " in answer.splitlines()[0] and b"trying again is harmless" in answer
        assert broker.daemon.front.counts["refused_NotReadInTimeError"] == 1

    run_with_broker(scenario)


# Guards against ordinary requests that wait among costly ones because the process was not run for a moment
# while they were parsed: for 2 s, beside 700 clients with tiny chunks on a busy machine.
def test_ordinary_requests_never_wait_whatever_the_clock_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(broker: SocketBroker) -> None:
        loop = asyncio.get_running_loop()
        real_time = loop.time
        monkeypatch.setattr(loop, "time", lambda: real_time() + next(jumps) * 0.01)
        client = broker.connect()
        for _ in range(3):
            client.sendall(request_head(broker, "", "GET"))
            send_response(await broker.next_request())
            assert (await receive_all(client, b"ok")).endswith(b"ok")
            client.setblocking(True)
        assert not broker.daemon.clients.read_scheduler.counts["held"]

    jumps = itertools.count()
    run_with_broker(scenario)
