"""Group commit: what has to be written while the disk is busy goes with the next sync."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from harriertide.consensus import events as ev
from harriertide.consensus.store import StoreError
from harriertide.control.environment import Disk


class DiskWriter:
    """Writes to a store, one batch after the other.

    :param write_to_disk: carries out a write, off the event loop
    :param on_synced: called with the number of the last write of a batch, and how many microseconds it took
    :param on_failed: called once; nothing is written after that
    """

    def __init__(
        self,
        store: Disk,
        write_to_disk: Callable[[Callable[[], None]], Awaitable[None]],
        on_synced: Callable[[int, int], None],
        on_failed: Callable[[StoreError], None],
    ) -> None:
        self._store = store
        self._write_to_disk = write_to_disk
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._queue: list[ev.Persist] = []
        self._has_writes = asyncio.Event()
        self.busy = asyncio.Lock()  # held during a write: guards against a file that is closed under it

    def submit(self, write: ev.Persist) -> None:
        """Write this with the next batch."""
        self._queue.append(write)
        self._has_writes.set()

    async def run(self) -> None:
        """Write batches until the disk refuses one, or the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._has_writes.wait()
            self._has_writes.clear()
            batch, self._queue = self._queue, []
            if not batch:
                continue
            began_s = loop.time()
            try:
                async with self.busy:
                    await self._write_to_disk(partial(self._store.write, batch))
            except StoreError as error:
                self._on_failed(error)
                return
            took_us = max(1, round((loop.time() - began_s) * 1_000_000))
            self._on_synced(batch[-1].number, took_us)
