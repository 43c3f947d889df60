"""What the leader proposes next: who may go, when and in what order, and when a step is over. Pure.

How it is known that nothing stands still: `waits` names, for each machine that is not done, the one thing
it waits for, and each of these is an event that comes by itself (work that takes its time, a lease that
runs out, demand that falls, attempts that end) or one that it names a person for (`done`, `gone`, `resume`,
an order that is overdue). A machine for which `waits` names nothing is proposed in the same look. So as
long as any step is possible, one is proposed at each look, by whoever leads; a proposal that is lost is
made again at the next.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median

from harriertide.consensus.fanout import lease_lapse_us
from harriertide.maintenance.orders import Machine, Order
from harriertide.maintenance.state import (
    HOURS,
    Command,
    Failed,
    Gone,
    Move,
    Pattern,
    Permit,
    Phase,
    State,
    Step,
    Upkeep,
)

HEADROOM = 1.1  # what must be left over what is due
COLD_PART = 0.3  # of its rate that a machine bears as it comes back; it grows to all of it within cold_s
FAIL_PART = 0.5  # of the brokers that see a machine away
FAIL_US = 1_000_000  # for so long
LEFT_US = 1_000_000  # after a lease is over, beside the longest attempt: a write on its way when it ended


@dataclass(frozen=True, slots=True)
class Rules:
    """Of the operator's file. longest_us: of an attempt; blind_us: see view."""

    lease_us: int = 3_000_000
    longest_us: int = 30_000_000
    blind_us: int = 0
    cold_s: float = 10.0


@dataclass(slots=True)
class Facts:
    """What the leader has heard. Times in its own microseconds; sets of brokers by their place in the
    file."""

    led_us: int = 0  # since when it leads
    granted_us: dict[int, int] = field(default_factory=dict)  # the last grant of each broker
    known: dict[int, set[int]] = field(default_factory=dict)  # by fence: who knows of a permit
    clear: dict[int, set[int]] = field(default_factory=dict)  # and who has no attempt open, and begins none
    lives: dict[str, int] = field(default_factory=dict)  # of brokers: the process that is there
    units: dict[str, float] = field(default_factory=dict)  # learned, units a second
    load: float = 0.0  # what is due now, of all brokers
    reserve: float = 0.0  # what the grades' reserves are due
    failed: dict[str, int] = field(default_factory=dict)  # how many brokers see a machine away
    failed_us: dict[str, int] = field(default_factory=dict)  # since when more than FAIL_PART do
    alive: set[int] = field(default_factory=set)
    since_us: dict[tuple[int, str], int] = field(default_factory=dict)  # since when it sees a step of a fence

    def for_s(self, step: Step, now_us: int) -> float:
        """How long a step lasts by this leader's own clock: walls' clocks jump."""
        return (now_us - self.since_us.setdefault((step.fence, step.phase), now_us)) / 1_000_000


