"""A member restored from a snapshot has the same replicated state as a member that kept running."""

from __future__ import annotations

from random import Random

import pytest

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
    encode_command,
)
from harriertide.maintenance.orders import Machine, Order
from harriertide.maintenance.state import Step
from harriertide.maintenance.state_machine import KEPT_ORDER_COUNT, MaintenanceStateMachine

NODES = tuple(Machine(f"x{number}", "box", group=f"g{number % 3}") for number in range(8, 0, -1))
BROKERS = tuple(Machine(f"b{number}", "broker", voter=True) for number in range(5))
NEXT_PHASE = {"permitted": "draining", "draining": "out", "out": "returning", "returning": "back"}


def draw_command(random: Random, state_machine: MaintenanceStateMachine, number: int) -> Command:
    """Draw a random command that a leader or an operator could propose in the current state."""
    at_s = 1_000.0 + number - random.choice([0.0, 0.0, 50.0])  # the wall clocks of proposers differ
    state = state_machine.state
    active = state.active_steps()
    if active and random.random() < 0.4:
        step: Step = random.choice(active)
        return ChangePhase(step.machine, step.fence, NEXT_PHASE[step.phase], at_s)  # type: ignore[arg-type]
    machine = random.choice(NODES).name
    known = random.choice([*state.orders, "none"])
    after = (known,) if known in state.orders and random.random() < 0.1 else ()
    submitted = Order(f"o{random.randrange(400)}", (machine,), "restart", 1.0, after=after)
    return random.choice(
        [
            SubmitOrder(submitted, at_s),
            SubmitOrder(submitted, at_s),
            SubmitOrder(submitted, at_s),
            CancelOrder(known, at_s),
            CancelOrder(known, at_s),
            GrantPermit(machine, known, at_s),
            PausePermits(random.random() < 0.1, at_s),
            ReportFailure(machine, random.random() < 0.5, at_s),
            MarkBrokerGone(random.choice(BROKERS).name, random.random() < 0.5, at_s),
            RecordPeakLoad(random.randrange(24), float(random.randrange(100)), at_s),
        ]
    )


@pytest.mark.parametrize("seed", range(5))
def test_a_member_restored_from_a_snapshot_keeps_the_same_state(seed: int) -> None:
    """A snapshot may change the order of entries; the effect of a command must not depend on it."""
    random = Random(seed)
    running, restarting = MaintenanceStateMachine(), MaintenanceStateMachine()
    declared = DeclareMachines(NODES + BROKERS, tuple(broker.name for broker in BROKERS), 1.0)
    commands: list[Command] = [declared]
    for number in range(1_500):
        for command in commands:
            data = encode_command(command)
            assert running.apply(number, data) == restarting.apply(number, data)
        if random.random() < 0.02:
            restored = MaintenanceStateMachine()
            restored.load(restarting.dump())
            restarting = restored
        assert running.dump() == restarting.dump()
        commands = [draw_command(random, running, number)]
    assert len(running.state.orders) > KEPT_ORDER_COUNT
