"""The processor as a rig uses it: a core that no other rig has taken, and what a process had of its core."""

from __future__ import annotations

import asyncio
import fcntl
import os
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from harriertide.engine.clock import sleep_until

NANOSECONDS_PER_S = 1e9
CORE_POLL_S = 0.1  # between looks for a core that has become free


@dataclass(frozen=True, slots=True)
class ProcessorTime:
    """What a process had of the processor.

    :ivar ran_s: time on a core
    :ivar waited_s: time in which it could have run, and others had the core
    """

    ran_s: float
    waited_s: float

    @classmethod
    def of_process(cls, process_id: int) -> ProcessorTime:
        """Since the start of a process, by the scheduler's own count (schedstat of the main thread)."""
        ran_ns, waited_ns, _ = Path(f"/proc/{process_id}/schedstat").read_text(encoding="ascii").split()
        return cls(int(ran_ns) / NANOSECONDS_PER_S, int(waited_ns) / NANOSECONDS_PER_S)

    def since(self, earlier: ProcessorTime) -> ProcessorTime:
        """The part of it after an earlier reading."""
        return ProcessorTime(self.ran_s - earlier.ran_s, self.waited_s - earlier.waited_s)


def try_lock_core(core: int) -> int | None:
    """Lock a core's file; its descriptor, or None where another rig has it."""
    path = Path(tempfile.gettempdir()) / f"harriertide-core-{core}.lock"
    descriptor = os.open(path, os.O_CREAT | os.O_RDWR, 0o666)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return None
    return descriptor


@asynccontextmanager
async def reserve_core() -> AsyncIterator[int]:
    """Reserve a core until the block ends: the highest that no other rig has; waits where all are taken.

    Guards against rigs that all take the same core: each would measure how long it waits for the others.
    """
    cores = sorted(os.sched_getaffinity(0), reverse=True)
    while True:
        for core in cores:
            descriptor = try_lock_core(core)
            if descriptor is None:
                continue
            try:
                yield core
            finally:
                os.close(descriptor)
            return
        await sleep_until(asyncio.get_running_loop().time() + CORE_POLL_S)