class Planner:
    """One look at a time; it keeps nothing that a new leader needs."""

    def __init__(self, upkeep: Upkeep, rules: Rules) -> None:
        self.upkeep, self.rules = upkeep, rules
        self._turns = 0  # permits proposed
        self._order_turn: dict[str, int] = {}  # which of them was the last of each order

    @property
    def state(self) -> State:
        """As agreed on."""
        return self.upkeep.state

    # --- who could still send -------------------------------------------------------------------------

    def silent_us(self, place: int, facts: Facts, now_us: int) -> int:
        """For how long a broker's last lease has been over for certain; negative: it may hold one."""
        granted = max(facts.granted_us.get(place, 0), facts.led_us)
        return now_us - granted - lease_lapse_us(self.rules.lease_us)

    def waits_known(self, step: Step, facts: Facts, now_us: int) -> list[str]:
        """KNOWN: brokers that could send and may not know of a permit."""
        known = facts.known.get(step.fence, set())
        return [
            name for place, name in enumerate(self.state.brokers)
            if place not in known and name not in self.state.gone and not self._blind(place, facts, now_us)
        ]  # fmt: skip

    def waits_clear(self, step: Step, facts: Facts, now_us: int) -> list[str]:
        """CLEAR: brokers that may have an attempt open there, or begin one."""
        clear = facts.clear.get(step.fence, set())
        past_us = self.rules.longest_us + LEFT_US
        return [
            name for place, name in enumerate(self.state.brokers)
            if place not in clear
            and name not in self.state.gone
            and self.silent_us(place, facts, now_us) < past_us
        ]  # fmt: skip

    def _blind(self, place: int, facts: Facts, now_us: int) -> bool:
        """Cut off for so long that it sends nothing at all any more."""
        blind_us = self.rules.blind_us
        return bool(blind_us) and self.silent_us(place, facts, now_us) >= int(1.02 * blind_us) + LEFT_US

    # --- what machines do -----------------------------------------------------------------------------

    def units(self, machine: Machine, facts: Facts) -> float:
        """What one does a second: as stated, as learned, or as the others; 0 while no one's is known.

        Brokers report what is learned while a box is under pressure, and only then: older figures say how
        much came, not how much it can do, and would hold up orders for ever.
        """
        if machine.units:
            return machine.units
        learned = facts.units.get(machine.name, 0.0)
        if learned:
            return learned
        rest = [u for u in facts.units.values() if u]
        return median(rest) if rest else 0.0

    def capacity(self, facts: Facts, now_us: int, without: str = "") -> float:
        """What all boxes that are there do, returning ones as much as cold ones bear."""
        found = 0.0
        for machine in self.state.machines.values():
            if machine.kind != "box" or machine.name == without or machine.name in self.state.failed:
                continue
            step = self.upkeep.step_of(machine.name)
            if step is None:
                found += self.units(machine, facts)
            elif step.phase == "returning":
                part = COLD_PART + (1 - COLD_PART) * facts.for_s(step, now_us) / max(0.1, self.rules.cold_s)
                found += min(1.0, part) * self.units(machine, facts)
        return found

    def due(self, facts: Facts, now_s: float, takes_s: float) -> float:
        """What must be left: reserves, what comes now, and what came in the hours that the work lasts."""
        first, last = int(now_s // 3600), int((now_s + takes_s) // 3600)
        hours = range(first, min(last, first + HOURS) + 1)
        usual = max(self.state.pattern.get(hour % HOURS, 0.0) for hour in hours)
        return HEADROOM * max(facts.reserve, facts.load, usual)

    # --- a look ---------------------------------------------------------------------------------------

    def look(self, facts: Facts, now_us: int, now_s: float) -> list[Command]:
        """Commands to propose now. At most one new permit a look: what it changes is not in the state yet."""
        found: list[Command] = [*self._failures(facts, now_us, now_s), *self._pattern(facts, now_s)]
        found += [
            move for step in self.upkeep.under_way() if (move := self._next(step, facts, now_us, now_s))
        ]
        if not any(isinstance(c, Failed) for c in found):
            found += self._permit(facts, now_us, now_s)
        return found

    def _failures(self, facts: Facts, now_us: int, now_s: float) -> list[Command]:
        found: list[Command] = []
        most = max(1, len(facts.alive))
        for name, machine in self.state.machines.items():
            away = facts.failed.get(name, 0) > FAIL_PART * most and self.upkeep.step_of(name) is None
            if machine.kind == "broker":
                place = self.state.brokers.index(name) if name in self.state.brokers else -1
                away = place >= 0 and place not in facts.alive and self.upkeep.step_of(name) is None
            if not away:
                facts.failed_us.pop(name, None)
                if name in self.state.failed and self.upkeep.step_of(name) is None:
                    found.append(Failed(name, False, now_s))
            elif (
                now_us - facts.failed_us.setdefault(name, now_us) >= FAIL_US and name not in self.state.failed
            ):
                found.append(Failed(name, True, now_s))
        for name in self.state.gone:
            if name in self.state.brokers and self.state.brokers.index(name) in facts.alive:
                found.append(Gone(name, False, now_s))
        return found

    def _pattern(self, facts: Facts, now_s: float) -> list[Command]:
        hour = int(now_s // 3600) % HOURS
        if facts.load > 1.1 * self.state.pattern.get(hour, 0.0) + 1.0:
            return [Pattern(hour, facts.load, now_s)]
        return []

    def _next(self, step: Step, facts: Facts, now_us: int, now_s: float) -> Command | None:
        """The next step of a machine that is under way, where it is due."""
        order, machine = self.state.orders[step.order], self.state.machines.get(step.machine)
        if machine is None:
            return Move(step.machine, step.fence, _back(step), now_s, "no longer in the file")
        if step.phase == "permitted":
            if not self.waits_known(step, facts, now_us):
                return Move(step.machine, step.fence, "draining", now_s)
        elif step.phase == "draining":
            if not self.waits_clear(step, facts, now_us):
                return Move(step.machine, step.fence, "out", now_s, life=facts.lives.get(step.machine, 0))
            if step.order in self.state.cancelled:
                return Move(step.machine, step.fence, "cancelled", now_s)
            left = self.capacity(facts, now_us)
            if self.state.failed and left and left < self.due(facts, now_s, 0.0) / HEADROOM:
                return Move(step.machine, step.fence, "waiting", now_s, "needed for what failed elsewhere")
        elif step.phase == "out":
            if machine.kind == "broker" and self._started(step, facts):
                return Move(step.machine, step.fence, "returning", now_s)
            if not step.overdue and facts.for_s(step, now_us) > order.takes_s:
                return Move(step.machine, step.fence, "out", now_s, "overdue")
        elif step.phase == "returning":
            warm = machine.kind == "broker" or facts.for_s(step, now_us) >= self.rules.cold_s
            if warm:
                return Move(step.machine, step.fence, "back", now_s)
        return None

    def _started(self, step: Step, facts: Facts) -> bool:
        """A broker that was out holds a lease again, in another process than before."""
        life = facts.lives.get(step.machine, 0)
        return bool(life) and life != step.life

    def _permit(self, facts: Facts, now_us: int, now_s: float) -> list[Command]:
        for order in self._orders():
            for name in self._machines(order):
                if not self.why_not(name, order, facts, now_us, now_s):
                    self._turns += 1
                    self._order_turn[order.id] = self._turns
                    return [Permit(name, order.id, now_s)]
        return []

    def _orders(self) -> list[Order]:
        """Fair: least under way first, then least lately served, then as asked."""
        busy = {order: 0 for order in self.state.orders}
        for step in self.upkeep.under_way():
            busy[step.order] += 1
        asked = self.state.asked_s
        return sorted(
            (order for order in self.state.orders.values() if self.upkeep.open(order.id)),
            key=lambda o: (busy[o.id], self._order_turn.get(o.id, 0), asked[o.id], o.id),
        )

    def _machines(self, order: Order) -> list[str]:
        """Those near failing first, then those that are away anyhow, brokers after boxes."""
        machines, failed = self.state.machines, self.state.failed

        def rank(name: str) -> tuple[bool, bool, bool, int]:
            machine = machines.get(name)
            broker = machine is not None and machine.kind == "broker"
            return name not in order.first, name not in failed, broker, order.machines.index(name)

        return sorted(order.machines, key=rank)

    def why_not(self, name: str, order: Order, facts: Facts, now_us: int, now_s: float) -> str:
        """Why a machine may not go now; "" if it may."""
        if why := self.upkeep.may_go(name, order):
            return why
        machine, state = self.state.machines[name], self.state
        failed = [m for m in state.failed if m in state.machines and m != name]
        busy = sum(step.order == order.id for step in self.upkeep.under_way())
        kin = [m for m in failed if state.machines[m].kind == machine.kind]
        if busy + len(kin) >= order.at_once and kin:
            return f"{kin[0]} is away, which uses up what may be away at once"
        if machine.kind == "box" and name not in state.failed and self.units(machine, facts):
            left, due = self.capacity(facts, now_us, without=name), self.due(facts, now_s, order.takes_s)
            if left < due:
                return f"{left:.0f} units a second would be left of {due:.0f} due"
        return ""

    def waits(self, step: Step, facts: Facts, now_us: int, now_s: float) -> list[str]:
        """For people: what a machine waits for."""
        if step.phase == "waiting":
            why = self.why_not(step.machine, self.state.orders[step.order], facts, now_us, now_s)
            return [why] if why else []
        if step.phase == "permitted":
            return [f"{name} to know of it" for name in self.waits_known(step, facts, now_us)]
        if step.phase == "draining":
            return [f"{name} to finish there" for name in self.waits_clear(step, facts, now_us)]
        if step.phase == "out":
            machine = self.state.machines.get(step.machine)
            broker = machine is not None and machine.kind == "broker"
            word = "its new process" if broker else f"`maintenance done {step.machine}`"
            return [word + (", overdue" if step.overdue else "")]
        return []


def _back(step: Step) -> Phase:
    """Where a machine goes that the file no longer has."""
    ways: dict[Phase, Phase] = {"permitted": "waiting", "draining": "cancelled", "out": "returning"}
    return ways.get(step.phase, "back")


def forecast(
    upkeep: Upkeep, order: Order, rules: Rules, facts: Facts, now_s: float
) -> list[tuple[float, str, float]]:
    """Played ahead on a copy, in the order of going: seconds from now, the machine, and the part of the
    capacity that is left (-1: no units are stated)."""
    copy = Upkeep()
    copy.load(upkeep.dump())
    copy.state.orders[order.id], copy.state.asked_s[order.id] = order, now_s
    copy.state.steps[order.id] = {m: Step(m, order.id, since_s=now_s) for m in order.machines}
    planner, at = Planner(copy, rules), 0.0
    found: list[tuple[float, str, float]] = []
    facts.alive, facts.failed = set(range(len(copy.state.brokers))), {}  # nothing more fails
    whole = planner.capacity(facts, 1)
    # from event to event, and no more looks than all machines have steps: guards the broker that is asked,
    # which serves requests on the same loop, against orders of days
    looks = 8 * sum(len(rows) for rows in copy.state.steps.values())
    while copy.open(order.id) and looks:
        looks -= 1
        now_us, moved = int(at * 1_000_000) + 1, False
        copy.state.now_s = now_s + at
        for step in copy.under_way():
            facts.known[step.fence] = facts.clear[step.fence] = facts.alive
            if step.phase == "out" and facts.for_s(step, now_us) >= copy.state.orders[step.order].takes_s:
                moved = (
                    not copy.take(Move(step.machine, step.fence, "returning", now_s + at)).refused or moved
                )
        for command in planner.look(facts, now_us, now_s + at):
            if isinstance(command, (Permit, Move)) and not copy.take(command).refused:
                moved = True
                if isinstance(command, Permit) and command.order == order.id:
                    left = planner.capacity(facts, now_us) / whole if whole else -1.0
                    found.append((at, command.machine, left))
        if not moved:
            waits = [
                _left_s(step, copy.state.orders[step.order], rules, facts, now_us)
                for step in copy.under_way()
            ]
            if not waits:
                break  # nothing can go: the caller sees which are missing
            at += max(0.01, min(waits))
    return found


def _left_s(step: Step, order: Order, rules: Rules, facts: Facts, now_us: int) -> float:
    """How long a step lasts yet, if all goes well; one that comes back is worth more as it gets warmer."""
    if step.phase == "out":
        return order.takes_s - facts.for_s(step, now_us)
    if step.phase == "returning":
        return min(rules.cold_s - facts.for_s(step, now_us), max(0.1, rules.cold_s / 4))
    return 0.0
