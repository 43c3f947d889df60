"""Actions that the decision module requests from its caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """The longest pauses of a node within its response; None: no limit but the end of the attempt.

    :ivar sized_us: within the head, and within a body whose head states its length
    :ivar unsized_us: within a body whose head does not state its length, and which may be long
    """

    sized_us: int | None = None
    unsized_us: int | None = None


NO_SILENCE_LIMITS = SilenceLimits()


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a node; the attempt must end by stop_at_us, or when a pause exceeds its limit."""

    request_id: str
    node_id: str
    stop_at_us: int
    silence: SilenceLimits = NO_SILENCE_LIMITS


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt. An AttemptFinished still follows: cancelled, or an outcome already under way."""

    request_id: str
    attempt: int


# Why a request is given up. no_node: no node of its shard takes requests, or its nodes have left. overload:
# its shard is overloaded and the request was not admitted. queue_full: its queue is too long. too_late: an
# answer would come too late. rate_limit: its plan's rate limit is used up. deadline: its deadline is reached.
# not_repeatable, deduplication_over, retry_budget: it may not be attempted again because of its class, its
# deduplication window or the retry budget. wrong_shard: its node does not hold the shard. superseded: a newer
# process of this broker keeps the order of its key.
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
    "superseded",
]


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the client may safely retry. retry_after_us 0: no retry time is suggested."""

    request_id: str
    retry_after_us: int = 0
    reason: GiveUpReason | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request has failed and may have run."""

    request_id: str
    reason: GiveUpReason | None = None


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event with this token after after_us."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Request the endpoint list and all its later changes."""


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a datagram to another broker; it may be lost."""

    recipient_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Check whether a node is alive, independently of requests; one ProbeFinished follows."""

    node_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a decision and its reason to the log, for the engineer on call."""

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
