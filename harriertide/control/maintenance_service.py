"""Maintenance in one broker: enforces the committed permits, and plans the next steps while it is the leader.

The decisions are made in `harriertide.consensus` and `harriertide.maintenance`, which do no I/O. This module
supplies them with facts and executes their decisions.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from aiohttp import web

from harriertide.config.maintenance_section import MaintenanceSettings
from harriertide.consensus.events import Tuning
from harriertide.consensus.fanout import GrantRound
from harriertide.consensus.fanout_messages import SubtreeReport
from harriertide.control.broker_report import BrokerReporter
from harriertide.control.environment import Environment
from harriertide.control.leader_facts import update_facts
from harriertide.control.member import AgreementMember
from harriertide.control.node_barrier import NodeBarrier
from harriertide.control.operator_api import MaintenanceApi
from harriertide.control.order_preview import OrderPreview
from harriertide.control.ports import NodeDirectory, RequestCore
from harriertide.control.proposals import Proposals
from harriertide.control.step_observer import StepObserver
from harriertide.engine.log import log
from harriertide.maintenance.commands import DeclareMachines
from harriertide.maintenance.facts import LeaderFacts, PlannerSettings
from harriertide.maintenance.orders import Machine
from harriertide.maintenance.phases import CLOSED_PHASES
from harriertide.maintenance.planner import Planner
from harriertide.maintenance.state_machine import MaintenanceStateMachine
from harriertide.platform.peers import parse_address

TICK_S = 0.025  # the object front learns this late that a lease ended; each write checks the clock itself
PLANNING_INTERVAL_US = 200_000  # between planning rounds while no new information arrives


class MaintenanceService:
    """The maintenance service of one broker.

    :param settings: the `maintenance` section of the operator's file
    :param unix_us: the reducer's clock
    :param request_shutdown: shuts this process down cleanly
    :param set_ready: sets whether this process accepts requests
    :param environment: the member's disk, network and random numbers; simulations pass their own
    :param wall_s: the wall clock, in Unix seconds
    """

    def __init__(
        self,
        settings: MaintenanceSettings,
        core: RequestCore,
        nodes: NodeDirectory,
        unix_us: Callable[[], int],
        request_shutdown: Callable[[], None],
        set_ready: Callable[[bool], None],
        environment: Environment | None = None,
        wall_s: Callable[[], float] = time.time,
        tuning: Tuning | None = None,
    ) -> None:
        environment = environment or Environment()
        self.settings = settings
        self.state_machine = MaintenanceStateMachine()
        self.planner_settings = PlannerSettings(
            lease_us=1000 * settings.lease_ms,
            longest_attempt_us=max(kind.deadline_us for kind in core.settings.classes),
            isolation_limit_us=1_000_000 * settings.blind_s,
            warm_up_s=float(settings.cold_s),
        )
        self.facts = LeaderFacts()
        self.planner = Planner(self.state_machine, self.planner_settings)
        self._nodes = nodes
        self._request_shutdown = request_shutdown
        self._set_ready = set_ready
        self._wall_s = wall_s
        self._events = environment.event_log(settings.events)
        self.member = AgreementMember(
            name=settings.name,
            addresses={name: parse_address(row["address"]) for name, row in settings.brokers.items()},
            voters=tuple(name for name, row in settings.brokers.items() if row["voter"] == "yes"),
            folder=Path(settings.folder),
            state_machine=self.state_machine,
            lease_us=self.planner_settings.lease_us,
            events=self._events,
            listener=self,
            environment=environment,
            tuning=tuning,
        )
        isolation_limit_us = self.planner_settings.isolation_limit_us
        self.barrier = NodeBarrier(
            self.state_machine, self.member, nodes, self._events, isolation_limit_us, unix_us
        )
        self._counts: Counter[str] = Counter()
        self._reporter = BrokerReporter(self.state_machine, self.member, core, self.barrier)
        self._proposals = Proposals(self.member, self._events, self._counts)
        self._observer = StepObserver(self.state_machine, self.member, self._events)
        preview = OrderPreview(self.state_machine, self.member, self.planner, self.planner_settings, nodes)
        self._api = MaintenanceApi(
            self.state_machine, self.member, self._observer, preview, self._events, self
        )
        self._led_term = 0  # term in which this broker plans as leader; 0 if it is not the leader
        self._next_planning_us = 0
        self._is_out_of_service = False
        self._is_shutting_down = False
        self._timer_task: asyncio.Task[None] | None = None
        core.is_barred = self.barrier.is_barred

    def wall_s(self) -> float:
        """Return the wall clock, in Unix seconds."""
        return self._wall_s()

    # --- lifecycle ------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the member and the planning timer."""
        await self.member.start()
        self._timer_task = asyncio.get_running_loop().create_task(self._run())
        log("maintenance service started", name=self.settings.name, voter=self.member.is_voter)

    def cancel_tasks(self) -> list[asyncio.Task[None]]:
        """Cancel all tasks without a clean shutdown, as if the process was killed; return the tasks."""
        return [*self._cancel_own_tasks(), *self.member.cancel_tasks()]

    def _cancel_own_tasks(self) -> list[asyncio.Task[None]]:
        tasks = self._proposals.cancel_tasks()
        if self._timer_task is not None:
            self._timer_task.cancel()
            tasks.append(self._timer_task)
        return tasks

    async def close(self) -> None:
        """Stop planning, transfer leadership and close the member."""
        await asyncio.gather(*self._cancel_own_tasks(), return_exceptions=True)
        self._events.write("ends")
        await self.member.close()

    async def _run(self) -> None:
        while True:
            now_us = self.member.now_us()
            self.barrier.refresh_when_due(now_us)
            self._update_leadership(now_us)
            if self._led_term and now_us >= self._next_planning_us:
                self._next_planning_us = now_us + PLANNING_INTERVAL_US
                self.plan(now_us)
            await asyncio.sleep(TICK_S)

    def counters(self) -> dict[str, Counter[str]]:
        """Return the counters by component."""
        return self.member.counters()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer an operator's call: GET /maintenance, POST /maintenance/ACTION."""
        return await self._api.handle(request)

    # --- member listener ------------------------------------------------------------------------------

    def build_report(self) -> SubtreeReport:
        """Return the current report of this broker."""
        return self._reporter.build()

    def on_applied(self) -> None:
        """Handle applied entries: record phase changes, refresh the barrier, apply this broker's own step."""
        if self._observer.notice_changes():
            self._next_planning_us = 0
        self.barrier.refresh(self.member.now_us())
        self._apply_own_step()

    def on_leases_granted(self, grant_round: GrantRound) -> None:
        """As leader, update the facts, and plan at the next tick: a waiting step may be ready now."""
        totals = self.member.subtree_totals(self.build_report())
        active_fences = {step.fence for step in self.state_machine.state.active_steps()}
        now_us = self.member.now_us()
        update_facts(self.facts, now_us, grant_round, totals, active_fences, self._nodes.state)
        self._next_planning_us = 0

    def _apply_own_step(self) -> None:
        """Apply the step of this broker itself: stop taking requests and shut down, or take them again."""
        step = self.state_machine.state.find_active_step(self.settings.name)
        is_out_of_service = step is not None and step.phase in CLOSED_PHASES
        if step is not None and is_out_of_service and not self._is_out_of_service:
            self._events.write("leaving", phase=step.phase)
            log("takes no requests, this broker is taken out for maintenance", fence=step.fence)
        if step is not None and step.phase == "out" and step.incarnation == self.member.incarnation:
            if not self._is_shutting_down:
                log("shutting down this broker for maintenance", fence=step.fence)
            self._is_shutting_down = True
            self._request_shutdown()
        if is_out_of_service != self._is_out_of_service:
            self._is_out_of_service = is_out_of_service
            self._set_ready(not is_out_of_service)
            if is_out_of_service:
                self.member.transfer_leadership()

    # --- planning as leader ---------------------------------------------------------------------------

    def _update_leadership(self, now_us: int) -> None:
        """Reset the facts when leadership changes: the reports to an earlier leader are not known here."""
        led_term = self.member.led_term
        if led_term == self._led_term:
            return
        if led_term:
            log("plans maintenance, this broker leads", term=led_term)
        else:
            log("plans no maintenance, not the leader", leader=self.member.leader)
        self._led_term = led_term
        self.facts = LeaderFacts(leading_since_us=now_us)
        self._proposals.forget()

    def plan(self, now_us: int) -> None:
        """Propose the next commands.

        If the committed inventory differs from the operator's file, propose only the new inventory.
        """
        if not self.member.can_propose:
            return
        declared = self._build_inventory()
        state = self.state_machine.state
        machines = {machine.name: machine for machine in declared.machines}
        if state.machines != machines or state.brokers != declared.brokers:
            self._proposals.propose(now_us, declared)
            return
        for command in self.planner.propose(self.facts, now_us, self._wall_s()):
            self._proposals.propose(now_us, command)
        self.member.wait_reasons = self._collect_wait_reasons(now_us)

    def _build_inventory(self) -> DeclareMachines:
        settings = self.settings
        machines = [
            Machine(name, "box", **settings.labels.get(name, {})) for name in self._nodes.state["boxes"]
        ]
        for name, row in settings.brokers.items():
            labels = {key: row[key] for key in ("zone", "rack", "release", "group")}
            machines.append(Machine(name, "broker", **labels, voter=row["voter"] == "yes"))
        return DeclareMachines(tuple(machines), tuple(settings.brokers), self._wall_s())

    def _collect_wait_reasons(self, now_us: int) -> dict[str, list[str]]:
        """Return what each active step, and the first waiting step of each order, waits for.

        Later waiting steps are left out, because the reasons are sent with every grant.
        """
        reasons_by_step: dict[str, list[str]] = {}
        for order_name, steps in self.state_machine.state.steps.items():
            has_waiting = False
            for step in steps.values():
                is_waiting = step.phase == "waiting"
                if is_waiting and has_waiting:
                    continue
                has_waiting = has_waiting or is_waiting
                wait_reasons = self.planner.describe_waits(step, self.facts, now_us, self._wall_s())
                if wait_reasons:
                    reasons_by_step[f"{order_name}/{step.machine}"] = wait_reasons
        return reasons_by_step
