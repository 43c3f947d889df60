"""The replicated state machine: applies commands from the log and returns their results.

Every command is checked again when it is applied, because the state may have changed since the leader
proposed it. Invariants, each tested by harriertide/lab and enforced where its name appears:

FENCE      the fence of a permit is larger than all earlier fences
GROUP      at most one machine of a declared group is out of service (agreed_limits)
ONCE       at most at_once machines of an order are out of service (agreed_limits)
QUORUM     the voters in service are at least a majority plus the order's spare (agreed_limits)
KNOWN      a machine drains only after each broker that could send knew of the permit (confirmations)
CLEAR      a machine is out only after each broker that could send had no open attempt (confirmations)
"""

from __future__ import annotations

from harriertide.maintenance.agreed_limits import find_refusal
from harriertide.maintenance.commands import (
    HOURS_PER_DAY,
    CancelOrder,
    ChangePhase,
    Command,
    CommandResult,
    DeclareMachines,
    GrantPermit,
    MarkBrokerGone,
    PausePermits,
    RecordPeakLoad,
    ReportFailure,
    SubmitOrder,
    decode_command,
    encode_result,
)
from harriertide.maintenance.orders import Order, find_cycle, minimum_duration_s
from harriertide.maintenance.phases import TRANSITIONS, Phase
from harriertide.maintenance.state import MaintenanceState, Step, decode_state, encode_state

KEPT_ORDER_COUNT = 100  # finished orders that `status` still shows; bounds the snapshot
# share of an hour's peak kept when a lower load is recorded; quiet days count within a week
PEAK_DECAY_RATIO = 0.75

_DONE = CommandResult()


