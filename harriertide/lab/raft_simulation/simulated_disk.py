"""A member's disk: what is durable, and the writes that are not yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from harriertide.consensus.events import Persist, RestoredState
from harriertide.lab.simulation.durable_state import after_write

SYNC_US = 500  # mean time of a write and its sync


@dataclass
class SimulatedDisk:
    """A disk with an identity, which outlives the processes that use it.

    :ivar sync_us: mean time of a write and its sync
    :ivar drops_votes: a seeded bug: reports a vote as durable, and does not keep it
    :ivar fails_syncs: whether each sync fails
    :ivar durable: what a start finds
    :ivar unsynced: writes that are not durable yet, oldest first
    """

    id: str
    drops_votes: bool = False
    sync_us: int = SYNC_US
    fails_syncs: bool = False
    durable: RestoredState = RestoredState()
    unsynced: deque[Persist] = field(default_factory=deque)

    def write(self, write: Persist) -> None:
        """Take a write; it is durable only after a sync."""
        self.unsynced.append(write)

    def sync(self, number: int) -> None:
        """Make all writes up to this number durable."""
        while self.unsynced and self.unsynced[0].number <= number:
            self._make_durable(self.unsynced.popleft())

    def crash(self, surviving_count: int) -> None:
        """Lose the unsynced writes, but for so many of the oldest, which happen to be durable."""
        for _ in range(surviving_count):
            self._make_durable(self.unsynced.popleft())
        self.unsynced.clear()

    def _make_durable(self, write: Persist) -> None:
        if self.drops_votes:
            write = replace(write, voted_for=None)
        self.durable = after_write(self.durable, write)
