"""The in-memory log: the entries after the snapshot, and the memberships that they set."""

from __future__ import annotations

from harriertide.consensus.messages import EMPTY_MEMBERSHIP, Entry, Membership, decode_membership

ENTRY_OVERHEAD_BYTES = 32  # estimate for an encoded entry without its data, used for batch sizes


class Log:
    """Entries base_index + 1 to last_index; the snapshot covers the entries up to base_index.

    A membership applies from the index of its entry, committed or not (Ongaro 2014, 4.1), until the next
    membership entry. Truncating the entry restores the previous membership.
    """

    __slots__ = ("base_index", "base_term", "base_members", "entries", "_memberships")

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        base_members: Membership = EMPTY_MEMBERSHIP,
        entries: tuple[Entry, ...] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.base_members = base_members
        self.entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = []  # entry index and membership
        for entry in entries:
            self.append(entry)

    def copy(self) -> Log:
        """Return an independent copy."""
        new = Log(self.base_index, self.base_term, self.base_members)
        new.entries = list(self.entries)
        new._memberships = list(self._memberships)
        return new

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self) -> Membership:
        """The latest membership, committed or not."""
        return self._memberships[-1][1] if self._memberships else self.base_members

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the latest membership, or of the snapshot."""
        return self._memberships[-1][0] if self._memberships else self.base_index

    def members_at(self, index: int) -> Membership:
        """Return the membership that applies at an index."""
        latest = self.base_members
        for entry_index, members in self._memberships:
            if entry_index <= index:
                latest = members
        return latest

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index; None if the log does not hold the entry."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int, max_count: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from index + 1 on within both limits, at least one if the log holds any."""
        batch: list[Entry] = []
        size_bytes = 0
        first = index - self.base_index
        for position in range(first, min(len(self.entries), first + max_count)):
            entry = self.entries[position]
            size_bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entry: Entry) -> None:
        """Append an entry after the last one."""
        self.entries.append(entry)
        if entry.kind == "members":
            self._memberships.append((entry.index, decode_membership(entry.data)))

    def truncate(self, index: int) -> None:
        """Remove the entry at an index, all later entries and the memberships that they set."""
        del self.entries[index - self.base_index - 1 :]
        self._memberships = [item for item in self._memberships if item[0] < index]

    def compact(self, index: int) -> None:
        """Remove the entries that a snapshot at this index covers."""
        term = self.term_at(index)
        assert term is not None
        self.base_members = self.members_at(index)
        self._memberships = [item for item in self._memberships if item[0] > index]
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log whose entry has the same term as the entry at this index."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
