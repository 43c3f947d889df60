"""Maintenance in a running broker: what is agreed on becomes what it may send, and what people may ask.

The rules are the pure rooms'; this hands them facts and carries out what they say.
"""

from __future__ import annotations

import asyncio
import json
import time
import tomllib
from collections import Counter, deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec
import xxhash
from aiohttp import web

from harriertide.config.model import Maintenance, State
from harriertide.consensus.events import Tuning
from harriertide.consensus.fanout import GrantRound
from harriertide.consensus.fanout_messages import SubtreeReport, SubtreeTotals, encode_broker_set
from harriertide.control.member import Broker, CallError, Events, Outside
from harriertide.decide import api
from harriertide.engine.log import log
from harriertide.maintenance import orders, view
from harriertide.maintenance.orders import Machine, Order, OrderError
from harriertide.maintenance.planner import Facts, Planner, Rules, forecast
from harriertide.maintenance.state import (
    Cancel,
    Command,
    Declare,
    Gone,
    Hold,
    Move,
    Request,
    Step,
    Upkeep,
    encode,
    read_answer,
)
from harriertide.platform.peers import address

LOOK_US = 200_000
CALL_S = 5.0
WINDOW_US = 2_000_000  # over which rates are taken
YOUNG_US = 60_000_000  # of a process: so long it says which one it is
STALE_US = 10_000_000  # nothing was tried there since: it may be back
LIFELESS = 2  # attempts in a row without a sign of life, or one failed connection: it is away, seen from here


class Boxes(Protocol):
    """What may get requests here."""

    state: State

    def bar(self, shut: frozenset[str] | None, started_us: dict[str, int]) -> None:
        """These get nothing new; None: none gets any."""


class Core(Protocol):
    """What of a reducer is asked and told here."""

    settings: api.Settings
    offered_units: float
    lifeless: Counter[str]
    barred: Callable[[str], bool] | None

    def out_at(self, node: str) -> int:
        """Attempts that are out there."""

    def learned(self) -> dict[str, float]:
        """What nodes under pressure do by now."""

    def owed(self) -> int:
        """Requests without a final answer."""


