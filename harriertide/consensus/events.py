"""What happens to a member, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from harriertide.consensus.messages import Entry, Member, Message, Snapshot

# --- events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Received:
    """A message came."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The time named by Node.due_us has come, or more."""


@dataclass(frozen=True, slots=True)
class Elapsed:
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
class ReadAsked:
    """From when on is a read that is asked for now right?"""

    number: int


@dataclass(frozen=True, slots=True)
class Transfer:
    """Hand over to this member, or to the best one."""

    to: Member | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """Of one member. Refused (no effect) unless this member leads and no other change is under way."""

    what: Literal["learn", "promote", "remove"]
    member: Member


@dataclass(frozen=True, slots=True)
class Compacted:
    """The state machine as of an applied index."""

    index: int
    data: bytes
    check: int


Event = Received | Tick | Elapsed | Synced | SyncFailed | Proposed | ReadAsked | Transfer | Change | Compacted

# --- effects ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send it; it may be lost."""

    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write it, sync, and tell by Synced. In order: the snapshot, the cut (entries from there on are void),
    then the entries; the hard state with all of these."""

    number: int
    cluster: str
    term: int
    vote: Member | None
    cut: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Committed:
    """Agreed on for good, in the order of the log."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Install:
    """In place of the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read is right once this index is applied."""

    number: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadLost:
    """This member can't tell any more; ask again."""

    number: int


@dataclass(frozen=True, slots=True)
class Noted:
    """Something a person or a judge wants to know."""

    what: str
    term: int = 0
    detail: str = ""


Effect = Transmit | Persist | Committed | Install | ReadReady | ReadLost | Noted


@dataclass(frozen=True, slots=True)
class Restored:
    """What a member finds on its disk."""

    cluster: str = ""
    term: int = 0
    vote: Member | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times of the protocol. The rest is measured."""

    heartbeat_us: int = 100_000
    patience_us: int = (
        400_000  # the least silence of a leader that counts; it grows with round trips and syncs
    )
    most_patience_us: int = 1_200_000
    slow_sync_us: int = 150_000  # a leader whose syncs take longer, and much longer than others', hands over
    window: int = 8  # appends on their way to a member
    batch: int = 128
    batch_bytes: int = 256 * 1024
    piece_bytes: int = 64 * 1024


@dataclass(slots=True)
class Progress:
    """What the leader knows of another member."""

    next: int
    match: int = 0
    probing: bool = True
    asked: bool = False  # a probe is on its way
    heard_us: int = 0
    echoed: int = 0  # the latest round that it answered
    rtt_us: float = 0.0
    sync_us: int = 0
    out: list[int] = field(default_factory=list)  # last indexes of appends on their way
    snapshot: Snapshot | None = None  # that it is being sent
    offset: int = 0
    piece_us: int = 0
