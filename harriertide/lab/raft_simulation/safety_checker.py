"""Checks what members emit against Raft's safety properties. Shares no code with the members."""

from __future__ import annotations

from harriertide.consensus.events import LogEvent, LogLine
from harriertide.consensus.replica import EntryApplied


class SafetyChecker:
    """Watches all members during a run.

    :ivar violations: each property that does not hold, in plain words
    :ivar leaders: by term: the first member that won it
    :ivar election_count: how often a member became leader
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.leaders: dict[int, str] = {}
        self.election_count = 0
        self._digests: dict[int, int] = {}  # by index: of the first member that applied it

    def on_entry_applied(self, host: str, effect: EntryApplied) -> None:
        """State machine safety: all members have the same state at an index."""
        if self._digests.setdefault(effect.index, effect.digest) != effect.digest:
            self.violations.append(f"{host}: another state at index {effect.index}")

    def on_log_line(self, host: str, line: LogLine) -> None:
        """Election safety: at most one leader a term; and no member finds an invariant broken."""
        if line.event == LogEvent.BECAME_LEADER:
            self.election_count += 1
            leader = self.leaders.setdefault(line.term, host)
            if leader != host:
                self.violations.append(f"term {line.term}: {leader} and {host} lead")
        elif line.event == LogEvent.INVARIANT_VIOLATED:
            self.violations.append(f"{host}: {line.detail}")
