"""Events that the decision module receives from its caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal, TypeAlias

from harriertide.decide.api.settings import Settings


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the endpoint list.

    :ivar shard: the shard that the node serves
    :ivar state: live: the node takes requests; draining: it takes no new ones; gone: it has been removed
    :ivar started_us: when the node started; 0: long ago
    """

    node_id: str
    shard: int
    state: Literal["live", "draining", "gone"] = "live"
    zone: int = 0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list, or a failed attempt to get one.

    :ivar kind: delta: changes; full: the complete list; cached: a complete list from the local cache; failed:
        the call to discovery failed
    """

    kind: Literal["delta", "full", "cached", "failed"]
    entries: tuple[NodeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that this broker has accepted.

    :ivar request_class, plan: numbers of the class and the plan in the settings
    :ivar volume: the volume whose quota and rate limit the request counts against
    :ivar shard: the shard that holds the object; -1: a new object, which any node may take
    :ivar deadline_at_us: the client stops waiting at this time
    :ivar units: cost of the request
    :ivar key: key of the object; requests of ordered classes with the same key run one after the other
    :ivar sharing_broker_count: number of brokers that receive requests of the volume
    :ivar is_retry: the client has sent the same request before
    :ivar streams_body: its body is sent to a node while it arrives from the client, which may be slow
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
    streams_body: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has started to reach its client, so no other attempt may follow."""

    request_id: str
    attempt: int


# ok: the node served the request. error: the node answered that it failed to serve it. incomplete: the node's
# response was malformed, or did not end in time. rejected: the node takes no more requests at present.
# timeout, connect_failed, reset: the connection brought no answer. cancelled: by this broker. not_sent:
# nothing was sent, or the node says that the request has expired or belongs to another node; another attempt
# there would not help. withheld: nothing was sent, or not all of the request, for a reason that does not
# concern the node; another attempt may help.
OutcomeKind: TypeAlias = Literal[
    "ok",
    "error",
    "incomplete",
    "rejected",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "not_sent",
    "withheld",
]


class Execution(Enum):
    """What the end of an attempt says of its execution at the node."""

    NONE = "the attempt had no effect"
    ENDED = "the node is done with the attempt, which may have had its effect"
    POSSIBLY_RUNNING = "the node may still run the attempt"


EXECUTION_BY_OUTCOME: dict[OutcomeKind, Execution] = {
    "ok": Execution.ENDED,
    "error": Execution.ENDED,
    "incomplete": Execution.POSSIBLY_RUNNING,
    "rejected": Execution.NONE,
    "timeout": Execution.POSSIBLY_RUNNING,
    "connect_failed": Execution.NONE,
    "reset": Execution.POSSIBLY_RUNNING,
    "cancelled": Execution.POSSIBLY_RUNNING,
    "not_sent": Execution.NONE,
    "withheld": Execution.NONE,
}


def _outcomes_of(execution: Execution) -> frozenset[OutcomeKind]:
    return frozenset(kind for kind, each in EXECUTION_BY_OUTCOME.items() if each is execution)


# Outcomes in which the node did not respond.
UNRESPONSIVE_OUTCOMES: frozenset[OutcomeKind] = frozenset({"timeout", "connect_failed", "reset"})
# Outcomes that prove that the attempt had no effect.
NOT_EXECUTED_OUTCOMES = _outcomes_of(Execution.NONE)
# Outcomes after which the node may still run the attempt.
POSSIBLY_RUNNING_OUTCOMES = _outcomes_of(Execution.POSSIBLY_RUNNING)


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """How an attempt ended.

    :ivar latency_us: time since the attempt was sent
    :ivar is_final: the request has its final answer
    """

    request_id: str
    attempt: int
    node_id: str
    kind: OutcomeKind
    latency_us: int = 0
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """How a probe of a node ended; ok: the node is alive."""

    node_id: str
    kind: OutcomeKind


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected; the request needs no answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with SetTimer has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A datagram from another broker."""

    sender_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class KeysHeld:
    """Keys whose earlier requests another process of this broker may still run.

    Requests of these keys that arrive from now on wait. Each such event replaces the one before.

    :ivar keys: None: every key
    :ivar until_us: the requests wait until then, unless another event releases them
    """

    keys: frozenset[str] | None
    until_us: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings for a running broker, such as values of plans and classes, shards or limits."""

    settings: Settings


Event: TypeAlias = (
    Arrival
    | AttemptFinished
    | EndpointUpdate
    | PeerMessageReceived
    | ResponseStarted
    | ProbeFinished
    | ClientDisconnected
    | KeysHeld
    | SettingsChanged
    | TimerFired
)
