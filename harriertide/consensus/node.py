"""One member of a Raft cluster: a state machine that takes events and returns effects.

The code performs no I/O; the time and the random generator are arguments. Each section of the Raft papers
(Ongaro and Ousterhout 2014; Ongaro 2014; Ongaro's 2015 note on single-server changes) has a module:
`election`, `replication` (leader side), `append_entries` (follower side), `heartbeat`, `snapshots`,
`membership`, `transfer` and `reads`. The modules share one `RaftState` and add their effects to one `Outbox`.
This module dispatches each event to the module that handles it.

Comments name the invariant that a line preserves, and lab/model_checker checks each invariant:

ELECTION   A term has at most one leader. A vote is synced to disk before it is sent, and only the member on
           the disk that the membership names may cast it (each disk gets an identity on its first use).
APPEND     A leader never deletes or overwrites an entry of its own log.
MATCH      If two logs hold an entry with the same index and term, they are equal up to that entry.
COMPLETE   A committed entry is in the log of every leader of a later term.
COMMIT     A leader counts synced copies only to commit entries of its own term.
CHANGE     The membership changes by one member at a time. A change needs a committed entry of the leader's
           term and a committed previous change, so consecutive memberships have overlapping majorities.
"""

from __future__ import annotations

from random import Random

from harriertide.consensus import events as ev
from harriertide.consensus.append_entries import AppendReceiver
from harriertide.consensus.election import Election
from harriertide.consensus.events import Tuning
from harriertide.consensus.heartbeat import Heartbeat
from harriertide.consensus.log import Log
from harriertide.consensus.membership import MembershipChanges
from harriertide.consensus.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    Member,
    Membership,
    Message,
    ReplicaMessage,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
    encode_membership,
)
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.reads import ReadIndex
from harriertide.consensus.replication import Replication
from harriertide.consensus.roles import Roles
from harriertide.consensus.snapshots import SnapshotReceiver, SnapshotSender, compact_log
from harriertide.consensus.state import PeerProgress, RaftState, Role
from harriertide.consensus.transfer import LeadershipTransfer

NEVER_US = 1 << 62


