"""Maintenance orders: validation, replicated state, planner, send gate, and simulated fleets in virtual time.

The simulations check that no broker sends requests to a machine that is out of service.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import pytest

from harriertide.config import operator_file
from harriertide.consensus.applied_state import AppliedState
from harriertide.consensus.events import Persist, RestoredState, Synced, Tick, Tuning
from harriertide.consensus.messages import Member, Membership
from harriertide.consensus.replica import CallCompleted, Replica
from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.lab.checkers.fleet_checker import Verdict, check_fleet
from harriertide.lab.experiments.fleet_run import play
from harriertide.lab.simulation import virtual_time
from harriertide.lab.simulation.maintenance_fleet import Fleet
from harriertide.lab.simulation.maintenance_operators import Operators
from harriertide.maintenance import confirmations, send_gate
from harriertide.maintenance.capacity import available_units
from harriertide.maintenance.commands import (
    CancelOrder,
    ChangePhase,
    Command,
    DeclareMachines,
    GrantPermit,
    MarkBrokerGone,
    PausePermits,
    RecordPeakLoad,
    ReportFailure,
    SubmitOrder,
    decode_result,
    encode_command,
)
from harriertide.maintenance.facts import LeaderFacts, PlannerSettings
from harriertide.maintenance.forecast import forecast_order
from harriertide.maintenance.orders import Machine, Order, OrderError, find_cycle, parse_order
from harriertide.maintenance.permits import explain_refusal
from harriertide.maintenance.phases import CLOSED_PHASES, Phase
from harriertide.maintenance.planner import Planner
from harriertide.maintenance.state import MaintenanceState
from harriertide.maintenance.state_machine import MaintenanceStateMachine

NODES = [Machine(f"x{n}", "box", zone=f"z{n % 2}", group=f"g{n % 3}", units=10.0) for n in range(1, 7)]
BROKERS = [Machine(f"b{n}", "broker", voter=True) for n in range(1, 6)]
ALL_MACHINES = {machine.name: machine for machine in (*NODES, *BROKERS)}


def make_state_machine(*commands: Command) -> MaintenanceStateMachine:
    """Return a state machine to which the inventory and the commands were applied."""
    state_machine = MaintenanceStateMachine()
    submit(
        state_machine,
        DeclareMachines(tuple(ALL_MACHINES.values()), tuple(b.name for b in BROKERS), 1.0),
        *commands,
    )
    return state_machine


def submit(state_machine: MaintenanceStateMachine, *commands: Command) -> str:
    """Apply commands; return the refusal of the last one, "" if it was accepted."""
    refusal = ""
    for command in commands:
        refusal = decode_result(state_machine.apply(0, encode_command(command))).refusal
    return refusal


def make_order(name: str = "fw", machines: tuple[str, ...] = ("x1", "x2", "x3"), **keys: Any) -> Order:
    return Order(name, machines, "restart", 10.0, **keys)


# --- validation of orders -----------------------------------------------------------------------------

VALID_ORDER: dict[str, Any] = {"order": "fw", "machines": ["x1", "x2"], "work": "restart", "takes_s": 60}


@pytest.mark.parametrize(
    ("changed_keys", "message"),
    [
        ({"odd": 1}, "odd: unknown key"), ({"order": ""}, "order: "),
        ({"machines": ["x9"]}, "there is no x9"),
        ({"machines": ["x1", "x1"]}, "x1 twice"), ({"machines": []}, "names none"),
        ({"zone": "far"}, "has far"),
        ({"work": "dance"}, "work: "), ({"takes_s": "1"}, "takes_s: "), ({"takes_s": 0}, "takes_s: "),
        ({"at_once": 0}, "at_once: "), ({"until_s": 1050}, "the work needs 120 s"),
        ({"first": ["x3"]}, "first: x3"),
        ({"spare": 9}, "spare: "), ({"after": "a"}, "after: "), ({"takes_s": True}, "takes_s: "),
    ],
)  # fmt: skip
def test_invalid_order_error_names_the_key(changed_keys: dict[str, Any], message: str) -> None:
    with pytest.raises(OrderError, match=message) as error_info:
        parse_order({**VALID_ORDER, **changed_keys}, ALL_MACHINES, 1000.0)
    assert "\n" not in str(error_info.value)


def test_label_selects_its_machines() -> None:
    parsed_order = parse_order(
        {"order": "z", "zone": "z1", "work": "replace", "takes_s": 1}, ALL_MACHINES, 0.0
    )
    assert parsed_order.machines == ("x1", "x3", "x5")


def test_invalid_commands_are_refused_and_change_nothing() -> None:
    state_machine = make_state_machine(SubmitOrder(make_order("a"), 2.0))
    before = state_machine.dump()
    refusals = [
        submit(state_machine, SubmitOrder(make_order("b", ("nobody",)), 2.0)),
        submit(state_machine, SubmitOrder(make_order("b", after=("c",)), 2.0)),
        submit(state_machine, SubmitOrder(make_order("a", ("x4",)), 2.0)),
        submit(state_machine, SubmitOrder(make_order("b", ("b1",), spare=2), 2.0)),
        submit(state_machine, SubmitOrder(make_order("b", until_s=20.0), 2.0)),
        submit(state_machine, CancelOrder("z", 2.0)),
        submit(state_machine, GrantPermit("x9", "a", 2.0)),
        submit(state_machine, MarkBrokerGone("x1", True, 2.0)),
        submit(state_machine, ReportFailure("y", True, 2.0)),
    ]
    assert all(refusals), refusals
    assert state_machine.dump() == before
    assert not submit(state_machine, SubmitOrder(make_order("a"), 2.0))  # a repeated order counts once


def test_cycle_of_orders_is_found() -> None:
    open_orders = {"a": make_order("a", after=("c",)), "b": make_order("b", after=("a",))}
    assert find_cycle(make_order("c", after=("b",)), open_orders) == ["c", "b", "a", "c"]
    assert not find_cycle(make_order("d", after=("b",)), open_orders)


# --- replicated state ---------------------------------------------------------------------------------


def change_phases(state_machine: MaintenanceStateMachine, machine: str, *phases: Phase) -> str:
    """Change the phase of a machine's active step several times; return the last refusal."""
    refusal = ""
    for phase in phases:
        step = state_machine.state.find_active_step(machine)
        assert step is not None
        refusal = submit(state_machine, ChangePhase(machine, step.fence, phase, 3.0))
    return refusal


