"""The follower side of AppendEntries (Ongaro 2014, 3.5).

MATCH      If two logs hold an entry with the same index and term, they are equal up to that entry.
COMPLETE   A committed entry is in the log of every leader of a later term.
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
    """Build the response to an append, or to a snapshot chunk whose snapshot is covered by the log."""
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
    """Appends the leader's entries to the follower's log."""

    def __init__(self, state: RaftState, outbox: Outbox, roles: Roles) -> None:
        self._state = state
        self._outbox = outbox
        self._roles = roles

    def on_append_request(self, message: AppendRequest) -> None:
        """Append missing entries, or reject the request if the log does not match the leader's."""
        self._roles.accept_leader(message)
        log = self._state.log
        entries = message.entries
        if message.prev_index < log.base_index:  # the snapshot covers some of the entries
            last_sent_index = message.prev_index + len(message.entries)
            if last_sent_index < log.base_index:
                self._accept(message, log.base_index)
                return
            entries = tuple(entry for entry in entries if entry.index > log.base_index)
        elif log.term_at(message.prev_index) != message.prev_term:
            self._reject(message)
            return
        self._store_entries(entries)
        received_index = max(message.prev_index + len(message.entries), log.base_index)
        self._accept(message, received_index)
        commit_index = min(message.commit_index, received_index)
        if commit_index > self._state.commit_index:
            self._outbox.commit(commit_index)

    def reject_stale_leader(self, message: AppendRequest | SnapshotChunk) -> None:
        """Reject a leader of an earlier term, which learns the newer term only from this response."""
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

    def _store_entries(self, entries: tuple[Entry, ...]) -> None:
        log = self._state.log
        added: list[Entry] = []
        truncated_from = 0
        for entry in entries:
            term = log.term_at(entry.index)
            if term == entry.term:
                continue  # MATCH: the log holds this entry already
            if term is not None:
                self._truncate(entry.index)
                truncated_from = entry.index
            log.append(entry)
            added.append(entry)
        if added:
            self._outbox.persist(truncate_from=truncated_from, entries=tuple(added))

    def _truncate(self, index: int) -> None:
        """Remove entries of an earlier leader that conflict with the current leader's."""
        if index <= self._state.commit_index:
            raise InvariantViolationError(f"COMPLETE: entry {index} was committed and is to change")
        self._state.log.truncate(index)
        self._outbox.forget_durable_from(index)

    def _reject(self, message: AppendRequest) -> None:
        """Reject with a hint where the logs may match, so that the leader backs up one term per rejection."""
        state = self._state
        hint_index = state.log.last_index
        if message.prev_index <= hint_index:
            index_before_term = state.log.first_index_of_term(message.prev_index) - 1
            hint_index = max(index_before_term, state.commit_index)
        response = append_response(state, message, False, message.prev_index, hint_index, match_index=0)
        self._outbox.send_when_term_durable(response)

    def _accept(self, message: AppendRequest, received_index: int) -> None:
        """Acknowledge the synced entries immediately and the others once they are synced.

        The immediate response keeps the leader from taking a member with a slow disk for disconnected.
        """
        state, prev_index = self._state, message.prev_index
        match_index = min(received_index, state.durable_index)
        response = append_response(state, message, True, prev_index, received_index, match_index)
        self._outbox.send_when_term_durable(response)
        if match_index < received_index:
            response = append_response(state, message, True, prev_index, received_index, received_index)
            self._outbox.send_when_durable(response)
