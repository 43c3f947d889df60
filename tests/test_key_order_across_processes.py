"""Requests of one key keep their order where two or three processes of a broker take them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from harriertide.cli.daemon import Daemon
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.settings import from_wire, names_from_wire
from harriertide.lifecycle import open_keys
from harriertide.lifecycle.open_keys import OpenKeysPublisher, OpenKeysRecord, OpenKeysWatcher
from harriertide.lifecycle.process_registry import ProcessRegistry
from tests.helpers import SETTINGS, START_US, TWO_NODES, BrokerUnderTest, rejections, started_attempts
from tests.scenario import HttpConnection
from tests.socket_broker import SocketBroker, receive_all, run_with_broker, send_response
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture
from tests.test_net import WIRE
from tests.test_upgrade import PATIENCE_S, Platform, kill, on_platform

QUIET_S = 0.3
ORDERED_WIRE: dict[str, Any] = {
    **WIRE,
    "classes": [{**WIRE["classes"][0], "inOrder": True}],
    "safety": {**WIRE["safety"], "keyQuietUs": int(QUIET_S * 1e6)},
}
KEY, OTHER_KEY = "00000000000000a1", "00000000000000a2"
FATAL_TOKEN = -1
ORDERED_READS = 3  # the class of tests.helpers whose requests keep their order
SHORT_S = 0.1  # longer than all intervals of the hand-over together


# --- whole processes -----------------------------------------------------------------------------


class OrderedPlatform:
    """A platform whose one request class is ordered, and the requests that its node has got."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self._writers: list[asyncio.StreamWriter] = []  # kept, as a writer closes when it is collected

    async def process(self) -> Daemon:
        return await self.platform.process(
            settings=from_wire(ORDERED_WIRE), names=names_from_wire(ORDERED_WIRE), raw_settings=ORDERED_WIRE
        )

    async def send(self, key: str, budget_ms: int = 1500) -> asyncio.StreamReader:
        """Send a request on a connection of its own."""
        reader, writer = await self.platform.client()
        self._writers.append(writer)
        self.write(writer, key, budget_ms)
        return reader

    def write(self, writer: asyncio.StreamWriter, key: str, budget_ms: int = 1500) -> None:
        request = self.platform.request(budget_ms)
        writer.write(request.replace(b"GET /api ", b"GET /api?key=%b " % key.encode()))

    async def at_node(self) -> HttpConnection:
        async with asyncio.timeout(PATIENCE_S):
            return (await self.platform.box.requests.get())[3]

    async def is_node_idle_for(self, time_s: float) -> bool:
        await asyncio.sleep(time_s)
        return self.platform.box.requests.empty()