class Service:
    """One broker's maintenance. leave: ends this process in order; ready: whether it takes requests."""

    def __init__(
        self,
        settings: Maintenance,
        core: Core,
        boxes: Boxes,
        unix_us: Callable[[], int],
        leave: Callable[[], None],
        ready: Callable[[bool], None],
        outside: Outside | None = None,
        wall_s: Callable[[], float] = time.time,
        tuning: Tuning | None = None,
    ) -> None:
        self.settings, self.core, self._boxes = settings, core, boxes
        self._unix_us, self._leave, self._ready, self._wall_s = unix_us, leave, ready, wall_s
        self.upkeep = Upkeep()
        longest_us = max(kind.deadline_us for kind in core.settings.classes)
        self.rules = Rules(
            1000 * settings.lease_ms, longest_us, 1_000_000 * settings.blind_s, float(settings.cold_s)
        )
        self.planner, self.facts = Planner(self.upkeep, self.rules), Facts()
        addresses = {name: address(row["address"]) for name, row in settings.brokers.items()}
        voters = tuple(name for name, row in settings.brokers.items() if row["voter"] == "yes")
        self.events = Events(settings.events, time.monotonic)
        self.broker = Broker(
            settings.name, addresses, voters, Path(settings.folder), self.upkeep, self.rules.lease_us,
            self.events, self._own, self._changed, outside or Outside(), tuning,
        )  # fmt: skip
        self.broker.granted = self._granted
        self._shut: frozenset[str] | None = frozenset()
        self._lease_us = self._until_us = 0  # the lease that _shut goes by, and when time alone changes that
        self._started_us: dict[str, int] = {}
        self._began_us = self.broker.now_us()
        self._led = 0  # the term in which it leads, as far as is seen here; 0: it does not
        self._look_us = 0
        self._proposed: dict[bytes, int] = {}  # what is on its way, so that one look does not repeat another
        self._tasks: set[asyncio.Task[None]] = set()
        self._window: deque[tuple[int, float]] = deque()
        self._leaving = False
        self._away: dict[str, tuple[int, int]] = {}  # lifeless attempts there, and since when
        self._seen: dict[tuple[str, str], tuple[tuple[str, int], int]] = {}
        self.counts: Counter[str] = Counter()
        self._timer: asyncio.Task[None] | None = None
        core.barred = self.barred
        self._look_at(self.broker.now_us())  # nothing is sent before the first lease

    # --- life -----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Take part."""
        await self.broker.start()
        self._timer = asyncio.get_running_loop().create_task(self._run())
        log("agrees with others", name=self.settings.name, voter=self.settings.name in self.broker.voters)

    async def close(self) -> None:
        """Hand over, and end."""
        tasks = [*self._tasks, *([self._timer] if self._timer else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.events.say("ends")
        await self.broker.close()

    async def _run(self) -> None:
        while True:
            now = self.broker.now_us()
            if self._lease_us != self.broker.fan.lease_end_us or (self._until_us and now >= self._until_us):
                self._look_at(now)
            led = self.broker.led
            if led != self._led:
                self._led = led
                self.facts = Facts(led_us=now)
                self._proposed.clear()
            if self._led and now >= self._look_us:
                self._look_us = now + LOOK_US
                self._plan(now)
            await asyncio.sleep(0.025)

    # --- what may be sent -----------------------------------------------------------------------------

    def barred(self, node: str) -> bool:
        """Asked right before each write, by the clock of that moment."""
        now = self.broker.now_us()
        if self._until_us and now >= self._until_us:
            self._look_at(now)  # a lease is over that nothing has looked at since: this process stood still
        return self._shut is None or node in self._shut

    def _may(self, now: int) -> frozenset[str] | None:
        return view.shut(self.upkeep, now, self.broker.fan.lease_end_us, self.rules.blind_us)

    def _changed(self) -> None:
        """Something was agreed on."""
        for rows in self.upkeep.state.steps.values():
            for step in rows.values():
                name, now = (step.order, step.machine), (step.phase, step.fence)
                if self._seen.get(name, (now, 0))[0] != now or name not in self._seen:
                    self._seen[name] = now, self.broker.now_us()
                    self.broker.fan.report_soon()
                    self._look_us = 0
                    self.events.say(
                        "step", order=step.order, machine=step.machine, phase=step.phase, fence=step.fence,
                        index=self.broker.course.applied,
                    )  # fmt: skip
        self._look_at(self.broker.now_us())
        self._own_step()

    def _look_at(self, now: int) -> None:
        lease = self.broker.fan.lease_end_us
        self._lease_us, self._until_us = lease, view.changes_us(now, lease, self.rules.blind_us)
        shut = self._may(now)
        returned = self._returned()
        if shut == self._shut and not returned:
            return
        self._shut = shut
        said = ["*"] if shut is None else sorted(shut)
        self.events.say("shut", machines=said, leased=now < self.broker.fan.lease_end_us)
        self._boxes.bar(shut, dict(self._started_us))

    def _returned(self) -> bool:
        """Boxes on their way back are cold from when it was agreed on."""
        found = {
            step.machine: self._started_us.get(step.machine) or self._unix_us()
            for step in self.upkeep.under_way()
            if step.phase == "returning"
        }
        changed = found != self._started_us
        self._started_us = found
        return changed

    def _own_step(self) -> None:
        """This broker itself goes, or comes back."""
        step = self.upkeep.step_of(self.settings.name)
        leaving = step is not None and step.phase in ("draining", "out")
        if leaving and not self._leaving:
            self.events.say("leaving", phase=step.phase if step else "")
        if step is not None and step.phase == "out" and step.life == self.broker.life:
            self._leave()
        if leaving != self._leaving:
            self._leaving = leaving
            self._ready(not leaving)
            if leaving:
                self.broker.hand_over()

    # --- facts ----------------------------------------------------------------------------------------

    def _load(self, now: int) -> float:
        """Units a second that came in the last window, seen at each report."""
        self._window.append((now, self.core.offered_units))
        while now - self._window[0][0] > WINDOW_US:
            self._window.popleft()
        began, offered = self._window[0]
        return (self.core.offered_units - offered) * 1_000_000 / max(1, now - began)

    def _own(self, broker: Broker) -> SubtreeReport:
        """What this broker says of itself."""
        now = broker.now_us()
        place = broker.fan.broker_indexes[broker.name]
        known: dict[int, bytes] = {}
        clear: dict[int, bytes] = {}
        mine = encode_broker_set({place})
        shut = self._may(now)
        for step in self.upkeep.under_way():
            known[step.fence] = mine
            done = shut is None or step.machine in shut
            if step.machine == broker.name:
                done = done and self.core.owed() == 0
            if step.phase in ("draining", "out") and done and self.core.out_at(step.machine) == 0:
                clear[step.fence] = mine
        load, lives = self._load(now), {}
        if now - self._began_us < YOUNG_US or self.upkeep.step_of(broker.name) is not None:
            lives = {broker.name: broker.life}
        failed = {}
        for name, number in self.core.lifeless.items():
            if self._away.get(name, (0, 0))[0] != number:
                self._away[name] = number, now
            if number >= LIFELESS and now - self._away[name][1] < STALE_US:
                failed[name] = 1
        units = {name: round(rate, 2) for name, rate in self.core.learned().items() if rate}
        applied = broker.course.applied
        return SubtreeReport(broker.name, 0, applied, mine, lives, known, clear, load, units, failed)

    def _granted(self, asked: GrantRound) -> None:
        """As leader: a majority has confirmed it; who was in that round holds a lease from its report on."""
        broker, now = self.broker, self.broker.now_us()
        found: SubtreeTotals = broker.fan.totals(now, self._own(broker))
        facts = self.facts
        for place in asked.alive:
            facts.granted_us[place] = now
        facts.alive, facts.load = found.alive, found.load
        facts.units, facts.failed = found.units, found.failed
        facts.lives.update(found.incarnations)
        fences = {step.fence for step in self.upkeep.under_way()}
        for mine, theirs in ((facts.known, found.known), (facts.clear, found.clear)):
            for fence, who in theirs.items():
                mine.setdefault(fence, set()).update(who)
            for fence in [f for f in mine if f not in fences]:
                del mine[fence]
        self._look_us = 0  # what the next step waits for may have come
        facts.since_us = {name: at for name, at in facts.since_us.items() if name[0] in fences}
        state, due = self._boxes.state, 0.0
        for volume in state["volumes"].values():
            due += state["grades"][volume["grade"]]["reserve"]
        facts.reserve = due

    # --- planning, as leader --------------------------------------------------------------------------

    def _declared(self) -> Declare:
        state, settings = self._boxes.state, self.settings
        found = []
        for name in state["boxes"]:
            found.append(Machine(name, "box", **settings.labels.get(name, {})))
        for name, row in settings.brokers.items():
            labels = {key: row[key] for key in ("zone", "rack", "release", "group")}
            found.append(Machine(name, "broker", **labels, voter=row["voter"] == "yes"))
        return Declare(tuple(found), tuple(settings.brokers), self._wall_s())

    def _plan(self, now: int) -> None:
        replica = self.broker.replica
        if replica is None or not replica.node.has_committed_own_term:
            return
        declared = self._declared()
        state = self.upkeep.state
        if state.machines != {m.name: m for m in declared.machines} or state.brokers != declared.brokers:
            self._propose(now, declared)
            return
        for command in self.planner.look(self.facts, now, self._wall_s()):
            self._propose(now, command)
        self.broker.waits = self._waits(now)

    def _waits(self, now: int) -> dict[str, list[str]]:
        """What machines under way wait for, and the next of each order. It goes with each grant: no more."""
        found: dict[str, list[str]] = {}
        for name, rows in self.upkeep.state.steps.items():
            waiting = False
            for step in rows.values():
                if step.phase == "waiting" and waiting:
                    continue
                waiting = waiting or step.phase == "waiting"
                if said := self.planner.waits(step, self.facts, now, self._wall_s()):
                    found[f"{name}/{step.machine}"] = said
        return found

    def _propose(self, now: int, command: Command) -> None:
        name = encode(msgspec.structs.replace(command, at_s=0.0))
        self._proposed = {n: until for n, until in self._proposed.items() if until > now}
        if name in self._proposed:
            return
        self._proposed[name] = now + 1_000_000

        async def call() -> None:
            try:
                answer = read_answer(await self.broker.call(encode(command), CALL_S))
                self.events.say("planned", what=type(command).__name__, refused=answer.refused)
            except CallError:
                self.counts["unsettled"] += 1
            self._proposed.pop(name, None)

        task = asyncio.get_running_loop().create_task(call())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- people ---------------------------------------------------------------------------------------

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """GET /maintenance, POST /maintenance/WHAT."""
        what = request.raw_path.partition("?")[0].removeprefix("/maintenance").strip("/")
        if request.method == "GET" and not what:
            return web.json_response(await self.status())
        try:
            asked = json.loads(await request.read() or b"{}")
            if not isinstance(asked, dict):
                raise ValueError("not an object")
            if request.method != "POST":
                return web.json_response({"reason": "no such route"}, status=404)
            if what == "plan":
                return web.json_response(await self.forecast(_parsed(asked)))
            return await self._ask(what, asked)
        except OrderError as fault:
            return web.json_response({"reason": str(fault)}, status=400)
        except (ValueError, KeyError, TypeError) as fault:
            return web.json_response({"reason": f"can't be used: {fault}"}, status=400)
        except CallError as fault:
            return web.json_response({"reason": str(fault)}, status=503)

    async def _ask(self, what: str, asked: dict[str, Any]) -> web.StreamResponse:
        now_s = self._wall_s()
        if what == "request":
            if "from" in asked and asked["from"] != self._mark():
                return web.json_response(
                    {"reason": "the state has moved since the plan was made"}, status=409
                )
            order = orders.read_order(_parsed(asked), await self._machines(), now_s)
            command: Command = Request(order, now_s)
        elif what == "done":
            step = self.upkeep.step_of(str(asked["machine"]))
            if step is None or step.phase != "out":
                return web.json_response({"reason": f"{asked['machine']} is not out"}, status=409)
            command = Move(step.machine, step.fence, "returning", now_s, "done")
        elif what == "cancel":
            command = Cancel(str(asked["order"]), now_s)
        elif what in ("hold", "resume"):
            command = Hold(what == "hold", now_s)
        elif what == "gone":
            command = Gone(str(asked["broker"]), True, now_s)
        else:
            return web.json_response({"reason": "no such route"}, status=404)
        answer = read_answer(await self.broker.call(encode(command), CALL_S))
        self.events.say("told", what=what, refused=answer.refused)
        if answer.refused:
            return web.json_response({"reason": answer.refused}, status=409)
        return web.json_response({"agreed": True, "index": self.broker.course.applied})

    async def _machines(self) -> dict[str, Machine]:
        await self.broker.read(1.0)
        if not self.upkeep.state.machines:
            raise CallError("which machines there are is not agreed on yet; ask again")
        return self.upkeep.state.machines

    def _mark(self) -> str:
        """Of the agreed state, less its clock: a plan holds for this one only."""
        state = msgspec.structs.replace(self.upkeep.state, now_s=0.0, pattern={})
        return xxhash.xxh3_64_hexdigest(msgspec.msgpack.Encoder(order="deterministic").encode(state))

    async def forecast(self, raw: dict[str, Any]) -> dict[str, Any]:
        """The order that would come out, how long it takes, and what it costs each grade."""
        now_s = self._wall_s()
        order: Order = orders.read_order(raw, await self._machines(), now_s)
        found = forecast(self.upkeep, order, self.rules, self._copy(), now_s)
        least = min((left for _, _, left in found if left >= 0), default=1.0)
        going = [name for _, name, _ in found]
        return {
            "from": self._mark(),
            "steps": [
                {"after_s": round(at, 1), "machine": name, "left": round(left, 3)} for at, name, left in found
            ],
            "never": [name for name in order.machines if name not in going],
            "takes_s": round(max((at for at, _, _ in found), default=0.0) + order.takes_s, 1),
            "least_s": round(orders.least_s(order, self.upkeep.state.machines), 1),
            "grades": self._cost(least),
        }

    def _copy(self) -> Facts:
        facts = self.facts
        return Facts(units=dict(facts.units), load=facts.load, reserve=facts.reserve, alive=set(facts.alive))

    def _cost(self, left: float) -> dict[str, float]:
        """The part of each grade's reserves that could not be served while least is left: the least worth
        first."""
        state = self._boxes.state
        due = {grade: 0.0 for grade in state["grades"]}
        for volume in state["volumes"].values():
            due[volume["grade"]] += state["grades"][volume["grade"]]["reserve"]
        room = left * self.planner.capacity(self.facts, self.broker.now_us()) or sum(due.values())
        cost = {}
        for grade in sorted(due, key=lambda g: -state["grades"][g]["worth"]):
            served = min(room, due[grade])
            room -= served
            cost[grade] = round(1 - served / due[grade], 3) if due[grade] else 0.0
        return cost

    def _for_s(self, step: Step, now: int) -> float:
        """How long this broker has seen a step, by its own clock."""
        return round((now - self._seen.get((step.order, step.machine), (None, now))[1]) / 1_000_000, 1)

    async def status(self) -> dict[str, Any]:
        """For people and scripts; `knows` says whether this broker can tell how things stand."""
        now = self.broker.now_us()
        knows = await self.broker.read(1.0)
        state, broker = self.upkeep.state, self.broker
        rows = []
        for name in state.orders:
            steps = []
            for step in state.steps[name].values():
                row: dict[str, Any] = {
                    "machine": step.machine, "phase": step.phase, "fence": step.fence,
                    "for_s": self._for_s(step, now), "overdue": step.overdue,
                }  # fmt: skip
                row["waits"] = broker.waits.get(f"{name}/{step.machine}", [])
                steps.append(row)
            over = not self.upkeep.open(name)
            rows.append({"order": name, "over": over, "cancelled": name in state.cancelled, "steps": steps})
        members = broker.replica.node.members if broker.replica is not None else None
        return {
            "name": broker.name, "knows": knows, "leader": broker.leader, "held": state.held,
            "leased": now < broker.fan.lease_end_us, "applied": broker.course.applied,
            "halted": broker.halted, "failed": sorted(state.failed), "gone": sorted(state.gone),
            "voters": sorted(m.name for m in members.voters) if members else list(broker.voters),
            "orders": rows,
        }  # fmt: skip


def _parsed(asked: dict[str, Any]) -> dict[str, Any]:
    """An order as it comes: the text of its file, or its keys."""
    if "text" in asked:
        try:
            return tomllib.loads(str(asked["text"]))
        except tomllib.TOMLDecodeError as fault:
            raise OrderError(f"not TOML: {fault}") from None
    return {key: value for key, value in asked.items() if key != "from"}
