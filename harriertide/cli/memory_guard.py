"""Keeps a process within its memory: measures it, and gives connections and buffers what is left.

The limits of a configuration (`http/limits`) assume what a process needs for itself. Where it needs more, for
example for a long list of nodes, there is less for the rest. Whatever the limits say, a process whose
measured memory comes near its limit takes in one large request at a time.
"""

from __future__ import annotations

import gc
from collections import Counter
from typing import Protocol

from harriertide.core.reducer import Reducer
from harriertide.engine.memory_monitor import MemoryMonitor, read_process_memory_bytes
from harriertide.http.buffer_budget import BufferBudget
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.limits import Limits
from harriertide.http.node_client import NodeClient


class MeasuredProcess(Protocol):
    """The parts of a process that hold memory for others."""

    core: Reducer
    clients: ConnectionTable
    client: NodeClient


class MemoryGuard:
    """The memory of one process.

    :ivar requests: the budget that the requests of all connections share
    """

    def __init__(self, process: MeasuredProcess, limits: Limits) -> None:
        self.requests = BufferBudget(limits.max_buffered_request_bytes)
        self._process = process
        self._own_memory_bytes = 0  # 0: not measured yet
        self._monitor = MemoryMonitor(limits.memory_bytes, self.held, self._on_short)

    @property
    def counts(self) -> Counter[str]:
        """Counters of the measured memory."""
        return self._monitor.counts

    def measure_own_memory(self) -> None:
        """Measure what the process needs for itself; call this before it accepts connections."""
        self._own_memory_bytes = read_process_memory_bytes()

    def adapt(self, limits: Limits) -> Limits:
        """Return limits less what this process was measured to need for itself."""
        return limits.with_own_memory(self._own_memory_bytes)

    def apply_limits(self, limits: Limits) -> None:
        """Go by other limits from now on."""
        self.requests.limit_bytes = limits.max_buffered_request_bytes
        self._monitor.apply_limit(limits.memory_bytes)

    def start(self) -> None:
        """Watch the measured memory from now on."""
        self._monitor.start()

    def close(self) -> None:
        """Watch it no more."""
        self._monitor.close()

    def held(self) -> dict[str, int]:
        """Return what is held for clients and nodes: counts, and bytes where the name says so."""
        process = self._process
        return {
            "client_connections": len(process.clients),
            "node_connections": len(process.client.pool),
            "requests": process.core.open_request_count(),
            "request_bytes": self.requests.reserved_bytes,
            "response_bytes": process.client.pool.buffered_bytes,
            "unsent_bytes": process.clients.unsent_bytes(),
        }

    def _on_short(self, is_short: bool) -> None:
        if is_short:
            gc.collect()
        self.requests.is_short = is_short
