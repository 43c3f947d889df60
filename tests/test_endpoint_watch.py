"""The endpoint watch while discovery fails in various ways, in virtual time."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace

import orjson
import pytest

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.decide.derived import POLL_MAX_WAIT_US
from harriertide.engine.clock import Clock, sleep_until
from harriertide.engine.runtime import Runtime
from harriertide.lab.simulation import virtual_time
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.endpoint_watch import (
    CONNECT_TIMEOUT_S,
    HEAD_TIMEOUT_S,
    NOTIFICATION_DEADLINE_S,
    WATCH_SILENCE_S,
    EndpointWatch,
)
from tests.helpers import SETTINGS

EMPTY_LIST = b'{"seq":7,"whole":true,"hosts":[]}\n'
HOST = {"host": "n1", "dial": "127.0.0.1:1", "block": 0, "health": "up", "born_ms": 0}
DRAIN_AT_S = 20.0
FAILURES = ("503", "reset", "hangs", "ends", "stays", "trickles", "half an object and empty lines")
FAILURES += ("older changes", "a number out of bounds", "silent", "indented")


class SilentDiscovery:
    """Answers each call with an empty list or not at all, as listed, and then sends nothing more."""

    def __init__(self, answers_calls: list[bool], transfer_codings: bytes = b"chunked") -> None:
        self.answers_calls = answers_calls
        self.transfer_codings = transfer_codings
        self.call_times: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.call_times.append(round(asyncio.get_running_loop().time() - 1.0, 3))
        if self.answers_calls and self.answers_calls.pop(0):
            chunk = b"%x\r\n%s\r\n" % (len(EMPTY_LIST), EMPTY_LIST)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: %b\r\n\r\n" % self.transfer_codings + chunk)
        with suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


def run_watch(
    answers_calls: list[bool], seconds: float, transfer_codings: bytes = b"chunked"
) -> tuple[list[float], list[str]]:
    """Return the times of the calls, and the kinds of the updates that the core received, in order."""
    update_kinds: list[str] = []

    def post(event: ev.Event) -> None:
        assert isinstance(event, ev.EndpointsUpdated)
        update_kinds.append(event.update.kind)

    async def main() -> list[float]:
        discovery = SilentDiscovery(answers_calls, transfer_codings)
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        watch = EndpointWatch(f"127.0.0.1:{port}", EndpointDirectory({}), post)
        watch.open()
        await sleep_until(asyncio.get_running_loop().time() + seconds)
        await watch.close()
        server.close()
        return discovery.call_times

    return virtual_time.run(main()), update_kinds


@pytest.mark.parametrize("transfer_codings", [b"gzip, chunked", b"chunked, gzip", b"chunked, chunked"])
def test_a_list_in_a_transfer_coding_is_a_failed_call(transfer_codings: bytes) -> None:
    """Guards against coded bytes that are taken for a list, or for one that goes on."""
    assert run_watch([True], 0.1, transfer_codings)[1] == ["failed"]


def test_a_silent_watch_is_reopened_in_time_without_the_core() -> None:
    """Discovery goes silent on an open watch, and may have a drain to report.

    The watch is reopened immediately, without backoff, and the decision module does not count a failure.
    """
    call_times, update_kinds = run_watch([True, True, True], 7.0)
    assert (
        len(call_times) == 3
        and call_times[1] - call_times[0] < NOTIFICATION_DEADLINE_S - 1.0
        and call_times[2] - call_times[1] < NOTIFICATION_DEADLINE_S - 1.0
    )
    assert update_kinds == ["full"] * 3


def test_an_unanswered_call_is_repeated_once_and_then_left_to_the_cores_backoff() -> None:
    """Discovery answers no call. Immediate retries by hundreds of brokers would keep discovery overloaded."""
    call_times, update_kinds = run_watch([False, False], 60.0)
    assert len(call_times) == 2 and call_times[1] - call_times[0] < NOTIFICATION_DEADLINE_S - 1.0
    assert update_kinds == ["failed"]
    call_times, update_kinds = run_watch([False, True, False], 60.0)
    # a watch that has recovered may fall silent again
    assert len(call_times) == 3 and update_kinds == [
        "full",
        "failed",
    ]


def encode_page(seq: int, health: str, whole: bool = True) -> bytes:
    return orjson.dumps({"seq": seq, "whole": whole, "hosts": [{**HOST, "health": health}]})


class FaultyDiscovery:
    """Discovery that fails in a given way until a given time, then works and reports a drain.

    Connections that were opened before that time keep their fault: a hanging one continues to hang.
    """

    def __init__(self, failure: str, until_s: float) -> None:
        self.failure, self.fails_until_s = failure, until_s
        self.started_at = asyncio.get_running_loop().time()
        self.call_count = 0

    def elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self.started_at

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.call_count += 1
            is_faulty = self.elapsed_s() < self.fails_until_s
            # the first call succeeds, so that there is a watch that can fail
            if is_faulty and self.call_count > 1 and self.failure in ("503", "reset", "hangs"):
                if self.failure == "503":
                    await asyncio.sleep(1.0)  # the call waited in a queue
                    writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
                elif self.failure == "reset":
                    writer.transport.abort()
                else:
                    await asyncio.Event().wait()
                return
            state, seq = ("up", 7) if is_faulty else ("draining", 8)
            if b"watch=1" not in head:
                body = encode_page(seq, state)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self._watch(writer, seq, state, is_faulty)

    async def _watch(self, writer: asyncio.StreamWriter, seq: int, state: str, is_faulty: bool) -> None:
        def write_chunk(data: bytes) -> None:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

        first = encode_page(seq, state)
        if self.failure == "indented":
            first = orjson.dumps(orjson.loads(first), option=orjson.OPT_INDENT_2)
        write_chunk(first + b"\n")
        if not is_faulty:
            while True:
                await asyncio.sleep(2.0)
                write_chunk(b"\n")
        if self.failure in ("503", "reset", "hangs", "ends", "stays"):
            await asyncio.sleep(0.5)
            if self.failure == "stays":
                await sleep_until(self.started_at + self.fails_until_s)
                write_chunk(encode_page(8, "draining", whole=False) + b"\n")
            elif self.failure == "ends":
                writer.write(b"0\r\n\r\n")
            else:
                writer.transport.abort()
        elif self.failure == "trickles":
            for byte in encode_page(8, "draining"):
                write_chunk(bytes([byte]))
                await asyncio.sleep(0.5)
        elif self.failure == "half an object and empty lines":
            write_chunk(b'{"seq":8,\n')
            while True:
                await asyncio.sleep(1.0)
                write_chunk(b"\n")
        elif self.failure == "older changes":
            while True:
                await asyncio.sleep(1.0)
                write_chunk(encode_page(3, "up", whole=False) + b"\n")
        elif self.failure == "a number out of bounds":
            write_chunk(b'{"seq":1e999,"whole":true,"hosts":[]}\n')
        await asyncio.Event().wait()  # the failures "silent" and "indented"


class BrokerProcess:
    """The core and the endpoint watch of a broker process, and the discovery servers that it calls."""

    def __init__(self, broker_count: int, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = replace(SETTINGS, broker_count=broker_count, polls_endpoint_list=True)
        self.core = Reducer(self.settings, seed)
        self.runtime = Runtime(self.core, Clock(self.loop))
        self.servers: list[asyncio.Server] = []

    async def serve(self, discovery: FaultyDiscovery) -> str:
        server = await asyncio.start_server(discovery.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def watch(self, discovery: FaultyDiscovery) -> EndpointWatch:
        watch = EndpointWatch(await self.serve(discovery), EndpointDirectory({}), self.runtime.post)
        self.runtime.watch_endpoints = watch.open
        self.runtime.post(ev.EndpointsUpdated(api.EndpointUpdate("cached", (api.NodeEntry("n1", 0),))))
        await sleep_until(self.loop.time() + 0.01)
        return watch

    async def wait_for_drain(self, deadline: float) -> float:
        """Wait until the core knows of the drain; return the time of the loop's clock."""
        while self.loop.time() < deadline and self.core.nodes()["n1"].state == "live":
            await sleep_until(self.loop.time() + 0.05)
        return self.loop.time()

    async def close(self, watch: EndpointWatch) -> None:
        await watch.close()
        await self.runtime.close(self.loop.time())
        for server in self.servers:
            server.close()