def on_ordered_platform(
    course: Callable[[OrderedPlatform], Awaitable[None]], folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run(platform: Platform) -> None:
        await course(OrderedPlatform(platform))

    on_platform(run, folder, monkeypatch)


async def status_of(reader: asyncio.StreamReader) -> int:
    async with asyncio.timeout(PATIENCE_S):
        return int((await reader.readuntil(b"\r\n")).split()[1])


def test_a_request_waits_for_those_of_its_key_that_an_older_process_has_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two processes of a broker that send requests of one key at once, after an upgrade."""

    async def course(platform: OrderedPlatform) -> None:
        await platform.process()
        first, second = await platform.send(KEY), await platform.send(KEY)
        first_at_node = await platform.at_node()
        await platform.process()
        third, other = await platform.send(KEY), await platform.send(OTHER_KEY)
        send_response(await platform.at_node())
        assert await status_of(other) == 200  # a key that the old process does not have waits for nothing
        assert await platform.is_node_idle_for(SHORT_S)
        send_response(first_at_node)
        second_at_node = await platform.at_node()
        assert await platform.is_node_idle_for(SHORT_S)
        send_response(second_at_node)
        send_response(await platform.at_node())
        assert [await status_of(each) for each in (first, second, third)] == [200, 200, 200]

    on_ordered_platform(course, tmp_path, monkeypatch)


def test_a_superseded_process_refuses_further_requests_of_ordered_classes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a kept connection of the old process that brings a request of a key the new one runs."""

    async def course(platform: OrderedPlatform) -> None:
        await platform.process()
        reader, writer = await platform.platform.client()
        platform.write(writer, KEY)
        send_response(await platform.at_node())
        assert await status_of(reader) == 200
        await reader.readuntil(b"ok")
        await platform.process()
        await platform.send(KEY)
        at_node = await platform.at_node()
        platform.write(writer, KEY)
        assert await status_of(reader) == 503
        assert b"Connection: close" in await reader.readuntil(b"\r\n\r\n")
        assert platform.platform.box.requests.empty()
        send_response(at_node)

    on_ordered_platform(course, tmp_path, monkeypatch)


@pytest.mark.parametrize("dies", ["before the upgrade", "after the upgrade"])
def test_a_key_is_quiet_after_an_older_process_is_killed_with_a_request_out(
    dies: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node may still run what a killed process has sent: the quiet time counts from its end."""

    async def course(platform: OrderedPlatform) -> None:
        old = await platform.process()
        await platform.send(KEY)
        await platform.at_node()
        if dies == "before the upgrade":
            kill(old)
        await platform.process()
        if dies == "after the upgrade":
            kill(old)
        await platform.send(KEY)
        assert await platform.is_node_idle_for(QUIET_S - SHORT_S)
        await platform.at_node()

    on_ordered_platform(course, tmp_path, monkeypatch)


def test_a_key_is_quiet_after_the_newer_process_is_killed_and_the_older_one_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node may still run what the killed newer process has sent, as the older one takes clients again."""

    async def course(platform: OrderedPlatform) -> None:
        old = await platform.process()
        new = await platform.process()
        await platform.send(KEY)
        await platform.at_node()
        kill(new)
        async with asyncio.timeout(PATIENCE_S):
            while not old.listeners.accepts_clients:
                await asyncio.sleep(0.005)
        await platform.send(KEY)
        assert await platform.is_node_idle_for(QUIET_S - SHORT_S)
        await platform.at_node()

    on_ordered_platform(course, tmp_path, monkeypatch)


def test_a_third_process_waits_for_the_first_one_too(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Two upgrades follow each other: the first process still has a request of the key out."""

    async def course(platform: OrderedPlatform) -> None:
        await platform.process()
        await platform.send(KEY)
        first_at_node = await platform.at_node()
        second = await platform.process()
        await platform.send(KEY)
        await platform.process()
        await platform.send(KEY)
        assert await platform.is_node_idle_for(SHORT_S)
        send_response(first_at_node)
        second_at_node = await platform.at_node()
        assert second.core.open_request_count() == 1
        assert await platform.is_node_idle_for(SHORT_S)
        send_response(second_at_node)
        send_response(await platform.at_node())

    on_ordered_platform(course, tmp_path, monkeypatch)


def test_a_held_request_is_answered_at_its_deadline(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The older process keeps the key for longer than the held request may wait."""

    async def course(platform: OrderedPlatform) -> None:
        await platform.process()
        await platform.send(KEY)
        at_node = await platform.at_node()
        await platform.process()
        held = await platform.send(KEY, budget_ms=200)
        async with asyncio.timeout(0.3):
            assert await status_of(held) == 503
        send_response(at_node)

    on_ordered_platform(course, tmp_path, monkeypatch)


def test_an_orderly_end_leaves_nothing_to_wait_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, short_shutdown: None
) -> None:
    """A process has ended with all its requests done: the next start serves at once."""

    async def course(platform: OrderedPlatform) -> None:
        old = await platform.process()
        reader = await platform.send(KEY)
        send_response(await platform.at_node())
        assert await status_of(reader) == 200
        await old.stop()
        await platform.process()
        await platform.send(KEY)
        async with asyncio.timeout(SHORT_S):
            send_response(await platform.at_node())

    on_ordered_platform(course, tmp_path, monkeypatch)


# --- one process ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "response",
    [b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\nxx", b"\x00\xff no answer\r\n\r\n"],
    ids=["not complete at the deadline", "malformed"],
)
def test_a_key_is_quiet_after_a_response_that_the_broker_gives_up(response: bytes) -> None:
    """Guards against two requests of one key at once: the node may still run the first, as after a reset."""

    async def scenario(broker: SocketBroker) -> None:
        def send(budget_ms: int) -> socket.socket:
            client = broker.connect()
            request = broker.request().replace(b"Budget-Ms: 1500", b"Budget-Ms: %d" % budget_ms)
            client.sendall(request.replace(b"GET /api ", b"GET /api?key=%b " % KEY.encode()))
            return client

        first = send(budget_ms=100)
        (await broker.next_request()).writer.write(response)
        assert b" 502 " in (await receive_all(first, until=b"failed\n"))[:15]
        second = send(budget_ms=1500)
        await asyncio.sleep(QUIET_S - SHORT_S)
        assert broker.node.requests.empty()
        send_response(await broker.next_request())
        assert b" 200 " in (await receive_all(second, until=b"ok"))[:15]

    not_repeated = {**ORDERED_WIRE["classes"][0], "effect": "at_most_once"}
    run_with_broker(scenario, wire={**ORDERED_WIRE, "classes": [not_repeated]})


# --- the files between processes -----------------------------------------------------------------


LONGEST_REQUEST_S = 0.2
SHORT_QUIET_S = 0.1


def watch(registry: ProcessRegistry) -> tuple[OpenKeysWatcher, list[OpenKeysRecord]]:
    told: list[OpenKeysRecord] = []
    return OpenKeysWatcher(registry, lambda: LONGEST_REQUEST_S, lambda: SHORT_QUIET_S, told.append), told


async def held_time_s(watcher: OpenKeysWatcher, epoch: int) -> float:
    """How long the keys of a process are held."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    watcher.hold_for([epoch])
    async with asyncio.timeout(PATIENCE_S):
        while not watcher.held.is_finished:
            await asyncio.sleep(0.005)
    return loop.time() - start


@pytest.mark.parametrize("data", [None, b"", b"harriertide keys 2\n", open_keys.MAGIC + b"torn"])
def test_every_key_is_held_where_the_older_process_tells_nothing_that_can_be_read(
    data: bytes | None, tmp_path: Path
) -> None:
    """Guards against an order that is lost with a torn file, and against keys that are held for good."""
    old, new = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    if data is not None:
        old.write_open_keys(data)

    async def course() -> None:
        watcher, told = watch(new)
        time_s = await held_time_s(watcher, old.epoch)
        assert told[0].keys is None
        assert time_s == pytest.approx(LONGEST_REQUEST_S + SHORT_QUIET_S, abs=0.1)

    asyncio.run(course())


def test_keys_are_held_as_the_older_process_tells_until_it_has_finished_them(tmp_path: Path) -> None:
    """A key is released as soon as it is finished, the others stay held."""
    old, new = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)

    async def course() -> None:
        until_s = asyncio.get_running_loop().time() + PATIENCE_S
        left = [frozenset({"a", "b"}), frozenset({"b"}), frozenset[str]()]
        publisher = OpenKeysPublisher(old, lambda: OpenKeysRecord(left[0], until_s))
        publisher.start()
        watcher, told = watch(new)
        watcher.hold_for([old.epoch])
        async with asyncio.timeout(PATIENCE_S):
            while len(left) > 1:
                await asyncio.sleep(2 * open_keys.CHECK_INTERVAL_S + SHORT_S)
                assert told[-1].keys == left.pop(0)
            while not watcher.held.is_finished:
                await asyncio.sleep(0.005)

    asyncio.run(course())


def test_a_process_that_stands_still_holds_its_keys_no_longer_than_their_deadlines(tmp_path: Path) -> None:
    """The older process is stopped for good: nothing that it has taken outlasts its deadline."""
    old, new = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)

    async def course() -> None:
        until_s = asyncio.get_running_loop().time() + SHORT_S
        old.write_open_keys(open_keys.encode(OpenKeysRecord(frozenset({"a"}), until_s)))
        watcher, _ = watch(new)
        assert await held_time_s(watcher, old.epoch) == pytest.approx(SHORT_S, abs=0.08)

    asyncio.run(course())


# --- a decision module that failed ---------------------------------------------------------------


class FailingScheduler(Scheduler):
    """Fails once at a timer event."""

    has_failed = False

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        if api.TimerFired(FATAL_TOKEN) in events and not FailingScheduler.has_failed:
            FailingScheduler.has_failed = True
            raise RuntimeError("a fault of the broker itself")
        return super().decide(now_us, events)


def test_a_key_is_held_where_the_decision_module_fails_with_a_request_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests of one key at once: the replaced module does not know the open attempts."""
    monkeypatch.setattr(FailingScheduler, "has_failed", False)
    core = Reducer(SETTINGS, 1, FailingScheduler)
    deadline_at_us = START_US + 500_000

    def started(now_us: int, event: ev.Event) -> list[str]:
        effects = core.step(now_us, [event])
        return [each.request_id for each in effects if isinstance(each, ev.StartAttempt)]

    def arrival(request_id: str, deadline_at_us: int) -> ev.RequestArrived:
        request = api.Arrival(request_id, ORDERED_READS, 0, "v", 0, deadline_at_us, key="k")
        return ev.RequestArrived(request)

    core.step(START_US, [ev.EndpointsUpdated(api.EndpointUpdate("cached", TWO_NODES))])
    assert started(START_US, arrival("r1", deadline_at_us)) == ["r1"]
    core.step(START_US + 1_000, [ev.TimerFired(FATAL_TOKEN)])
    assert core.counts["module_faults"] == 1
    over_at_us = deadline_at_us + SETTINGS.key_quiet_us
    assert started(over_at_us - 10_000, arrival("r2", over_at_us + 2_000_000)) == []
    assert started(over_at_us + 10_000, ev.TimerFired(0)) == ["r2"]


# --- decisions -----------------------------------------------------------------------------------


def test_held_keys_wait_and_others_of_their_shard_do_not() -> None:
    """A held request must not stand in its shard's queue, where those behind it would wait with it."""
    broker = BrokerUnderTest()
    broker.handle(api.KeysHeld(frozenset({"k"}), broker.now_us + 1_000_000))
    assert not started_attempts(broker.request(ORDERED_READS, key="k"))
    assert started_attempts(broker.request(ORDERED_READS, key="other"))
    assert started_attempts(broker.request(0, key="k"))  # its class has no order
    broker.finish_attempt("r2")
    broker.finish_attempt("r3")
    released = broker.handle(api.KeysHeld(frozenset(), 0), after_us=50_000)
    assert [each.request_id for each in started_attempts(released)] == ["r1"]


def test_a_hold_that_is_prolonged_lasts_until_its_later_time() -> None:
    """Guards against a request that starts at the end of the first hold, as it came before the second."""
    broker = BrokerUnderTest()
    broker.handle(api.KeysHeld(None, broker.now_us + 50_000))
    assert not started_attempts(broker.request(ORDERED_READS, key="k"))
    broker.handle(api.KeysHeld(frozenset({"k"}), broker.now_us + 150_000))
    assert not started_attempts(broker.advance(140_000, 10_000))
    assert started_attempts(broker.advance(20_000, 10_000))


@pytest.mark.parametrize("held", [None, frozenset({"other"})])
def test_what_a_process_holds_for_others_is_open_at_it_too(held: frozenset[str] | None) -> None:
    """A third process waits for the first one through the second, and for attempts of a failed module."""
    broker = BrokerUnderTest()
    broker.request(ORDERED_READS, key="k")
    until_us = broker.now_us + 5_000_000
    broker.handle(api.KeysHeld(held, until_us))
    open_keys = broker.scheduler.key_queues.open_keys()
    assert open_keys.keys == (None if held is None else {"k", "other"})
    assert open_keys.until_us == until_us


def test_a_hold_ends_at_its_time_where_nobody_ends_it() -> None:
    """Guards against a key that is held for good, as no event releases it."""
    broker = BrokerUnderTest()
    broker.handle(api.KeysHeld(None, broker.now_us + 100_000))
    assert not started_attempts(broker.request(ORDERED_READS, key="k"))
    assert not started_attempts(broker.advance(90_000, 10_000))
    assert started_attempts(broker.advance(20_000, 10_000))


def test_the_keys_of_a_superseded_process_are_open_until_their_requests_are_over() -> None:
    """A quiet period belongs to it: the node may still run the attempt before it."""
    broker = BrokerUnderTest()
    broker.request(ORDERED_READS, key="k")
    broker.handle(api.SettingsChanged(broker.settings.superseded()))
    assert [each.reason for each in rejections(broker.request(ORDERED_READS, key="k"))] == ["superseded"]
    broker.finish_attempt("r1", "cancelled", is_final=True)
    keys = broker.scheduler.key_queues
    assert keys.open_keys().keys == {"k"}
    assert keys.open_keys().until_us >= broker.now_us + broker.settings.key_quiet_us
    broker.advance(broker.settings.key_quiet_us + 50_000)
    assert keys.open_keys().keys == frozenset()
