"""The ordered effects of a step, and the messages that wait for a disk sync.

A message that asserts durable data (a vote, a term, a copy of an entry) is sent only after the data is
synced. Otherwise a crash could lose the data and violate ELECTION and COMMIT.
"""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.events import LogEvent
from harriertide.consensus.messages import Entry, Message, Snapshot, VoteResponse
from harriertide.consensus.state import PendingPersist, RaftState, moving_average

SYNC_TIME_WEIGHT = 0.3  # weight of the latest sample: the average covers about three samples


class Outbox:
    """Collects the effects of the current step. Messages that wait for the disk are part of the RaftState."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._effects: list[ev.Effect] = []

    def begin_step(self) -> None:
        """Discard the effects of a step that raised an exception."""
        self._effects = []

    def take_effects(self) -> list[ev.Effect]:
        """Remove and return the effects of this step."""
        effects, self._effects = self._effects, []
        return effects

    def emit(self, effect: ev.Effect) -> None:
        """Add an effect to the current step."""
        self._effects.append(effect)

    def log(self, event: LogEvent, detail: str = "") -> None:
        """Add a log line with the current term."""
        self.emit(ev.LogLine(event, self._state.term, detail))

    def commit(self, index: int) -> None:
        """Advance the commit index and emit the newly committed entries."""
        state = self._state
        entries = tuple(state.log.entry_at(i) for i in range(state.commit_index + 1, index + 1))
        state.commit_index = index
        self.emit(ev.Committed(entries))

    def persist(
        self,
        term_changed: bool = False,
        truncate_from: int = 0,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Emit a Persist with the term, the vote and these log changes.

        :param term_changed: the term or the vote has changed; messages that assert them wait for this Persist
        :param truncate_from: index of the first entry to remove; 0 removes none
        """
        state, disk = self._state, self._state.disk
        disk.last_persist_number += 1
        disk.pending_persists.append(PendingPersist(disk.last_persist_number, state.log.last_index))
        if term_changed:
            disk.term_persist_number = disk.last_persist_number
        self.emit(
            ev.Persist(
                disk.last_persist_number,
                state.cluster,
                state.term,
                state.voted_for,
                truncate_from,
                entries,
                snapshot,
            )
        )

    def forget_durable_from(self, index: int) -> None:
        """Treat no entry from this index on as durable, now or when the pending Persists are synced.

        Otherwise the sync of a truncated entry would count as a synced copy of the new entry at its index.
        """
        state = self._state
        state.durable_index = min(state.durable_index, index - 1)
        for persist in state.disk.pending_persists:
            persist.last_index = min(persist.last_index, index - 1)

    def on_synced(self, event: ev.Synced) -> bool:
        """Record a sync and send the messages that waited for the sync.

        :returns: whether the sync covers a Persist that was not synced before
        """
        state, disk = self._state, self._state.disk
        if event.number <= disk.synced_persist_number:
            return False
        disk.synced_persist_number = event.number
        if event.took_us:
            disk.sync_us = moving_average(disk.sync_us, event.took_us, SYNC_TIME_WEIGHT)
        while disk.pending_persists and disk.pending_persists[0].number <= event.number:
            state.durable_index = max(state.durable_index, disk.pending_persists.popleft().last_index)
        while disk.waiting_messages and disk.waiting_messages[0][0] <= event.number:
            message = disk.waiting_messages.popleft()[1]
            if message.term == state.term or isinstance(message, VoteResponse):
                self.emit(ev.SendMessage(message))
        return True

    def send(self, message: Message) -> None:
        """Send a message immediately, as it asserts no unsynced data."""
        self.emit(ev.SendMessage(message))

    def send_when_durable(self, message: Message) -> None:
        """Send a message once all Persists issued so far are synced."""
        disk = self._state.disk
        if disk.synced_persist_number < disk.last_persist_number:
            disk.waiting_messages.append((disk.last_persist_number, message))
        else:
            self.emit(ev.SendMessage(message))

    def send_when_term_durable(self, message: Message) -> None:
        """Send a message once the current term and vote are synced, even if other Persists are pending."""
        disk = self._state.disk
        if not disk.is_term_durable:
            disk.waiting_messages.append((disk.term_persist_number, message))
        else:
            self.emit(ev.SendMessage(message))
