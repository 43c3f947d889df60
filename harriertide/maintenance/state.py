"""What all brokers agree on: machines, orders, and each machine's step. Commands in, answers out; nothing
else.

Every command is checked here again, where it takes effect: what the leader that proposed it knew may have
been overtaken. Invariants, each tested by harriertide/lab and kept where it is named:

FENCE      a permit's fence is larger than all before
GROUP      of one declared group never two are under way
ONCE       of an order never more than at_once are under way
QUORUM     voters that are not under way are a majority plus the order's spare
KNOWN      draining only after each broker that could send knew of the permit
CLEAR      out only after each broker that could send had no attempt open there
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct

from harriertide.maintenance.orders import Machine, Order, OrderError, cycle, least_s

Phase = Literal["waiting", "permitted", "draining", "out", "returning", "back", "cancelled"]
UNDER_WAY = ("permitted", "draining", "out", "returning")
SHUT = ("draining", "out")  # nothing new may go there
HOURS = 24


class Declare(Struct, frozen=True, tag="declare"):
    """The machines, as the leader's file has them. brokers: who may send, in the order of the file."""

    machines: tuple[Machine, ...]
    brokers: tuple[str, ...]
    at_s: float


class Request(Struct, frozen=True, tag="request"):
    """An order."""

    order: Order
    at_s: float


class Cancel(Struct, frozen=True, tag="cancel"):
    """Nothing more of an order begins; what is out comes back."""

    order: str
    at_s: float


class Hold(Struct, frozen=True, tag="hold"):
    """No new permits, or permits again."""

    on: bool
    at_s: float


class Permit(Struct, frozen=True, tag="permit"):
    """A machine may go."""

    machine: str
    order: str
    at_s: float


class Move(Struct, frozen=True, tag="move"):
    """A machine under a fence goes on to its next step; any other fence changes nothing."""

    machine: str
    fence: int
    to: Phase
    at_s: float
    why: str = ""
    life: int = 0  # of a broker: the process that goes out


class Failed(Struct, frozen=True, tag="failed"):
    """A machine that nobody planned to lose is away, or is back."""

    machine: str
    away: bool
    at_s: float


class Gone(Struct, frozen=True, tag="gone"):
    """An operator's word: this broker's process has ended, and it sends nothing. It comes back by its own
    word."""

    broker: str
    gone: bool
    at_s: float


class Pattern(Struct, frozen=True, tag="pattern"):
    """The most that was due in an hour of the day, in units a second."""

    hour: int
    units: float
    at_s: float


Command = Declare | Request | Cancel | Hold | Permit | Move | Failed | Gone | Pattern


class Step(Struct):
    """Where a machine of an order is."""

    machine: str
    order: str
    phase: Phase = "waiting"
    fence: int = 0
    since_s: float = 0.0  # by the wall's clock of then
    overdue: bool = False
    why: str = ""
    life: int = 0  # of a broker: its process as it went out


class State(Struct):
    """All of it, as a snapshot holds it."""

    machines: dict[str, Machine] = {}
    brokers: tuple[str, ...] = ()
    orders: dict[str, Order] = {}
    asked_s: dict[str, float] = {}  # when each order was agreed on
    cancelled: set[str] = set()
    steps: dict[str, dict[str, Step]] = {}  # by order, by machine
    failed: dict[str, float] = {}  # machines away that nobody planned, and since when
    gone: set[str] = set()  # brokers
    held: bool = False
    fence: int = 0
    now_s: float = 0.0  # the wall's clock at who proposed the last command: it may jump
    pattern: dict[int, float] = {}


class Answer(Struct, frozen=True):
    """To who proposed it. refused: why nothing changed, in one plain line."""

    refused: str = ""
    fence: int = 0


_commands = msgspec.msgpack.Decoder(Command)
_states = msgspec.msgpack.Decoder(State)
_answers = msgspec.msgpack.Decoder(Answer)


def encode(command: Command) -> bytes:
    """As the log carries it."""
    return msgspec.msgpack.encode(command)


