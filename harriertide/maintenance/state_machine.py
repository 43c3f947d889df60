"""The state machine behind the agreed log: commands in, results out, and nothing else.

Every command is checked again here, where it takes effect: what the leader that proposed it knew may have
been overtaken. Invariants, each tested by harriertide/lab and kept where it is named:

FENCE      a permit's fence is larger than all before
GROUP      of one declared group never two are out of service (agreed_limits)
ONCE       of an order never more than at_once are (agreed_limits)
QUORUM     voters that are in service are a majority plus the order's spare (agreed_limits)
KNOWN      draining only after each broker that could send knew of the permit (confirmations)
CLEAR      out only after each broker that could send had no attempt open there (confirmations)
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

KEPT_ORDER_COUNT = 100  # orders that are over: enough for `status` to look back, and a bound for the snapshot
PEAK_DECAY_RATIO = (
    0.75  # of an hour's peak that is left when a lower one is recorded: quiet days count in a week
)

_DONE = CommandResult()


class MaintenanceStateMachine:
    """Applies commands to a state. Members that apply the same commands have the same state."""

    def __init__(self) -> None:
        self.state = MaintenanceState()

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a command of the log.

        :param index: its index in the log
        :returns: the encoded CommandResult
        """
        command = decode_command(data)
        # Not the latest time of all commands: a clock that jumped ahead once would bind all others.
        self.state.command_time_s = command.at_s
        return encode_result(self.execute(command))

    def execute(self, command: Command) -> CommandResult:
        """Carry out a command, at the time that the state has."""
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
        """Take the state of a snapshot in place of the present one."""
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
        known = state.orders.get(order.id)
        if known is not None:
            if known == order:
                return _DONE  # the same once more counts once
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
        """Why an order can never be done, in one plain line; "" if it may be."""
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
        names_voter = any(state.machines[machine].voter for machine in order.machines)
        majority = voter_count // 2 + 1
        if names_voter and voter_count - 1 < majority + order.spare:
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
        """Keep the last KEPT_ORDER_COUNT orders that are over, and those that open ones come after.

        The last are those that were submitted last, by the agreed time: the dict's order is another one after
        a snapshot, and members that forget by it would no longer have the same state.
        """
        state = self.state
        open_orders = [order for order in state.orders.values() if state.is_open(order.id)]
        needed = {prerequisite for order in open_orders for prerequisite in order.after}
        over = [name for name in state.orders if not state.is_open(name) and name not in needed]
        over.sort(key=lambda name: (state.submitted_at_s[name], name))
        for name in over[:-KEPT_ORDER_COUNT]:
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
