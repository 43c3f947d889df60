"""What members say to each other and keep on disk, as records of msgspec with a version."""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct

VERSION = 1  # of what is written and sent; a member refuses a newer one at its start

EntryKind = Literal["noop", "command", "members"]


class Member(Struct, frozen=True, array_like=True, order=True):
    """A broker on one disk. A broker that comes back with another disk is another member."""

    name: str
    disk: str


class Membership(Struct, frozen=True, array_like=True):
    """Who decides (voters), and who is being caught up (learners)."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def all(self) -> tuple[Member, ...]:
        """Both."""
        return (*self.voters, *self.learners)

    @property
    def majority(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1


class Entry(Struct, frozen=True, array_like=True):
    """A place of the log. client, serial: whose proposal, so that a repeated one has its effect once."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    client: str = ""
    serial: int = 0


class Snapshot(Struct, frozen=True, array_like=True):
    """The state machine as of an index."""

    index: int
    term: int
    members: Membership
    data: bytes
    check: int  # xxh3 of data


class Envelope(Struct, frozen=True, tag=True):
    """On each message: which cluster, from which disk, meant for which disk, in which term."""

    cluster: str
    sender: Member
    to: Member
    term: int


class VoteRequest(Envelope, frozen=True, tag="ask"):
    """For a vote. pre: whether it would be given; transfer: the leader itself wants this."""

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class VoteResponse(Envelope, frozen=True, tag="vote"):
    """The answer. leader: the name of the leader whom the voter hears, "" for none."""

    granted: bool
    pre: bool = False
    leader: str = ""


class AppendRequest(Envelope, frozen=True, tag="append"):
    """Entries behind a place that must match; without entries a heartbeat."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int = msgspec.field(name="commit")
    round: int
    election_timeout_us: int = msgspec.field(name="patience_us")


class AppendResponse(Envelope, frozen=True, tag="appended"):
    """taken: what of the leader's log is here; match: what of it is synced here. prev: that it answers."""

    ok: bool
    prev: int
    taken: int
    match: int
    round: int
    sync_us: int


class SnapshotChunk(Envelope, frozen=True, tag="piece"):
    """A part of a snapshot."""

    index: int
    at_term: int
    members: Membership
    total: int
    check: int
    offset: int
    data: bytes
    round: int
    election_timeout_us: int = msgspec.field(name="patience_us")


class SnapshotChunkResponse(Envelope, frozen=True, tag="piece-taken"):
    """How much of a snapshot is here."""

    index: int
    offset: int
    round: int


class TimeoutNow(Envelope, frozen=True, tag="take-over"):
    """The leader hands over: stand for election at once."""


class Proposal(Envelope, frozen=True, tag="proposal"):
    """A follower's, for the leader to append."""

    client: str
    serial: int
    data: bytes


class ReadIndexRequest(Envelope, frozen=True, tag="read-ask"):
    """Up to which index must be applied before a read is right?"""

    number: int


class ReadIndexResponse(Envelope, frozen=True, tag="read-answer"):
    """Up to this one."""

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

_encode = msgspec.msgpack.Encoder()
_decode = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """As it is sent."""
    return _encode.encode(message)


def decode(data: bytes) -> Message:
    """As it came; msgspec.DecodeError (ValidationError) for what is no message."""
    return _decode.decode(data)
