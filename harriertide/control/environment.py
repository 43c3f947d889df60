"""The environment of a member: disk, network, random numbers and event log, or stand-ins for simulations."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random, SystemRandom
from typing import Protocol

from harriertide.consensus import events as ev
from harriertide.consensus.store import Store
from harriertide.consensus.transport import Transport
from harriertide.control.event_log import EventLog, EventSink


class Disk(Protocol):
    """A store or a stand-in.

    disk: identity of the disk. restored: state that was read from the disk at the start.
    """

    disk: str
    restored: ev.RestoredState

    def write(self, writes: list[ev.Persist]) -> None:
        """Write all of the writes, and sync them with a single sync.

        :raises StoreError: a write or the sync failed; the store is unusable until the process restarts
        """

    def close(self) -> None:
        """Close the files of the store."""


class MemberTransport(Protocol):
    """Carries payloads to other members: a transport or a stand-in."""

    counts: Counter[str]

    async def listen(self, address: tuple[str, int]) -> int:
        """Accept connections from other members; return the listening port."""

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """Send a payload to a member; delivery is not guaranteed."""

    async def close(self) -> None:
        """Close all connections."""


@dataclass(frozen=True, slots=True)
class Environment:
    """The environment of a member. write_to_disk: runs a blocking store write outside the event loop."""

    disk: Callable[[Path], Disk] = Store.open
    transport: Callable[[Callable[[bytes], bool]], MemberTransport] = Transport
    write_to_disk: Callable[[Callable[[], None]], Awaitable[None]] = asyncio.to_thread
    random: Random = field(default_factory=SystemRandom)
    event_log: Callable[[str], EventSink] = EventLog
