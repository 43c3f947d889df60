"""The report of this broker to the leader: known permits, finished drains, load and unreachable nodes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from harriertide.consensus.fanout_messages import SubtreeReport, encode_broker_set
from harriertide.control.member import AgreementMember
from harriertide.control.node_barrier import NodeBarrier
from harriertide.control.ports import RequestCore
from harriertide.maintenance.phases import CLOSED_PHASES
from harriertide.maintenance.state import Step
from harriertide.maintenance.state_machine import MaintenanceStateMachine

LOAD_WINDOW_US = 2_000_000  # averaging window of the load; spans ten reports
INCARNATION_ANNOUNCEMENT_US = 60_000_000  # after a start; long enough to reach any leader
UNRESPONSIVE_EXPIRY_US = 10_000_000  # a node without new attempts for this long may have recovered
MIN_UNRESPONSIVE_COUNT = 2  # consecutive attempts without a response; a failed connection counts as two


@dataclass(frozen=True, slots=True)
class _Unresponsive:
    count: int
    since_us: int


class LoadWindow:
    """The rate of units offered to this broker, sampled at each report."""

    def __init__(self) -> None:
        self._samples: deque[tuple[int, float]] = deque()  # (time, total units offered until then)

    def add(self, now_us: int, offered_units: float) -> float:
        """Add a sample, and return the mean units per second over the window."""
        self._samples.append((now_us, offered_units))
        while now_us - self._samples[0][0] > LOAD_WINDOW_US:
            self._samples.popleft()
        first_us, first_units = self._samples[0]
        return (offered_units - first_units) * 1_000_000 / max(1, now_us - first_us)


class BrokerReporter:
    """Builds the reports of this broker."""

    def __init__(
        self,
        state_machine: MaintenanceStateMachine,
        member: AgreementMember,
        core: RequestCore,
        barrier: NodeBarrier,
    ) -> None:
        self._state_machine = state_machine
        self._member = member
        self._core = core
        self._barrier = barrier
        self._load = LoadWindow()
        self._started_us = member.now_us()
        self._unresponsive: dict[str, _Unresponsive] = {}

    def build(self) -> SubtreeReport:
        """Return the current report of this broker."""
        now_us = self._member.now_us()
        own_broker_set = encode_broker_set({self._member.broker_index})
        closed = self._barrier.closed_now(now_us)
        steps = self._state_machine.state.active_steps()
        learned_capacity = self._core.learned_capacity_by_node()
        return SubtreeReport(
            sender=self._member.name,
            number=0,
            last_applied=self._member.applied_index,
            alive_brokers=own_broker_set,
            incarnations=self._announced_incarnation(now_us),
            informed_brokers={step.fence: own_broker_set for step in steps},
            drained_brokers={step.fence: own_broker_set for step in steps if self._has_drained(step, closed)},
            load_units=self._load.add(now_us, self._core.offered_units),
            learned_units={name: round(units, 2) for name, units in learned_capacity.items() if units},
            unreachable_counts=self._unreachable_nodes(now_us),
        )

    def _has_drained(self, step: Step, closed: frozenset[str] | None) -> bool:
        """CLEAR: return whether this broker starts no attempts at the step's machine and has none open there.

        If the machine is this broker itself, every request must have its final answer as well.
        """
        if step.phase not in CLOSED_PHASES:
            return False
        if closed is not None and step.machine not in closed:
            return False
        if step.machine == self._member.name and self._core.open_request_count():
            return False
        return self._core.open_attempt_count_at(step.machine) == 0

    def _announced_incarnation(self, now_us: int) -> dict[str, int]:
        has_just_started = now_us - self._started_us < INCARNATION_ANNOUNCEMENT_US
        if has_just_started or self._state_machine.state.find_active_step(self._member.name) is not None:
            return {self._member.name: self._member.incarnation}
        return {}

    def _unreachable_nodes(self, now_us: int) -> dict[str, int]:
        """Return 1 for each node that is unreachable from here; the values are summed over all brokers."""
        unreachable = {}
        for name, count in self._core.consecutive_unresponsive.items():
            known = self._unresponsive.get(name)
            if known is None or known.count != count:
                known = self._unresponsive[name] = _Unresponsive(count, now_us)
            if count >= MIN_UNRESPONSIVE_COUNT and now_us - known.since_us < UNRESPONSIVE_EXPIRY_US:
                unreachable[name] = 1
        return unreachable
