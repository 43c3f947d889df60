"""Actions: what the decision module asks its caller to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a node; the attempt ends at stop_at_us at the latest."""

    request_id: str
    node_id: str
    stop_at_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Wait for an attempt no longer. Its outcome follows: cancelled, or what was on its way."""

    request_id: str
    attempt: int


# Why a request is given up: no node of its shard takes requests; its shard is overloaded and it is among
# those that are thinned out; its queue is too long; an answer could not be in time; its plan's limit; its
# last moment has come; it may not be attempted again (its own rules, its deduplication window, the retry
# budget); its node does not hold the shard; its nodes have left.
GiveUpReason: TypeAlias = Literal[
    "no_node",
    "overload",
    "queue_full",
    "too_late",
    "rate_limit",
    "deadline",
    "not_repeatable",
    "deduplication_over",
    "retry_budget",
    "wrong_shard",
]


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: trying again is harmless. retry_after_us 0: the client is not told when."""

    request_id: str
    retry_after_us: int = 0
    reason: GiveUpReason | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer without a promise: the request may have run."""

    request_id: str
    reason: GiveUpReason | None = None


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event after a while."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask for the endpoint list, and for its changes from there on."""


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a datagram to another broker; it may be lost."""

    recipient_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Ask a node, beside all requests, whether it lives; one ProbeFinished follows."""

    node_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the engineer on call: a decision and its reason."""

    text: str


Action: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | WatchEndpoints
    | SendPeerMessage
    | StartProbe
    | LogLine
)