def permit_and_change(
    state_machine: MaintenanceStateMachine, machine: str, order_name: str, *phases: Phase
) -> str:
    """Permit a machine, then change its phase several times; return the last refusal."""
    refusal = submit(state_machine, GrantPermit(machine, order_name, 3.0))
    return change_phases(state_machine, machine, *phases) if phases else refusal


def test_fencing_token_increases_and_a_stale_one_changes_nothing() -> None:
    """A leader that was paused may propose a change with the fencing token of a finished step or of another
    machine. Such a change must be refused.
    """
    state_machine = make_state_machine(SubmitOrder(make_order(), 2.0))
    assert not permit_and_change(state_machine, "x1", "fw", "draining", "out", "returning", "back")
    assert not permit_and_change(state_machine, "x2", "fw")
    step = state_machine.state.find_active_step("x2")
    assert step is not None and step.fence == 2
    assert submit(state_machine, ChangePhase("x2", 1, "draining", 3.0)) and step.phase == "permitted"
    # The change to `out` is refused before the drain has finished.
    assert submit(state_machine, ChangePhase("x2", 2, "out", 3.0)) and step.phase == "permitted"
    assert submit(state_machine, GrantPermit("x1", "fw", 3.0))  # its step in this order is done


def test_permits_respect_groups_at_once_and_the_spare_voters() -> None:
    state_machine = make_state_machine(
        SubmitOrder(make_order("fw", ("x1", "x2", "x4"), at_once=2), 2.0),
        SubmitOrder(make_order("b", ("b1", "b2"), at_once=2), 2.0),
    )
    assert not permit_and_change(state_machine, "x1", "fw")
    # x1 and x4 are in the same group.
    assert "group g1" in submit(state_machine, GrantPermit("x4", "fw", 3.0))
    assert not permit_and_change(state_machine, "x2", "fw")
    assert "under way" in submit(state_machine, GrantPermit("x4", "fw", 3.0))
    assert not permit_and_change(state_machine, "b1", "b")
    assert "voters would be left" in submit(state_machine, GrantPermit("b2", "b", 3.0))
    submit(state_machine, ReportFailure("b5", True, 3.0))
    assert "voters" in submit(state_machine, GrantPermit("b2", "b", 3.0))


def test_permits_respect_hold_cancel_and_order_dependencies() -> None:
    state_machine = make_state_machine(
        SubmitOrder(make_order("a", ("x1",)), 2.0), SubmitOrder(make_order("b", ("x2",), after=("a",)), 2.0)
    )
    assert "a comes first" in submit(state_machine, GrantPermit("x2", "b", 3.0))
    submit(state_machine, PausePermits(True, 3.0))
    assert submit(state_machine, GrantPermit("x1", "a", 3.0)) == "held"
    submit(state_machine, PausePermits(False, 3.0))
    assert not permit_and_change(state_machine, "x1", "a", "draining")
    submit(state_machine, CancelOrder("a", 3.0))
    assert state_machine.state.find_active_step("x1") is not None  # a draining machine must return first
    assert (
        not change_phases(state_machine, "x1", "cancelled")
        and state_machine.state.find_active_step("x1") is None
    )
    assert not submit(state_machine, GrantPermit("x2", "b", 3.0))


