"""The context that all mechanisms of the decision module share: settings, time, timers and actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TypeAlias

from harriertide.decide import api
from harriertide.decide.derived import DerivedSettings
from harriertide.decide.leases import Leases
from harriertide.decide.state import RequestState, ShardState
from harriertide.decide.timers import TimerQueue

NOT_STARTED_US = -1


@dataclass(frozen=True, slots=True)
class RequestTimer:
    """A request's deadline, or an earlier time at which the request may be ready for dispatch."""

    request: RequestState


@dataclass(frozen=True, slots=True)
class ShardTimer:
    """The queue of a shard is due for another check."""

    shard: ShardState


@dataclass(frozen=True, slots=True)
class KeyTimer:
    """The time in which a key is quiet or held is over, so its next request may run."""

    key: str


@dataclass(frozen=True, slots=True)
class PollTimer:
    """The endpoint list is due to be polled."""


@dataclass(frozen=True, slots=True)
class LeaseTimer:
    """Votes are due to be requested. leases: the object that set the timer; a later object ignores it."""

    leases: Leases


Timer: TypeAlias = RequestTimer | ShardTimer | KeyTimer | PollTimer | LeaseTimer


def _is_obsolete(timer: Timer) -> bool:
    return isinstance(timer, RequestTimer) and timer.request.is_closed


@dataclass(slots=True)
class DecisionContext:
    """One broker's settings, time and timers during a call of Scheduler.decide().

    actions: the actions of this call, in order. ready_shards: the shards whose queues are dispatched at the
    end of the call.
    """

    settings: api.Settings
    derived: DerivedSettings
    random: Random
    now_us: int = 0
    started_at_us: int = NOT_STARTED_US
    timers: TimerQueue[Timer] = field(default_factory=lambda: TimerQueue(_is_obsolete))
    actions: list[api.Action] = field(default_factory=list)
    ready_shards: dict[int, ShardState] = field(default_factory=dict)

    @property
    def has_started(self) -> bool:
        """Whether the scheduler has handled its first call."""
        return self.started_at_us >= 0

    def answer_deadline_us(self, arrival: api.Arrival) -> int:
        """The latest time for a request's answer: one tick before its client's deadline."""
        return arrival.deadline_at_us - self.settings.tick_us

    def emit(self, action: api.Action) -> None:
        """Append an action to those of this call."""
        self.actions.append(action)

    def mark_ready(self, shard: ShardState) -> None:
        """Dispatch the shard's queue at the end of this call."""
        self.ready_shards[shard.shard] = shard
