"""The watch on discovery's list: lines to news for the core, and where each node can be dialled."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import orjson

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.log import log

# A change counts as told NOTIFICATION_DEADLINE_S after discovery had it and could be reached, whatever failed
# before. The longest ways to hear of one end before that: a watch that falls silent behind its last word,
# a call that is never answered and one more that is; or a call that is never answered behind the decision module's longest
# wait (ASK_MOST_US) and one more. tests/test_silence.py adds them up and plays them.
NOTIFICATION_DEADLINE_S = 6.0
CONNECT_TIMEOUT_S = 0.8
# An empty line is due every 2 s, so a watch this quiet is over. Discovery answers a call or turns it away
# within two seconds, so one without a word by then gets none.
WATCH_SILENCE_S, HEAD_TIMEOUT_S = 2.5, 2.2
# Lists that an agent pushes count as told as soon as it has them, and asking it costs nothing: there a watch
# that ends is opened again by itself, at once and then this often, and one that is late is given up sooner.
REOPEN_INTERVAL_S, PUSHED_HEAD_TIMEOUT_S = 0.1, 1.0
MAX_OBJECT_BYTES = 4 * 1024 * 1024
MAX_REMOVED_NODE_COUNT = 512  # ids of nodes that were removed are remembered, against lists that are older
_MARKS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # of JSON: strings, which may hold brackets, and brackets
_STATES = {"up": "live", "draining": "draining", "removed": "gone"}


class OlderError(ValueError):
    """Changes of a version before the one that is held: late ones, or discovery counts anew."""


class JsonObjectStream:
    """JSON objects out of the lines of a watch, each on one line or indented over several."""

    def __init__(self) -> None:
        self._rest = b""  # of a line
        self._held: list[bytes] = []  # lines of an object that is not whole
        self._depth = self._size = 0

    def feed(self, data: bytes) -> tuple[list[bytes], bool]:
        """What became whole, and whether a word of discovery came: an object, or an empty line beside one.

        Guards against a line that trickles, or an object that never ends, passing for signs of life.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        found: list[bytes] = []
        word = False
        for line in lines:
            if not (self._held or line.strip()):
                word = True
                continue
            marks = _MARKS.findall(line)
            self._depth += sum(mark in b"{[" for mark in marks) - sum(mark in b"}]" for mark in marks)
            self._held.append(line)
            self._size += len(line)
            if self._depth <= 0:
                found.append(b"\n".join(self._held))
                self._held, self._depth, self._size = [], 0, 0
        if len(self._rest) + self._size > MAX_OBJECT_BYTES:
            raise ValueError("a list without an end")
        return found, word or bool(found)


@dataclass(slots=True)
class DirectoryState:
    """The list as one process of a broker hands it to the next."""

    seq: int
    entries: list[api.NodeEntry]
    dial: dict[str, str]
    gone: list[str]


