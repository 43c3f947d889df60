"""Forecasts the effect of an order, to answer an operator's plan call."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

from harriertide.control.leader_facts import reserved_units_by_grade
from harriertide.control.member import AgreementMember
from harriertide.control.ports import NodeDirectory
from harriertide.maintenance.capacity import available_units
from harriertide.maintenance.facts import LeaderFacts, PlannerSettings
from harriertide.maintenance.forecast import forecast_order
from harriertide.maintenance.orders import Order, minimum_duration_s
from harriertide.maintenance.planner import Planner
from harriertide.maintenance.state import encode_state
from harriertide.maintenance.state_machine import MaintenanceStateMachine


class OrderPreview:
    """Forecasts orders on copies of the replicated state and of the facts gathered as leader."""

    def __init__(
        self,
        state_machine: MaintenanceStateMachine,
        member: AgreementMember,
        planner: Planner,
        settings: PlannerSettings,
        nodes: NodeDirectory,
    ) -> None:
        self._state_machine = state_machine
        self._member = member
        self._planner = planner
        self._settings = settings
        self._nodes = nodes

    def state_digest(self) -> str:
        """Return the digest of the replicated state without its clock and load.

        A plan is valid only for the state with this digest.
        """
        state = msgspec.structs.replace(self._state_machine.state, command_time_s=0.0, peak_load_by_hour={})
        return xxhash.xxh3_64_hexdigest(encode_state(state))

    def preview(self, order: Order, facts: LeaderFacts, now_s: float) -> dict[str, Any]:
        """Return the forecast permits, the duration of the order, and the unserved reserves of each grade."""
        copied_facts = LeaderFacts(
            learned_units=dict(facts.learned_units),
            load_units=facts.load_units,
            reserved_units=facts.reserved_units,
            alive_brokers=set(facts.alive_brokers),
        )
        permits = forecast_order(self._state_machine, order, self._settings, copied_facts, now_s)
        capacity_ratios = [permit.capacity_ratio for permit in permits if permit.capacity_ratio >= 0]
        permitted_machines = {permit.machine for permit in permits}
        last_permit_s = max((permit.after_s for permit in permits), default=0.0)
        return {
            "from": self.state_digest(),
            "steps": [
                {
                    "after_s": round(permit.after_s, 1),
                    "machine": permit.machine,
                    "left": round(permit.capacity_ratio, 3),
                }
                for permit in permits
            ],
            "never": [name for name in order.machines if name not in permitted_machines],
            "takes_s": round(last_permit_s + order.takes_s, 1),
            "least_s": round(minimum_duration_s(order, self._state_machine.state.machines), 1),
            "grades": self._unserved_ratio_by_grade(min(capacity_ratios, default=1.0), facts, now_s),
        }

    def _unserved_ratio_by_grade(
        self, capacity_ratio: float, facts: LeaderFacts, now_s: float
    ) -> dict[str, float]:
        """Return the share of each grade's reserves that can't be served at the lowest capacity.

        Grades with the highest `worth` are served first.
        """
        grades = self._nodes.state["grades"]
        reserved = reserved_units_by_grade(self._nodes.state)
        context = self._planner.context(facts, self._member.now_us(), now_s)
        remaining = capacity_ratio * available_units(context) or sum(reserved.values())
        unserved = {}
        for grade in sorted(reserved, key=lambda name: -grades[name]["worth"]):
            served = min(remaining, reserved[grade])
            remaining -= served
            unserved[grade] = round(1 - served / reserved[grade], 3) if reserved[grade] else 0.0
        return unserved