def test_snapshot_restores_the_state_and_equal_states_have_equal_bytes() -> None:
    original = make_state_machine(
        SubmitOrder(make_order(), 2.0), ReportFailure("x5", True, 2.0), MarkBrokerGone("b4", True, 2.0)
    )
    permit_and_change(original, "x1", "fw", "draining")
    restored = MaintenanceStateMachine()
    restored.load(original.dump())
    assert restored.dump() == original.dump()
    for state_machine in (original, restored):
        change_phases(state_machine, "x1", "out")
    assert restored.dump() == original.dump()


def test_snapshot_holds_the_peak_loads_in_a_canonical_order() -> None:
    """A snapshot of a state with peak loads by hour once raised an error. The bytes must not depend on the
    order in which the hours were recorded. A state without peak loads keeps its stored form, which
    `tests/test_stored_forms.py` checks."""
    hours = [RecordPeakLoad(9, 40.0, 2.0), RecordPeakLoad(3, 12.5, 2.0), RecordPeakLoad(23, 7.0, 2.0)]
    original, reordered, restored = (
        make_state_machine(*hours),
        make_state_machine(*reversed(hours)),
        MaintenanceStateMachine(),
    )
    restored.load(original.dump())
    assert original.dump() == reordered.dump() == restored.dump()
    assert restored.state == original.state and restored.state.peak_load_by_hour == {
        3: 12.5,
        9: 40.0,
        23: 7.0,
    }
    assert make_state_machine().dump() != original.dump()


def test_member_compacts_its_log_after_a_peak_load_is_recorded() -> None:
    """A member takes a snapshot once enough entries follow its last one. With a recorded peak load this once
    raised an error while committed entries were applied, on all members at about the same entry, so that
    every member halted. Every call must be answered, and the snapshot must hold the state."""
    me, now_us = Member("b1", "b1-1"), 5_000_000
    state_machine = MaintenanceStateMachine()
    replica = Replica(me, state_machine, Tuning(), RestoredState(), Random(1), 0, snapshot_interval=4)
    answered_calls, snapshots = set(), []

    def execute_effects(effects: Sequence[object]) -> None:
        for effect in effects:
            if isinstance(effect, CallCompleted):
                answered_calls.add(effect.number)
            elif isinstance(effect, Persist):
                if effect.snapshot is not None:
                    snapshots.append(effect.snapshot)
                execute_effects(replica.step(now_us, Synced(effect.number, 1)))

    execute_effects(replica.node.bootstrap_cluster(0, "cluster-1", Membership((me,))))
    execute_effects(replica.step(now_us, Tick()))
    for number in range(1, 21):
        command = encode_command(RecordPeakLoad(number, 10.0 + number, 2.0))
        execute_effects(replica.call(now_us, number, "client-1", number, command, now_us + 1_000_000))
    assert answered_calls == set(range(1, 21)) and replica.node.is_leader
    assert len(snapshots) >= 3
    restored = AppliedState(MaintenanceStateMachine())
    restored.load(snapshots[-1].index, snapshots[-1].data)
    assert (
        isinstance(restored.machine, MaintenanceStateMachine)
        and len(restored.machine.state.peak_load_by_hour) >= 12
    )
    assert restored.machine.state.peak_load_by_hour.items() <= state_machine.state.peak_load_by_hour.items()


def test_member_restored_from_a_snapshot_drops_the_same_orders_as_the_others() -> None:
    """A member restarts from a snapshot between two orders. Snapshots sort orders by name, so this member may
    iterate over them in another sequence than members that never restarted. All members must keep the same
    last hundred orders, or their states diverge.
    """

    def run_orders(state_machine: MaintenanceStateMachine, numbers: range) -> None:
        for number in numbers:
            at_s = 10.0 + number
            submit(state_machine, SubmitOrder(Order(f"o{number}", ("x1",), "restart", 1.0), at_s))
            submit(state_machine, CancelOrder(f"o{number}", at_s))

    original = make_state_machine()
    run_orders(original, range(95))
    restored = MaintenanceStateMachine()
    restored.load(original.dump())
    for state_machine in (original, restored):
        run_orders(state_machine, range(95, 140))
    assert restored.state.orders.keys() == original.state.orders.keys()


def test_only_the_last_hundred_finished_orders_are_kept() -> None:
    state_machine = make_state_machine()
    for number in range(130):
        submit(state_machine, SubmitOrder(make_order(f"o{number}", ("x1",)), 2.0))
        permit_and_change(state_machine, "x1", f"o{number}", "draining", "out", "returning", "back")
    assert len(state_machine.state.orders) <= 101


