"""What the core hears (events) and what it asks for (effects). Times are microseconds of one clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

from harriertide.decide import api


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A front has taken a request. streams: its body is sent on as it comes, and its last byte may be far."""

    arrival: api.Arrival
    streams_body: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt is over; reply is what the front may pass on, unread by the core."""

    request_id: str
    attempt: int
    kind: api.OutcomeKind
    reply: object = None
    body_written_us: int = 0  # when its last byte was written, where that was long after its first


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of an attempt has begun to go to the client: it is the client's, and no attempt follows."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client is gone; no answer is owed any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """News of the list of nodes."""

    update: api.EndpointUpdate


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another broker, by its number."""

    sender_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A probe of a node has ended."""

    node_id: str
    kind: api.OutcomeKind


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The operator has changed the settings."""

    settings: api.Settings


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process ends: whatever is open is answered now."""


Event: TypeAlias = (
    RequestArrived
    | AttemptFinished
    | ResponseStarted
    | ClientDisconnected
    | EndpointsUpdated
    | TimerFired
    | PeerMessageReceived
    | ProbeFinished
    | SettingsChanged
    | ShutdownStarted
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to the node; ask may_write at the moment of writing; end by stop_at_us.

    not_before_us: no byte leaves before; 0: at once.
    """

    request_id: str
    attempt: int
    node_id: str
    stop_at_us: int
    not_before_us: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt that is out; it ends as cancelled, unless it has ended already."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Respond:
    """The one final answer. reply: of the attempt that served it."""

    request_id: str
    kind: Literal["served", "rejected", "failed"]
    reply: object = None
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Say Fired at this time."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Bytes for another broker, by its number."""

    recipient_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Watch the list of nodes from what is known on."""


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Probe a node; say ProbeFinished when that has ended."""

    node_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log."""

    text: str


@dataclass(frozen=True, slots=True)
class DiscardReply:
    """A reply of an attempt that came too late to be the final answer."""

    reply: object


Effect: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | Respond
    | SetTimer
    | SendPeerMessage
    | WatchEndpoints
    | StartProbe
    | LogLine
    | DiscardReply
)
