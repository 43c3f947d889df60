"""What the core hears (events) and what it asks for (effects). Times are microseconds of one clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

from harriertide.decide import api


@dataclass(frozen=True, slots=True)
class Arrived:
    """A front has taken a request. streams: its body is sent on as it comes, and its last byte may be far."""

    arrival: api.Arrival
    streams: bool = False


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt is over; reply is what the front may pass on, unread by the core."""

    request: str
    attempt: int
    kind: api.OutcomeKind
    reply: object = None
    written_us: int = 0  # when its last byte was written, where that was long after its first


@dataclass(frozen=True, slots=True)
class Began:
    """The answer of an attempt has begun to go to the client: it is the client's, and no attempt follows."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Left:
    """The client is gone; no answer is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class Listed:
    """News of the list of nodes."""

    news: api.NodeList


@dataclass(frozen=True, slots=True)
class Fired:
    """A timer has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class Heard:
    """Bytes from another broker, by its number."""

    head: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe of a node has ended."""

    node: str
    kind: api.OutcomeKind


@dataclass(frozen=True, slots=True)
class Resettled:
    """The operator has changed the settings."""

    settings: api.Settings


@dataclass(frozen=True, slots=True)
class Closing:
    """The process ends: whatever is open is answered now."""


Event: TypeAlias = Arrived | Ended | Began | Left | Listed | Fired | Heard | Probed | Resettled | Closing


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to the node; ask may_write at the moment of writing; end by stop_at_us.

    from_us: no byte leaves before; 0: at once.
    """

    request: str
    attempt: int
    node: str
    stop_at_us: int
    from_us: int = 0


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Stop an attempt that is out; it ends as cancelled, unless it has ended already."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer. reply: of the attempt that served it."""

    request: str
    kind: Literal["served", "refused", "failed"]
    reply: object = None
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Say Fired at this time."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Bytes for another broker, by its number."""

    head: int
    body: bytes


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch the list of nodes from what is known on."""


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Probe a node; say Probed when that has ended."""

    node: str


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Unwanted:
    """A reply of an attempt that came too late to be the final answer."""

    reply: object


Effect: TypeAlias = (
    StartAttempt | StopAttempt | Answer | SetTimer | TellPeer | OpenWatch | StartProbe | Say | Unwanted
)