class MaintenanceStateMachine:
    """Applies commands to the state. Members that apply the same commands have the same state."""

    def __init__(self) -> None:
        self.state = MaintenanceState()

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a command from the log.

        :param index: index of the command in the log
        :returns: the encoded CommandResult
        """
        command = decode_command(data)
        # Not the maximum of all commands: a clock that jumped ahead once would affect all later commands.
        self.state.command_time_s = command.at_s
        return encode_result(self.execute(command))

    def execute(self, command: Command) -> CommandResult:
        """Execute a command at the time command_time_s of the state."""
        match command:
            case SubmitOrder():
                return self._submit_order(command.order)
            case GrantPermit():
                return self._grant_permit(command)
            case ChangePhase():
                return self._change_phase(command)
            case DeclareMachines():
                return self._declare_machines(command)
            case CancelOrder():
                return self._cancel_order(command)
            case PausePermits():
                return self._pause_permits(command)
            case ReportFailure():
                return self._report_failure(command)
            case MarkBrokerGone():
                return self._mark_broker_gone(command)
            case RecordPeakLoad():
                return self._record_peak_load(command)

    def dump(self) -> bytes:
        """Return the state for a snapshot; equal states give equal bytes."""
        return encode_state(self.state)

    def load(self, data: bytes) -> None:
        """Replace the current state by the state of a snapshot."""
        self.state = decode_state(data)

    # --- inventory and failures -----------------------------------------------------------------------

    def _declare_machines(self, command: DeclareMachines) -> CommandResult:
        state = self.state
        state.machines = {machine.name: machine for machine in command.machines}
        state.brokers = command.brokers
        failed = state.failed_since_s
        state.failed_since_s = {name: since_s for name, since_s in failed.items() if name in state.machines}
        state.gone_brokers &= set(command.brokers)
        return _DONE

    def _report_failure(self, command: ReportFailure) -> CommandResult:
        state = self.state
        if command.machine not in state.machines:
            return CommandResult(f"there is no machine {command.machine}")
        if command.failed:
            state.failed_since_s.setdefault(command.machine, state.command_time_s)
        else:
            state.failed_since_s.pop(command.machine, None)
        return _DONE

    def _mark_broker_gone(self, command: MarkBrokerGone) -> CommandResult:
        state = self.state
        if command.broker not in state.brokers:
            return CommandResult(f"there is no broker {command.broker}")
        if command.gone:
            state.gone_brokers.add(command.broker)
        else:
            state.gone_brokers.discard(command.broker)
        return _DONE

    def _record_peak_load(self, command: RecordPeakLoad) -> CommandResult:
        peaks = self.state.peak_load_by_hour
        hour = command.hour % HOURS_PER_DAY
        peaks[hour] = max(command.units, PEAK_DECAY_RATIO * peaks.get(hour, 0))
        return _DONE

    # --- orders ---------------------------------------------------------------------------------------

    def _submit_order(self, order: Order) -> CommandResult:
        state = self.state
        existing = state.orders.get(order.id)
        if existing is not None:
            if existing == order:
                return _DONE  # a repeated submission of the same order has no effect
            return CommandResult(f"{order.id}: there is another order of this name")
        if refusal := self._find_order_refusal(order):
            return CommandResult(refusal)
        state.orders[order.id] = order
        state.submitted_at_s[order.id] = state.command_time_s
        state.steps[order.id] = {
            machine: Step(machine, order.id, since_s=state.command_time_s) for machine in order.machines
        }
        self._forget_old_orders()
        return _DONE

    def _find_order_refusal(self, order: Order) -> str:
        """Return why an order can never be carried out, in one line; "" if it can."""
        state = self.state
        for machine in order.machines:
            if machine not in state.machines:
                return f"machines: there is no {machine}"
        for prerequisite in order.after:
            if prerequisite not in state.orders:
                return f"after: there is no order {prerequisite}"
        if path := find_cycle(order, state.orders):
            return f"after: a ring of {', '.join(path)}"
        if order.until_s and order.until_s < state.command_time_s + minimum_duration_s(order, state.machines):
            return "until_s: is too soon"
        voter_count = sum(machine.voter for machine in state.machines.values())
        includes_voter = any(state.machines[machine].voter for machine in order.machines)
        majority = voter_count // 2 + 1
        if includes_voter and voter_count - 1 < majority + order.spare:
            return f"spare: {voter_count} voters can't spare one with {order.spare} to spare"
        return ""

    def _cancel_order(self, command: CancelOrder) -> CommandResult:
        state = self.state
        if command.order not in state.orders:
            return CommandResult(f"there is no order {command.order}")
        state.cancelled.add(command.order)
        for step in state.steps[command.order].values():
            if step.phase in ("waiting", "permitted"):
                self._set_phase(step, "cancelled")
        return _DONE

    def _pause_permits(self, command: PausePermits) -> CommandResult:
        self.state.permits_paused = command.paused
        return _DONE

    def _forget_old_orders(self) -> None:
        """Keep the latest KEPT_ORDER_COUNT finished orders, and the prerequisites of open orders.

        Finished orders are sorted by their replicated submission time. A snapshot changes the order of the
        dict, so members that relied on the dict's order would diverge.
        """
        state = self.state
        open_orders = [order for order in state.orders.values() if state.is_open(order.id)]
        needed = {prerequisite for order in open_orders for prerequisite in order.after}
        finished = [name for name in state.orders if not state.is_open(name) and name not in needed]
        finished.sort(key=lambda name: (state.submitted_at_s[name], name))
        for name in finished[:-KEPT_ORDER_COUNT]:
            del state.orders[name]
            del state.steps[name]
            del state.submitted_at_s[name]
            state.cancelled.discard(name)

    # --- machines -------------------------------------------------------------------------------------

    def _grant_permit(self, command: GrantPermit) -> CommandResult:
        state = self.state
        order = state.orders.get(command.order)
        if order is None:
            return CommandResult(f"there is no order {command.order}")
        if refusal := find_refusal(state, command.machine, order):
            return CommandResult(refusal)
        state.last_fence += 1  # FENCE
        step = state.steps[order.id][command.machine]
        step.fence = state.last_fence
        step.overdue = False
        self._set_phase(step, "permitted")
        return CommandResult("", state.last_fence)

    def _change_phase(self, command: ChangePhase) -> CommandResult:
        step = self.state.find_active_step(command.machine)
        if step is None or step.fence != command.fence:  # FENCE
            return CommandResult(f"{command.machine} is not under way under {command.fence}")
        if command.phase not in TRANSITIONS[step.phase]:
            return CommandResult(f"{command.machine} is {step.phase}, not to be {command.phase}")
        step.reason = command.reason
        if command.phase == "out" and step.phase == "out":
            step.overdue = True
            return _DONE
        if command.phase == "out":
            step.incarnation = command.incarnation
        self._set_phase(step, command.phase)
        if command.phase == "back":
            self.state.failed_since_s.pop(command.machine, None)
        return _DONE

    def _set_phase(self, step: Step, phase: Phase) -> None:
        step.phase = phase
        step.since_s = self.state.command_time_s
