"""The follower's side of AppendEntries (Ongaro 2014, 3.5).

MATCH      equal index and term: equal entries, here and before
COMPLETE   what is committed is in the log of every later leader
"""

from __future__ import annotations

from harriertide.consensus.messages import AppendRequest, AppendResponse, Entry, SnapshotChunk
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.roles import InvariantViolationError, Roles
from harriertide.consensus.state import RaftState


def append_response(
    state: RaftState,
    request: AppendRequest | SnapshotChunk,
    success: bool,
    prev_index: int,
    received_index: int,
    match_index: int,
) -> AppendResponse:
    """The response to an append, or to a chunk that completes a snapshot."""
    return AppendResponse(
        cluster=state.cluster,
        sender=state.me,
        to=request.sender,
        term=state.term,
        success=success,
        prev_index=prev_index,
        received_index=received_index,
        match_index=match_index,
        heartbeat_round=request.heartbeat_round,
        sync_us=int(state.disk.sync_us),
    )


class AppendReceiver:
    """Takes entries of the leader into the log."""

    def __init__(self, state: RaftState, outbox: Outbox, roles: Roles) -> None:
        self._state = state
        self._outbox = outbox
        self._roles = roles

    def on_append_request(self, message: AppendRequest) -> None:
        """Append what the log lacks, or refuse where it does not agree with the leader's."""
        self._roles.accept_leader(message)
        log = self._state.log
        entries = message.entries
        if message.prev_index < log.base_index:  # the snapshot covers a part of it
            last_sent_index = message.prev_index + len(message.entries)
            if last_sent_index < log.base_index:
                self._accept(message, log.base_index)
                return
            entries = tuple(entry for entry in entries if entry.index > log.base_index)
        elif log.term_at(message.prev_index) != message.prev_term:
            self._refuse(message)
            return
        self._store(entries)
        received_index = max(message.prev_index + len(message.entries), log.base_index)
        self._accept(message, received_index)
        commit_index = min(message.commit_index, received_index)
        if commit_index > self._state.commit_index:
            self._outbox.commit(commit_index)

    def reject_stale_leader(self, message: AppendRequest | SnapshotChunk) -> None:
        """Answer a leader of an earlier term, which learns the newer term from it and from nothing else."""
        state = self._state
        response = AppendResponse(
            cluster=state.cluster,
            sender=state.me,
            to=message.sender,
            term=state.term,
            success=False,
            prev_index=0,
            received_index=0,
            match_index=0,
            heartbeat_round=0,
            sync_us=0,
        )
        self._outbox.send_when_term_durable(response)

    def _store(self, entries: tuple[Entry, ...]) -> None:
        log = self._state.log
        added: list[Entry] = []
        truncated_from = 0
        for entry in entries:
            term = log.term_at(entry.index)
            if term == entry.term:
                continue  # MATCH: it is here already
            if term is not None:
                self._truncate(entry.index)
                truncated_from = entry.index
            log.append(entry)
            added.append(entry)
        if added:
            self._outbox.persist(truncate_from=truncated_from, entries=tuple(added))

    def _truncate(self, index: int) -> None:
        """Remove entries of an earlier leader that differ from this one's."""
        if index <= self._state.commit_index:
            raise InvariantViolationError(f"COMPLETE: entry {index} was committed and is to change")
        self._state.log.truncate(index)
        self._outbox.forget_durable_from(index)

    def _refuse(self, message: AppendRequest) -> None:
        """Answer where the logs may agree: the leader skips a whole term at a time on its way back."""
        state = self._state
        hint_index = state.log.last_index
        if message.prev_index <= hint_index:
            before_term = state.log.first_index_of_term(message.prev_index) - 1
            hint_index = max(before_term, state.commit_index)
        response = append_response(state, message, False, message.prev_index, hint_index, match_index=0)
        self._outbox.send_when_term_durable(response)

    def _accept(self, message: AppendRequest, received_index: int) -> None:
        """Answer at once with what is synced, and again when the rest is: a slow disk is not silence."""
        state, prev_index = self._state, message.prev_index
        match_index = min(received_index, state.durable_index)
        response = append_response(state, message, True, prev_index, received_index, match_index)
        self._outbox.send_when_term_durable(response)
        if match_index < received_index:
            response = append_response(state, message, True, prev_index, received_index, received_index)
            self._outbox.send_when_durable(response)
