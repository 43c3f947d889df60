"""Group commit: writes that are submitted during a sync share the next sync."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from harriertide.consensus import events as ev
from harriertide.consensus.store import StoreError
from harriertide.control.environment import Disk


class DiskWriter:
    """Writes to a store, one batch at a time.

    :param write_to_disk: runs a blocking write outside the event loop
    :param on_synced: called with the number of a batch's last write and the batch's duration in microseconds
    :param on_failed: called once with the error of the first failed batch; nothing is written after it
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
        self.write_lock = asyncio.Lock()  # held during a write, so that the files are not closed meanwhile

    def submit(self, write: ev.Persist) -> None:
        """Add a write to the next batch."""
        self._queue.append(write)
        self._has_writes.set()

    async def run(self) -> None:
        """Write batches until one fails, or until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._has_writes.wait()
            self._has_writes.clear()
            batch, self._queue = self._queue, []
            if not batch:
                continue
            began_s = loop.time()
            try:
                async with self.write_lock:
                    await self._write_to_disk(partial(self._store.write, batch))
            except StoreError as error:
                self._on_failed(error)
                return
            took_us = max(1, round((loop.time() - began_s) * 1_000_000))
            self._on_synced(batch[-1].number, took_us)
