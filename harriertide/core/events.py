"""What the core gets (events) and what it asks for (effects). All times are microseconds of one clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

from harriertide.decide import api

# --- events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A front has taken a request.

    streams_body: its body is forwarded as it comes, and its last byte may be far.
    """

    arrival: api.Arrival
    streams_body: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended.

    reply: what the front may give to the client; the core does not read it. body_written_us: when the last
    byte of the request's body was written, where that may be long after the first; else 0.
    """

    request_id: str
    attempt: int
    kind: api.OutcomeKind
    reply: object = None
    body_written_us: int = 0


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response of an attempt has begun to go to the client: it is final, and no other attempt follows."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client is gone; nobody waits for an answer any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list has changed, or a poll of it has failed."""

    update: api.EndpointUpdate


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another broker."""

    sender_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A health check of a node has ended."""

    node_id: str
    kind: api.OutcomeKind


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The operator has changed the settings."""

    settings: api.Settings


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process ends: all open requests are answered now."""


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


# --- effects --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to the node, once `Reducer.may_write` agrees right before the first byte leaves.

    stop_at_us: when the attempt ends at the latest. not_before_us: no byte leaves before; 0: at once.
    """

    request_id: str
    attempt: int
    node_id: str
    stop_at_us: int
    not_before_us: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an open attempt; it ends as cancelled, unless it has ended meanwhile."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Respond:
    """The one final answer of a request.

    reply: that of the attempt that served it. retry_after_us: when the client may come again; 0: no advice.
    """

    request_id: str
    kind: Literal["served", "rejected", "failed"]
    reply: object = None
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report TimerFired with this token at this time."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to another broker; they may be lost."""

    recipient_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Watch the endpoint list for changes, from what is known on."""


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Check the health of a node beside all requests, and report ProbeFinished."""

    node_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class DiscardReply:
    """Drop a reply that came too late to be the final answer, and free what it holds."""

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
