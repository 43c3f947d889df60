"""Probes: active health checks of storage nodes, used if the settings allow them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from harriertide.core import events as ev
from harriertide.http.node_client import NodeClient

LIVENESS_PATH = "/health/live"


class Probes:
    """Probes nodes on request of the core, each node with one probe at a time.

    :param client: sends the probes to the storage nodes and limits their duration
    :param post: passes the outcomes to the core
    """

    def __init__(self, client: NodeClient, post: Callable[[ev.Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._client = client
        self._post = post
        self._tasks: dict[str, asyncio.Task[None]] = {}  # by node ID

    def start(self, node_id: str) -> None:
        """Probe a node unless a probe of the node is in progress."""
        if node_id not in self._tasks:
            self.counts["sent"] += 1
            self._tasks[node_id] = asyncio.get_running_loop().create_task(self._probe(node_id))

    async def _probe(self, node_id: str) -> None:
        try:
            outcome = await self._client.probe(node_id, LIVENESS_PATH)
        finally:
            del self._tasks[node_id]
        self.counts[outcome] += 1
        self._post(ev.ProbeFinished(node_id, outcome))

    async def close(self) -> None:
        """Cancel the probes in progress; the core is not notified."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
