"""Forecast of an order: simulates the planner's proposals on a copy of the replicated state."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.maintenance.capacity import available_units
from harriertide.maintenance.commands import ChangePhase, GrantPermit
from harriertide.maintenance.facts import LeaderFacts, PlannerSettings
from harriertide.maintenance.orders import Order
from harriertide.maintenance.planner import Planner
from harriertide.maintenance.state import Step
from harriertide.maintenance.state_machine import MaintenanceStateMachine

ROUNDS_PER_MACHINE = 8  # upper bound of the rounds that one machine needs
MIN_ADVANCE_S = 0.01  # makes the simulated time advance in each round
WARM_UP_ROUND_COUNT = 4  # rounds during the warm-up of a node, as its capacity grows
NO_CAPACITY_KNOWN = -1.0


@dataclass(frozen=True, slots=True)
class ForecastPermit:
    """A predicted permit for a machine of the order.

    after_s: seconds from now until the permit. capacity_ratio: the share of the total node capacity that
    would remain; NO_CAPACITY_KNOWN if no node rate is known.
    """

    after_s: float
    machine: str
    capacity_ratio: float


class _Forecast:
    """A simulation with a copy of the state that includes the order, and with a simulated clock."""

    def __init__(
        self,
        machine: MaintenanceStateMachine,
        order: Order,
        settings: PlannerSettings,
        facts: LeaderFacts,
        now_s: float,
    ) -> None:
        self._state_machine = MaintenanceStateMachine()
        self._state_machine.load(machine.dump())
        state = self._state_machine.state
        state.orders[order.id] = order
        state.submitted_at_s[order.id] = now_s
        state.steps[order.id] = {name: Step(name, order.id, since_s=now_s) for name in order.machines}
        self._order = order
        self._settings = settings
        self._facts = facts
        facts.alive_brokers = set(range(len(state.brokers)))
        facts.unreachable_counts = {}  # the forecast assumes no further failures
        self._planner = Planner(self._state_machine, settings)
        self._start_s = now_s
        self._elapsed_s = 0.0
        self._all_units = available_units(self._planner.context(facts, 1, now_s))

    @property
    def _time_us(self) -> int:
        return int(self._elapsed_s * 1_000_000) + 1

    @property
    def _time_s(self) -> float:
        return self._start_s + self._elapsed_s

    def run(self) -> list[ForecastPermit]:
        """Advance from event to event until the order is finished or no machine can proceed.

        The number of rounds is bounded by the number of steps, because the broker serves requests on the
        same event loop, and an order may take days of simulated time.
        """
        permits: list[ForecastPermit] = []
        state = self._state_machine.state
        for _ in range(ROUNDS_PER_MACHINE * sum(len(steps) for steps in state.steps.values())):
            if not state.is_open(self._order.id):
                break
            state.command_time_s = self._time_s
            has_changed = self._finish_work()
            has_changed = self._apply_proposals(permits) or has_changed
            if not has_changed and not self._advance():
                break  # no machine can proceed: the result lacks the blocked machines
        return permits

    def _finish_work(self) -> bool:
        """Simulate immediate confirmations by all brokers, and work that takes as long as stated."""
        has_changed = False
        for step in self._state_machine.state.active_steps():
            self._facts.informed_brokers[step.fence] = self._facts.alive_brokers
            self._facts.drained_brokers[step.fence] = self._facts.alive_brokers
            if step.phase != "out":
                continue
            takes_s = self._state_machine.state.orders[step.order].takes_s
            if self._facts.phase_age_s(step, self._time_us) >= takes_s:
                command = ChangePhase(step.machine, step.fence, "returning", self._time_s)
                has_changed = not self._state_machine.execute(command).refusal or has_changed
        return has_changed

    def _apply_proposals(self, permits: list[ForecastPermit]) -> bool:
        has_changed = False
        for command in self._planner.propose(self._facts, self._time_us, self._time_s):
            if (
                not isinstance(command, (GrantPermit, ChangePhase))
                or self._state_machine.execute(command).refusal
            ):
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
        """Advance the simulated clock to the next event; return False if there is none."""
        remaining_s = [self._remaining_s(step) for step in self._state_machine.state.active_steps()]
        if not remaining_s:
            return False
        self._elapsed_s += max(MIN_ADVANCE_S, min(remaining_s))
        return True

    def _remaining_s(self, step: Step) -> float:
        """Return the remaining time of a phase; a warm-up advances in parts, as the capacity grows."""
        if step.phase == "out":
            takes_s = self._state_machine.state.orders[step.order].takes_s
            return takes_s - self._facts.phase_age_s(step, self._time_us)
        if step.phase == "returning":
            warm_up_s = self._settings.warm_up_s
            part_s = max(0.1, warm_up_s / WARM_UP_ROUND_COUNT)
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

    :param facts: a copy of the leader's facts, which the simulation modifies
    :param now_s: current wall-clock time in Unix seconds
    :returns: the permits in chronological order; machines without one could not be taken out
    """
    return _Forecast(machine, order, settings, facts, now_s).run()