def read_answer(data: bytes) -> Answer:
    """As a call brings it; what is too long ago to be known counts as refused."""
    try:
        return _answers.decode(data)
    except msgspec.MsgspecError:
        return Answer("too long ago to be known")


class Upkeep:
    """The state machine behind the log."""

    def __init__(self) -> None:
        self.state = State()

    # --- questions ------------------------------------------------------------------------------------

    def under_way(self) -> list[Step]:
        """Steps of machines that are on their way out, out, or on their way back."""
        return [
            step for rows in self.state.steps.values() for step in rows.values() if step.phase in UNDER_WAY
        ]

    def step_of(self, machine: str) -> Step | None:
        """Its step that is under way, if there is one."""
        return next((step for step in self.under_way() if step.machine == machine), None)

    def open(self, order: str) -> bool:
        """Whether anything of it is left to do."""
        return any(s.phase in ("waiting", *UNDER_WAY) for s in self.state.steps.get(order, {}).values())

    def barred(self, order: Order) -> str:
        """What has to come first, or nothing."""
        return next((name for name in order.after if name not in self.state.orders or self.open(name)), "")

    def may_go(self, machine: str, order: Order) -> str:
        """Why a machine may not be permitted now; "" if it may. Of what is agreed on alone."""
        state = self.state
        step = state.steps.get(order.id, {}).get(machine)
        if step is None or step.phase != "waiting":
            return f"{machine} does not wait in {order.id}"
        if state.held:
            return "held"
        if order.id in state.cancelled:
            return f"{order.id} is cancelled"
        if order.until_s and state.now_s + order.takes_s > order.until_s:
            return f"{order.id} ends too soon"
        if first := self.barred(order):
            return f"{first} comes first"
        if self.step_of(machine) is not None:
            return f"{machine} is under way by another order"
        rows = self.under_way()
        if sum(s.order == order.id for s in rows) >= order.at_once:
            return f"{order.at_once} of {order.id} are under way"  # ONCE
        mine = state.machines[machine]
        busy = {state.machines[s.machine].group for s in rows if s.machine in state.machines}
        away = {state.machines[m].group for m in state.failed if m in state.machines and m != machine}
        if mine.group and mine.group in busy | away:
            return f"one of group {mine.group} is away"  # GROUP
        if mine.kind == "broker" and mine.voter:
            voters = {m.name for m in state.machines.values() if m.voter}
            left = voters - {s.machine for s in rows} - set(state.failed) - state.gone - {machine}
            if len(left) < len(voters) // 2 + 1 + order.spare:
                return f"{len(left)} voters would be left of {len(voters)}"  # QUORUM
        return ""

    # --- commands -------------------------------------------------------------------------------------

    def apply(self, index: int, data: bytes) -> bytes:
        """Take a command as the log has it."""
        command = _commands.decode(data)
        state = self.state
        state.now_s = command.at_s  # not the latest of all: a clock that jumped once would bind all others
        return msgspec.msgpack.encode(self.take(command))

    def take(self, command: Command) -> Answer:
        """A command, at the time that now_s says."""
        state = self.state
        if isinstance(command, Request):
            return self._request(command.order)
        if isinstance(command, Permit):
            return self._permit(command)
        if isinstance(command, Move):
            return self._move(command)
        if isinstance(command, Declare):
            state.machines = {machine.name: machine for machine in command.machines}
            state.brokers = command.brokers
            state.failed = {name: at for name, at in state.failed.items() if name in state.machines}
            state.gone &= set(command.brokers)
        elif isinstance(command, Cancel):
            if command.order not in state.orders:
                return Answer(f"there is no order {command.order}")
            state.cancelled.add(command.order)
            for step in state.steps[command.order].values():
                if step.phase in ("waiting", "permitted"):
                    self._put(step, "cancelled")
        elif isinstance(command, Hold):
            state.held = command.on
        elif isinstance(command, Failed):
            if command.machine not in state.machines:
                return Answer(f"there is no machine {command.machine}")
            if command.away:
                state.failed.setdefault(command.machine, state.now_s)
            else:
                state.failed.pop(command.machine, None)
        elif isinstance(command, Gone):
            if command.broker not in state.brokers:
                return Answer(f"there is no broker {command.broker}")
            (state.gone.add if command.gone else state.gone.discard)(command.broker)
        else:
            state.pattern[command.hour % HOURS] = max(
                command.units, 0.75 * state.pattern.get(command.hour % HOURS, 0)
            )
        return Answer()

    def _request(self, order: Order) -> Answer:
        state = self.state
        known = state.orders.get(order.id)
        if known is not None:
            return Answer() if known == order else Answer(f"{order.id}: there is another order of this name")
        for machine in order.machines:
            if machine not in state.machines:
                return Answer(f"machines: there is no {machine}")
        for first in order.after:
            if first not in state.orders:
                return Answer(f"after: there is no order {first}")
        if way := cycle(order, state.orders):
            return Answer(f"after: a ring of {', '.join(way)}")
        if order.until_s and order.until_s < state.now_s + least_s(order, state.machines):
            return Answer("until_s: is too soon")
        voters = sum(m.voter for m in state.machines.values())
        if (
            any(state.machines[m].voter for m in order.machines)
            and voters - 1 < voters // 2 + 1 + order.spare
        ):
            return Answer(f"spare: {voters} voters can't spare one with {order.spare} to spare")
        state.orders[order.id] = order
        state.asked_s[order.id] = state.now_s
        state.steps[order.id] = {m: Step(m, order.id, since_s=state.now_s) for m in order.machines}
        self._forget()
        return Answer()

    def _permit(self, command: Permit) -> Answer:
        state = self.state
        order = state.orders.get(command.order)
        if order is None:
            return Answer(f"there is no order {command.order}")
        if why := self.may_go(command.machine, order):
            return Answer(why)
        state.fence += 1  # FENCE
        step = state.steps[order.id][command.machine]
        step.fence, step.overdue = state.fence, False
        self._put(step, "permitted")
        return Answer("", state.fence)

    _NEXT: dict[Phase, tuple[Phase, ...]] = {
        "permitted": ("draining", "waiting"),
        "draining": ("out", "waiting", "cancelled"),
        "out": ("out", "returning"),
        "returning": ("back",),
    }

    def _move(self, command: Move) -> Answer:
        step = self.step_of(command.machine)
        if step is None or step.fence != command.fence:
            return Answer(f"{command.machine} is not under way under {command.fence}")  # FENCE
        if command.to not in self._NEXT[step.phase]:
            return Answer(f"{command.machine} is {step.phase}, not to be {command.to}")
        if command.to == "out" and step.phase == "out":
            step.overdue, step.why = True, command.why
            return Answer()
        if command.to == "out":
            step.life = command.life
        step.why = command.why
        self._put(step, command.to)
        if command.to == "back":
            self.state.failed.pop(command.machine, None)
        return Answer()

    def _put(self, step: Step, phase: Phase) -> None:
        step.phase, step.since_s = phase, self.state.now_s

    def _forget(self) -> None:
        """Keep the last hundred orders that are over."""
        over = [name for name in self.state.orders if not self.open(name)]
        needed = {
            first for order in self.state.orders.values() for first in order.after if self.open(order.id)
        }
        for name in [n for n in over if n not in needed][:-100]:
            del self.state.orders[name], self.state.steps[name], self.state.asked_s[name]
            self.state.cancelled.discard(name)

    # --- snapshots ------------------------------------------------------------------------------------

    def dump(self) -> bytes:
        """All of the state; equal states give equal bytes."""
        # msgspec sorts dicts whose keys are strings and raises TypeError for any other, so the hours of the
        # day are sorted here and put in as they are. Guards against a member that can take no snapshot once
        # the load of one hour was agreed on: `maintenance plan` refuses every order, and when the log is to
        # be compacted the member's tasks end one by one.
        pattern = msgspec.Raw(msgspec.msgpack.encode(dict(sorted(self.state.pattern.items()))))
        state = msgspec.structs.replace(self.state, pattern=pattern)
        return msgspec.msgpack.Encoder(order="deterministic").encode(state)

    def load(self, data: bytes) -> None:
        """In place of what is here."""
        self.state = _states.decode(data)


__all__ = ["OrderError", "State", "Step", "Upkeep"]
