"""Events: what has happened, as the decision module is told of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

from harriertide.decide.api.settings import Settings


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the endpoint list.

    :ivar shard: the shard that it serves
    :ivar state: gets requests; gets no new ones; has left
    :ivar started_us: when it has started; 0: long ago
    """

    node_id: str
    shard: int
    state: Literal["live", "draining", "gone"] = "live"
    zone: int = 0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """News of the endpoint list.

    :ivar kind: changes; the complete list; the complete list as it was kept from before; a call that failed
    """

    kind: Literal["delta", "full", "cached", "failed"]
    entries: tuple[NodeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that this broker has taken.

    :ivar request_class, plan: their numbers in the settings
    :ivar volume: whose quota and limit it counts in
    :ivar shard: that it has to go to; -1: a new object, any node may take it
    :ivar deadline_at_us: its client waits until then
    :ivar units: what it costs
    :ivar key: of its object; requests of ordered classes run in turn by it
    :ivar sharing_broker_count: the brokers through which the volume's requests come
    :ivar is_retry: its client has asked for the same before
    """

    request_id: str
    request_class: int
    plan: int
    volume: str
    shard: int
    deadline_at_us: int
    units: float = 1.0
    key: str = ""
    sharing_broker_count: int = 1
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response of a streamed request goes to its client: no other attempt may follow."""

    request_id: str
    attempt: int


# ok: served. error: the node has failed. rejected: the node takes no more just now. timeout, connect_failed,
# reset: the connection's end. cancelled: by this broker. not_sent: nothing was sent, or the node says that
# the request is over or not its own; another attempt there would not help. withheld: nothing was sent, for a
# reason that says nothing about the node; another attempt may help.
OutcomeKind: TypeAlias = Literal[
    "ok", "error", "rejected", "timeout", "connect_failed", "reset", "cancelled", "not_sent", "withheld"
]
# The node has shown no sign of life.
UNRESPONSIVE_OUTCOMES: frozenset[OutcomeKind] = frozenset({"timeout", "connect_failed", "reset"})
# Proof that the attempt had no effect.
NOT_EXECUTED_OUTCOMES: frozenset[OutcomeKind] = frozenset(
    {"rejected", "connect_failed", "not_sent", "withheld"}
)


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """How an attempt ended.

    :ivar latency_us: from when it was sent
    :ivar is_final: its request has its final answer
    """

    request_id: str
    attempt: int
    node_id: str
    kind: OutcomeKind
    latency_us: int = 0
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """How a probe of a node ended; ok: it lives."""

    node_id: str
    kind: OutcomeKind


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has gone; no answer is owed any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with SetTimer has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A datagram from another broker."""

    sender_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings for a running broker: figures of plans and classes, shards, limits."""

    settings: Settings


Event: TypeAlias = (
    Arrival
    | AttemptFinished
    | EndpointUpdate
    | PeerMessageReceived
    | ResponseStarted
    | ProbeFinished
    | ClientDisconnected
    | SettingsChanged
    | TimerFired
)