class RaftNode:
    """A cluster member whose state changes only through events.

    The RaftState holds the entire state, so a node on a copy of the RaftState behaves identically.
    """

    # Overridden by the lab's seeded bugs (harriertide/lab/seeded_bugs.py).
    outbox_class: type[Outbox] = Outbox
    replication_class: type[Replication] = Replication
    membership_class: type[MembershipChanges] = MembershipChanges

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._outbox = self.outbox_class(state)
        self._roles = Roles(state, self._outbox)
        self._election = Election(state, self._outbox, self._roles)
        self._reads = ReadIndex(state, self._outbox)
        snapshots = SnapshotSender(state, self._outbox)
        self._snapshot_sender = snapshots
        self._snapshot_receiver = SnapshotReceiver(state, self._outbox, self._roles)
        self._append_receiver = AppendReceiver(state, self._outbox, self._roles)
        self._replication = self.replication_class(
            state, self._outbox, self._roles, snapshots, self._start_deferred_reads
        )
        self._heartbeat = Heartbeat(state, self._outbox, self._replication, snapshots, self._reads)
        self._transfer = LeadershipTransfer(state, self._outbox, self._replication)
        self._membership = self.membership_class(state, self._outbox, self._replication)

    @classmethod
    def restore(
        cls, me: Member, tuning: Tuning, restored: ev.RestoredState, random: Random, now_us: int
    ) -> RaftNode:
        """Create a node that starts as a follower with the state restored from its disk.

        :param random: draws the election timeouts
        """
        return cls(RaftState.restore(me, tuning, restored, random, now_us))

    # --- properties -----------------------------------------------------------------------------------

    @property
    def me(self) -> Member:
        """The member that this node is."""
        return self._state.me

    @property
    def cluster(self) -> str:
        """Name of the cluster, "" while this node belongs to none."""
        return self._state.cluster

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def role(self) -> Role:
        """The current role of this node."""
        return self._state.role

    @property
    def leader(self) -> Member | None:
        """The leader of the current term, None while the leader is unknown."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader."""
        return self._state.is_leader

    @property
    def has_committed_own_term(self) -> bool:
        """Whether this node is the leader and has committed an entry of its own term."""
        return self._state.has_committed_own_term

    @property
    def members(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self._state.members

    @property
    def log(self) -> Log:
        """The log after the snapshot."""
        return self._state.log

    @property
    def snapshot(self) -> Snapshot | None:
        """The latest snapshot."""
        return self._state.snapshot

    @property
    def commit_index(self) -> int:
        """Highest log index known to be committed."""
        return self._state.commit_index

    @property
    def progress(self) -> dict[Member, PeerProgress]:
        """Replication progress of each other member, kept while this node is the leader."""
        return self._state.leadership.progress

    @property
    def election_timeout_us(self) -> int:
        """Minimum election timeout, which the leader derives from measured latencies."""
        return self._state.election_timeout_us

    @property
    def next_tick_us(self) -> int:
        """Time at which this node needs the next Tick."""
        state = self._state
        if state.role == Role.HALTED:
            return NEVER_US
        if state.is_leader:
            return state.leadership.next_heartbeat_us
        return state.campaign_at_us if state.is_voter else NEVER_US

    # --- events ---------------------------------------------------------------------------------------

    def step(self, now_us: int, event: ev.Event) -> list[ev.Effect]:
        """Process an event.

        :returns: the effects to perform, in order
        :raises InvariantViolationError: an invariant is violated and the node must halt
        """
        if self._state.role == Role.HALTED:
            return []
        self._state.now_us = max(self._state.now_us, now_us)
        self._outbox.begin_step()
        self._dispatch(event)
        return self._outbox.take_effects()

    def bootstrap_cluster(self, now_us: int, cluster: str, members: Membership) -> list[ev.Effect]:
        """Write the first membership to an empty disk, as entry 1 of term 1, identical on all voters.

        :returns: the effects to perform, in order
        """
        state = self._state
        assert not state.cluster and not state.log.last_index
        state.now_us = max(state.now_us, now_us)
        self._outbox.begin_step()
        state.cluster = cluster
        state.term = 1
        entry = Entry(1, 1, "members", encode_membership(members))
        state.log.append(entry)
        self._outbox.persist(entries=(entry,))
        state.leader_contact_us = now_us
        state.reset_election_timeout()
        return self._outbox.take_effects()

    def _dispatch(self, event: ev.Event) -> None:
        match event:
            case ev.MessageReceived():
                self._on_message(event.message)
            case ev.Tick():
                self._on_tick()
            case ev.ElectionTimedOut():
                self._on_election_timed_out()
            case ev.Synced():
                self._on_synced(event)
            case ev.SyncFailed():
                self._roles.halt("the disk refused")
            case ev.InvariantViolated():
                self._roles.halt(event.reason)
            case _:
                self._dispatch_request(event)

    def _dispatch_request(self, event: ev.Event) -> None:
        match event:
            case ev.Proposed():
                self._on_proposed(event)
            case ev.ReadRequested():
                self._start_read(event.number)
            case ev.TransferLeadership():
                self._transfer.start(event.to)
            case ev.ChangeMembership():
                self._membership.change(event)
            case ev.SnapshotTaken():
                compact_log(self._state, self._outbox, event)

    def _on_tick(self) -> None:
        state = self._state
        if state.is_leader:
            if state.now_us >= state.leadership.next_heartbeat_us:
                self._on_heartbeat_due()
        elif state.now_us >= state.campaign_at_us:
            self._on_election_timed_out()

    def _on_heartbeat_due(self) -> None:
        if not self._heartbeat.has_quorum():
            self._roles.step_down("hears no majority")
            return
        self._transfer.expire()
        self._transfer.start_if_disk_is_slow()
        self._heartbeat.update_election_timeout()
        self._heartbeat.schedule()
        self._heartbeat.start_round()

    def _on_election_timed_out(self) -> None:
        if not self._state.is_leader and self._state.is_voter:
            self._election.start_pre_vote()

    def _on_synced(self, event: ev.Synced) -> None:
        if not self._outbox.on_synced(event):
            return
        if self._election.count_own_vote():
            self._lead()
        self._replication.advance_commit()

    def _on_proposed(self, event: ev.Proposed) -> None:
        if self._state.is_leader and self._state.leadership.transfer_target is None:
            self._replication.append("command", event.data, event.client, event.serial)

    def _lead(self) -> None:
        self._roles.become_leader()
        self._replication.start_term()
        self._heartbeat.schedule()

    def _start_read(self, number: int) -> None:
        if self._reads.request(number):
            self._heartbeat.start_round()

    def _start_deferred_reads(self) -> None:
        for number in self._reads.take_deferred():
            self._start_read(number)

    # --- messages -------------------------------------------------------------------------------------

    def _on_message(self, message: Message) -> None:
        if not self._is_for_this_member(message):
            return
        if isinstance(message, VoteRequest):
            self._election.on_vote_request(message)
            return
        state = self._state
        if message.term > state.term and not _is_granted_pre_vote(message):
            self._roles.become_follower(message.term, None)
        if message.term < state.term:
            if isinstance(message, (AppendRequest, SnapshotChunk)):
                self._append_receiver.reject_stale_leader(message)
            return
        self._dispatch_message(message)

    def _dispatch_message(self, message: Message) -> None:
        match message:
            case VoteResponse():
                if self._election.on_vote_response(message):
                    self._lead()
            case AppendRequest():
                self._append_receiver.on_append_request(message)
            case AppendResponse():
                self._on_append_response(message)
            case SnapshotChunk():
                self._snapshot_receiver.on_chunk(message)
            case SnapshotChunkResponse():
                self._on_chunk_response(message)
            case TimeoutNow():
                self._election.on_timeout_now(message)

    def _is_for_this_member(self, message: Message) -> bool:
        """ELECTION: whether a message is addressed to this member's disk and cluster.

        An empty disk adopts the cluster name of the first AppendRequest, SnapshotChunk or VoteRequest that is
        addressed to it. Any other message is meant for an earlier or a later disk of this broker.
        """
        state = self._state
        if message.to != state.me or isinstance(message, ReplicaMessage):
            return False
        if message.cluster == state.cluster:
            return True
        if state.cluster or not isinstance(message, (AppendRequest, SnapshotChunk, VoteRequest)):
            return False
        state.cluster = message.cluster
        self._outbox.persist()
        return True

    def _on_append_response(self, message: AppendResponse) -> None:
        progress = self._heartbeat.record_response(message.sender, message.heartbeat_round)
        if progress is not None and self._replication.on_append_response(message, progress):
            self._transfer.on_member_accepted(message.sender)

    def _on_chunk_response(self, message: SnapshotChunkResponse) -> None:
        progress = self._heartbeat.record_response(message.sender, message.heartbeat_round)
        if progress is not None:
            self._snapshot_sender.on_chunk_response(message, progress)


def _is_granted_pre_vote(message: Message) -> bool:
    """Whether a message grants a pre-vote, whose term is the candidate's next one and not entered yet."""
    return isinstance(message, VoteResponse) and message.pre_vote and message.granted
