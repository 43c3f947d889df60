"""What members say to each other and keep on disk, as records of msgspec with a version."""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct

VERSION = 1  # of what is written and sent; a member refuses a newer one at its start

Kind = Literal["noop", "command", "members"]


class Member(Struct, frozen=True, array_like=True, order=True):
    """A broker on one disk. A broker that comes back with another disk is another member."""

    name: str
    disk: str


class Members(Struct, frozen=True, array_like=True):
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
    kind: Kind
    data: bytes = b""
    client: str = ""
    serial: int = 0


class Snapshot(Struct, frozen=True, array_like=True):
    """The state machine as of an index."""

    index: int
    term: int
    members: Members
    data: bytes
    check: int  # xxh3 of data


class Envelope(Struct, frozen=True, tag=True):
    """On each message: which cluster, from which disk, meant for which disk, in which term."""

    cluster: str
    sender: Member
    to: Member
    term: int


class Ask(Envelope, frozen=True, tag="ask"):
    """For a vote. pre: whether it would be given; transfer: the leader itself wants this."""

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class Vote(Envelope, frozen=True, tag="vote"):
    """The answer. leader: the name of the leader whom the voter hears, "" for none."""

    granted: bool
    pre: bool = False
    leader: str = ""


class Append(Envelope, frozen=True, tag="append"):
    """Entries behind a place that must match; without entries a heartbeat."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    patience_us: int


class Appended(Envelope, frozen=True, tag="appended"):
    """taken: what of the leader's log is here; match: what of it is synced here. prev: that it answers."""

    ok: bool
    prev: int
    taken: int
    match: int
    round: int
    sync_us: int


class Piece(Envelope, frozen=True, tag="piece"):
    """A part of a snapshot."""

    index: int
    at_term: int
    members: Members
    total: int
    check: int
    offset: int
    data: bytes
    round: int
    patience_us: int


class PieceTaken(Envelope, frozen=True, tag="piece-taken"):
    """How much of a snapshot is here."""

    index: int
    offset: int
    round: int


class TakeOver(Envelope, frozen=True, tag="take-over"):
    """The leader hands over: stand for election at once."""


class Proposal(Envelope, frozen=True, tag="proposal"):
    """A follower's, for the leader to append."""

    client: str
    serial: int
    data: bytes


class ReadAsk(Envelope, frozen=True, tag="read-ask"):
    """Up to which index must be applied before a read is right?"""

    number: int


class ReadAnswer(Envelope, frozen=True, tag="read-answer"):
    """Up to this one."""

    number: int
    index: int


Message = Ask | Vote | Append | Appended | Piece | PieceTaken | TakeOver | Proposal | ReadAsk | ReadAnswer

_encode = msgspec.msgpack.Encoder()
_decode = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """As it is sent."""
    return _encode.encode(message)


def decode(data: bytes) -> Message:
    """As it came; msgspec.DecodeError (ValidationError) for what is no message."""
    return _decode.decode(data)
