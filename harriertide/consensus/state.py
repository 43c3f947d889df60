"""The entire state of a Raft node, as plain data.

The protocol modules share one RaftState and hold no other state, so a node on a copy of the RaftState behaves
like the original. The model checker of the lab relies on this.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

import xxhash

from harriertide.consensus.events import RestoredState, Tuning
from harriertide.consensus.log import Log
from harriertide.consensus.messages import EMPTY_MEMBERSHIP, Member, Membership, Message, Snapshot


def moving_average(average: float, sample: float, weight: float) -> float:
    """Add a sample to an exponentially weighted moving average; an average of 0 means no sample so far."""
    return (1 - weight) * average + weight * sample if average else float(sample)


class Role(StrEnum):
    """Role of a node in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "halted"  # after a failed sync or an invariant violation, until the process restarts


class CampaignPhase(StrEnum):
    """Phase of a candidate's campaign."""

    NONE = ""
    PRE_VOTE = "pre"
    VOTE = "vote"


@dataclass(slots=True)
class Campaign:
    """A candidate's campaign.

    :param term: the term of the election; a pre-vote is for the next term, which is not entered yet
    :param votes: whether each voter has granted its vote
    :param by_transfer: the leader requested this election through a leadership transfer
    """

    phase: CampaignPhase = CampaignPhase.NONE
    term: int = 0
    votes: dict[Member, bool] = field(default_factory=dict)
    by_transfer: bool = False

    def end(self) -> None:
        """End the campaign."""
        self.phase = CampaignPhase.NONE
        self.by_transfer = False


@dataclass(slots=True)
class PeerProgress:
    """A leader's view of another member's replication progress.

    :param next_index: index of the next entry to send
    :param match_index: highest index up to which the member's log is known to match and to be synced
    :param probing: next_index is unconfirmed, so one append at a time is sent until one is accepted
    :param probe_sent: an append was sent in this heartbeat interval
    :param inflight: last entry index of each append that has no response yet
    :param snapshot: the snapshot being sent to a member that needs entries the leader's log no longer holds
    :param snapshot_offset: byte offset of the next snapshot chunk
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    probe_sent: bool = False
    last_contact_us: int = 0
    last_answered_round: int = 0
    round_trip_us: float = 0.0
    sync_us: int = 0
    inflight: list[int] = field(default_factory=list)
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_sent_us: int = 0


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a majority to answer a heartbeat round started after the read was requested."""

    heartbeat_round: int
    number: int
    index: int


@dataclass(slots=True)
class Leadership:
    """State that a node keeps while it is the leader.

    :param heartbeat_round: number of the latest heartbeat round
    :param round_sent_us: time at which each of the latest rounds was sent
    :param term_start_index: index of the first entry of the leader's own term
    :param deferred_reads: numbers of reads requested before an entry of the leader's own term was committed
    :param transfer_target: the member that leadership is being transferred to, None without a transfer
    """

    progress: dict[Member, PeerProgress] = field(default_factory=dict)
    heartbeat_round: int = 0
    round_sent_us: dict[int, int] = field(default_factory=dict)
    next_heartbeat_us: int = 0
    term_start_index: int = 0
    pending_reads: deque[PendingRead] = field(default_factory=deque)
    deferred_reads: list[int] = field(default_factory=list)
    transfer_target: Member | None = None
    transfer_deadline_us: int = 0
    last_slow_disk_transfer_us: int = 0

    def begin(self, term_start_index: int) -> None:
        """Start a term as leader, with no progress known for the other members."""
        self.progress = {}
        self.heartbeat_round = 0
        self.round_sent_us = {}
        self.term_start_index = term_start_index
        self.transfer_target = None

    def end(self) -> None:
        """End the leadership."""
        self.progress = {}
        self.transfer_target = None

    def copy(self) -> Leadership:
        """Return an independent copy."""
        return replace(
            self,
            progress={
                member: replace(progress, inflight=list(progress.inflight))
                for member, progress in self.progress.items()
            },
            round_sent_us=dict(self.round_sent_us),
            pending_reads=deque(self.pending_reads),
            deferred_reads=list(self.deferred_reads),
        )


@dataclass(slots=True)
class PendingPersist:
    """A Persist that is not synced yet.

    :param last_index: the log is durable up to this index once the Persist is synced
    """

    number: int
    last_index: int


