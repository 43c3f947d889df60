"""Probes of boxes, where the settings allow them: whether one lives, asked beside all requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from harriertide.core import events as ev
from harriertide.http.node_client import NodeClient

LIVE = "/health/live"


class Probes:
    """One probe of a box at a time. The core decides when; here it is bounded in time and number."""

    def __init__(self, client: NodeClient, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._client, self._post = client, post
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start(self, node: str) -> None:
        """Probe a box, unless a probe of it is out."""
        if node not in self._tasks:
            self.counts["sent"] += 1
            self._tasks[node] = asyncio.get_running_loop().create_task(self._probe(node))

    async def _probe(self, node: str) -> None:
        try:
            kind = await self._client.probe(node, LIVE)
        finally:
            del self._tasks[node]
        self.counts[kind] += 1
        self._post(ev.ProbeFinished(node, kind))

    async def close(self) -> None:
        """End what is out, with no word to the core."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
