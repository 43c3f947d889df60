"""Messages between members, log entries and snapshots, as msgspec structs.

Tags and wire names of fields are fixed, so that members of different releases are compatible. A field whose
attribute has another name sets its wire name with `field(name=)`. Structs encoded as arrays (array_like) keep
the order of their fields instead.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct, field

RECORD_VERSION = 1  # format of records on disk; a member rejects a newer version at startup

EntryKind = Literal["noop", "command", "members"]


class Member(Struct, frozen=True, array_like=True, order=True):
    """A broker with the identity of its disk. A broker that returns with another disk is another member."""

    name: str
    disk: str


class Membership(Struct, frozen=True, array_like=True):
    """The voters, and the learners, which receive the log but neither vote nor count towards commits."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def all(self) -> tuple[Member, ...]:
        """The voters followed by the learners."""
        return (*self.voters, *self.learners)

    def majority_value(self, values: list[int]) -> int:
        """Return the highest value that a majority of the voters has reached.

        :param values: one value per voter, in any order
        """
        return sorted(values, reverse=True)[self.majority - 1] if values else 0

    @property
    def majority(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1


EMPTY_MEMBERSHIP = Membership((), ())


class Entry(Struct, frozen=True, array_like=True):
    """A log entry. client and serial identify its command, so that a repeated command takes effect once."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    client: str = ""
    serial: int = 0


class Snapshot(Struct, frozen=True, array_like=True):
    """The state machine and the membership at a log index."""

    index: int
    term: int
    members: Membership
    data: bytes
    checksum: int  # xxh3 checksum of data


class Envelope(Struct, frozen=True, tag=True):
    """Fields of every message: the cluster, the sending and the receiving member, and the sender's term."""

    cluster: str
    sender: Member
    to: Member
    term: int


class VoteRequest(Envelope, frozen=True, tag="ask"):
    """A candidate's RequestVote.

    :param pre_vote: asks only whether the vote would be granted; no member's term changes
    :param transfer: the leader requested this election by a transfer, which bypasses leader stickiness
    """

    last_index: int
    last_term: int
    pre_vote: bool = field(name="pre", default=False)
    transfer: bool = False


class VoteResponse(Envelope, frozen=True, tag="vote"):
    """The response to a VoteRequest.

    :param leader: name of the leader that the voter still hears from; "" unless leader stickiness applies
    """

    granted: bool
    pre_vote: bool = field(name="pre", default=False)
    leader: str = ""


class AppendRequest(Envelope, frozen=True, tag="append"):
    """AppendEntries: entries after a previous entry that must match; without entries a heartbeat.

    :param heartbeat_round: the leader's latest heartbeat round at sending time; the response repeats it
    :param election_timeout_us: election timeout that the leader has derived for all members
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int = field(name="commit")
    heartbeat_round: int = field(name="round")
    election_timeout_us: int = field(name="patience_us")


class AppendResponse(Envelope, frozen=True, tag="appended"):
    """The response to an AppendRequest.

    :param prev_index: prev_index of the request
    :param received_index: highest index up to which the log matches the leader's, synced or not; in a
        rejection the highest index up to which the log may match
    :param match_index: highest index up to which the log matches and is synced; counts towards commits
    :param sync_us: moving average of sync times on this member's disk
    """

    success: bool = field(name="ok")
    prev_index: int = field(name="prev")
    received_index: int = field(name="taken")
    match_index: int = field(name="match")
    heartbeat_round: int = field(name="round")
    sync_us: int


class SnapshotChunk(Envelope, frozen=True, tag="piece"):
    """InstallSnapshot: one chunk of a snapshot's data; without data a heartbeat.

    :param checksum: xxh3 checksum of the complete snapshot data
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
    """The response to a SnapshotChunk.

    :param offset: number of bytes received so far, which is the offset of the requested chunk
    """

    snapshot_index: int = field(name="index")
    offset: int
    heartbeat_round: int = field(name="round")


class TimeoutNow(Envelope, frozen=True, tag="take-over"):
    """The leader transfers leadership to the recipient, which campaigns immediately."""


class Proposal(Envelope, frozen=True, tag="proposal"):
    """A command that a follower forwards to the leader."""

    client: str
    serial: int
    data: bytes


class ReadIndexRequest(Envelope, frozen=True, tag="read-ask"):
    """A follower asks the leader for the index that must be applied before a read is linearizable."""

    number: int


class ReadIndexResponse(Envelope, frozen=True, tag="read-answer"):
    """The leader's read index, sent after a majority has confirmed the leadership."""

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

# Messages between replicas outside the Raft protocol, handled by Replica and ignored by RaftNode.
ReplicaMessage = Proposal | ReadIndexRequest | ReadIndexResponse

_encode = msgspec.msgpack.Encoder()
_decode_membership = msgspec.msgpack.Decoder(Membership)


def encode_membership(members: Membership) -> bytes:
    """Encode a membership as the data of a "members" entry."""
    return _encode.encode(members)


def decode_membership(data: bytes) -> Membership:
    """Decode the data of a "members" entry."""
    return _decode_membership.decode(data)
