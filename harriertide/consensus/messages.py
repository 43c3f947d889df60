"""Messages between members, and the log's entries and snapshots, as msgspec records.

Tags and names of fields on the wire are fixed: members of two releases understand each other. A field whose
name in the code differs has its name on the wire in `field(name=)`. Records that are written as arrays
(array_like) keep the order of their fields instead.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct, field

VERSION = 1  # of records on the disk; a member refuses a newer one at its start

EntryKind = Literal["noop", "command", "members"]


class Member(Struct, frozen=True, array_like=True, order=True):
    """A broker on one disk. A broker that comes back with another disk is another member."""

    name: str
    disk: str


class Membership(Struct, frozen=True, array_like=True):
    """The voters, and the learners: members that receive the log but do not vote or count for commits."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def all(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return (*self.voters, *self.learners)

    def majority_value(self, values: list[int]) -> int:
        """The highest value that a majority of the voters has reached.

        :param values: one for each voter, in any order
        """
        return sorted(values, reverse=True)[self.majority - 1] if values else 0

    @property
    def majority(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1


NO_MEMBERS = Membership((), ())


class Entry(Struct, frozen=True, array_like=True):
    """An entry of the log. client, serial: whose command, so that a repeated one takes effect once."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    client: str = ""
    serial: int = 0


class Snapshot(Struct, frozen=True, array_like=True):
    """The state machine as of an index, with the membership as of there."""

    index: int
    term: int
    members: Membership
    data: bytes
    checksum: int  # xxh3 of data


class Envelope(Struct, frozen=True, tag=True):
    """Fields of each message: the cluster, the sender's and the recipient's disk, and the sender's term."""

    cluster: str
    sender: Member
    to: Member
    term: int


class VoteRequest(Envelope, frozen=True, tag="ask"):
    """RequestVote of a candidate.

    :param pre_vote: asks only whether the vote would be given; nobody's term changes
    :param transfer: the leader itself wants this election, so leader stickiness does not refuse it
    """

    last_index: int
    last_term: int
    pre_vote: bool = field(name="pre", default=False)
    transfer: bool = False


class VoteResponse(Envelope, frozen=True, tag="vote"):
    """The response to a VoteRequest.

    :param leader: name of the leader whose heartbeats the voter receives, "" for none
    """

    granted: bool
    pre_vote: bool = field(name="pre", default=False)
    leader: str = ""


class AppendRequest(Envelope, frozen=True, tag="append"):
    """AppendEntries: entries behind one that has to match; without entries a heartbeat.

    :param heartbeat_round: the leader's latest round as this was sent; the response repeats it
    :param election_timeout_us: as the leader measured it, for all members
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int = field(name="commit")
    heartbeat_round: int = field(name="round")
    election_timeout_us: int = field(name="patience_us")


class AppendResponse(Envelope, frozen=True, tag="appended"):
    """The response to an AppendRequest.

    :param prev_index: of the request that this answers
    :param received_index: up to where the log agrees with the leader's, synced or not; of a refusal: where it
        may agree
    :param match_index: up to where it agrees and is synced: this counts for a commit
    :param sync_us: how long syncs take on this member's disk, smoothed
    """

    success: bool = field(name="ok")
    prev_index: int = field(name="prev")
    received_index: int = field(name="taken")
    match_index: int = field(name="match")
    heartbeat_round: int = field(name="round")
    sync_us: int


class SnapshotChunk(Envelope, frozen=True, tag="piece"):
    """InstallSnapshot: one chunk of a snapshot's data; without data a heartbeat.

    :param checksum: xxh3 of the snapshot's whole data
    """

    snapshot_index: int = field(name="index")
    snapshot_term: int = field(name="at_term")
    members: Membership
    total_bytes: int = field(name="total")
    checksum: int = field(name="check")
    offset: int
    data: bytes
    heartbeat_round: int = field(name="round")
    election_timeout_us: int = field(name="patience_us")


class SnapshotChunkResponse(Envelope, frozen=True, tag="piece-taken"):
    """How many bytes of a snapshot have been received in order."""

    snapshot_index: int = field(name="index")
    offset: int
    heartbeat_round: int = field(name="round")


class TimeoutNow(Envelope, frozen=True, tag="take-over"):
    """The leader transfers leadership: the recipient campaigns at once."""


class Proposal(Envelope, frozen=True, tag="proposal"):
    """A command of a follower, for the leader to append."""

    client: str
    serial: int
    data: bytes


class ReadIndexRequest(Envelope, frozen=True, tag="read-ask"):
    """A follower's question: up to which index must be applied before a read is linearizable?"""

    number: int


class ReadIndexResponse(Envelope, frozen=True, tag="read-answer"):
    """The leader's answer, after a majority has confirmed that it still leads."""

    number: int
    index: int


Message = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkResponse
    | TimeoutNow
    | Proposal
    | ReadIndexRequest
    | ReadIndexResponse
)

# Messages between replicas, beside the Raft protocol: a RaftNode takes none of them.
ReplicaMessage = Proposal | ReadIndexRequest | ReadIndexResponse

_encode = msgspec.msgpack.Encoder()
_decode_membership = msgspec.msgpack.Decoder(Membership)


def encode_membership(members: Membership) -> bytes:
    """Encode a membership as the data of an entry of kind "members"."""
    return _encode.encode(members)


def decode_membership(data: bytes) -> Membership:
    """Decode the data of an entry of kind "members"."""
    return _decode_membership.decode(data)
