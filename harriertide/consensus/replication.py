"""The leader side of AppendEntries: appending to its log, replicating to each member and committing.

APPEND     A leader never deletes or overwrites an entry of its own log.
COMMIT     A leader counts synced copies only to commit entries of its own term.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertide.consensus.messages import AppendRequest, AppendResponse, Entry, EntryKind, Member
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.roles import Roles
from harriertide.consensus.snapshots import SnapshotSender
from harriertide.consensus.state import PeerProgress, RaftState


class Replication:
    """Replicates the leader's log.

    :param on_own_term_committed: called when the first entry of the leader's own term is committed
    """

    def __init__(
        self,
        state: RaftState,
        outbox: Outbox,
        roles: Roles,
        snapshots: SnapshotSender,
        on_own_term_committed: Callable[[], None],
    ) -> None:
        self.state = state
        self.outbox = outbox
        self._roles = roles
        self._snapshots = snapshots
        self._on_own_term_committed = on_own_term_committed

    # --- the leader's own log -------------------------------------------------------------------------

    def start_term(self) -> None:
        """Append the no-op entry of a new term: committing it commits all earlier entries too."""
        self._track_members()
        self.append("noop")

    def append(self, kind: EntryKind, data: bytes = b"", client: str = "", serial: int = 0) -> None:
        """Append an entry to the leader's log and send it to all members whose send window has room."""
        state = self.state
        entry = Entry(state.log.last_index + 1, state.term, kind, data, client, serial)
        state.log.append(entry)  # APPEND
        self.outbox.persist(entries=(entry,))
        if kind == "members":
            self._track_members()
        for member in state.leadership.progress:
            self.replicate(member)

    def _track_members(self) -> None:
        """Track the progress of exactly the other members of the latest membership."""
        state = self.state
        progress_of = state.leadership.progress
        for member in state.members.all:
            if member != state.me and member not in progress_of:
                progress_of[member] = PeerProgress(state.log.last_index + 1, last_contact_us=state.now_us)
        for member in [member for member in progress_of if member not in state.members.all]:
            del progress_of[member]

    # --- sending --------------------------------------------------------------------------------------

    def replicate(self, member: Member, heartbeat: bool = False) -> None:
        """Send missing entries to a member as far as its send window has room, or start a snapshot transfer.

        :param heartbeat: send at least an empty append or an empty snapshot chunk
        """
        progress = self.state.leadership.progress[member]
        if progress.snapshot is None and progress.next_index <= self.state.log.base_index:
            self._snapshots.start(member, progress)
        elif progress.snapshot is not None:
            if heartbeat:
                self._snapshots.send_heartbeat(member, progress)
        elif not self._send_entries(member, progress) and heartbeat:
            self._send_append(member, progress, ())

    def _send_entries(self, member: Member, progress: PeerProgress) -> bool:
        """Send appends until the send window is full.

        :returns: whether any append was sent
        """
        tuning = self.state.tuning
        sent = False
        while len(progress.inflight) < tuning.max_inflight_appends:
            if progress.probing and progress.probe_sent:
                break
            after_index = progress.next_index - 1
            entries = self.state.log.entries_after(after_index, tuning.batch_entries, tuning.batch_bytes)
            if not entries:
                break
            self._send_append(member, progress, entries)
            sent = True
            if progress.probing:
                break
            progress.next_index = entries[-1].index + 1
            progress.inflight.append(entries[-1].index)
        return sent

    def _send_append(self, member: Member, progress: PeerProgress, entries: tuple[Entry, ...]) -> None:
        state = self.state
        prev_index = progress.next_index - 1
        prev_term = state.log.term_at(prev_index)
        assert prev_term is not None
        request = AppendRequest(
            cluster=state.cluster,
            sender=state.me,
            to=member,
            term=state.term,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=entries,
            commit_index=state.commit_index,
            heartbeat_round=state.leadership.heartbeat_round,
            election_timeout_us=state.election_timeout_us,
        )
        self.outbox.send(request)
        progress.probe_sent = True

    # --- responses ------------------------------------------------------------------------------------

    def on_append_response(self, message: AppendResponse, progress: PeerProgress) -> bool:
        """Process a member's response and send the entries that the member is missing.

        :returns: whether the member accepted the append and can receive further appends
        """
        progress.sync_us = message.sync_us
        if not message.success:
            self._on_rejection(message, progress)
            return False
        if progress.snapshot is not None and message.received_index >= progress.snapshot.index:
            progress.snapshot = None
        progress.probing = False
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = max(progress.next_index, message.received_index + 1)
        progress.inflight = [index for index in progress.inflight if index > message.received_index]
        self.advance_commit()
        # The commit may have ended this leadership, or have committed a membership without the sender.
        if progress.snapshot is not None or message.sender not in self.state.leadership.progress:
            return False
        self.replicate(message.sender)
        return True

    def _on_rejection(self, message: AppendResponse, progress: PeerProgress) -> None:
        """Move next_index back to where the logs may match, and probe from there."""
        is_outdated = message.prev_index < progress.match_index or not message.heartbeat_round
        if is_outdated or progress.snapshot is not None:
            return
        next_index = max(progress.match_index + 1, min(message.prev_index, message.received_index + 1))
        if progress.probing and next_index == progress.next_index:
            # Prevents a message storm with a member that keeps rejecting the same append: the next heartbeat
            # sends the probe again.
            return
        progress.next_index = next_index
        progress.probing = True
        progress.probe_sent = False
        progress.inflight = []
        self.replicate(message.sender)

    # --- commit ---------------------------------------------------------------------------------------

    def advance_commit(self) -> None:
        """COMMIT: commit up to the highest index of the leader's own term that a majority has synced."""
        state = self.state
        if not state.is_leader:
            return
        index = self.majority_index()
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return
        is_first_of_term = state.commit_index < state.leadership.term_start_index <= index
        self.outbox.commit(index)
        if is_first_of_term:
            self._on_own_term_committed()
        if not state.is_voter and state.log.membership_index <= index:
            self._roles.step_down("removed from the voters")

    def majority_index(self) -> int:
        """Return the highest index that a majority of the voters has synced."""
        state = self.state
        synced_indexes = [
            state.durable_index if voter == state.me else state.leadership.progress[voter].match_index
            for voter in state.members.voters
        ]
        return state.members.majority_value(synced_indexes)
