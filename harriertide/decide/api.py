"""The interface of the decision module: settings, events and actions.

Times are whole microseconds of one clock that only advances. Volumes, keys, nodes and requests
are opaque strings. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Literal, TypeAlias


def _need(ok: bool, field: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {rule}")


def _at_least(owner: object, floor: float, *fields: str) -> None:
    for field in fields:
        value = getattr(owner, field)
        number = isinstance(value, (int, float)) and not isinstance(value, bool)
        _need(number and isfinite(value) and value >= floor, field, f"must be a number of at least {floor}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: how soon it is wanted, what it is worth, whether it may run again."""

    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window_us: int = 0
    in_order: bool = False

    def __post_init__(self) -> None:
        _at_least(self, 1, "aim_us", "deadline_us")
        _at_least(self, 0, "worth", "late_worth", "window_us")
        _need(self.effect in ("safe", "keyed", "unsafe"), "effect", "must be safe, keyed or unsafe")
        _need(self.group in ("all", "zone", "cell"), "group", "must be all, zone or cell")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: figures of each of its volumes, over all heads and nodes, in units a second."""

    reserve: float = 0.0
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0
    limit_burst: float = 0.0

    def __post_init__(self) -> None:
        _at_least(self, 0, "reserve", "weight", "price", "limit", "limit_burst")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a head is told at its start."""

    head: int
    heads: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    shards: int
    mean_units: float = 1.0
    most_units: float = 1.0
    share_worth: float = 1.0
    spare_worth: float = 0.0
    cold_units: float = 0.0
    cold_from: float = 1.0
    cold_us: int = 0
    fall_us: int = 0
    fall_multiple: float = 1.0  # a cold node falls over when sent so many times what it can do for fall_us
    ask_for_list: bool = False
    ask_within_us: int = 10_000_000  # unasked so long, a head counts as told; after a failure four times
    may_tell: bool = False
    may_say_when: bool = False
    may_cancel: bool = False
    max_retry_after_us: int = 0
    max_attempts: int = 1
    may_probe: bool = False
    tick_us: int = 1_000
    key_rest_us: int = 0
    extra_floor: float | None = None
    extra_share: float = 0.0
    extra_span_us: int = 0

    def __post_init__(self) -> None:
        _at_least(self, 1, "heads", "shards", "max_attempts", "tick_us")
        _at_least(self, 0, "head", "cold_units", "cold_us", "fall_us", "max_retry_after_us", "ask_within_us")
        _at_least(self, 1, "fall_multiple")
        _at_least(self, 0, "share_worth", "spare_worth", "cold_from", "key_rest_us", "extra_share")
        _at_least(self, 0, "mean_units", "most_units", "extra_span_us")
        _need(self.head < self.heads, "head", "must be below heads")
        _need(len(self.classes) > 0, "classes", "must name at least one class")
        _need(len(self.plans) > 0, "plans", "must name at least one plan")
        _need(self.mean_units > 0, "mean_units", "must be above 0")
        _need(0 < self.cold_from <= 1, "cold_from", "must be above 0 and at most 1")
        if self.extra_floor is not None:
            _at_least(self, 0, "extra_floor")

    def same_brokers(self, other: Settings) -> bool:
        """Whether those settings are of the same brokers, with the same part of a cold node for each."""
        names = ("head", "heads", "may_tell", "cold_units", "most_units")
        return all(getattr(self, name) == getattr(other, name) for name in names)


# --- events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the list. started_us 0: long ago."""

    node: str
    shard: int
    state: Literal["live", "draining", "gone"] = "live"
    zone: int = 0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class NodeList:
    """News of the node list: changes, the whole list, the list last held, or a failed call."""

    kind: Literal["changes", "whole", "held", "failed"]
    nodes: tuple[NodeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that this head has taken; shard -1 is a new object."""

    request: str
    request_class: int
    plan: int
    volume: str
    shard: int
    give_up_us: int
    units: float = 1.0
    key: str = ""
    hosts: int = 1
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class AnswerBegan:
    """The answer of a streamed request has begun; it now belongs to the client."""

    request: str
    attempt: int


OutcomeKind: TypeAlias = Literal[
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"
]
# Kinds that show no sign of life of the node, and those that prove that the attempt never ran.
NO_LIFE: frozenset[OutcomeKind] = frozenset({"timeout", "connect_failed", "reset"})
NEVER_RAN: frozenset[OutcomeKind] = frozenset({"full", "connect_failed", "moot"})


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended. over: the request has its final answer."""

    request: str
    attempt: int
    node: str
    kind: OutcomeKind
    took_us: int = 0
    over: bool = False


@dataclass(frozen=True, slots=True)
class Probed:
    """How a probe of a node ended; ok: it lives."""

    node: str
    kind: OutcomeKind


@dataclass(frozen=True, slots=True)
class Departed:
    """The client has gone; nothing more is owed."""

    request: str


@dataclass(frozen=True, slots=True)
class Woke:
    """A timer set with Wake has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerNote:
    """Bytes from another head."""

    head: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Resettled:
    """New settings for a head that runs: figures of plans and classes, shards, limits."""

    settings: Settings


Event: TypeAlias = (
    NodeList | Arrival | AnswerBegan | Outcome | Probed | Departed | Woke | PeerNote | Resettled
)


# --- actions --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it ends at stop_at_us at the latest."""

    request: str
    node: str
    stop_at_us: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its outcome follows, cancelled or what was on its way."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, trying again is harmless. retry_after_us 0: no advice."""

    request: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer without a promise."""

    request: str


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask for a Woke event after this time."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the changes of the node list from here on."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Send bytes to another head."""

    head: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a node, beside all requests, whether it lives; one Probed follows."""

    node: str


@dataclass(frozen=True, slots=True)
class Log:
    """One line for on-call staff."""

    text: str


Action: TypeAlias = Send | Cancel | Refuse | Fail | Wake | Subscribe | Tell | Probe | Log
