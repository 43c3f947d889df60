"""A discovery that fails in every way, in virtual time: who asks again, when, and when a drain is told."""

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
from harriertide.engine.clock import Clock, until
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
from harriertide.platform.json_stream import JsonObjectStream
from tests.helpers import SETTINGS

LIST = b'{"seq":7,"whole":true,"hosts":[]}\n'


class Silent:
    """Answers as many calls as it is told to with a list, and then says nothing on them."""

    def __init__(self, answers: list[bool]) -> None:
        self.answers = answers
        self.asked: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.asked.append(round(asyncio.get_running_loop().time() - 1.0, 3))
        if self.answers and self.answers.pop(0):
            chunk = b"%x\r\n%s\r\n" % (len(LIST), LIST)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        with suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


def course(answers: list[bool], seconds: float) -> tuple[list[float], list[str]]:
    """When it was asked, and what the core was told, in order."""
    told: list[str] = []

    def post(event: ev.Event) -> None:
        assert isinstance(event, ev.EndpointsUpdated)
        told.append(event.update.kind)

    async def main() -> list[float]:
        silent = Silent(answers)
        server = await asyncio.start_server(silent.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        watch = EndpointWatch(f"127.0.0.1:{port}", EndpointDirectory({}), post)
        watch.open()
        await until(asyncio.get_running_loop().time() + seconds)
        await watch.close()
        server.close()
        return silent.asked

    return virtual_time.run(main()), told


def test_a_watch_that_falls_silent_is_opened_anew_in_time_and_without_the_core() -> None:
    """Discovery goes silent on an open watch.

    A drain may wait there: the watch is opened again at once, with no backoff, and the decision module does
    not count it as a failure.
    """
    asked, told = course([True, True, True], 7.0)
    assert (
        len(asked) == 3
        and asked[1] - asked[0] < NOTIFICATION_DEADLINE_S - 1.0
        and asked[2] - asked[1] < NOTIFICATION_DEADLINE_S - 1.0
    )
    assert told == ["full"] * 3


def test_a_call_without_an_answer_is_made_again_once_and_then_the_core_says_when() -> None:
    """Guards against hundreds of brokers that press a discovery which answers nobody."""
    asked, told = course([False, False], 60.0)
    assert len(asked) == 2 and asked[1] - asked[0] < NOTIFICATION_DEADLINE_S - 1.0
    assert told == ["failed"]
    asked, told = course([False, True, False], 60.0)
    assert len(asked) == 3 and told == ["full", "failed"]  # what has spoken again may fall silent again


# --- every way to fail, and then a drain ---------------------------------------------------------

HOST = {"host": "n1", "dial": "127.0.0.1:1", "block": 0, "health": "up", "born_ms": 0}
DRAIN_S = 20.0


def page(seq: int, health: str, whole: bool = True) -> bytes:
    return orjson.dumps({"seq": seq, "whole": whole, "hosts": [{**HOST, "health": health}]})


class Faulty:
    """Discovery, in one way of failing until a moment, and in order from then on, with a drain.

    Connections that were opened before stay as they were then: what hangs goes on hanging.
    """

    def __init__(self, way: str, until_s: float) -> None:
        self.way, self.until = way, until_s
        self.begun = asyncio.get_running_loop().time()
        self.calls = 0

    def now(self) -> float:
        return asyncio.get_running_loop().time() - self.begun

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            faulty = self.now() < self.until
            # the first watch of all comes up, so that there is one to break
            if faulty and self.calls > 1 and self.way in ("503", "reset", "hangs"):
                if self.way == "503":
                    await asyncio.sleep(1.0)  # it waited in the queue
                    writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
                elif self.way == "reset":
                    writer.transport.abort()
                else:
                    await asyncio.Event().wait()
                return
            state, seq = ("up", 7) if faulty else ("draining", 8)
            if b"watch=1" not in head:
                body = page(seq, state)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self._watch(writer, seq, state, faulty)

    async def _watch(self, writer: asyncio.StreamWriter, seq: int, state: str, faulty: bool) -> None:
        def chunk(data: bytes) -> None:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

        first = page(seq, state)
        if self.way == "indented":
            first = orjson.dumps(orjson.loads(first), option=orjson.OPT_INDENT_2)
        chunk(first + b"\n")
        if not faulty:
            while True:
                await asyncio.sleep(2.0)
                chunk(b"\n")
        if self.way in ("503", "reset", "hangs", "ends", "stays"):
            await asyncio.sleep(0.5)
            if self.way == "stays":
                await until(self.begun + self.until)
                chunk(page(8, "draining", whole=False) + b"\n")
            elif self.way == "ends":
                writer.write(b"0\r\n\r\n")
            else:
                writer.transport.abort()
        elif self.way == "trickles":
            for byte in page(8, "draining"):
                chunk(bytes([byte]))
                await asyncio.sleep(0.5)
        elif self.way == "half an object and empty lines":
            chunk(b'{"seq":8,\n')
            while True:
                await asyncio.sleep(1.0)
                chunk(b"\n")
        elif self.way == "older changes":
            while True:
                await asyncio.sleep(1.0)
                chunk(page(3, "up", whole=False) + b"\n")
        elif self.way == "a number out of bounds":
            chunk(b'{"seq":1e999,"whole":true,"hosts":[]}\n')
        await asyncio.Event().wait()  # "silent", and "indented"


WAYS = ("503", "reset", "hangs", "ends", "stays", "trickles", "half an object and empty lines")
WAYS += ("older changes", "a number out of bounds", "silent", "indented")


class Place:
    """A broker's core and watch, as one process has them, with discovery at an address."""

    def __init__(self, heads: int, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = replace(SETTINGS, broker_count=heads, polls_endpoint_list=True)
        self.core = Reducer(self.settings, seed)
        self.runtime = Runtime(self.core, Clock(self.loop))
        self.servers: list[asyncio.Server] = []

    async def serve(self, faulty: Faulty) -> str:
        server = await asyncio.start_server(faulty.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def watch(self, faulty: Faulty) -> EndpointWatch:
        watch = EndpointWatch(await self.serve(faulty), EndpointDirectory({}), self.runtime.post)
        self.runtime.watch_endpoints = watch.open
        self.runtime.post(ev.EndpointsUpdated(api.EndpointUpdate("cached", (api.NodeEntry("n1", 0),))))
        await until(self.loop.time() + 0.01)
        return watch

    async def told(self, end: float) -> float:
        """When the drain was told, by the loop's clock."""
        while self.loop.time() < end and self.core.nodes()["n1"].state == "live":
            await until(self.loop.time() + 0.05)
        return self.loop.time()

    async def close(self, watch: EndpointWatch) -> None:
        await watch.close()
        await self.runtime.close(self.loop.time())
        for server in self.servers:
            server.close()


@pytest.mark.parametrize("heads", [4, 200])
@pytest.mark.parametrize("way", WAYS)
def test_a_drain_is_told_in_time_whatever_failed_before(way: str, heads: int) -> None:
    """Whatever calls came to before: with the drain's moment drawn over the waits between them."""

    async def play(seed: int) -> float:
        place = Place(heads, seed)
        faulty = Faulty(way, DRAIN_S + seed * 0.37)
        watch = await place.watch(faulty)
        due = faulty.begun + faulty.until
        told = await place.told(due + 2 * NOTIFICATION_DEADLINE_S)
        await place.close(watch)
        return told - due

    assert max(virtual_time.run(play(seed)) for seed in range(12)) < NOTIFICATION_DEADLINE_S


@pytest.mark.parametrize("heads", [4, 200])
@pytest.mark.parametrize("way", ["503", "reset", "hangs"])
def test_discovery_that_moves_while_a_call_is_out_is_heard_in_time(way: str, heads: int) -> None:
    """A new configuration names another one; what that has to tell counts 4 s later. The old one fails, and
    the first call to the new one does too."""

    async def play(seed: int) -> float:
        place = Place(heads, seed)
        watch = await place.watch(Faulty(way, 1e6))
        await until(place.loop.time() + DRAIN_S + seed * 0.37)
        moved = place.loop.time()
        fresh = Faulty(way, 0.5)
        fresh.calls = 1  # the first is to fail as well
        place.runtime.post(ev.SettingsChanged(place.settings))
        watch.change_address(await place.serve(fresh))
        told = await place.told(moved + 2 * NOTIFICATION_DEADLINE_S)
        await place.close(watch)
        return told - moved

    assert max(virtual_time.run(play(seed)) for seed in range(12)) < 4.0


def test_the_longest_ways_to_hear_of_a_change_end_in_time() -> None:
    call, answer = CONNECT_TIMEOUT_S + HEAD_TIMEOUT_S, 0.5
    assert WATCH_SILENCE_S + call + answer <= NOTIFICATION_DEADLINE_S
    assert (
        POLL_MAX_WAIT_US / 1e6 + call + answer <= NOTIFICATION_DEADLINE_S
    )  # it came back right behind a call that failed


def test_objects_of_a_watch_may_come_indented_in_pieces_and_with_brackets_in_their_strings() -> None:
    one = {"a": '}]"{\\', "b": [{"c": 1}, {}]}
    text = orjson.dumps(one, option=orjson.OPT_INDENT_2) + b"\n\n" + b'{"d":2}\n'
    for size in (1, 7, len(text)):
        objects, found = JsonObjectStream(), []
        for at in range(0, len(text), size):
            found += objects.feed(text[at : at + size])[0]
        assert [orjson.loads(each) for each in found] == [one, {"d": 2}]
    assert JsonObjectStream().feed(b"\n") == ([], True)
    objects = JsonObjectStream()
    assert objects.feed(b'{"a":\n\n') == ([], False) and objects.feed(b"\n1}\n") == ([b'{"a":\n\n\n1}'], True)


def test_an_older_list_brings_nothing_back_that_was_told_to_leave_or_has_started_since() -> None:
    """Lists come late, twice, or from a discovery that counts anew.

    A node that drains, is removed or has restarted stays so, whatever an older list says of it.
    """
    directory = EndpointDirectory({})

    def read(
        seq: int, health: str, whole: bool, kind: str | None = None, born_ms: int = 0
    ) -> list[tuple[str, int]]:
        host = {**HOST, "health": health, "born_ms": born_ms}
        news = directory.apply(directory.parse_page({"seq": seq, "whole": whole, "hosts": [host]}), kind)
        return [(entry.state, entry.started_us) for entry in news.entries]

    assert read(7, "up", True, "cached") == [("live", 0)]
    assert read(9, "draining", False) == read(9, "draining", False) == [("draining", 0)]  # told twice
    assert read(8, "up", False) == [("draining", 0)] and directory.version == 9
    assert read(5, "up", True) == [("draining", 0)] and directory.version == 5  # discovery counts anew
    assert read(6, "up", False) == [("live", 0)]  # a drain undone
    assert read(7, "up", False, born_ms=4) == [("live", 4000)]  # it has started anew
    assert read(3, "up", True) == [("live", 4000)]  # and is cold, whatever an older list says
    assert read(4, "removed", False) == [("gone", 0)]
    assert read(1, "up", True, "full") == [("gone", 0)] and directory.find("n1") is None
    absent = EndpointDirectory({})
    absent.apply(absent.parse_page({"seq": 7, "whole": True, "hosts": [HOST]}))
    absent.apply(absent.parse_page({"seq": 8, "whole": True, "hosts": []}))
    assert (
        absent.apply(absent.parse_page({"seq": 6, "whole": True, "hosts": [HOST]})).entries[0].state == "gone"
    )


def test_a_node_that_one_list_left_out_is_not_held_for_gone_once_a_newer_one_names_it() -> None:
    """One list leaves a node out by mistake.

    The next one names it: it serves again, and is not held for removed.
    """
    directory = EndpointDirectory({})
    for seq, hosts in ((7, [HOST]), (8, []), (9, [HOST])):
        directory.apply(directory.parse_page({"seq": seq, "whole": True, "hosts": hosts}))
    moved = directory.apply(
        directory.parse_page({"seq": 2, "whole": True, "hosts": [HOST]}), "full"
    )  # discovery is elsewhere now
    assert [entry.state for entry in moved.entries] == ["live"] and directory.find("n1") == HOST["dial"]