# --- planner ------------------------------------------------------------------------------------------

ALL_BROKER_INDEXES = set(range(5))


def make_facts(**keys: Any) -> LeaderFacts:
    facts = LeaderFacts(
        alive_brokers=set(ALL_BROKER_INDEXES), last_grant_us=dict.fromkeys(ALL_BROKER_INDEXES, 10_000_000)
    )
    for name, value in keys.items():
        setattr(facts, name, value)
    return facts


def permitted_machines(commands: list[Command]) -> list[str]:
    return [command.machine for command in commands if isinstance(command, GrantPermit)]


def test_required_units_limit_the_nodes_out_of_service() -> None:
    state_machine = make_state_machine(SubmitOrder(make_order("fw", ("x1", "x2", "x3"), at_once=3), 2.0))
    planner = Planner(state_machine, PlannerSettings())
    # 50 units remain, 44 are required.
    assert permitted_machines(planner.propose(make_facts(load_units=40.0), 10_000_000, 3.0)) == ["x1"]
    permit_and_change(state_machine, "x1", "fw", "draining", "out")
    # 40 units would remain.
    assert not permitted_machines(planner.propose(make_facts(load_units=40.0), 10_000_000, 3.0))
    assert permitted_machines(planner.propose(make_facts(load_units=30.0), 10_000_000, 3.0)) == ["x2"]
    assert not permitted_machines(planner.propose(make_facts(reserved_units=40.0), 10_000_000, 3.0))


def test_recorded_peak_loads_during_the_work_limit_permits() -> None:
    state_machine = make_state_machine(SubmitOrder(Order("fw", ("x1",), "replace", 7200.0), 2.0))
    state_machine.state.peak_load_by_hour[9] = 55.0
    planner = Planner(state_machine, PlannerSettings())
    # The work would last into the peak hour 9.
    assert not permitted_machines(planner.propose(make_facts(), 10_000_000, 8 * 3600.0))
    assert permitted_machines(planner.propose(make_facts(), 10_000_000, 10 * 3600.0)) == ["x1"]


def test_warming_node_counts_with_its_reduced_capacity() -> None:
    """A node returns while the load is close to the total capacity: the next node waits until the
    returned node is warm enough."""
    state_machine = make_state_machine(SubmitOrder(make_order("fw", ("x1", "x2"), at_once=2), 2.0))
    planner, facts = Planner(state_machine, PlannerSettings(warm_up_s=10.0)), make_facts(load_units=41.0)
    permit_and_change(state_machine, "x1", "fw", "draining", "out", "returning")
    # 40 units and 3 of the cold node are below the required 45.
    assert not permitted_machines(planner.propose(facts, 10_000_000, 3.0))
    assert available_units(planner.context(facts, 10_000_000, 3.0)) == pytest.approx(53.0)
    assert available_units(planner.context(facts, 15_000_000, 3.0)) == pytest.approx(56.5)
    assert permitted_machines(planner.propose(facts, 18_000_000, 3.0)) == ["x2"]


def test_unplanned_failure_uses_the_same_budget_and_recalls_a_draining_node() -> None:
    """A node fails while an order is open: no permit is granted until the node is back. If a node fails while
    another one is draining, and the remaining nodes can't serve the load, the draining one returns to
    waiting."""
    state_machine = make_state_machine(SubmitOrder(make_order("fw", ("x1", "x2"), at_once=1), 2.0))
    planner, facts = (
        Planner(state_machine, PlannerSettings()),
        make_facts(load_units=20.0, unreachable_counts={"x5": 4}),
    )
    planner.propose(facts, 10_000_000, 3.0)
    commands = planner.propose(facts, 11_500_000, 4.5)
    assert ReportFailure("x5", True, 4.5) in commands and not permitted_machines(commands)
    submit(state_machine, *commands)
    assert not permitted_machines(planner.propose(facts, 10_000_000, 5.0))
    context = planner.context(facts, 10_000_000, 5.0)
    assert "x5 is away" in explain_refusal(context, "x1", state_machine.state.orders["fw"])
    facts.unreachable_counts = {}
    submit(state_machine, *planner.propose(facts, 10_000_000, 6.0))
    assert permitted_machines(planner.propose(facts, 10_000_000, 6.0)) == ["x1"]
    permit_and_change(state_machine, "x1", "fw", "draining")
    facts.unreachable_counts, facts.load_units = {"x2": 4}, 45.0
    planner.propose(facts, 10_000_000, 7.0)
    submit(state_machine, *planner.propose(facts, 12_500_000, 9.0))
    facts.drained_brokers = {}
    recalls = planner.propose(facts, 12_600_000, 9.5)
    assert any(isinstance(c, ChangePhase) and (c.machine, c.phase) == ("x1", "waiting") for c in recalls)