@pytest.mark.parametrize("broker_count", [4, 200])
@pytest.mark.parametrize("failure", FAILURES)
def test_a_drain_is_received_in_time_whatever_failed_before(failure: str, broker_count: int) -> None:
    """Discovery fails in one of many ways, then recovers and drains a node.

    The seeds spread the time of the drain over the intervals between polls.
    """

    async def measure_delay(seed: int) -> float:
        process = BrokerProcess(broker_count, seed)
        discovery = FaultyDiscovery(failure, DRAIN_AT_S + seed * 0.37)
        watch = await process.watch(discovery)
        drain_at = discovery.started_at + discovery.fails_until_s
        drained_at = await process.wait_for_drain(drain_at + 2 * NOTIFICATION_DEADLINE_S)
        await process.close(watch)
        return drained_at - drain_at

    assert max(virtual_time.run(measure_delay(seed)) for seed in range(12)) < NOTIFICATION_DEADLINE_S


@pytest.mark.parametrize("broker_count", [4, 200])
@pytest.mark.parametrize("failure", ["503", "reset", "hangs"])
def test_a_drain_is_received_in_time_after_discovery_moves_during_a_call(
    failure: str, broker_count: int
) -> None:
    """A new configuration names another discovery, whose drain must be known within 4 s.

    The previous discovery fails, and so does the first call to the new one.
    """

    async def measure_delay(seed: int) -> float:
        process = BrokerProcess(broker_count, seed)
        watch = await process.watch(FaultyDiscovery(failure, 1e6))
        await sleep_until(process.loop.time() + DRAIN_AT_S + seed * 0.37)
        moved_at = process.loop.time()
        new_discovery = FaultyDiscovery(failure, 0.5)
        new_discovery.call_count = 1  # makes the first call fail as well
        process.runtime.post(ev.SettingsChanged(process.settings))
        watch.change_address(await process.serve(new_discovery))
        drained_at = await process.wait_for_drain(moved_at + 2 * NOTIFICATION_DEADLINE_S)
        await process.close(watch)
        return drained_at - moved_at

    assert max(virtual_time.run(measure_delay(seed)) for seed in range(12)) < 4.0


def test_the_longest_delays_of_a_change_add_up_to_less_than_its_deadline() -> None:
    call_s, answer_s = CONNECT_TIMEOUT_S + HEAD_TIMEOUT_S, 0.5
    assert WATCH_SILENCE_S + call_s + answer_s <= NOTIFICATION_DEADLINE_S
    # discovery recovered right after a failed call
    assert POLL_MAX_WAIT_US / 1e6 + call_s + answer_s <= NOTIFICATION_DEADLINE_S
