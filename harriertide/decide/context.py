"""What every mechanism of the decisions is handed: settings, time, timers, and where its actions go."""

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
    """A request's deadline, or an earlier time at which it may be able to leave."""

    request: RequestState


@dataclass(frozen=True, slots=True)
class ShardTimer:
    """Queued requests of a shard are to be looked at again."""

    shard: ShardState


@dataclass(frozen=True, slots=True)
class KeyTimer:
    """The quiet time of a key is over: its next request may run."""

    key: str


@dataclass(frozen=True, slots=True)
class PollTimer:
    """The endpoint list is to be asked for."""


@dataclass(frozen=True, slots=True)
class LeaseTimer:
    """Votes are to be asked for. leases: that set the timer; it is void for later ones."""

    leases: Leases


Timer: TypeAlias = RequestTimer | ShardTimer | KeyTimer | PollTimer | LeaseTimer


def _is_obsolete(timer: Timer) -> bool:
    return isinstance(timer, RequestTimer) and timer.request.is_closed


@dataclass(slots=True)
class DecisionContext:
    """One broker's settings and time, as of the call that is being decided.

    actions: of this call, in order. ready_shards: whose queued requests may be able to leave at its end.
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
        """Whether anything was decided yet."""
        return self.started_at_us >= 0

    def answer_deadline_us(self, arrival: api.Arrival) -> int:
        """When a request has to be answered at the latest: one tick before its client's deadline."""
        return arrival.deadline_at_us - self.settings.tick_us

    def emit(self, action: api.Action) -> None:
        """Ask for an action, after all those of this call so far."""
        self.actions.append(action)

    def mark_ready(self, shard: ShardState) -> None:
        """Have the shard's queue looked at before this call ends."""
        self.ready_shards[shard.shard] = shard
