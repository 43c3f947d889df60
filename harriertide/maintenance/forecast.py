"""What would come of an order: the planner's proposals simulated on a copy of the state."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.maintenance.capacity import available_units
from harriertide.maintenance.commands import ChangePhase, GrantPermit
from harriertide.maintenance.facts import LeaderFacts, PlannerSettings
from harriertide.maintenance.orders import Order
from harriertide.maintenance.planner import Planner
from harriertide.maintenance.state import Step
from harriertide.maintenance.state_machine import MaintenanceStateMachine

ROUNDS_PER_MACHINE = 8  # no machine has more steps than that
SHORTEST_ADVANCE_S = 0.01  # so that each round is later than the one before
WARM_UP_PARTS = 4  # rounds while a node warms up, as it serves more and more
NO_CAPACITY_KNOWN = -1.0


@dataclass(frozen=True, slots=True)
class ForecastPermit:
    """A machine of the order that would be permitted.

    after_s: from now. capacity_ratio: of all nodes' rates that would be left; NO_CAPACITY_KNOWN where no rate
    is known.
    """

    after_s: float
    machine: str
    capacity_ratio: float


class _Forecast:
    """A copy of the state that holds the order, and a clock of its own."""

    def __init__(
        self,
        machine: MaintenanceStateMachine,
        order: Order,
        settings: PlannerSettings,
        facts: LeaderFacts,
        now_s: float,
    ) -> None:
        self._copy = MaintenanceStateMachine()
        self._copy.load(machine.dump())
        state = self._copy.state
        state.orders[order.id] = order
        state.submitted_at_s[order.id] = now_s
        state.steps[order.id] = {name: Step(name, order.id, since_s=now_s) for name in order.machines}
        self._order = order
        self._settings = settings
        self._facts = facts
        facts.alive_brokers = set(range(len(state.brokers)))
        facts.unreachable_counts = {}  # nothing more fails
        self._planner = Planner(self._copy, settings)
        self._now_s = now_s
        self._elapsed_s = 0.0
        self._all_units = available_units(self._planner.context(facts, 1, now_s))

    @property
    def _time_us(self) -> int:
        return int(self._elapsed_s * 1_000_000) + 1

    @property
    def _time_s(self) -> float:
        return self._now_s + self._elapsed_s

    def run(self) -> list[ForecastPermit]:
        """Go from event to event until the order is over, or nothing can go.

        The rounds are bounded by the steps of all machines: guards the broker that is asked, which serves
        requests on the same loop, against orders that take days.
        """
        permits: list[ForecastPermit] = []
        state = self._copy.state
        for _ in range(ROUNDS_PER_MACHINE * sum(len(steps) for steps in state.steps.values())):
            if not state.is_open(self._order.id):
                break
            state.command_time_s = self._time_s
            has_changed = self._finish_work()
            has_changed = self._carry_out_proposals(permits) or has_changed
            if not has_changed and not self._advance():
                break  # nothing can go: the caller sees which machines are missing
        return permits

    def _finish_work(self) -> bool:
        """Each broker confirms at once, and work takes as long as its order says."""
        has_changed = False
        for step in self._copy.state.active_steps():
            self._facts.informed_brokers[step.fence] = self._facts.alive_brokers
            self._facts.drained_brokers[step.fence] = self._facts.alive_brokers
            if step.phase != "out":
                continue
            takes_s = self._copy.state.orders[step.order].takes_s
            if self._facts.phase_age_s(step, self._time_us) >= takes_s:
                command = ChangePhase(step.machine, step.fence, "returning", self._time_s)
                has_changed = not self._copy.execute(command).refusal or has_changed
        return has_changed

    def _carry_out_proposals(self, permits: list[ForecastPermit]) -> bool:
        has_changed = False
        for command in self._planner.propose(self._facts, self._time_us, self._time_s):
            if not isinstance(command, (GrantPermit, ChangePhase)) or self._copy.execute(command).refusal:
                continue
            has_changed = True
            if isinstance(command, GrantPermit) and command.order == self._order.id:
                permits.append(ForecastPermit(self._elapsed_s, command.machine, self._capacity_ratio()))
        return has_changed

    def _capacity_ratio(self) -> float:
        if not self._all_units:
            return NO_CAPACITY_KNOWN
        context = self._planner.context(self._facts, self._time_us, self._time_s)
        return available_units(context) / self._all_units

    def _advance(self) -> bool:
        """Go on to the next event; False where there is none."""
        remaining_s = [self._remaining_s(step) for step in self._copy.state.active_steps()]
        if not remaining_s:
            return False
        self._elapsed_s += max(SHORTEST_ADVANCE_S, min(remaining_s))
        return True

    def _remaining_s(self, step: Step) -> float:
        """How long a phase lasts yet, if all goes well; one that returns is worth more as it gets warmer."""
        if step.phase == "out":
            takes_s = self._copy.state.orders[step.order].takes_s
            return takes_s - self._facts.phase_age_s(step, self._time_us)
        if step.phase == "returning":
            warm_up_s = self._settings.warm_up_s
            part_s = max(0.1, warm_up_s / WARM_UP_PARTS)
            return min(warm_up_s - self._facts.phase_age_s(step, self._time_us), part_s)
        return 0.0


def forecast_order(
    machine: MaintenanceStateMachine,
    order: Order,
    settings: PlannerSettings,
    facts: LeaderFacts,
    now_s: float,
) -> list[ForecastPermit]:
    """Simulate an order on a copy of the state.

    :param facts: a copy of the leader's, which this changes
    :param now_s: the wall clock now, in Unix seconds
    :returns: the permits in the order of going; a machine that is missing could not go
    """
    return _Forecast(machine, order, settings, facts, now_s).run()
