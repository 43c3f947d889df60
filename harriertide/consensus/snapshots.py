"""Snapshots: compacting the log, and sending the snapshot in chunks to a member that needs compacted entries
(InstallSnapshot; Ongaro 2014, chapter 5).
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
    """Replace the log up to an index with a snapshot of the state machine.

    Does nothing if the index is not committed or a snapshot covers the index already.
    """
    term = state.log.term_at(event.index)
    if term is None or event.index <= state.log.base_index or event.index > state.commit_index:
        return
    members = state.log.members_at(event.index)
    state.snapshot = Snapshot(event.index, term, members, event.data, event.checksum)
    state.log.compact(event.index)
    outbox.persist(snapshot=state.snapshot)


class SnapshotSender:
    """Sends the leader's snapshot to a member, one chunk per response."""

    def __init__(self, state: RaftState, outbox: Outbox) -> None:
        self._state = state
        self._outbox = outbox

    def start(self, member: Member, progress: PeerProgress) -> None:
        """Start sending the latest snapshot to a member, beginning with the first chunk."""
        progress.snapshot = self._state.snapshot
        progress.snapshot_offset = 0
        self.send_chunk(member, progress)

    def send_chunk(self, member: Member, progress: PeerProgress) -> None:
        """Send the next chunk."""
        assert progress.snapshot is not None
        first = progress.snapshot_offset
        data = progress.snapshot.data[first : first + self._state.tuning.snapshot_chunk_bytes]
        progress.chunk_sent_us = self._state.now_us
        self._send(member, progress, data)

    def send_heartbeat(self, member: Member, progress: PeerProgress) -> None:
        """Send a chunk without data as a heartbeat."""
        self._send(member, progress, b"")

    def resend_if_lost(self, member: Member, progress: PeerProgress) -> None:
        """Resend the current chunk if its response is missing for two heartbeat intervals."""
        if progress.snapshot is None:
            return
        if self._state.now_us - progress.chunk_sent_us > 2 * self._state.tuning.heartbeat_us:
            self.send_chunk(member, progress)

    def on_chunk_response(self, message: SnapshotChunkResponse, progress: PeerProgress) -> None:
        """Send the chunk at the offset that the member requests: the next chunk, or a lost one again."""
        if progress.snapshot is None or progress.snapshot.index != message.snapshot_index:
            return
        if message.offset != progress.snapshot_offset:
            progress.snapshot_offset = message.offset
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
            offset=progress.snapshot_offset,
            data=data,
            heartbeat_round=state.leadership.heartbeat_round,
            election_timeout_us=state.election_timeout_us,
        )
        self._outbox.send(chunk)


class SnapshotReceiver:
    """Assembles the chunks on a follower and installs the snapshot."""

    def __init__(self, state: RaftState, outbox: Outbox, roles: Roles) -> None:
        self._state = state
        self._outbox = outbox
        self._roles = roles

    def on_chunk(self, message: SnapshotChunk) -> None:
        """Process a chunk: the response requests the next chunk or acknowledges the complete snapshot."""
        self._roles.accept_leader(message)
        state = self._state
        if message.snapshot_index <= state.commit_index:
            # The log covers the snapshot: this response makes the leader continue with appends.
            match_index = min(message.snapshot_index, state.durable_index)
            self._outbox.send_when_term_durable(self._append_response(message, match_index))
            return
        snapshot = self._add_chunk(message)
        if snapshot is None:
            self._outbox.send_when_term_durable(self._chunk_response(message))
            return
        state.incoming_snapshot = IncomingSnapshot()
        self._install(snapshot)
        # Acknowledges the snapshot, so the response must wait until the snapshot is synced.
        self._outbox.send_when_durable(self._append_response(message, message.snapshot_index))

    def _add_chunk(self, message: SnapshotChunk) -> Snapshot | None:
        """Add a chunk if it is the next one.

        :returns: the snapshot once it is complete and its checksum matches, None otherwise
        """
        key = (message.snapshot_index, message.snapshot_term, message.checksum)
        if self._state.incoming_snapshot.key != key:
            self._state.incoming_snapshot = IncomingSnapshot(key)
        incoming_snapshot = self._state.incoming_snapshot
        if not incoming_snapshot.add_chunk(message.offset, message.data, message.total_bytes):
            return None
        data = incoming_snapshot.take_data(message.checksum)
        if data is None:
            # It is unknown which chunk was corrupted, so the response requests the snapshot from the start.
            self._outbox.log(LogEvent.DISCARDED_SNAPSHOT, "checksum mismatch")
            return None
        return Snapshot(
            message.snapshot_index, message.snapshot_term, message.members, data, message.checksum
        )

    def _install(self, snapshot: Snapshot) -> None:
        """Install the leader's snapshot and discard the log it covers, or the whole log on a conflict."""
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
            offset=len(state.incoming_snapshot.data),
            heartbeat_round=message.heartbeat_round,
        )
