"""An observer: a broker without disk or vote that applies the entries committed by the voters.

The code performs no I/O.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from harriertide.consensus.applied_state import AppliedState
from harriertide.consensus.fanout_messages import TreeUpdate
from harriertide.consensus.messages import Entry
from harriertide.consensus.state import IncomingSnapshot

# Entries kept for lagging children, as many as a voter keeps. A child that needs older ones gets a snapshot.
MAX_KEPT_ENTRIES = 1024


class AppliedEntry(NamedTuple):
    """An applied entry.

    :param took_effect: False for a repeated command and for an entry without a command
    :param digest: the hash chain after the entry
    """

    entry: Entry
    answer: bytes
    took_effect: bool
    digest: int


class Observer:
    """Applies the parent's updates in log order and keeps entries for its own children in the tree."""

    def __init__(self, applied_state: AppliedState) -> None:
        self.applied_state = applied_state
        self._entries: deque[Entry] = deque(maxlen=MAX_KEPT_ENTRIES)
        self._incoming = IncomingSnapshot()

    def apply_update(self, update: TreeUpdate) -> list[AppliedEntry]:
        """Add the update's snapshot chunk if the snapshot is newer, then apply the entries that come next."""
        if update.snapshot_index > self.applied_state.last_applied:
            self._add_chunk(update)
        applied = []
        for entry in update.entries:
            if entry.index == self.applied_state.last_applied + 1:
                answer, took_effect = self.applied_state.apply(entry)
                self._entries.append(entry)
                applied.append(AppliedEntry(entry, answer, took_effect, self.applied_state.digest))
        return applied

    def _add_chunk(self, update: TreeUpdate) -> None:
        """Add a chunk if it is the next one, and load the snapshot once it is complete."""
        key = (update.snapshot_index, update.checksum)
        if self._incoming.key != key:
            self._incoming = IncomingSnapshot(key)
        if not self._incoming.add_chunk(update.offset, update.data, update.total_bytes):
            return
        data = self._incoming.take_data(update.checksum)
        # A snapshot with a checksum mismatch is dropped; the parent resends it after the next report.
        if data is not None:
            self.applied_state.load(update.snapshot_index, data)
            self._entries.clear()

    def entries_after(self, index: int, max_count: int) -> tuple[Entry, ...] | None:
        """Return entries after an index for a child; None if they are no longer kept."""
        if index >= self.applied_state.last_applied:
            return ()
        if not self._entries or self._entries[0].index > index + 1:
            return None
        first = index + 1 - self._entries[0].index
        last = min(len(self._entries), first + max_count)
        return tuple(self._entries[position] for position in range(first, last))
