"""Measures the memory of the process, as a platform counts it, against its limit."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from harriertide.engine.log import log

STATUS_FILE = "/proc/self/status"
MAX_STATUS_BYTES = 8192
COUNTED_ROWS = (b"RssAnon:", b"RssShmem:")  # neither mapped files nor what the kernel holds for sockets
SAMPLE_INTERVAL_S = 0.1
LOGGED_RATIOS = (0.8, 0.9, 0.95)  # of the limit: a line each time one of them is passed
SHORT_RATIO = 0.95  # of the limit: above it, the process takes in only what it must
RECOVERED_RATIO = 0.92  # of the limit: below it, that is over
KIB = 1024


def read_process_memory_bytes() -> int:
    """Return the anonymous and shared memory of this process; 0 where the system does not tell."""
    try:
        with open(STATUS_FILE, "rb", buffering=0) as file:
            status = file.read(MAX_STATUS_BYTES)
    except OSError:
        return 0
    return KIB * sum(_read_kib(status, row) for row in COUNTED_ROWS)


def _read_kib(status: bytes, row: bytes) -> int:
    """Return the number of KiB in a row of the status file; 0 if it has no such row."""
    _, _, rest = status.partition(row)
    kib, _, _ = rest.partition(b"kB")
    return int(kib or 0)


class MemoryMonitor:
    """Samples the memory of the process, and logs what it holds as the limit comes near.

    :param limit_bytes: the configured limit
    :param read_held: returns what is held for clients and nodes, by the name of its owner
    :param on_short: called with whether memory is short, each time that changes
    :ivar counts: `kib` (the last sample), `peak_kib`, `limit_kib`
    """

    def __init__(
        self,
        limit_bytes: int,
        read_held: Callable[[], Mapping[str, int]],
        on_short: Callable[[bool], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._read_held = read_held
        self._on_short = on_short
        self._is_short = False
        self._logged_ratio = 0.0
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.apply_limit(limit_bytes)

    def apply_limit(self, limit_bytes: int) -> None:
        """Compare later samples with another limit."""
        self.limit_bytes = limit_bytes
        self.counts["limit_kib"] = limit_bytes // KIB

    def start(self) -> None:
        """Take a sample now, and one every SAMPLE_INTERVAL_S from now on."""
        self._sample()

    def close(self) -> None:
        """Take no more samples."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _sample(self) -> None:
        self.record(read_process_memory_bytes())
        self._timer = self._loop.call_at(self._loop.time() + SAMPLE_INTERVAL_S, self._sample)

    def record(self, memory_bytes: int) -> None:
        """Take in one sample."""
        self.counts["kib"] = memory_bytes // KIB
        self.counts["peak_kib"] = max(self.counts["peak_kib"], self.counts["kib"])
        passed = [ratio for ratio in LOGGED_RATIOS if memory_bytes > ratio * self.limit_bytes]
        passed_ratio = max(passed, default=0.0)
        if passed_ratio > self._logged_ratio:
            held = {f"held_{owner}": count for owner, count in self._read_held().items()}
            log("memory is short", kib=self.counts["kib"], limit_kib=self.counts["limit_kib"], **held)
        self._logged_ratio = passed_ratio
        ratio = RECOVERED_RATIO if self._is_short else SHORT_RATIO
        is_short = memory_bytes > ratio * self.limit_bytes
        if is_short != self._is_short:
            self._is_short = is_short
            self.counts["short"] += is_short
            self._on_short(is_short)
