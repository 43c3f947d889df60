"""All that a Raft node knows, as plain data.

The modules of the protocol share one RaftState and own no other state, so a node on a copy of it behaves as
the original would. The state search of the lab relies on that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

import xxhash

from harriertide.consensus.events import RestoredState, Tuning
from harriertide.consensus.log import Log
from harriertide.consensus.messages import NO_MEMBERS, Member, Membership, Message, Snapshot


def moving_average(average: float, sample: float, weight: float) -> float:
    """The exponentially weighted moving average with a further sample; 0 stands for no sample so far."""
    return (1 - weight) * average + weight * sample if average else float(sample)


class Role(StrEnum):
    """What a node is at present."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "halted"  # after a failed sync or a broken invariant, until the process is started again


class CampaignPhase(StrEnum):
    """What a candidate asks for."""

    NONE = ""
    PRE_VOTE = "pre"
    VOTE = "vote"


@dataclass(slots=True)
class Campaign:
    """A candidate's election.

    :param term: that it campaigns for: of a pre-vote the next one, not entered yet
    :param votes: granted, by voter
    :param by_transfer: the leader itself asked for this election
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
    """What a leader knows of another member.

    :param next_index: of the next entry to send
    :param match_index: up to where the member's log is known to agree and to be synced
    :param probing: next_index is a guess: one append at a time, until one is accepted
    :param probe_sent: the append of this heartbeat interval was sent
    :param inflight: last indexes of the appends without a response
    :param snapshot: that the member is being sent, as its log is behind the leader's first entry
    :param offset: of the next chunk of the snapshot
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
    offset: int = 0
    chunk_sent_us: int = 0


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a majority has answered a heartbeat round sent after it was requested."""

    heartbeat_round: int
    number: int
    index: int


@dataclass(slots=True)
class Leadership:
    """What a node needs while it leads.

    :param heartbeat_round: number of the latest round of heartbeats
    :param round_sent_us: when each of the latest rounds was sent
    :param term_start_index: of the first entry of the leader's own term
    :param deferred_reads: numbers of reads requested before an entry of the own term was committed
    :param transfer_target: the member that is to take leadership over; None where no transfer is under way
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
        """Start a term as leader, with nothing known of the others."""
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
        """An independent copy."""
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
    """A Persist whose sync is not done. last_index: of the log, as far as this write makes it durable."""

    number: int
    last_index: int


@dataclass(slots=True)
class DiskProgress:
    """What was given to the disk, and what of it is synced.

    :param term_number: number of the Persist that holds the present term and vote
    :param waiting: messages that promise what is not durable yet, with the Persist that each waits for
    :param sync_us: how long a sync takes, smoothed; 0 before the first one was measured
    """

    last_number: int = 0
    synced_number: int = 0
    term_number: int = 0
    pending: deque[PendingPersist] = field(default_factory=deque)
    waiting: deque[tuple[int, Message]] = field(default_factory=deque)
    sync_us: float = 0.0

    @property
    def is_term_durable(self) -> bool:
        """Whether the present term and vote are synced."""
        return self.synced_number >= self.term_number

    def copy(self) -> DiskProgress:
        """An independent copy."""
        pending = deque(replace(persist) for persist in self.pending)
        return replace(self, pending=pending, waiting=deque(self.waiting))


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that arrives in chunks.

    :param key: index, checksum and the like, which tell it from another one; None where none is coming
    """

    key: tuple[int, ...] | None = None
    data: bytearray = field(default_factory=bytearray)

    def add_chunk(self, offset: int, data: bytes, total_bytes: int) -> bool:
        """Add a chunk if it is the next one.

        :returns: whether the snapshot is complete
        """
        if offset == len(self.data):
            self.data += data
        return len(self.data) >= total_bytes

    def take_data(self, checksum: int) -> bytes | None:
        """Take the complete data, so that the next chunk has to be the first one again.

        :param checksum: xxh3 of the snapshot's whole data
        :returns: None where a chunk was damaged on its way
        """
        data = bytes(self.data)
        self.data = bytearray()
        return data if xxhash.xxh3_64_intdigest(data) == checksum else None


@dataclass(slots=True)
class RaftState:
    """The state that the modules of the protocol share.

    :param commit_index: highest index known to be committed
    :param durable_index: up to where the log is synced on this disk
    :param leader: from whom appends of this term come; on the leader itself: this member
    :param leader_contact_us: when a leader was last heard, or this node last voted or campaigned
    :param election_timeout_us: as the leader measures it; at the start the least that the settings allow
    :param randomized_election_timeout_us: between one timeout and two: how long until this node campaigns
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
    incoming: IncomingSnapshot = field(default_factory=IncomingSnapshot)

    @classmethod
    def restore(
        cls, me: Member, tuning: Tuning, restored: RestoredState, random: Random, now_us: int
    ) -> RaftState:
        """The state of a follower that starts on what its disk holds.

        :param random: for election timeouts
        """
        snapshot = restored.snapshot
        base_index, base_term, base_members = 0, 0, NO_MEMBERS
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
        """Whether this member leads."""
        return self.role == Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member may vote and campaign."""
        return self.me in self.members.voters

    @property
    def has_committed_own_term(self) -> bool:
        """As leader: an entry of its own term is committed.

        Until then a leader does not know what is committed: it confirms no reads and changes no members.
        """
        return self.is_leader and self.commit_index >= self.leadership.term_start_index

    @property
    def campaign_at_us(self) -> int:
        """When this voter campaigns if it hears no leader before."""
        return self.leader_contact_us + self.randomized_election_timeout_us

    def reset_election_timeout(self) -> None:
        """Draw the randomized election timeout anew, so that few members campaign at once."""
        minimum_us, maximum_us = self.election_timeout_us, 2 * self.election_timeout_us
        self.randomized_election_timeout_us = self.random.randint(minimum_us, maximum_us)

    def is_peer_connected(self, member: Member) -> bool:
        """As leader: another member has answered within two election timeouts."""
        progress = self.leadership.progress.get(member)
        if progress is None:
            return False
        return self.now_us - progress.last_contact_us <= 2 * self.election_timeout_us

    def copy(self) -> RaftState:
        """An independent copy, except that the random generator is shared."""
        return replace(
            self,
            log=self.log.copy(),
            campaign=replace(self.campaign, votes=dict(self.campaign.votes)),
            leadership=self.leadership.copy(),
            disk=self.disk.copy(),
            incoming=replace(self.incoming, data=bytearray(self.incoming.data)),
        )
