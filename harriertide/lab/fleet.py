"""Whole brokers of a fleet with their maintenance, in virtual time: only sockets, disks and requests are
stood in for.

Each broker tries a box each few milliseconds: if its rule lets it, an attempt is open there for a while, as
a write that was decided and checked would be. What comes to a box from the moment on that any broker knew
it to be out, or is still open then, is late. The judge reads what brokers said and what they tried; seeds
play alike.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from harriertide.config.model import Maintenance, State
from harriertide.consensus import events as ev
from harriertide.consensus.messages import Entry, Snapshot
from harriertide.control.maintenance_service import Service
from harriertide.control.member import CallError, Outside
from harriertide.decide import api
from harriertide.engine.clock import until
from harriertide.lab import virtual
from harriertide.maintenance.orders import Order
from harriertide.maintenance.state import Request, encode, read_answer

LONGEST_S = 0.3  # of an attempt


class MemoryDisk:
    """A disk that outlives its process, as a store would."""

    def __init__(self, name: str) -> None:
        self.disk = name
        self.cluster, self.term, self.vote = "", 0, None
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []

    @property
    def restored(self) -> ev.RestoredState:
        """As a start reads it."""
        return ev.RestoredState(self.cluster, self.term, self.vote, self.snapshot, tuple(self.entries))

    def write(self, works: list[ev.Persist]) -> None:
        """All of these."""
        for work in works:
            vote: Any = work.voted_for
            self.cluster, self.term, self.vote = work.cluster, work.term, vote
            if work.truncate_from:
                self.entries = [entry for entry in self.entries if entry.index < work.truncate_from]
            self.entries += work.entries
            if work.snapshot is not None:
                self.snapshot, base = work.snapshot, work.snapshot.index
                self.entries = [entry for entry in self.entries if entry.index > base]

    def close(self) -> None:
        """Nothing to let go of."""


class Carrier:
    """Payloads by the loop's timers, through the fleet's links."""

    def __init__(self, fleet: Fleet, name: str, take: Callable[[bytes], bool]) -> None:
        self.fleet, self.name, self.take, self.open = fleet, name, take, False
        self.counts: Counter[str] = Counter()

    async def listen(self, address: tuple[str, int]) -> int:
        """From now on it hears."""
        self.open = True
        self.fleet.carriers[self.name] = self
        return address[1]

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """Late, or never."""
        fleet = self.fleet
        self.counts["frames_out"] += 1
        self.counts["bytes_out"] += len(payload)
        if not self.open or (self.name, name) in fleet.cut or fleet.random.random() < fleet.lost:
            return
        late_s = fleet.random.uniform(0.0002, 0.004)
        asyncio.get_running_loop().call_later(late_s, fleet.deliver, name, payload)

    async def close(self) -> None:
        """Deaf."""
        self.open = False


class Requests:
    """In place of a reducer: attempts that are open at boxes."""

    def __init__(self) -> None:
        self.settings = api.Settings(
            broker_index=0,
            broker_count=1,
            shard_count=1,
            classes=(api.RequestClass(100_000, int(LONGEST_S * 1_000_000)),),
            plans=(api.Plan(),),
        )
        self.offered_units = 0.0
        self.barred: Callable[[str], bool] | None = None
        self.lifeless: Counter[str] = Counter()
        self.open: Counter[str] = Counter()
        self.ready = True

    def take(self, on: bool) -> None:
        """Whether clients are served."""
        self.ready = on

    def out_at(self, node: str) -> int:
        """Attempts that are out there."""
        return self.open[node]

    def learned(self) -> dict[str, float]:
        """Nothing is under pressure here."""
        return {}

    def owed(self) -> int:
        """All of them."""
        return sum(self.open.values())


class Boxes:
    """In place of the object front."""

    def __init__(self, state: State) -> None:
        self.state = state

    def bar(self, shut: frozenset[str] | None, started_us: dict[str, int]) -> None:
        """The check at the write is what counts here."""


class Log:
    """In place of an event log: lines in memory."""

    def __init__(self, rows: list[dict[str, Any]], name: str) -> None:
        self._rows, self._name = rows, name

    def say(self, event: str, **fields: Any) -> None:
        """One more."""
        at = asyncio.get_running_loop().time()
        self._rows.append({"event": event, "by": self._name, "at": at, **fields})

    def close(self) -> None:
        """No more."""


@dataclass
class Verdict:
    """What a course showed."""

    broken: list[str] = field(default_factory=list)
    tried: int = 0
    steps: int = 0
    finished: int = 0
    orders: int = 0
    standstill_s: float = 0.0


class Fleet:
    """Brokers b1 to bN, the first of them voters, and boxes."""

    def __init__(
        self, seed: int, brokers: int, voters: int, boxes: int, lease_ms: int = 1_000, blind_s: int = 0,
        zones: int = 1, load: float = 0.02,
    ) -> None:  # fmt: skip
        self.random, self.lost, self.load_s = Random(seed), 0.0, load
        self.names = [f"b{place + 1}" for place in range(brokers)]
        self.zone = {name: f"z{place % zones}" for place, name in enumerate(self.names)}
        self.boxes = [f"x{place + 1}" for place in range(boxes)]
        self.cut: set[tuple[str, str]] = set()
        self.carriers: dict[str, Carrier] = {}
        self.services: dict[str, Service] = {}
        self.requests: dict[str, Requests] = {}
        self.disks = {name: MemoryDisk(f"{name}-1") for name in self.names}
        self.lives: Counter[str] = Counter()
        self.rows: list[dict[str, Any]] = []
        self.tries: list[tuple[float, float, str, str]] = []  # from, to, box, by
        self.agreed: dict[str, Order] = {}
        self.paused: dict[str, float] = {}  # until when processes stand still
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._leaving: set[str] = set()
        rows_of_boxes = {
            name: {"address": "", "shard": n, "state": "up"} for n, name in enumerate(self.boxes)
        }
        state: dict[str, Any] = {
            "boxes": rows_of_boxes,
            "grades": {"g": {"reserve": 1.0, "worth": 1.0}}, "volumes": {}, "limits": {},
        }  # fmt: skip
        self.state: State = state
        rows = {
            name: {"address": f"127.0.0.1:{place + 1}", "voter": "yes" if place < voters else "no",
                   "zone": "", "rack": "", "release": "", "group": ""}
            for place, name in enumerate(self.names)
        }  # fmt: skip
        labels = {
            name: {
                "zone": f"z{place % zones}",
                "rack": "",
                "release": "",
                "group": f"g{place % 4}",
                "units": 0.0,
            }
            for place, name in enumerate(self.boxes)
        }
        self._rows_of, self._labels, self.lease_ms, self.blind_s = rows, labels, lease_ms, blind_s
        self.wall_off = {name: 0.0 for name in self.names}

    def deliver(self, name: str, payload: bytes) -> None:
        """A payload has come; a process that stands still reads it when it goes on."""
        carrier, loop = self.carriers.get(name), asyncio.get_running_loop()
        if self.paused.get(name, 0.0) > loop.time():
            loop.call_at(self.paused[name] + 0.001, self._deliver_late, carrier, payload)
        elif carrier is not None and carrier.open:
            carrier.take(payload)

    @staticmethod
    def _deliver_late(carrier: Carrier | None, payload: bytes) -> None:
        if carrier is not None and carrier.open:
            carrier.take(payload)

    def _still(self, name: str, act: Callable[..., None], *args: Any) -> None:
        """What a process does by itself, which it does not while it stands still."""
        if self.paused.get(name, 0.0) <= asyncio.get_running_loop().time():
            act(*args)

    # --- processes ------------------------------------------------------------------------------------

    async def start(self, name: str) -> None:
        """A process on the disk as it is."""
        self.lives[name] += 1
        settings = Maintenance(name, "", "", self.lease_ms, self.blind_s, 0, self._rows_of, self._labels)

        async def write(work: Callable[[], None]) -> None:
            loop = asyncio.get_running_loop()
            await until(max(loop.time() + 0.0005, self.paused.get(name, 0.0)))
            work()

        def carrier(take: Callable[[bytes], bool]) -> Carrier:
            return Carrier(self, name, take)

        def disk(folder: Path) -> MemoryDisk:
            return self.disks[name]

        seed = Random(f"{name} {self.lives[name]} {self.random.random()}")
        outside = Outside(disk, carrier, write, seed)  # type: ignore[arg-type]
        core = self.requests[name] = Requests()
        leave = partial(self._leave, name)
        made = Service(
            settings,
            core,
            Boxes(self.state),
            lambda: 0,
            leave,
            core.take,
            outside,
            partial(self._wall, name),
        )
        made.events = made.broker.events = Log(self.rows, name)  # type: ignore[assignment]
        made.broker._beat = partial(self._still, name, made.broker._beat)  # type: ignore[method-assign]
        made._plan = partial(self._still, name, made._plan)  # type: ignore[method-assign]
        self.services[name] = made
        await made.start()
        loop = asyncio.get_running_loop()
        self._tasks[name] = [loop.create_task(self._load(name, core))]

    def _wall(self, name: str) -> float:
        return 1e9 + asyncio.get_running_loop().time() + self.wall_off[name]

    async def kill(self, name: str) -> None:
        """At once: what is on its way to the disk is lost."""
        made = self.services.pop(name, None)
        if made is None:
            return
        self.carriers[name].open = False
        tasks = [*self._tasks.pop(name), *made._tasks, *made.broker._tasks]
        tasks += [made._timer] if made._timer else []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        loop = asyncio.get_running_loop()
        for place, (begun, end, box, by) in enumerate(self.tries):
            if by == f"{name}.{self.lives[name]}" and end > loop.time():
                self.tries[place] = begun, loop.time(), box, by  # its connections were reset

    def _leave(self, name: str) -> None:
        """Its turn of maintenance: it ends in order, and is started again."""
        if name not in self._leaving and name in self.services:
            self._leaving.add(name)
            asyncio.get_running_loop().create_task(self._turn(name))

    async def _turn(self, name: str) -> None:
        await until(asyncio.get_running_loop().time() + 0.1)
        await self.kill(name)
        await until(asyncio.get_running_loop().time() + 0.3)
        self._leaving.discard(name)
        if name not in self.services:
            await self.start(name)

    async def _load(self, name: str, core: Requests) -> None:
        """Attempts, each where the rule lets it at that moment."""
        loop = asyncio.get_running_loop()
        while True:
            await until(loop.time() + self.random.expovariate(1 / self.load_s))
            if self.paused.get(name, 0.0) > loop.time():
                await until(self.paused[name])  # and the first thing that it does then is a write
            box = self.random.choice(self.boxes)
            assert core.barred is not None
            if core.ready and not core.barred(box):
                for_s = self.random.uniform(0.002, LONGEST_S)
                self.tries.append((loop.time(), loop.time() + for_s, box, f"{name}.{self.lives[name]}"))
                core.open[box] += 1
                core.offered_units += 1
                loop.call_later(for_s, self._over, core, box)

    @staticmethod
    def _over(core: Requests, box: str) -> None:
        core.open[box] -= 1

    # --- people ---------------------------------------------------------------------------------------

    async def request(self, order: Order, by: str | None = None, within_s: float = 20.0) -> bool:
        """Ask until it is agreed on."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while loop.time() < end:
            made = self.services.get(by or self.random.choice(self.names))
            if made is not None:
                try:
                    command = Request(order, self._wall(made.settings.name))
                    answer = read_answer(await made.broker.call(encode(command), 2.0))
                    if not answer.refused:
                        self.agreed[order.id] = order
                        return True
                except CallError:
                    pass
            await until(loop.time() + 0.2)
        return False

    async def operate(self, end: float) -> bool:
        """`done` for what is out, by the state of any broker that holds a lease."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            made = self.services.get(self.random.choice(self.names))
            if made is not None and made.broker.fan.lease_end_us > made.broker.now_us():
                upkeep = made.upkeep
                if self.agreed and all(n in upkeep.state.orders and not upkeep.open(n) for n in self.agreed):
                    return True
                for step in upkeep.under_way():
                    if step.phase == "out" and step.machine.startswith("x"):
                        await self._done(made, step.machine)
            await until(loop.time() + 0.2)
        return False

    async def _done(self, made: Service, machine: str) -> None:
        class Body:
            method, raw_path = "POST", "/maintenance/done"

            async def read(self) -> bytes:
                return json.dumps({"machine": machine}).encode()

        await made.handle(Body())  # type: ignore[arg-type]

    # --- the judgement --------------------------------------------------------------------------------

    def judge(self, finished: bool) -> Verdict:
        """Of what brokers said and tried."""
        found = Verdict(orders=len(self.agreed), finished=len(self.agreed) * finished, tried=len(self.tries))
        first: dict[tuple[int, str], float] = {}
        owner: dict[int, tuple[str, str]] = {}
        digests: dict[int, int] = {}
        for row in self.rows:
            if row["event"] == "applied" and digests.setdefault(row["index"], row["digest"]) != row["digest"]:
                found.broken.append(f"{row['by']}: another state at {row['index']}")
            if row["event"] == "step" and row["fence"] and row["phase"] != "waiting":
                machine = row["order"], row["machine"]
                if owner.setdefault(row["fence"], machine) != machine:
                    found.broken.append(f"fence {row['fence']}: {owner[row['fence']]} and {machine}")
                first.setdefault((row["fence"], row["phase"]), row["at"])
        spans = {}
        for fence, machine in owner.items():
            if (fence, "out") in first:
                end = min(first.get((fence, "returning"), 1e18), first.get((fence, "back"), 1e18))
                spans[fence] = first[fence, "out"], end, machine[1]
        for begun, end, box, by in self.tries:
            for fence, (out, back, machine_name) in spans.items():
                if box == machine_name and begun < back and end > out:
                    found.broken.append(
                        f"{by} at {box} from {begun:.3f} to {end:.3f}, out from {out:.3f} ({fence})"
                    )
        moves = sorted(first.values())
        found.steps = len(moves)
        found.standstill_s = max([b - a for a, b in zip(moves, moves[1:], strict=False)], default=0.0)
        if not finished:
            found.broken.append("orders did not come to their end")
        return found


async def course(seed: int, brokers: int, voters: int, boxes: int, seconds: float) -> Verdict:
    """A drawn course: an order of all boxes and one of all brokers, faults, then an end."""
    fleet = Fleet(seed, brokers, voters, boxes)
    loop, random = asyncio.get_running_loop(), Random(seed)
    await asyncio.gather(*(fleet.start(name) for name in fleet.names))
    names = tuple(fleet.boxes)
    orders = [Order("boxes", names, "restart", 0.3, at_once=2)]
    if voters > 3:
        orders.append(Order("brokers", tuple(fleet.names[:voters]), "restart", 1.0))
    asked = [loop.create_task(fleet.request(order)) for order in orders]
    end = loop.time() + seconds
    work = loop.create_task(fleet.operate(end + 90.0))

    whole_s = [0.0]

    async def fault() -> None:
        what = random.choice(("kill", "kill", "cut", "apart", "lost", "jump", "all", "lose-disk", "pause"))
        a, b = random.sample(fleet.names[: voters + 2], 2)
        for_s = random.uniform(0.2, 3.0)
        if what == "lose-disk" and loop.time() < whole_s[0]:
            what = "kill"  # two disks at once with other faults may be more than a minority
        if what in ("kill", "lose-disk"):
            await fleet.kill(a)
            if what == "lose-disk":
                whole_s[0] = loop.time() + for_s + 10.0
                fleet.disks[a] = MemoryDisk(f"{a}-{fleet.lives[a] + 1}")
            await until(loop.time() + for_s)
            if a not in fleet.services:
                await fleet.start(a)
        elif what == "all":
            await asyncio.gather(*(fleet.kill(name) for name in fleet.names))
            for name in fleet.names:
                await until(loop.time() + random.uniform(0.0, 0.2))
                if name not in fleet.services:
                    await fleet.start(name)
        elif what in ("cut", "apart"):
            ways = {(a, b)}
            if what == "apart":
                side = set(random.sample(fleet.names, random.randint(1, len(fleet.names) // 2)))
                ways = {(c, d) for c in fleet.names for d in fleet.names if (c in side) != (d in side)}
            fleet.cut |= ways
            await until(loop.time() + for_s)
            fleet.cut -= ways
        elif what == "pause":
            fleet.paused[a] = loop.time() + random.uniform(0.2, 8.0)
        elif what == "lost":
            fleet.lost = random.choice((0.0, 0.1, 0.3))
        else:
            fleet.wall_off[a] = random.choice((-3600.0, 0.0, 3600.0))

    while loop.time() < end:
        await until(loop.time() + random.uniform(0.3, 2.0))
        await fault()
    fleet.cut.clear()
    fleet.paused.clear()
    fleet.lost = 0.0
    await asyncio.gather(*asked)
    finished = await work
    verdict = fleet.judge(finished)
    for name in list(fleet.services):
        await fleet.kill(name)
    return verdict


def play(seed: int, brokers: int = 5, voters: int = 5, boxes: int = 8, seconds: float = 8.0) -> Verdict:
    """One course, on a clock of its own."""
    return virtual.run(course(seed, brokers, voters, boxes, seconds))