@dataclass(slots=True)
class DiskProgress:
    """Which Persist effects were issued, and which of them are synced.

    :param last_persist_number: number of the latest Persist
    :param synced_persist_number: number of the latest synced Persist
    :param term_persist_number: number of the Persist that holds the current term and vote
    :param waiting_messages: messages that depend on unsynced data, each with the number of the Persist to
        wait for
    :param sync_us: moving average of sync times; 0 until a sync time is known
    """

    last_persist_number: int = 0
    synced_persist_number: int = 0
    term_persist_number: int = 0
    pending_persists: deque[PendingPersist] = field(default_factory=deque)
    waiting_messages: deque[tuple[int, Message]] = field(default_factory=deque)
    sync_us: float = 0.0

    @property
    def is_term_durable(self) -> bool:
        """Whether the current term and vote are synced."""
        return self.synced_persist_number >= self.term_persist_number

    def copy(self) -> DiskProgress:
        """Return an independent copy."""
        pending_persists = deque(replace(persist) for persist in self.pending_persists)
        return replace(self, pending_persists=pending_persists, waiting_messages=deque(self.waiting_messages))


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received in chunks.

    :param key: index, checksum and further values that identify the snapshot; None before the first chunk
    """

    key: tuple[int, ...] | None = None
    data: bytearray = field(default_factory=bytearray)

    def add_chunk(self, offset: int, data: bytes, total_bytes: int) -> bool:
        """Add a chunk if it starts where the received data ends.

        :returns: whether the snapshot is complete
        """
        if offset == len(self.data):
            self.data += data
        return len(self.data) >= total_bytes

    def take_data(self, checksum: int) -> bytes | None:
        """Take the complete data and reset the buffer, so that the next chunk must start at offset 0.

        :param checksum: xxh3 checksum of the complete snapshot data
        :returns: the data, or None on a checksum mismatch
        """
        data = bytes(self.data)
        self.data = bytearray()
        return data if xxhash.xxh3_64_intdigest(data) == checksum else None


@dataclass(slots=True)
class RaftState:
    """The state that the protocol modules share.

    :param commit_index: highest log index known to be committed
    :param durable_index: highest log index synced on this disk
    :param leader: leader of the current term, this member itself included; None while unknown
    :param leader_contact_us: time of the last message from a leader, or of the last granted vote or campaign
    :param election_timeout_us: the timeout announced by the leader; at startup the minimum of the tuning
    :param randomized_election_timeout_us: delay before this node campaigns, one to two election timeouts
    """

    me: Member
    tuning: Tuning
    random: Random
    now_us: int
    cluster: str
    term: int
    voted_for: Member | None
    log: Log
    snapshot: Snapshot | None
    commit_index: int
    durable_index: int
    leader_contact_us: int
    election_timeout_us: int
    randomized_election_timeout_us: int = 0
    role: Role = Role.FOLLOWER
    leader: Member | None = None
    campaign: Campaign = field(default_factory=Campaign)
    leadership: Leadership = field(default_factory=Leadership)
    disk: DiskProgress = field(default_factory=DiskProgress)
    incoming_snapshot: IncomingSnapshot = field(default_factory=IncomingSnapshot)

    @classmethod
    def restore(
        cls, me: Member, tuning: Tuning, restored: RestoredState, random: Random, now_us: int
    ) -> RaftState:
        """Create the state of a follower from what is restored from its disk.

        :param random: draws the election timeouts
        """
        snapshot = restored.snapshot
        base_index, base_term, base_members = 0, 0, EMPTY_MEMBERSHIP
        if snapshot is not None:
            base_index, base_term, base_members = snapshot.index, snapshot.term, snapshot.members
        log = Log(base_index, base_term, base_members, restored.entries)
        state = cls(
            me=me,
            tuning=tuning,
            random=random,
            now_us=now_us,
            cluster=restored.cluster,
            term=restored.term,
            voted_for=restored.voted_for,
            log=log,
            snapshot=snapshot,
            commit_index=log.base_index,
            durable_index=log.last_index,
            leader_contact_us=now_us,
            election_timeout_us=tuning.election_timeout_us,
        )
        state.reset_election_timeout()
        return state

    @property
    def members(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self.log.members

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self.role == Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member may vote and campaign."""
        return self.me in self.members.voters

    @property
    def has_committed_own_term(self) -> bool:
        """Whether this member is the leader and has committed an entry of its own term.

        Until then a leader does not know which entries are committed, so it confirms no reads and ignores
        membership changes.
        """
        return self.is_leader and self.commit_index >= self.leadership.term_start_index

    @property
    def campaign_at_us(self) -> int:
        """Time at which this voter campaigns unless it hears from a leader earlier."""
        return self.leader_contact_us + self.randomized_election_timeout_us

    def reset_election_timeout(self) -> None:
        """Draw a new randomized election timeout, so that members rarely campaign at the same time."""
        minimum_us, maximum_us = self.election_timeout_us, 2 * self.election_timeout_us
        self.randomized_election_timeout_us = self.random.randint(minimum_us, maximum_us)

    def is_peer_connected(self, member: Member) -> bool:
        """Whether another member has answered this leader within two election timeouts."""
        progress = self.leadership.progress.get(member)
        if progress is None:
            return False
        return self.now_us - progress.last_contact_us <= 2 * self.election_timeout_us

    def copy(self) -> RaftState:
        """Return an independent copy that shares only the random generator."""
        return replace(
            self,
            log=self.log.copy(),
            campaign=replace(self.campaign, votes=dict(self.campaign.votes)),
            leadership=self.leadership.copy(),
            disk=self.disk.copy(),
            incoming_snapshot=replace(self.incoming_snapshot, data=bytearray(self.incoming_snapshot.data)),
        )