def test_machines_in_first_get_their_permit_first_and_orders_alternate() -> None:
    state_machine = make_state_machine(
        SubmitOrder(make_order("a", ("x1", "x2", "x3"), first=("x3",)), 2.0),
        SubmitOrder(make_order("b", ("x5", "x6")), 2.5),
    )
    planner, permitted = Planner(state_machine, PlannerSettings()), []
    for round_number in range(5):
        for command in planner.propose(make_facts(), 10_000_000, 3.0 + round_number):
            if isinstance(command, GrantPermit):
                permitted.append(command.machine)
                submit(state_machine, command)
        for step in state_machine.state.active_steps():
            change_phases(state_machine, step.machine, "draining", "out", "returning", "back")
    assert permitted == ["x3", "x5", "x1", "x6", "x2"]


def test_draining_waits_for_informed_brokers_and_out_for_drained_or_expired_ones() -> None:
    """One of five brokers is silent, and may not know of a permit however long it is silent. The machine does
    not drain, unless an isolation limit makes isolated brokers stop sending. If the broker knew of the
    permit, the leader waits for the end of its lease with the clock error, of its longest attempt and of a
    write in flight. A new leader counts this time from its own election."""
    state_machine = make_state_machine(SubmitOrder(make_order(), 2.0))
    settings = PlannerSettings(lease_us=1_000_000, longest_attempt_us=500_000)
    planner, facts = Planner(state_machine, settings), make_facts()
    permit_and_change(state_machine, "x1", "fw")
    step = state_machine.state.find_active_step("x1")
    assert step is not None
    facts.informed_brokers = {step.fence: {0, 1, 2, 3}}
    for now_us in (10_000_000, 60_000_000):  # b5 may not know of the permit, however long it is silent
        assert confirmations.brokers_not_informed(planner.context(facts, now_us, 3.0), step) == ["b5"]
    limited_settings = PlannerSettings(
        lease_us=1_000_000, longest_attempt_us=500_000, isolation_limit_us=5_000_000
    )
    limited_planner = Planner(state_machine, limited_settings)
    assert confirmations.brokers_not_informed(limited_planner.context(facts, 15_000_000, 3.0), step) == ["b5"]
    assert not confirmations.brokers_not_informed(
        limited_planner.context(facts, 10_000_000 + 1_020_001 + 5_100_000 + 1_000_000, 3.0), step
    )
    facts.informed_brokers[step.fence].add(4)
    assert not confirmations.brokers_not_informed(planner.context(facts, 10_000_000, 3.0), step)
    change_phases(state_machine, "x1", "draining")
    facts.drained_brokers = {step.fence: {0, 1, 2, 3}}
    # The lease with the clock error, the longest attempt, and a write in flight.
    drained_us = 10_000_000 + 1_020_001 + 500_000 + 1_000_000
    assert confirmations.brokers_not_drained(planner.context(facts, drained_us - 1, 3.0), step) == ["b5"]
    assert not confirmations.brokers_not_drained(planner.context(facts, drained_us, 3.0), step)
    facts.leading_since_us = 20_000_000  # a new leader does not know earlier grants
    assert confirmations.brokers_not_drained(planner.context(facts, drained_us, 3.0), step) == ["b5"]
    submit(state_machine, MarkBrokerGone("b5", True, 3.0))
    assert not confirmations.brokers_not_drained(planner.context(facts, 10_000_000, 3.0), step)


def test_machine_that_never_returns_is_overdue_and_blocks_no_other() -> None:
    """A node is out and its work is never confirmed: the next node of the order still gets its permit."""
    state_machine = make_state_machine(SubmitOrder(make_order("fw", ("x1", "x2", "x3"), at_once=2), 2.0))
    planner, facts = Planner(state_machine, PlannerSettings()), make_facts()
    permit_and_change(state_machine, "x1", "fw", "draining", "out")
    commands = planner.propose(facts, 10_000_000, 3.0)
    assert permitted_machines(commands) == ["x2"]
    submit(state_machine, *commands)
    submit(state_machine, *planner.propose(facts, 21_000_000, 14.0))
    step = state_machine.state.find_active_step("x1")
    assert step is not None and step.overdue
    assert planner.describe_waits(step, facts, 21_000_000, 14.0) == ["`maintenance done x1`, overdue"]


