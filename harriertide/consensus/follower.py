"""A broker that follows what the voters agree on, and has no disk and no vote. Pure."""

from __future__ import annotations

from collections import deque

import xxhash

from harriertide.consensus.fanout import TreeUpdate
from harriertide.consensus.messages import Entry
from harriertide.consensus.replica import AppliedState

KEPT = 1024  # entries for children that are behind


class Follower:
    """Takes feeds in order; what it was given goes on to its children."""

    def __init__(self, applied_state: AppliedState) -> None:
        self.applied_state = applied_state
        self.entries: deque[Entry] = deque(maxlen=KEPT)
        self.snapshot = b""
        self.snapshot_index = 0
        self._coming: tuple[int, int] = (0, 0)
        self._held = bytearray()

    @property
    def held(self) -> int:
        """How much of a snapshot is here."""
        return len(self._held)

    def apply_update(self, feed: TreeUpdate) -> list[tuple[Entry, bytes, bool, int]]:
        """What it brought: entries with their answers and the state's hash behind each, in order."""
        if feed.snapshot > self.applied_state.applied:
            self._piece(feed)
        found = []
        for entry in feed.entries:
            if entry.index == self.applied_state.applied + 1:
                answer, fresh = self.applied_state.apply(entry)
                self.entries.append(entry)
                found.append((entry, answer, fresh, self.applied_state.digest))
        return found

    def _piece(self, feed: TreeUpdate) -> None:
        if self._coming != (feed.snapshot, feed.check):
            self._coming, self._held = (feed.snapshot, feed.check), bytearray()
        if feed.offset == len(self._held):
            self._held += feed.data
        if len(self._held) < feed.total:
            return
        data, self._held = bytes(self._held), bytearray()
        if xxhash.xxh3_64_intdigest(data) == feed.check:
            self.applied_state.load(feed.snapshot, data)
            self.entries.clear()
            self.snapshot, self.snapshot_index = data, feed.snapshot

    def entries_after(self, index: int, most: int) -> tuple[Entry, ...] | None:
        """Entries behind an index, for a child; None where they are not kept any more."""
        if index >= self.applied_state.applied:
            return ()
        if not self.entries or self.entries[0].index > index + 1:
            return None
        first = index + 1 - self.entries[0].index
        return tuple(self.entries[place] for place in range(first, min(len(self.entries), first + most)))
