"""Samples the memory of a broker's process as the platform counts it."""

from __future__ import annotations

import threading
from contextlib import suppress
from pathlib import Path

SAMPLE_INTERVAL_S = 0.005
COUNTED_ROWS = ("RssAnon:", "RssShmem:")  # files that are mapped, and what the kernel holds, are not counted
KIB_PER_MIB = 1024


def read_memory_mib(pid: int) -> float:
    """Return the anonymous and shared memory of a process in MiB.

    :raises OSError: the process has ended
    """
    rows = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    return sum(int(row.split()[1]) for row in rows if row.startswith(COUNTED_ROWS)) / KIB_PER_MIB


class MemorySampler:
    """Records the highest memory of a process, in a thread of its own.

    :ivar peak_mib: the highest sample so far
    """

    def __init__(self, pid: int) -> None:
        self.peak_mib = 0.0
        self._pid = pid
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def stop(self) -> float:
        """Stop sampling, and return the peak in MiB."""
        self._is_over.set()
        self._thread.join()
        return self.peak_mib

    def _sample(self) -> None:
        while not self._is_over.wait(SAMPLE_INTERVAL_S):
            with suppress(OSError):  # the process has ended
                self.peak_mib = max(self.peak_mib, read_memory_mib(self._pid))
