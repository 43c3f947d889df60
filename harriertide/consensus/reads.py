"""Linearizable reads by ReadIndex (Ongaro 2014, 6.4): a majority confirms the leader without a log entry."""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.state import PendingRead, RaftState


class ReadIndex:
    """Tracks the reads that were requested from this leader and are not confirmed yet."""

    def __init__(self, state: RaftState, outbox: Outbox) -> None:
        self._state = state
        self._outbox = outbox

    def request(self, number: int) -> bool:
        """Register a read, or abort the read if this node is not the leader.

        :returns: whether the caller must start a heartbeat round for the read
        """
        state = self._state
        if not state.is_leader:
            self._outbox.emit(ev.ReadAborted(number))
            return False
        if not state.has_committed_own_term:
            state.leadership.deferred_reads.append(number)
            return False
        next_round = state.leadership.heartbeat_round + 1
        state.leadership.pending_reads.append(PendingRead(next_round, number, state.commit_index))
        return True

    def take_deferred(self) -> list[int]:
        """Remove and return the reads that waited for the first commit of the leader's own term."""
        leadership = self._state.leadership
        deferred, leadership.deferred_reads = leadership.deferred_reads, []
        return deferred

    def confirm(self) -> None:
        """Confirm reads whose round a majority has answered: no later leader existed when they arrived."""
        state = self._state
        leadership = state.leadership
        if not leadership.pending_reads:
            return
        progress_of = leadership.progress
        rounds = [
            leadership.heartbeat_round if voter == state.me else progress_of[voter].last_answered_round
            for voter in state.members.voters
        ]
        answered_round = state.members.majority_value(rounds)
        while leadership.pending_reads and leadership.pending_reads[0].heartbeat_round <= answered_round:
            read = leadership.pending_reads.popleft()
            self._outbox.emit(ev.ReadConfirmed(read.number, read.index))