def test_every_waiting_machine_has_a_wait_reason_or_gets_a_permit() -> None:
    """Guards against a stall: in random states, each waiting machine has a wait reason unless permits are
    proposed."""
    for seed in range(200):
        random, state_machine = Random(seed), make_state_machine()
        for number in range(3):
            names = tuple(random.sample([b.name for b in NODES], 3))
            submit(
                state_machine, SubmitOrder(make_order(f"o{number}", names, at_once=random.randint(1, 2)), 2.0)
            )
        planner, facts = (
            Planner(state_machine, PlannerSettings()),
            make_facts(load_units=random.uniform(0, 60)),
        )
        for _ in range(40):
            for command in planner.propose(facts, 10_000_000, 3.0):
                submit(state_machine, command)
            facts.informed_brokers = {
                step.fence: set(ALL_BROKER_INDEXES) for step in state_machine.state.active_steps()
            }
            facts.drained_brokers = dict(facts.informed_brokers) if random.random() < 0.7 else {}
            for step in state_machine.state.active_steps():
                if step.phase == "out" and random.random() < 0.5:
                    submit(state_machine, ChangePhase(step.machine, step.fence, "returning", 3.0))
            has_no_permits = not permitted_machines(planner.propose(facts, 10_000_000, 3.0))
            for name, steps in state_machine.state.steps.items():
                for step in steps.values():
                    if step.phase == "waiting" and has_no_permits:
                        assert planner.describe_waits(step, facts, 10_000_000, 3.0), (
                            f"seed {seed}: {name} {step.machine}"
                        )


def test_forecast_predicts_the_permits_and_changes_nothing() -> None:
    state_machine = make_state_machine()
    dump_before, requested_order = state_machine.dump(), make_order("fw", ("x1", "x2", "x4", "x6"), at_once=2)
    forecast = forecast_order(
        state_machine, requested_order, PlannerSettings(warm_up_s=5.0), make_facts(), 3.0
    )
    assert state_machine.dump() == dump_before
    assert sorted(permit.machine for permit in forecast) == ["x1", "x2", "x4", "x6"]
    start_s = {permit.machine: permit.after_s for permit in forecast}
    assert start_s["x4"] - start_s["x1"] >= 10.0 + 5.0  # machines of a group take turns
    assert all(permit.capacity_ratio >= 4 / 6 for permit in forecast)
    # No machine can ever be permitted.
    assert not forecast_order(
        state_machine, requested_order, PlannerSettings(), make_facts(load_units=100.0), 3.0
    )


def test_forecast_works_after_a_peak_load_is_recorded() -> None:
    """The forecast runs on a copy of the state. `maintenance plan` once failed as soon as the first peak load
    was committed ("can't be used: Only dicts with str keys are supported")."""
    state_machine = make_state_machine(RecordPeakLoad(0, 30.0, 2.0))
    forecast = forecast_order(
        state_machine, make_order("fw", ("x1", "x2")), PlannerSettings(warm_up_s=5.0), make_facts(), 3.0
    )
    assert [permit.machine for permit in forecast] == ["x1", "x2"]


def test_forecast_of_weeks_needs_no_more_rounds_than_one_of_seconds() -> None:
    """Guards against a forecast that blocks the event loop, and so the clients of the broker."""
    state_machine = make_state_machine(SubmitOrder(Order("other", ("x5",), "replace", 604_800.0), 2.0))
    propose_count = [0]
    permit_and_change(state_machine, "x5", "other", "draining", "out")  # its work is never confirmed
    propose = Planner.propose

    def counting_propose(self: Planner, *args: Any) -> list[Command]:
        propose_count[0] += 1
        return propose(self, *args)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Planner, "propose", counting_propose)
        requested_order = Order("fw", tuple(node.name for node in NODES[:4]), "replace", 604_800.0, at_once=1)
        forecast = forecast_order(
            state_machine, requested_order, PlannerSettings(warm_up_s=3_600.0), make_facts(), 3.0
        )
    assert [permit.machine for permit in forecast] == ["x1", "x2", "x3", "x4"]
    assert forecast[-1].after_s >= 3 * 604_800.0 and propose_count[0] <= 60


# --- send gate ----------------------------------------------------------------------------------------


def test_closed_machines_depend_on_the_lease() -> None:
    state_machine = make_state_machine(SubmitOrder(make_order("fw", ("x1", "x2"), at_once=2), 2.0))
    permit_and_change(state_machine, "x1", "fw", "draining")
    permit_and_change(state_machine, "x2", "fw")
    # Before its first lease a broker knows no permits.
    assert send_gate.closed_machines(state_machine.state, 5, 0, 0) is None
    assert send_gate.closed_machines(state_machine.state, 5, 10, 0) == {"x1"}
    # After the lease, the other brokers may count x2 as drained.
    assert send_gate.closed_machines(state_machine.state, 10, 10, 0) == {"x1", "x2"}
    assert send_gate.closed_machines(state_machine.state, 19, 10, 10) == {"x1", "x2"}
    assert send_gate.closed_machines(state_machine.state, 20, 10, 10) is None
    # Without an isolation limit, the broker keeps serving all other machines.
    assert send_gate.closed_machines(state_machine.state, 1 << 50, 10, 0) == {"x1", "x2"}


