"""Events that a Raft node takes and effects that it returns: the interface of the protocol code."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from harriertide.consensus.messages import Entry, Member, Message, Snapshot

# --- events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another member has arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of RaftNode.next_tick_us has come. Ticks may be late or more frequent than needed."""


@dataclass(frozen=True, slots=True)
class ElectionTimedOut:
    """Campaign immediately, as after an election timeout without a leader.

    Sent only by the model checker of the lab, whose clock does not advance.
    """


@dataclass(frozen=True, slots=True)
class Synced:
    """All writes up to a Persist are durable.

    :param number: number of the last Persist that the sync covers
    :param took_us: duration of the write and its sync; 0 if unknown
    """

    number: int
    took_us: int = 0


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """A write or sync failed. The node halts until its process restarts."""


@dataclass(frozen=True, slots=True)
class InvariantViolated:
    """An invariant is violated. The node halts until its process restarts."""

    reason: str


@dataclass(frozen=True, slots=True)
class Proposed:
    """Append a command if this node is the leader. client and serial identify repeated commands."""

    client: str
    serial: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """Request the index that must be applied before a read that starts now is linearizable."""

    number: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer leadership.

    :param to: the target; None lets the leader choose the target
    """

    to: Member | None = None


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Change the membership by one member.

    Ignored unless this node is the leader, has committed an entry of its own term, and no other change or
    transfer is in progress.
    """

    action: Literal["learn", "promote", "remove"]
    member: Member


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine was dumped at an applied index, so the log up to the index may be compacted.

    :param checksum: xxh3 checksum of data
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
    """Send a message. The network may lose, delay, duplicate or reorder messages."""

    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write to disk and sync, then report with a Synced event.

    The changes apply in this order: snapshot, truncation, entries. Every Persist also writes the term, the
    vote and the cluster.

    :param number: increases by one with each Persist
    :param truncate_from: index of the first entry to remove; 0 removes none
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
    """Apply these committed entries in this order. Committed entries never change."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the state machine's state with a snapshot from the leader."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """A requested read is linearizable once this index is applied."""

    number: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadAborted:
    """A requested read can't be confirmed, as this node is not the leader. Retry with the next leader."""

    number: int


class LogEvent(StrEnum):
    """Kinds of log lines. The lab's checkers and the process's counters use the values unchanged."""

    BECAME_LEADER = "leads"  # this member won an election
    LOST_LEADERSHIP = "follows"  # this member is no longer the leader
    FOLLOWS_LEADER = "hears"  # this member follows another leader; detail: the leader's name
    STARTED_CAMPAIGN = "stands"  # this member requests votes; detail: "pre" or "vote"
    STEPPED_DOWN = "stepped down"  # the leader gave up leadership without a newer term; detail: reason
    STARTED_TRANSFER = "hands over"  # the leader started a transfer by itself; detail: reason
    CHANGED_MEMBERSHIP = "members"  # the leader changes the membership; detail: the change
    DISCARDED_SNAPSHOT = "snapshot"  # a received snapshot was discarded; detail: reason
    HALTED = "halted"  # this member is halted until its process restarts; detail: reason
    INVARIANT_VIOLATED = "broken"  # an invariant is violated; detail: which one


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the process log and the lab's checkers."""

    event: LogEvent
    term: int = 0
    detail: str = ""


Effect = SendMessage | Persist | Committed | InstallSnapshot | ReadConfirmed | ReadAborted | LogLine


@dataclass(frozen=True, slots=True)
class RestoredState:
    """The state read from the disk at startup; the defaults stand for an empty disk."""

    cluster: str = ""
    term: int = 0
    voted_for: Member | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Tuning:
    """Timing and size parameters of the protocol.

    The leader raises the election timeout according to measured round trips and syncs, within its minimum
    (election_timeout_us) and max_election_timeout_us.
    """

    heartbeat_us: int = 100_000
    # four heartbeats, so that one or two lost heartbeats start no election
    election_timeout_us: int = 400_000
    # bounds the time until a crashed leader is detected, however slow disks and network are
    max_election_timeout_us: int = 1_200_000
    # a leader with longer sync times, and much longer ones than the others, transfers leadership
    slow_sync_us: int = 150_000
    # unanswered appends per member: enough to keep a link busy for its round trip
    max_inflight_appends: int = 8
    batch_entries: int = 128
    # size of the entries of one append: a quarter of the maximum frame size of the transport
    batch_bytes: int = 256 * 1024
    # small enough that a chunk does not delay heartbeats on a slow link
    snapshot_chunk_bytes: int = 64 * 1024
