"""Snapshots: replacing the log by a dump of the state machine, and sending it in chunks to a member whose log
is too far behind (InstallSnapshot; Ongaro 2014, chapter 5).
"""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.append_entries import append_response
from harriertide.consensus.events import LogEvent
from harriertide.consensus.log import Log
from harriertide.consensus.messages import (
    AppendResponse,
    Member,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkResponse,
)
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.roles import Roles
from harriertide.consensus.state import IncomingSnapshot, PeerProgress, RaftState


def compact_log(state: RaftState, outbox: Outbox, event: ev.SnapshotTaken) -> None:
    """Replace the log up to an index by a dump of the state machine.

    Ignored where the index is not committed, or covered by a snapshot already.
    """
    term = state.log.term_at(event.index)
    if term is None or event.index <= state.log.base_index or event.index > state.commit_index:
        return
    members = state.log.members_at(event.index)
    state.snapshot = Snapshot(event.index, term, members, event.data, event.checksum)
    state.log.compact(event.index)
    outbox.persist(snapshot=state.snapshot)


class SnapshotSender:
    """As leader: sends the snapshot, one chunk for each response."""

    def __init__(self, state: RaftState, outbox: Outbox) -> None:
        self._state = state
        self._outbox = outbox

    def start(self, member: Member, progress: PeerProgress) -> None:
        """Send the present snapshot to a member, from its first chunk on."""
        progress.snapshot = self._state.snapshot
        progress.offset = 0
        self.send_chunk(member, progress)

    def send_chunk(self, member: Member, progress: PeerProgress) -> None:
        """Send the next chunk."""
        assert progress.snapshot is not None
        first = progress.offset
        data = progress.snapshot.data[first : first + self._state.tuning.snapshot_chunk_bytes]
        progress.chunk_sent_us = self._state.now_us
        self._send(member, progress, data)

    def send_heartbeat(self, member: Member, progress: PeerProgress) -> None:
        """Send a chunk without data, so that the member hears its leader."""
        self._send(member, progress, b"")

    def resend_if_lost(self, member: Member, progress: PeerProgress) -> None:
        """Send a chunk again whose response is overdue by two heartbeats."""
        if progress.snapshot is None:
            return
        if self._state.now_us - progress.chunk_sent_us > 2 * self._state.tuning.heartbeat_us:
            self.send_chunk(member, progress)

    def on_chunk_response(self, message: SnapshotChunkResponse, progress: PeerProgress) -> None:
        """Send the chunk that the member asks for: the next one, or an earlier one that was lost."""
        if progress.snapshot is None or progress.snapshot.index != message.snapshot_index:
            return
        if message.offset != progress.offset:
            progress.offset = message.offset
            self.send_chunk(message.sender, progress)

    def _send(self, member: Member, progress: PeerProgress, data: bytes) -> None:
        state, snapshot = self._state, progress.snapshot
        assert snapshot is not None
        chunk = SnapshotChunk(
            cluster=state.cluster,
            sender=state.me,
            to=member,
            term=state.term,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members,
            total_bytes=len(snapshot.data),
            checksum=snapshot.checksum,
            offset=progress.offset,
            data=data,
            heartbeat_round=state.leadership.heartbeat_round,
            election_timeout_us=state.election_timeout_us,
        )
        self._outbox.send(chunk)


class SnapshotReceiver:
    """As follower: puts the chunks together and installs the snapshot."""

    def __init__(self, state: RaftState, outbox: Outbox, roles: Roles) -> None:
        self._state = state
        self._outbox = outbox
        self._roles = roles

    def on_chunk(self, message: SnapshotChunk) -> None:
        """Take a chunk: the response says which one comes next, or that the snapshot is here."""
        self._roles.accept_leader(message)
        state = self._state
        if message.snapshot_index <= state.commit_index:
            # The log reaches at least as far: the leader goes on with appends once it knows.
            match_index = min(message.snapshot_index, state.durable_index)
            self._outbox.send_when_term_durable(self._append_response(message, match_index))
            return
        snapshot = self._add_chunk(message)
        if snapshot is None:
            self._outbox.send_when_term_durable(self._chunk_response(message))
            return
        state.incoming = IncomingSnapshot()
        self._install(snapshot)
        # A promise that the snapshot is here: not before it is synced.
        self._outbox.send_when_durable(self._append_response(message, message.snapshot_index))

    def _add_chunk(self, message: SnapshotChunk) -> Snapshot | None:
        """Add a chunk that comes next.

        :returns: the snapshot, once all of it is here and its checksum is right
        """
        key = (message.snapshot_index, message.snapshot_term, message.checksum)
        if self._state.incoming.key != key:
            self._state.incoming = IncomingSnapshot(key)
        incoming = self._state.incoming
        if not incoming.add_chunk(message.offset, message.data, message.total_bytes):
            return None
        data = incoming.take_data(message.checksum)
        if data is None:
            # A chunk was damaged on its way, nobody knows which: the response asks for all from the start.
            self._outbox.log(LogEvent.SNAPSHOT, "damaged on its way")
            return None
        return Snapshot(
            message.snapshot_index, message.snapshot_term, message.members, data, message.checksum
        )

    def _install(self, snapshot: Snapshot) -> None:
        """Replace the log up to the leader's snapshot by it; the whole log where that differs."""
        state = self._state
        truncate_from = 0
        if state.log.term_at(snapshot.index) == snapshot.term:
            state.log.compact(snapshot.index)
        else:
            if state.log.entries:
                truncate_from = state.log.base_index + 1
            state.log = Log(snapshot.index, snapshot.term, snapshot.members)
            self._outbox.forget_durable_from(1)
        state.snapshot = snapshot
        state.commit_index = snapshot.index
        self._outbox.persist(truncate_from=truncate_from, snapshot=snapshot)
        self._outbox.emit(ev.InstallSnapshot(snapshot))

    def _append_response(self, message: SnapshotChunk, match_index: int) -> AppendResponse:
        index = message.snapshot_index
        return append_response(self._state, message, True, index, index, match_index)

    def _chunk_response(self, message: SnapshotChunk) -> SnapshotChunkResponse:
        state = self._state
        return SnapshotChunkResponse(
            cluster=state.cluster,
            sender=state.me,
            to=message.sender,
            term=state.term,
            snapshot_index=message.snapshot_index,
            offset=len(state.incoming.data),
            heartbeat_round=message.heartbeat_round,
        )