# --- simulated fleets ---------------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_simulated_fleets_with_faults(first: int) -> None:
    """Brokers are killed, paused and partitioned during two orders: no node gets a request while it is out of
    service, and both orders finish.
    """
    for seed in range(first, first + 10):
        verdict = play(seed)
        assert not verdict.broken, f"seed {seed}: {verdict.broken[:3]}"
        assert verdict.finished == verdict.orders == 2 and verdict.attempts > 1_000


def test_simulated_fleets_with_observers() -> None:
    """The same faults, with nine of twelve brokers as observers, which learn of permits through the fan-out
    tree."""
    for seed in range(8):
        verdict = play(seed, brokers=12, voters=3, nodes=6, seconds=6.0)
        assert not verdict.broken, f"seed {seed}: {verdict.broken[:3]}"


def has_late_sends(seed_count: int = 25) -> bool:
    return any("out from" in row for seed in range(seed_count) for row in play(seed).broken)


def test_injected_lease_and_confirmation_bugs_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two bugs are injected: a lease that never expires, and a drain without confirmations. The simulations
    must detect each of them."""

    def closed_ignoring_lease(
        state: MaintenanceState, now_us: int, end_us: int, limit_us: int
    ) -> frozenset[str]:
        """Ignore the end of the lease."""
        return frozenset(step.machine for step in state.active_steps() if step.phase in CLOSED_PHASES)

    with monkeypatch.context() as patch:
        patch.setattr(send_gate, "closed_machines", closed_ignoring_lease)
        assert has_late_sends()
    with monkeypatch.context() as patch:
        patch.setattr(confirmations, "brokers_not_drained", lambda *args: [])
        assert has_late_sends()


async def run_partition(must_be_informed: bool) -> Verdict:
    """Partition two of five brokers, submit an order on each side, and serve requests on both.

    :param must_be_informed: whether a machine drains only after all brokers know of its permit
    """
    fleet = Fleet(3, 5, 5, 6)
    operators = Operators(fleet)
    loop = asyncio.get_running_loop()
    await asyncio.gather(*(fleet.start(name) for name in fleet.names))
    await sleep_until(loop.time() + 3.0)
    minority = {"b4", "b5"}
    fleet.cut_links |= fleet.links_between(minority)
    machines = tuple(fleet.nodes[:4])
    submissions = [
        loop.create_task(operators.submit(Order("one", machines, "restart", 0.2), broker="b1")),
        loop.create_task(
            operators.submit(Order("two", machines, "restart", 0.2), broker="b5", within_s=40.0)
        ),
    ]
    operator_task = loop.create_task(operators.confirm_steps(loop.time() + 60.0))
    attempt_count = len(fleet.attempts)
    await sleep_until(loop.time() + 6.0)
    minority_service = fleet.services["b5"]
    assert (
        minority_service.member.now_us() > minority_service.member.lease_end_us
        and not minority_service.member.is_leader
    )
    # The minority grants no permits, and knows no committed orders.
    assert not minority_service.state_machine.state.orders
    served_nodes = [
        attempt.node
        for attempt in fleet.attempts[attempt_count:]
        if attempt.process.startswith("b5") and attempt.began_s > loop.time() - 1.0
    ]
    assert served_nodes  # the minority keeps serving
    if must_be_informed:
        steps = [
            step for service in fleet.services.values() for step in service.state_machine.state.active_steps()
        ]
        assert {step.phase for step in steps} <= {"permitted"}
    fleet.cut_links.clear()
    await asyncio.gather(*submissions)
    finished = await operator_task
    verdict = check_fleet(fleet, len(operators.agreed_orders), finished)
    await fleet.kill_all()
    return verdict


def test_orders_for_one_zone_on_both_sides_of_a_partition(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two of five brokers are partitioned and get an order of their own: they grant no permits. Without the
    rule that all brokers must know of a permit, the checker finds attempts at machines that are out."""
    verdict = virtual_time.run(run_partition(must_be_informed=True))
    assert not verdict.broken and verdict.finished == 2
    monkeypatch.setattr(confirmations, "brokers_not_informed", lambda *args: [])
    assert any("out from" in row for row in virtual_time.run(run_partition(must_be_informed=False)).broken)


