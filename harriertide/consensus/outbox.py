"""Effects of a step in their order, and the messages that wait for the disk.

A message that promises something (a vote, a term, a copy of an entry) leaves only after what it promises is
synced. A member that promised more than its disk keeps would break ELECTION and COMMIT by a crash.
"""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.events import LogEvent
from harriertide.consensus.messages import Entry, Message, Snapshot, VoteResponse
from harriertide.consensus.state import PendingPersist, RaftState, moving_average

SYNC_TIME_WEIGHT = 0.3  # of the latest sync in the moving average: about the last three count


class Outbox:
    """The effects of the present step. Messages that wait for the disk are part of the RaftState."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._effects: list[ev.Effect] = []

    def begin_step(self) -> None:
        """Forget effects of a step that ended by an error."""
        self._effects = []

    def take_effects(self) -> list[ev.Effect]:
        """The effects of this step."""
        effects, self._effects = self._effects, []
        return effects

    def emit(self, effect: ev.Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def log(self, event: LogEvent, detail: str = "") -> None:
        """Add a log line of the present term."""
        self.emit(ev.LogLine(event, self._state.term, detail))

    def commit(self, index: int) -> None:
        """Commit the log up to an index."""
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
        """Have the term, the vote and these changes of the log written and synced.

        :param term_changed: the term or the vote is new: promises about them wait for this write
        :param truncate_from: entries from this index on are void; 0 for none
        """
        state, disk = self._state, self._state.disk
        disk.last_number += 1
        disk.pending.append(PendingPersist(disk.last_number, state.log.last_index))
        if term_changed:
            disk.term_number = disk.last_number
        self.emit(
            ev.Persist(
                disk.last_number, state.cluster, state.term, state.voted_for, truncate_from, entries, snapshot
            )
        )

    def forget_durable_from(self, index: int) -> None:
        """Count nothing from this index on as durable, now or once the pending writes are synced.

        Guards against a sync of an entry that was replaced meanwhile: it would count as a copy of the entry
        that now stands at its index.
        """
        state = self._state
        state.durable_index = min(state.durable_index, index - 1)
        for persist in state.disk.pending:
            persist.last_index = min(persist.last_index, index - 1)

    def on_synced(self, event: ev.Synced) -> bool:
        """Record a sync, and send the messages that waited for it.

        :returns: whether anything is durable that was not before
        """
        state, disk = self._state, self._state.disk
        if event.number <= disk.synced_number:
            return False
        disk.synced_number = event.number
        if event.took_us:
            disk.sync_us = moving_average(disk.sync_us, event.took_us, SYNC_TIME_WEIGHT)
        while disk.pending and disk.pending[0].number <= event.number:
            state.durable_index = max(state.durable_index, disk.pending.popleft().last_index)
        while disk.waiting and disk.waiting[0][0] <= event.number:
            message = disk.waiting.popleft()[1]
            if message.term == state.term or isinstance(message, VoteResponse):
                self.emit(ev.SendMessage(message))
        return True

    def send(self, message: Message) -> None:
        """Send at once a message that promises nothing."""
        self.emit(ev.SendMessage(message))

    def send_when_durable(self, message: Message) -> None:
        """Send a message once all that was to be written by now is synced."""
        disk = self._state.disk
        if disk.synced_number < disk.last_number:
            disk.waiting.append((disk.last_number, message))
        else:
            self.emit(ev.SendMessage(message))

    def send_when_term_durable(self, message: Message) -> None:
        """Send a message once the present term and vote are synced, be other writes pending or not."""
        disk = self._state.disk
        if not disk.is_term_durable:
            disk.waiting.append((disk.term_number, message))
        else:
            self.emit(ev.SendMessage(message))