class EndpointDirectory:
    """The list in discovery's form: its version, its entries, and the addresses of nodes."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.seq = 0
        self.zones = zones
        self._dial: dict[str, str] = {}
        self._entries: dict[str, api.NodeEntry] = {}
        self._gone: dict[str, None] = {}  # ids, which never come again; longest ago first

    def find(self, node: str) -> str | None:
        """Where to dial a node."""
        return self._dial.get(node)

    def address_count(self) -> int:
        """How many nodes have an address."""
        return len(self._dial)

    def apply(self, page: dict[str, Any], kind: str | None = None) -> api.EndpointUpdate:
        """One object of discovery as news; ValueError, KeyError or TypeError on what it is not.

        kind: what it is taken for, whatever its version. What is older than what is held, or comes from a
        discovery that may count otherwise, may be stale: it starts no sends that were told to stop.
        """
        entries = tuple(self._entry(raw) for raw in page["hosts"])
        dials = {raw["host"]: str(raw["dial"]) for raw in page["hosts"] if raw.get("dial")}
        seq = int(page["seq"])
        whole = bool(page.get("whole"))
        if kind is not None or seq < self.seq:
            entries = tuple(map(self._with_care, entries))
            if not whole and kind is None:
                entries = tuple(e for e in entries if e.node_id in self._entries and e.state != "live")
                seq = self.seq
        if whole:
            self._bury(self._entries.keys() - {entry.node_id for entry in entries})
            self._dial, self._entries = {}, {}
        for entry in entries:
            if entry.state == "gone":
                self._bury([entry.node_id])
                self._dial.pop(entry.node_id, None)
                self._entries.pop(entry.node_id, None)
                continue
            self._gone.pop(entry.node_id, None)  # a list that left it out was wrong
            self._entries[entry.node_id] = entry
            if entry.node_id in dials:
                self._dial[entry.node_id] = dials[entry.node_id]
        self.seq = seq
        news = kind or ("full" if whole else "delta")
        return api.EndpointUpdate(news, entries)  # type: ignore[arg-type]

    def export_state(self) -> DirectoryState:
        """The list as it is held."""
        return DirectoryState(self.seq, list(self._entries.values()), dict(self._dial), list(self._gone))

    def import_state(self, state: DirectoryState) -> api.EndpointUpdate:
        """Take what the process before this one held for news, but for what is known here to be otherwise.

        The nodes of the newer list are listed; what either was told of a drain or an end holds.
        """
        self._bury(state.gone)
        newer = state.seq >= self.seq
        entries = list(map(self._with_care, state.entries))
        if not newer:
            entries = [entry for entry in entries if entry.node_id in self._entries and entry.state != "live"]
        else:
            self._entries, self._dial = {}, dict(state.dial)
            self.seq = state.seq
        self._entries.update({entry.node_id: entry for entry in entries if entry.state != "gone"})
        return api.EndpointUpdate("cached", tuple(self._entries.values()))

    def _with_care(self, entry: api.NodeEntry) -> api.NodeEntry:
        """It, unless what is held of that node stops sends, or has it started later."""
        held = self._entries.get(entry.node_id)
        if entry.node_id in self._gone:
            return replace(entry, state="gone")
        if held is None or entry.started_us > held.started_us:
            return entry
        state = entry.state if held.state == "live" else held.state
        return replace(entry, state=state, started_us=held.started_us)

    def _bury(self, nodes: Iterable[str]) -> None:
        self._gone.update(dict.fromkeys(nodes))
        while len(self._gone) > MAX_REMOVED_NODE_COUNT:
            del self._gone[next(iter(self._gone))]

    def _entry(self, raw: dict[str, Any]) -> api.NodeEntry:
        return api.NodeEntry(
            node_id=str(raw["host"]),
            shard=int(raw["block"]),
            state=_STATES[raw["health"]],  # type: ignore[arg-type]
            zone=self.zones.get(raw.get("site", ""), 0),
            started_us=int(raw.get("born_ms") or 0) * 1000,
        )


class EndpointWatch:
    """One watch at a time; the core decides when the next one opens, as each call costs discovery.

    Where an agent on this machine has the list, nobody asks for it: the watch is kept up from here (follow).

    When discovery moves, the watch on its old address goes on until the one on the new has told its list.
    """

    def __init__(self, address: str, directory: EndpointDirectory, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._pushed = self._closed = self._said = False
        self._again: asyncio.TimerHandle | None = None
        self._head_s = HEAD_TIMEOUT_S
        self.address = address
        self._directory, self._post = directory, post
        self._task: asyncio.Task[None] | None = None
        self._old: asyncio.Task[None] | None = None
        self.on_list: Callable[[], None] = lambda: None  # called with each list that was read
        self._anew = False  # nothing was heard yet of the discovery at this address
        self._pressing = False  # what is open was opened at once, behind one that fell silent

    def set_pushed(self, pushed: bool) -> None:
        """Whether the list is pushed, from now on; then the watch is kept up from here."""
        self._pushed = pushed
        self._head_s = PUSHED_HEAD_TIMEOUT_S if pushed else HEAD_TIMEOUT_S
        if pushed:
            self.open()

    def open(self) -> None:
        """Start watching, unless a watch is up."""
        if not self._closed and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._follow(self.address))

    def change_address(self, address: str) -> None:
        """Discovery is at another address from now on."""
        self.address, self._anew = address, True
        self.counts["moved"] += 1
        if self._task is not None and not self._task.done():
            self._let_go()
            self._old = self._task
        self._task = None
        self.open()

    def _let_go(self) -> None:
        """End the watch on an old address; that is no failure."""
        if self._old is not None:
            self._old.cancel()
            self._old = None

    async def close(self) -> None:
        """Stop watching, with no word to the core."""
        self._closed = True
        if self._again is not None:
            self._again.cancel()
        tasks = [task for task in (self._task, self._old) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow(self, address: str) -> None:
        self.counts["opened"] += 1
        begun = asyncio.get_running_loop().time()
        silent = False
        try:
            await self._read(address)
            self.counts["ended"] += 1
        except Exception as fault:  # whatever comes: without a watch, drains would go unheard for good
            self.counts["broken"] += 1
            if not (self._pushed and self._said):  # one line for each time that an agent is away
                log("watch on discovery ended", kind=type(fault).__name__, reason=str(fault))
            self._said = True
            if isinstance(fault, OlderError):
                self._anew = True  # only its whole list can tell which of the two holds
            silent = isinstance(fault, (TimeoutError, OlderError)) and not self._pressing
        if asyncio.current_task() is self._task:  # not one on an address that discovery has left
            self._task = None
            if silent:
                # What it misses counts as told 6 s after its last word: no time for the wait that a failed
                # call asks for. Discovery has ended nothing, so this is no call that it turned away. Once:
                # where nothing comes then either, the core says when to ask again.
                self.counts["silent"] += 1
                self._pressing = True
            else:
                self._post(ev.EndpointsUpdated(api.EndpointUpdate("failed")))
            if (self._pushed or silent) and not self._closed:
                # at once, but for those that end as soon as they begin
                loop = asyncio.get_running_loop()
                self._again = loop.call_at(max(loop.time(), begun + REOPEN_INTERVAL_S), self.open)

    async def _read(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        url = f"http://{address}/registry/instances"
        trace = aiohttp.TraceConfig()
        limit = asyncio.timeout_at(loop.time() + CONNECT_TIMEOUT_S)

        async def connected(session: object, context: object, params: object) -> None:
            limit.reschedule(loop.time() + self._head_s)

        trace.on_connection_create_end.append(connected)
        async with (
            limit,
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
                trust_env=False,
                trace_configs=[trace],
            ) as session,
        ):
            if self._anew:
                # Another discovery may count its versions otherwise: the version last heard would ask it
                # for the wrong changes. So its whole list comes first.
                async with session.get(url, allow_redirects=False) as response:
                    self._check(response)
                    page = b""
                    async for chunk in response.content.iter_any():
                        page += chunk
                        if len(page) > MAX_OBJECT_BYTES:
                            raise ValueError("a list without an end")
                    self._take(page, "full")
                limit.reschedule(loop.time() + self._head_s)
            watch = f"{url}?watch=1&after={self._directory.seq}"
            async with session.get(watch, allow_redirects=False) as response:
                self._check(response)
                await self._lines(response, limit)

    @staticmethod
    def _check(response: aiohttp.ClientResponse) -> None:
        if response.status != 200:
            raise ValueError(f"status {response.status}")

    async def _lines(self, response: aiohttp.ClientResponse, limit: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        objects = JsonObjectStream()
        limit.reschedule(loop.time() + WATCH_SILENCE_S)
        async for chunk in response.content.iter_any():
            found, word = objects.feed(chunk)
            if word:
                self._said = self._pressing = False
                limit.reschedule(loop.time() + WATCH_SILENCE_S)
            for page in found:
                self.counts["lines"] += 1
                self._take(page)

    def _take(self, line: bytes, kind: str | None = None) -> None:
        """News for the core. What an old address still tells counts, but not its version."""
        page = orjson.loads(line)
        current = asyncio.current_task() is self._task
        if not current:
            page["seq"] = self._directory.seq
        older = kind is None and not page.get("whole") and int(page["seq"]) < self._directory.seq
        self._post(ev.EndpointsUpdated(self._directory.apply(page, kind)))
        self.on_list()
        if older:  # its whole list tells which of the two holds
            raise OlderError(f"version {page['seq']} after {self._directory.seq}")
        if current:
            self._anew = False
            self._let_go()