async def run_large_fleet() -> tuple[Verdict, dict[str, float], int]:
    """Run an order on 200 brokers in four zones, and cut off one zone for 5 s meanwhile."""
    fleet = Fleet(1, 200, 5, 16, zones=4, load_s=0.5, lease_ms=3_000)
    operators = Operators(fleet)
    loop = asyncio.get_running_loop()
    await asyncio.gather(*(fleet.start(name) for name in fleet.names))
    await sleep_until(loop.time() + 6.0)
    lease_count = sum(s.member.lease_end_us > s.member.now_us() for s in fleet.services.values())
    frames_before = {name: carrier.counts["frames_out"] for name, carrier in fleet.carriers.items()}
    await sleep_until(loop.time() + 1.0)
    rates = {
        name: carrier.counts["frames_out"] - frames_before[name] for name, carrier in fleet.carriers.items()
    }
    assert await operators.submit(Order("fw", tuple(fleet.nodes[:6]), "restart", 0.3, at_once=3))
    operator_task = loop.create_task(operators.confirm_steps(loop.time() + 60.0))
    await sleep_until(loop.time() + 0.5)
    isolated = {name for name in fleet.names if fleet.zone[name] == "z3"}
    links = fleet.links_between(isolated)
    fleet.cut_links |= links
    await sleep_until(loop.time() + 5.0)
    fleet.cut_links -= links
    finished = await operator_task
    verdict = check_fleet(fleet, len(operators.agreed_orders), finished)
    await fleet.kill_all()
    return verdict, rates, lease_count


def test_200_brokers_with_a_zone_cut_off_for_5_s() -> None:
    """A zone of 50 brokers is cut off during an order: no rule is broken, the order finishes, and no broker
    sends as many messages per second as there are brokers."""
    verdict, rates, lease_count = virtual_time.run(run_large_fleet())
    assert not verdict.broken, verdict.broken[:3]
    assert verdict.finished == 1 and lease_count == 200
    assert max(rates.values()) < 200  # messages per second, on the leader too
    assert sorted(rates.values())[100] < 40


# --- operator's file ----------------------------------------------------------------------------------


def make_operator_file(**keys: Any) -> dict[str, Any]:
    brokers = {f"b{n}": {"address": f"127.0.0.1:{9000 + n}", "voter": "yes"} for n in (1, 2, 3)}
    return {
        "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "catalogue": "c", "grades": {"g": {}},
        "boxes": {"x1": {"address": "127.0.0.1:1", "shard": 0}},
        "maintenance": {"name": "b1", "folder": "f", "brokers": brokers, **keys},
    }  # fmt: skip


@pytest.mark.parametrize(
    ("keys", "message"),
    [
        ({"name": "b9"}, "maintenance.name"), ({"folder": 1}, "maintenance.folder"),
        ({"odd": 1}, "maintenance.odd"),
        ({"lease_ms": 1}, "maintenance.lease_ms"), ({"brokers": {}}, "maintenance.name"),
        ({"labels": {"x9": {}}}, "there is no box x9"),
        ({"labels": {"x1": {"zone": "a b"}}}, "labels.x1.zone"),
        ({"brokers": {"b1": {"address": "10.0.0.1:1", "voter": "yes"}}}, "brokers.b1.address"),
        ({"brokers": {"b1": {"address": "127.0.0.1:1"}}}, "must be voters, not 0"),
        ({"name": "x1", "brokers": {"x1": {"address": "127.0.0.1:1", "voter": "yes"}}}, "the name of a box"),
        ({"brokers": [1]}, "maintenance.brokers: must be a table"),
    ],
)  # fmt: skip
def test_invalid_maintenance_section_error_names_the_key(keys: dict[str, Any], message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        operator_file.read_operator_file(make_operator_file(**keys))


def test_maintenance_section_is_optional(tmp_path: Path) -> None:
    without_section = make_operator_file()
    del without_section["maintenance"]
    assert operator_file.read_operator_file(without_section).maintenance is None
    settings = operator_file.read_operator_file(make_operator_file())
    assert (
        settings.maintenance is not None
        and settings.maintenance.lease_ms == 3_000
        and settings.maintenance.blind_s == 0
    )


def test_example_under_deploy_and_in_the_operators_page_are_valid() -> None:
    import re
    import tomllib

    root = Path(__file__).parent.parent
    settings = operator_file.load_operator_file(str(root / "deploy" / "maintenance.toml"))
    assert settings.maintenance is not None and set(settings.maintenance.labels) == {"box-1", "box-2"}
    page = (root / "docs" / "operators" / "maintenance.md").read_text()
    blocks = [
        "\n".join(row[4:] for row in b.splitlines()) for b in re.findall(r"((?:^    .*\n|^\n)+)", page, re.M)
    ]
    order_text = next(block for block in blocks if "order =" in block)
    machines = {"box-9": Machine("box-9", "box", zone="a"), "box-1": Machine("box-1", "box", zone="a")}
    parsed_order = parse_order(tomllib.loads(order_text), machines, 1.0)
    assert parsed_order.machines == ("box-1", "box-9") and parsed_order.first == ("box-9",)
