"""Stand-ins for the disks, network, requests and logs of a broker whose maintenance runs in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from harriertide.config.operator_file import State
from harriertide.consensus import events as ev
from harriertide.decide import api
from harriertide.lab.simulation.durable_state import after_write

MAX_ATTEMPT_S = 0.3


class MemoryDisk:
    """A disk that outlives its process, as a store does."""

    def __init__(self, name: str) -> None:
        self.disk = name
        self.restored = ev.RestoredState()  # what a start finds

    def write(self, works: list[ev.Persist]) -> None:
        """Write all of these."""
        for work in works:
            self.restored = after_write(self.restored, work)

    def close(self) -> None:
        """Do nothing: there is no file."""


class MemoryNetwork(Protocol):
    """Carries payloads between brokers, as long as the links between them are not cut."""

    def connect(self, name: str, carrier: MemoryCarrier) -> None:
        """Register the process that listens under this name."""

    def transmit(self, sender: str, receiver: str, payload: bytes) -> None:
        """Deliver a payload late, or never."""


class MemoryCarrier:
    """The carrier of one broker, in place of its transport."""

    def __init__(self, network: MemoryNetwork, name: str, on_payload: Callable[[bytes], bool]) -> None:
        self._network = network
        self._name = name
        self._on_payload = on_payload
        self.is_open = False
        self.counts: Counter[str] = Counter()

    async def listen(self, address: tuple[str, int]) -> int:
        """Receive payloads of others from now on."""
        self.is_open = True
        self._network.connect(self._name, self)
        return address[1]

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """Send a payload; it may be lost."""
        self.counts["frames_out"] += 1
        self.counts["bytes_out"] += len(payload)
        if self.is_open:
            self._network.transmit(self._name, name, payload)

    def receive(self, payload: bytes) -> None:
        """Take a payload, where a process listens."""
        if self.is_open:
            self._on_payload(payload)

    async def close(self) -> None:
        """Stop receiving and sending."""
        self.is_open = False


class StandInCore:
    """Stands in for a reducer: counts attempts that are open at nodes."""

    def __init__(self) -> None:
        request_class = api.RequestClass(100_000, int(MAX_ATTEMPT_S * 1_000_000))
        self.settings = api.Settings(
            broker_index=0,
            broker_count=1,
            shard_count=1,
            classes=(request_class,),
            plans=(api.Plan(),),
        )
        self.offered_units = 0.0
        self.is_barred: Callable[[str], bool] | None = None
        self.consecutive_unresponsive: Counter[str] = Counter()
        self.open_attempts: Counter[str] = Counter()  # by node
        self.is_ready = True

    def set_ready(self, is_ready: bool) -> None:
        """Whether clients are served."""
        self.is_ready = is_ready

    def may_send(self, node: str) -> bool:
        """Whether a request may be sent to a node now, by the check that runs right before a write."""
        assert self.is_barred is not None
        return self.is_ready and not self.is_barred(node)

    def start_attempt(self, node: str) -> None:
        """An attempt is open at a node from now on."""
        self.open_attempts[node] += 1
        self.offered_units += 1

    def end_attempt(self, node: str) -> None:
        """An attempt is over."""
        self.open_attempts[node] -= 1

    def open_attempt_count_at(self, node: str) -> int:
        """Return how many attempts are open at a node."""
        return self.open_attempts[node]

    def learned_capacity_by_node(self) -> dict[str, float]:
        """Return nothing: no node is overloaded here."""
        return {}

    def open_request_count(self) -> int:
        """Return how many requests have no answer yet: all that are open."""
        return sum(self.open_attempts.values())


class StandInNodes:
    """Stands in for the object front."""

    def __init__(self, state: State) -> None:
        self.state = state

    def close_nodes(self, closed: frozenset[str] | None, returned_us: dict[str, int]) -> None:
        """Do nothing: the check right before a write is what counts here."""


class MemoryEvents:
    """Stands in for an event log: rows in memory, with the broker's name."""

    def __init__(self, rows: list[dict[str, Any]], name: str) -> None:
        self._rows = rows
        self._name = name

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""
        at = asyncio.get_running_loop().time()
        self._rows.append({"event": event, "by": self._name, "at": at, **fields})

    def close(self) -> None:
        """Do nothing: there is no file."""
