"""What this broker reports to the leader: what it knows and has drained, its load, unreachable nodes."""

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

LOAD_WINDOW_US = 2_000_000  # over which the load is taken: ten reports
INCARNATION_ANNOUNCEMENT_US = 60_000_000  # from a start on: until any leader has heard of this process
UNRESPONSIVE_EXPIRY_US = 10_000_000  # a node to which nothing was sent for so long may be back
MIN_UNRESPONSIVE_COUNT = 2  # attempts in a row without a sign of life, or one failed connection


@dataclass(frozen=True, slots=True)
class _Unresponsive:
    count: int
    since_us: int


class LoadWindow:
    """The load that was offered to this broker, seen at each report."""

    def __init__(self) -> None:
        self._samples: deque[tuple[int, float]] = deque()  # when, and units offered until then

    def add(self, now_us: int, offered_units: float) -> float:
        """Add a sample, and return the units a second of the window."""
        self._samples.append((now_us, offered_units))
        while now_us - self._samples[0][0] > LOAD_WINDOW_US:
            self._samples.popleft()
        first_us, first_units = self._samples[0]
        return (offered_units - first_units) * 1_000_000 / max(1, now_us - first_us)


class BrokerReporter:
    """Builds this broker's reports."""

    def __init__(
        self,
        machine: MaintenanceStateMachine,
        member: AgreementMember,
        core: RequestCore,
        barrier: NodeBarrier,
    ) -> None:
        self._machine = machine
        self._member = member
        self._core = core
        self._barrier = barrier
        self._load = LoadWindow()
        self._started_us = member.now_us()
        self._unresponsive: dict[str, _Unresponsive] = {}

    def build(self) -> SubtreeReport:
        """Return what this broker reports of itself now."""
        now_us = self._member.now_us()
        me = encode_broker_set({self._member.broker_index})
        closed = self._barrier.closed_now(now_us)
        steps = self._machine.state.active_steps()
        learned = self._core.learned_capacity_by_node()
        return SubtreeReport(
            sender=self._member.name,
            number=0,
            last_applied=self._member.applied_index,
            alive_brokers=me,
            incarnations=self._announced_incarnation(now_us),
            informed_brokers={step.fence: me for step in steps},
            drained_brokers={step.fence: me for step in steps if self._has_drained(step, closed)},
            load_units=self._load.add(now_us, self._core.offered_units),
            learned_units={name: round(units, 2) for name, units in learned.items() if units},
            unreachable_counts=self._unreachable_nodes(now_us),
        )

    def _has_drained(self, step: Step, closed: frozenset[str] | None) -> bool:
        """CLEAR: this broker begins no attempt there, and has none open.

        Where the machine is this broker itself, no request may be without its answer either.
        """
        if step.phase not in CLOSED_PHASES:
            return False
        if closed is not None and step.machine not in closed:
            return False
        if step.machine == self._member.name and self._core.open_request_count():
            return False
        return self._core.open_attempt_count_at(step.machine) == 0

    def _announced_incarnation(self, now_us: int) -> dict[str, int]:
        is_young = now_us - self._started_us < INCARNATION_ANNOUNCEMENT_US
        if is_young or self._machine.state.find_active_step(self._member.name) is not None:
            return {self._member.name: self._member.incarnation}
        return {}

    def _unreachable_nodes(self, now_us: int) -> dict[str, int]:
        """Nodes that are out of service, as seen from here; 1 for each, to be summed up over brokers."""
        unreachable = {}
        for name, count in self._core.consecutive_unresponsive.items():
            known = self._unresponsive.get(name)
            if known is None or known.count != count:
                known = self._unresponsive[name] = _Unresponsive(count, now_us)
            if count >= MIN_UNRESPONSIVE_COUNT and now_us - known.since_us < UNRESPONSIVE_EXPIRY_US:
                unreachable[name] = 1
        return unreachable
