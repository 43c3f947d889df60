"""What happens to a member, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from harriertide.consensus.messages import Entry, Member, Message, Snapshot

# --- events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message came."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The time named by Node.due_us has come, or more."""


@dataclass(frozen=True, slots=True)
class ElectionTimedOut:
    """As if no leader had been heard for long: an election begins. For the search through states."""


@dataclass(frozen=True, slots=True)
class Synced:
    """All up to this Persist is on the disk, the last of it within took_us."""

    number: int
    took_us: int = 0


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """The disk refused: this member is out until it is started again."""


@dataclass(frozen=True, slots=True)
class Proposed:
    """To be appended, if this member leads."""

    client: str
    serial: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """From when on is a read that is asked for now right?"""

    number: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Hand over to this member, or to the best one."""

    to: Member | None = None


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Of one member. Refused (no effect) unless this member leads and no other change is under way."""

    what: Literal["learn", "promote", "remove"]
    member: Member


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine as of an applied index."""

    index: int
    data: bytes
    check: int


Event = (
    MessageReceived
    | Tick
    | ElectionTimedOut
    | Synced
    | SyncFailed
    | Proposed
    | ReadRequested
    | TransferLeadership
    | ChangeMembership
    | SnapshotTaken
)

# --- effects ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send it; it may be lost."""

    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write it, sync, and tell by Synced. In order: the snapshot, the cut (entries from there on are void),
    then the entries; the hard state with all of these."""

    number: int
    cluster: str
    term: int
    voted_for: Member | None
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Committed:
    """Agreed on for good, in the order of the log."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """In place of the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """A read is right once this index is applied."""

    number: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadAborted:
    """This member can't tell any more; ask again."""

    number: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """Something a person or a judge wants to know."""

    event: str
    term: int = 0
    detail: str = ""


Effect = SendMessage | Persist | Committed | InstallSnapshot | ReadConfirmed | ReadAborted | LogLine


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What a member finds on its disk."""

    cluster: str = ""
    term: int = 0
    voted_for: Member | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times of the protocol. The rest is measured."""

    heartbeat_us: int = 100_000
    election_timeout_us: int = (
        400_000  # the least silence of a leader that counts; it grows with round trips and syncs
    )
    max_election_timeout_us: int = 1_200_000
    slow_sync_us: int = 150_000  # a leader whose syncs take longer, and much longer than others', hands over
    max_inflight_appends: int = 8  # appends on their way to a member
    batch_entries: int = 128
    batch_bytes: int = 256 * 1024
    snapshot_chunk_bytes: int = 64 * 1024


@dataclass(slots=True)
class Progress:
    """What the leader knows of another member."""

    next_index: int
    match_index: int = 0
    probing: bool = True
    probe_sent: bool = False  # a probe is on its way
    heard_us: int = 0
    last_answered_round: int = 0  # the latest round that it answered
    rtt_us: float = 0.0
    sync_us: int = 0
    inflight: list[int] = field(default_factory=list)  # last indexes of appends on their way
    snapshot: Snapshot | None = None  # that it is being sent
    offset: int = 0
    chunk_sent_us: int = 0
