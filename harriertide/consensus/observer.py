"""An observer: a broker that applies what the voters commit, and has no disk and no vote. Pure."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from harriertide.consensus.applied_state import AppliedState
from harriertide.consensus.fanout_messages import TreeUpdate
from harriertide.consensus.messages import Entry
from harriertide.consensus.state import IncomingSnapshot

# Entries kept for children that are behind: as many as a voter keeps; who lacks more is sent a snapshot.
KEPT_ENTRY_COUNT = 1024


class AppliedEntry(NamedTuple):
    """An entry that was applied.

    :param fresh: False for a repeated command, which had no effect
    :param digest: the state's chain of hashes behind it
    """

    entry: Entry
    answer: bytes
    fresh: bool
    digest: int


class Observer:
    """Applies updates of the parent in order, and keeps entries for its own children."""

    def __init__(self, applied_state: AppliedState) -> None:
        self.applied_state = applied_state
        self._entries: deque[Entry] = deque(maxlen=KEPT_ENTRY_COUNT)
        self._incoming = IncomingSnapshot()

    def apply_update(self, update: TreeUpdate) -> list[AppliedEntry]:
        """Apply the entries that come next, or take a chunk of a snapshot."""
        if update.snapshot_index > self.applied_state.last_applied:
            self._add_chunk(update)
        applied = []
        for entry in update.entries:
            if entry.index == self.applied_state.last_applied + 1:
                answer, fresh = self.applied_state.apply(entry)
                self._entries.append(entry)
                applied.append(AppliedEntry(entry, answer, fresh, self.applied_state.digest))
        return applied

    def _add_chunk(self, update: TreeUpdate) -> None:
        """Add a chunk that comes next, and load the snapshot once all of it is here."""
        key = (update.snapshot_index, update.checksum)
        if self._incoming.key != key:
            self._incoming = IncomingSnapshot(key)
        if not self._incoming.add_chunk(update.offset, update.data, update.total_bytes):
            return
        data = self._incoming.take_data(update.checksum)
        # One that was damaged on its way is dropped: the parent sends it again after the next report.
        if data is not None:
            self.applied_state.load(update.snapshot_index, data)
            self._entries.clear()

    def entries_after(self, index: int, max_count: int) -> tuple[Entry, ...] | None:
        """Entries behind an index, for a child; None where they are not kept any more."""
        if index >= self.applied_state.last_applied:
            return ()
        if not self._entries or self._entries[0].index > index + 1:
            return None
        first = index + 1 - self._entries[0].index
        last = min(len(self._entries), first + max_count)
        return tuple(self._entries[position] for position in range(first, last))
