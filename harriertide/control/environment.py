"""What a member runs on: disk, network, random numbers and log of events, or a laboratory's stand-ins."""

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
    """A store or a stand-in. disk: its identity; restored: what a start found on it."""

    disk: str
    restored: ev.RestoredState

    def write(self, writes: list[ev.Persist]) -> None:
        """Write and sync all of these, with one sync.

        :raises StoreError: it is final for this process
        """

    def close(self) -> None:
        """Close its files."""


class MemberTransport(Protocol):
    """Carries payloads to other members: a transport or a stand-in."""

    counts: Counter[str]

    async def listen(self, address: tuple[str, int]) -> int:
        """Take connections of other members, and return the port."""

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """Send a payload to a member; it may be lost."""

    async def close(self) -> None:
        """Close all connections."""


@dataclass(frozen=True, slots=True)
class Environment:
    """What a member runs on. write_to_disk: carries out a store's write, off the event loop."""

    disk: Callable[[Path], Disk] = Store.open
    transport: Callable[[Callable[[bytes], bool]], MemberTransport] = Transport
    write_to_disk: Callable[[Callable[[], None]], Awaitable[None]] = asyncio.to_thread
    random: Random = field(default_factory=SystemRandom)
    event_log: Callable[[str], EventSink] = EventLog
