"""What the leader has heard from brokers, and the settings that the planner goes by."""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertide.maintenance.state import MaintenanceState, Step


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of the operator's file, and of the requests that brokers serve.

    lease_us: how long a broker may send after a report. longest_attempt_us: the longest deadline of an
    attempt. isolation_limit_us: a broker that was cut off so long after its lease sends nothing at all any
    more; 0: it goes on. warm_up_s: a node that returns is warm after so long.
    """

    lease_us: int = 3_000_000
    longest_attempt_us: int = 30_000_000
    isolation_limit_us: int = 0
    warm_up_s: float = 10.0


@dataclass(slots=True)
class LeaderFacts:
    """What the present leader has heard. Times are on its own clock; brokers by their index in the file."""

    leading_since_us: int = 0
    last_grant_us: dict[int, int] = field(default_factory=dict)  # of a lease, by broker
    informed_brokers: dict[int, set[int]] = field(default_factory=dict)  # by fence: who knows of the permit
    drained_brokers: dict[int, set[int]] = field(default_factory=dict)  # by fence: who has nothing open there
    incarnations: dict[str, int] = field(default_factory=dict)  # by broker: the process that is there
    learned_units: dict[str, float] = field(default_factory=dict)  # by node: units a second
    load_units: float = 0.0  # of all brokers, a second
    reserved_units: float = 0.0  # of all grades, a second
    unreachable_counts: dict[str, int] = field(
        default_factory=dict
    )  # by machine: brokers that can't reach it
    unreachable_since_us: dict[str, int] = field(default_factory=dict)  # by machine: for most of the brokers
    alive_brokers: set[int] = field(default_factory=set)
    seen_since_us: dict[tuple[int, str], int] = field(default_factory=dict)  # by fence and phase

    def phase_age_s(self, step: Step, now_us: int) -> float:
        """Return how long this leader has seen a step in its phase, by its own clock: wall clocks jump."""
        since_us = self.seen_since_us.setdefault((step.fence, step.phase), now_us)
        return (now_us - since_us) / 1_000_000

    def forget_fences(self, active: set[int]) -> None:
        """Drop what was heard of permits that are over.

        :param active: fences of the active steps
        """
        for brokers_by_fence in (self.informed_brokers, self.drained_brokers):
            for fence in [fence for fence in brokers_by_fence if fence not in active]:
                del brokers_by_fence[fence]
        seen = self.seen_since_us
        self.seen_since_us = {key: since_us for key, since_us in seen.items() if key[0] in active}


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """All that one planning round goes by. now_us: the leader's clock; now_s: its wall clock."""

    state: MaintenanceState
    settings: PlannerSettings
    facts: LeaderFacts
    now_us: int
    now_s: float
