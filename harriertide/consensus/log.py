"""The entries that a member holds in memory: those behind its snapshot."""

from __future__ import annotations

from harriertide.consensus.messages import Entry


class Log:
    """Entries base_index + 1 to last_index. What is before is in the snapshot."""

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base_index: int = 0, base_term: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        self.base_index, self.base_term = base_index, base_term
        self.entries: list[Entry] = list(entries)

    @property
    def last_index(self) -> int:
        """Of the last entry; that of the snapshot where there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """None where the log does not reach, or does not reach back."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        """The entry there."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int, max_count: int, max_bytes: int) -> tuple[Entry, ...]:
        """Entries from index + 1 on, at least one where there is one."""
        found: list[Entry] = []
        size = 0
        for place in range(
            index - self.base_index, min(len(self.entries), index - self.base_index + max_count)
        ):
            entry = self.entries[place]
            size += len(entry.data) + 32
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entry: Entry) -> None:
        """Put it last."""
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Take away this one and all behind."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Let go of what a snapshot covers."""
        term = self.term_at(index)
        assert term is not None
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def first_index_of_term(self, index: int) -> int:
        """The first index held whose entry is of the same term as that at index."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
