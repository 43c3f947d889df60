"""The leader's view of the brokers from their reports, and the settings of the planner."""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertide.maintenance.state import MaintenanceState, Step


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings from the operator's file and from the requests that brokers serve.

    lease_us: how long a broker may send after a report. longest_attempt_us: the longest deadline of an
    attempt. isolation_limit_us: time after the end of its lease at which an isolated broker stops sending
    altogether; 0 if it never does. warm_up_s: duration of the warm-up of a returning node.
    """

    lease_us: int = 3_000_000
    longest_attempt_us: int = 30_000_000
    isolation_limit_us: int = 0
    warm_up_s: float = 10.0


@dataclass(slots=True)
class LeaderFacts:
    """Data that the current leader has received. Times are on its clock; brokers are indexes in the file."""

    leading_since_us: int = 0
    last_grant_us: dict[int, int] = field(default_factory=dict)  # time of the latest lease grant, by broker
    # by fence: brokers that know of the permit
    informed_brokers: dict[int, set[int]] = field(default_factory=dict)
    # by fence: brokers without open attempts
    drained_brokers: dict[int, set[int]] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)  # by broker: its current process
    learned_units: dict[str, float] = field(default_factory=dict)  # by node, in units per second
    load_units: float = 0.0  # units per second, all brokers together
    reserved_units: float = 0.0  # units per second, all grades together
    # by machine: number of brokers that cannot reach it
    unreachable_counts: dict[str, int] = field(default_factory=dict)
    # by machine: since when most brokers cannot reach it
    unreachable_since_us: dict[str, int] = field(default_factory=dict)
    alive_brokers: set[int] = field(default_factory=set)
    seen_since_us: dict[tuple[int, str], int] = field(default_factory=dict)  # by fence and phase

    def phase_age_s(self, step: Step, now_us: int) -> float:
        """Return how long this leader has seen a step in its phase, by its own clock: wall clocks jump."""
        since_us = self.seen_since_us.setdefault((step.fence, step.phase), now_us)
        return (now_us - since_us) / 1_000_000

    def forget_fences(self, active: set[int]) -> None:
        """Drop the data of permits that have ended.

        :param active: fences of the active steps
        """
        for brokers_by_fence in (self.informed_brokers, self.drained_brokers):
            for fence in [fence for fence in brokers_by_fence if fence not in active]:
                del brokers_by_fence[fence]
        seen = self.seen_since_us
        self.seen_since_us = {key: since_us for key, since_us in seen.items() if key[0] in active}


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """Inputs of one planning round. now_us: the leader's monotonic clock; now_s: its wall clock."""

    state: MaintenanceState
    settings: PlannerSettings
    facts: LeaderFacts
    now_us: int
    now_s: float
