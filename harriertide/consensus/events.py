"""Events that a Raft node takes and effects that it returns: the interface of the pure protocol code."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from harriertide.consensus.messages import Entry, Member, Message, Snapshot

# --- events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another member has arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that RaftNode.next_tick_us named has come. It may come late, and more often than needed."""


@dataclass(frozen=True, slots=True)
class ElectionTimedOut:
    """Campaign now, as if no leader had been heard for an election timeout.

    Only the lab's search through states sends this: there the clock stands still.
    """


@dataclass(frozen=True, slots=True)
class Synced:
    """All writes up to this Persist are durable.

    :param number: of the last Persist that the sync covers
    :param took_us: how long that write and its sync took; 0 where it was not measured
    """

    number: int
    took_us: int = 0


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """A write or sync failed. The node halts until its process is started again."""


@dataclass(frozen=True, slots=True)
class InvariantViolated:
    """An invariant does not hold. The node halts until its process is started again."""

    reason: str


@dataclass(frozen=True, slots=True)
class Proposed:
    """Append a command, if this node leads. client and serial make its repetition recognizable."""

    client: str
    serial: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """Find the index up to which the state must be applied for a read that starts now to be linearizable."""

    number: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Hand leadership to this member; None: to the one that fits best."""

    to: Member | None = None


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Change the membership by one member.

    Ignored unless this node leads, has committed an entry of its own term, and no other change or transfer
    is under way.
    """

    action: Literal["learn", "promote", "remove"]
    member: Member


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine was dumped as of an applied index: the log up to it can go.

    :param checksum: xxh3 of data
    """

    index: int
    data: bytes
    checksum: int


Event = (
    MessageReceived
    | Tick
    | ElectionTimedOut
    | Synced
    | SyncFailed
    | InvariantViolated
    | Proposed
    | ReadRequested
    | TransferLeadership
    | ChangeMembership
    | SnapshotTaken
)

# --- effects ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message. It may be lost, late, doubled or out of order."""

    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write, sync, then report with Synced.

    The parts take effect in this order: the snapshot, the truncation, the entries. Term, vote and cluster are
    written with each.

    :param number: counts up by one with each Persist
    :param truncate_from: entries from this index on are void; 0 for none
    """

    number: int
    cluster: str
    term: int
    voted_for: Member | None
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Committed:
    """Apply these entries, in this order: they are never taken back."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Load a snapshot of the leader in place of the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """A requested read is linearizable once this index is applied."""

    number: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadAborted:
    """A requested read can't be confirmed: this node does not lead any more. Ask the next leader."""

    number: int


class LogEvent(StrEnum):
    """Texts of log lines. The lab's checkers and the counters of the process use these words as they are."""

    LEADS = "leads"  # won an election
    FOLLOWS = "follows"  # led, and does not any more
    FOLLOWS_LEADER = "hears"  # accepted another leader; detail: its name
    CAMPAIGNS = "stands"  # asks for votes; detail: "pre" or "vote"
    STEPPED_DOWN = "stepped down"  # of its own accord; detail: why
    TRANSFERS = "hands over"  # gives up leadership by itself; detail: why
    MEMBERSHIP = "members"  # changes the membership; detail: the change
    SNAPSHOT = "snapshot"  # threw a received snapshot away; detail: why
    HALTED = "halted"  # takes no part any more until it is started again
    BROKEN = "broken"  # an invariant does not hold; detail: which


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log of the process and the lab's checkers."""

    event: LogEvent
    term: int = 0
    detail: str = ""


Effect = SendMessage | Persist | Committed | InstallSnapshot | ReadConfirmed | ReadAborted | LogLine


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What a start finds on the disk. All fields at their defaults: an empty disk."""

    cluster: str = ""
    term: int = 0
    voted_for: Member | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times and sizes of the protocol.

    The leader raises the election timeout above its floor by measured round trips and syncs, up to the
    maximum.
    """

    heartbeat_us: int = 100_000
    # four heartbeats: one or two lost ones start no election
    election_timeout_us: int = 400_000
    # bounds how long a crashed leader goes unnoticed, however slow disks and network are
    max_election_timeout_us: int = 1_200_000
    # a leader whose syncs take longer, and much longer than others', hands leadership over
    slow_sync_us: int = 150_000
    # appends to a member without a response: keeps a link busy over its round trip
    max_inflight_appends: int = 8
    batch_entries: int = 128
    # of the entries of one append: a quarter of what the transport takes as a frame
    batch_bytes: int = 256 * 1024
    # small enough that heartbeats are not late behind a chunk on a slow link
    snapshot_chunk_bytes: int = 64 * 1024
