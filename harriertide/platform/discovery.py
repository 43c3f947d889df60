"""The watch on discovery's list: lines to news for the core, and where each node can be dialled."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.log import log

CONNECT_S = 1.0
# Guards against a discovery that vanished without a reset: an empty line is due every 2 s, and a call is
# answered or turned away within about as long. A change counts as told 6 s after the last word at the latest,
# so a watch this quiet is over, and so is a call, with time to ask once more.
QUIET_S = HEAD_S = 4.5
# Lists that an agent pushes count as told as soon as it has them, and asking it costs nothing: there a watch
# that ends is opened again by itself, at once and then this often, and one that is late is given up sooner.
AGAIN_S, PUSH_HEAD_S, PUSH_QUIET_S = 0.1, 1.0, 2.5
LINE_BYTES = 4 * 1024 * 1024
_STATES = {"up": "live", "draining": "draining", "removed": "gone"}


class Directory:
    """The list in discovery's form: its version, and the addresses of nodes."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.seq = 0
        self.zones = zones
        self._dial: dict[str, str] = {}

    def find(self, node: str) -> str | None:
        """Where to dial a node."""
        return self._dial.get(node)

    def known(self) -> int:
        """How many nodes have an address."""
        return len(self._dial)

    def read(self, page: dict[str, Any], kind: str | None = None) -> api.NodeList:
        """One object of discovery as news; ValueError, KeyError or TypeError on what it is not."""
        entries = tuple(self._entry(raw) for raw in page["hosts"])
        dials = {
            raw["host"]: str(raw["dial"])
            for raw in page["hosts"]
            if raw.get("dial") and raw["health"] != "removed"
        }
        seq = int(page["seq"])
        whole = bool(page.get("whole"))
        if not whole and kind is None and seq < self.seq:
            return api.NodeList("changes")  # older than what is held: it would bring back what is gone
        if whole:
            self._dial = {}
        self._dial.update(dials)
        for entry in entries:
            if entry.state == "gone":  # its id never comes again
                self._dial.pop(entry.node, None)
        self.seq = seq
        news = kind or ("whole" if whole else "changes")
        return api.NodeList(news, entries)  # type: ignore[arg-type]

    def _entry(self, raw: dict[str, Any]) -> api.NodeEntry:
        return api.NodeEntry(
            node=str(raw["host"]),
            shard=int(raw["block"]),
            state=_STATES[raw["health"]],  # type: ignore[arg-type]
            zone=self.zones.get(raw.get("site", ""), 0),
            started_us=int(raw.get("born_ms") or 0) * 1000,
        )


class Watch:
    """One watch at a time; the core decides when the next one opens, as each call costs discovery.

    Where an agent on this machine has the list, nobody asks for it: the watch is kept up from here (follow).

    When discovery moves, the watch on its old address goes on until the one on the new has told its list.
    """

    def __init__(self, address: str, directory: Directory, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._pushed = self._closed = self._said = False
        self._again: asyncio.TimerHandle | None = None
        self._head_s, self._quiet_s = HEAD_S, QUIET_S
        self.address = address
        self._directory, self._post = directory, post
        self._task: asyncio.Task[None] | None = None
        self._old: asyncio.Task[None] | None = None
        self._anew = False  # nothing was heard yet of the discovery at this address
        self._pressing = False  # what is open was opened at once, behind one that fell silent

    def follow(self, pushed: bool) -> None:
        """Whether the list is pushed, from now on; then the watch is kept up from here."""
        self._pushed = pushed
        self._head_s, self._quiet_s = (PUSH_HEAD_S, PUSH_QUIET_S) if pushed else (HEAD_S, QUIET_S)
        if pushed:
            self.open()

    def open(self) -> None:
        """Start watching, unless a watch is up."""
        if not self._closed and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._follow(self.address))

    def move(self, address: str) -> None:
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
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError) as fault:
            self.counts["broken"] += 1
            if not (self._pushed and self._said):  # one line for each time that an agent is away
                log("watch on discovery ended", kind=type(fault).__name__, reason=str(fault))
            self._said = True
            silent = isinstance(fault, TimeoutError) and not self._pressing
        if asyncio.current_task() is self._task:  # not one on an address that discovery has left
            self._task = None
            if silent:
                # What it misses counts as told 6 s after its last word: no time for the wait that a failed
                # call asks for. Discovery has ended nothing, so this is no call that it turned away. Once:
                # where nothing comes then either, the core says when to ask again.
                self.counts["silent"] += 1
                self._pressing = True
            else:
                self._post(ev.Listed(api.NodeList("failed")))
            if (self._pushed or silent) and not self._closed:
                # at once, but for those that end as soon as they begin
                loop = asyncio.get_running_loop()
                self._again = loop.call_at(max(loop.time(), begun + AGAIN_S), self.open)

    async def _read(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        url = f"http://{address}/registry/instances"
        trace = aiohttp.TraceConfig()
        limit = asyncio.timeout_at(loop.time() + CONNECT_S)

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
                        if len(page) > LINE_BYTES:
                            raise ValueError("a list without an end")
                    self._take(page, "whole")
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
        rest = b""
        limit.reschedule(loop.time() + self._quiet_s)
        async for chunk in response.content.iter_any():
            self._said = self._pressing = False
            limit.reschedule(loop.time() + self._quiet_s)
            *lines, rest = (rest + chunk).split(b"\n")  # a line may come in pieces, or many at once
            if len(rest) > LINE_BYTES:
                raise ValueError("a line without an end")
            for line in lines:
                if line.strip():
                    self.counts["lines"] += 1
                    self._take(line)

    def _take(self, line: bytes, kind: str | None = None) -> None:
        """News for the core. What an old address still tells counts, but not its version."""
        page = orjson.loads(line)
        current = asyncio.current_task() is self._task
        if not current:
            page["seq"] = self._directory.seq
        self._post(ev.Listed(self._directory.read(page, kind)))
        if current:
            self._anew = False
            self._let_go()
