"""The watch on discovery's list: lines to news for the core, and where each node can be dialled."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson

from harriertide import api
from harriertide.core import events as ev
from harriertide.log import log

CONNECT_S, HEAD_S = 1.0, 6.0
# Guards against a discovery that vanished without a reset: an empty line is due every 2 s, and a change
# counts as told 6 s later at the latest, so a watch this quiet is over.
QUIET_S = 4.5
LINE_BYTES = 4 * 1024 * 1024
_STATES = {"up": "live", "draining": "draining", "removed": "gone"}


class Directory:
    """The list in discovery's form: its version, and the addresses of nodes."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.seq = 0
        self._zones = zones
        self._dial: dict[str, str] = {}

    def find(self, node: str) -> str | None:
        """Where to dial a node."""
        return self._dial.get(node)

    def read(self, page: dict[str, Any], kind: str | None = None) -> api.NodeList:
        """One object of discovery as news; ValueError, KeyError or TypeError on what it is not."""
        entries = tuple(self._entry(raw) for raw in page["hosts"])
        dials = {raw["host"]: str(raw["dial"]) for raw in page["hosts"] if raw.get("dial")}
        seq = int(page["seq"])
        whole = bool(page.get("whole"))
        if whole:
            self._dial = {}
        self._dial.update(dials)
        self.seq = seq
        news = kind or ("whole" if whole else "changes")
        return api.NodeList(news, entries)  # type: ignore[arg-type]

    def _entry(self, raw: dict[str, Any]) -> api.NodeEntry:
        return api.NodeEntry(
            node=str(raw["host"]),
            shard=int(raw["block"]),
            state=_STATES[raw["health"]],  # type: ignore[arg-type]
            zone=self._zones.get(raw.get("site", ""), 0),
            started_us=int(raw.get("born_ms") or 0) * 1000,
        )


class Watch:
    """One watch at a time; the core decides when the next one opens."""

    def __init__(self, address: str, directory: Directory, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._url = f"http://{address}/registry/instances"
        self._directory, self._post = directory, post
        self._task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Start watching, unless a watch is up."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._follow())

    async def close(self) -> None:
        """Stop watching, with no word to the core."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        self.counts["opened"] += 1
        try:
            await self._read()
            self.counts["ended"] += 1
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError) as fault:
            self.counts["broken"] += 1
            log(f"watch on discovery ended: {type(fault).__name__} {fault}")
        self._task = None
        self._post(ev.Listed(api.NodeList("failed")))

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        url = f"{self._url}?watch=1&after={self._directory.seq}"
        begun = loop.time()
        trace = aiohttp.TraceConfig()

        async def connected(session: object, context: object, params: object) -> None:
            limit.reschedule(begun + HEAD_S)

        trace.on_connection_create_end.append(connected)
        async with (
            asyncio.timeout_at(begun + CONNECT_S) as limit,
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
                trust_env=False,
                trace_configs=[trace],
            ) as session,
            session.get(url, allow_redirects=False) as response,
        ):
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            rest = b""
            limit.reschedule(loop.time() + QUIET_S)
            async for chunk in response.content.iter_any():
                limit.reschedule(loop.time() + QUIET_S)
                *lines, rest = (rest + chunk).split(b"\n")  # a line may come in pieces, or many at once
                if len(rest) > LINE_BYTES:
                    raise ValueError("a line without an end")
                for line in lines:
                    if line.strip():
                        self.counts["lines"] += 1
                        self._post(ev.Listed(self._directory.read(orjson.loads(line))))
