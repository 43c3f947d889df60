"""The inputs (events) and outputs (effects) of the core. All times are microseconds of one clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

from harriertide.decide import api

# --- events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A front has received a request.

    streams_body: the body is forwarded as it arrives, and its last byte may arrive much later.
    """

    arrival: api.Arrival
    streams_body: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended.

    reply: the reply that the front may pass to the client; the core does not read it. body_written_us:
    when the last byte of a streamed request body was written; 0 if the body was not streamed.
    """

    request_id: str
    attempt: int
    kind: api.OutcomeKind
    reply: object = None
    body_written_us: int = 0


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The front has begun to send the response of an attempt to the client; no further attempt follows."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected and no longer waits for an answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list has changed, or a poll of the list has failed."""

    update: api.EndpointUpdate


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another broker has arrived."""

    sender_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A health check of a node has finished."""

    node_id: str
    kind: api.OutcomeKind


@dataclass(frozen=True, slots=True)
class KeysHeld:
    """Another process of this broker may still run requests of these keys; see `api.KeysHeld`."""

    held: api.KeysHeld


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The operator has changed the settings."""

    settings: api.Settings


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process is shutting down; all open requests are answered immediately."""


Event: TypeAlias = (
    RequestArrived
    | AttemptFinished
    | ResponseStarted
    | ClientDisconnected
    | EndpointsUpdated
    | TimerFired
    | PeerMessageReceived
    | ProbeFinished
    | KeysHeld
    | SettingsChanged
    | ShutdownStarted
)


# --- effects --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to the node if `Reducer.may_write` permits it right before the first byte is written.

    stop_at_us: when the attempt must end. not_before_us: the earliest time to write the first byte; 0 for
    immediately. silence: the longest pauses within the response.
    """

    request_id: str
    attempt: int
    node_id: str
    stop_at_us: int
    not_before_us: int = 0
    silence: api.SilenceLimits = api.NO_SILENCE_LIMITS


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an open attempt; its outcome is "cancelled", unless it finishes first."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Respond:
    """Give the client the only final answer of its request.

    reply: the reply of the successful attempt. retry_after_us: the delay to advise to the client before a
    retry; 0 for no advice.
    """

    request_id: str
    kind: Literal["served", "rejected", "failed"]
    reply: object = None
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Post TimerFired with the token at the given time."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another broker; delivery is not guaranteed."""

    recipient_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Watch the endpoint list for changes since its last known state."""


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Check the health of a node independently of requests, and post ProbeFinished."""

    node_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class DiscardReply:
    """Discard a reply that is not the final answer, and free its resources."""

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
