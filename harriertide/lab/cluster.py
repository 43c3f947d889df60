"""Members of the agreed log in virtual time: links, disks and clocks that fail, clients, and checkers.

A run is drawn from one seed and is the same each time. Members are whole (replica, sessions, roster,
founding on empty disks); only sockets and files are missing. What is checked is read from what members emit
and from the clients' history; the checkers share no code with the members.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from harriertide.consensus import events as ev
from harriertide.consensus.events import Tuning
from harriertide.consensus.messages import Entry, Member, Message, Snapshot
from harriertide.consensus.node import NEVER_US, Node
from harriertide.consensus.replica import CallCompleted, CallExpired, EntryApplied, ReadCompleted, Replica
from harriertide.consensus.roster import Founding, Hello, Roster
from harriertide.lab.checkers.linearizability_checker import Operation, non_linearizable

SECOND = 1_000_000


class Registers:
    """The state machine of the runs: named registers."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}

    def apply(self, index: int, data: bytes) -> bytes:
        what, key, value = data.decode().split("\n")
        if what == "swap":
            old, _, new = value.partition(">")
            if self.values.get(key, "") != old:
                return b"no"
            value = new
        self.values[key] = value
        return b"yes"

    def dump(self) -> bytes:
        return "\x00".join(f"{k}\n{v}" for k, v in sorted(self.values.items())).encode()

    def load(self, data: bytes) -> None:
        rows = data.decode().split("\x00") if data else []
        self.values = dict(row.split("\n") for row in rows)


@dataclass
class Disk:
    """What survives, and what is on its way to it. late_us: of a sync; lies: it says done, but
    keeps no vote."""

    id: str
    late_us: int = 500
    lies: bool = False
    fails: bool = False
    cluster: str = ""
    term: int = 0
    vote: Member | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    waiting: list[ev.Persist] = field(default_factory=list)

    def write(self, work: ev.Persist) -> None:
        """One that has come to the platter."""
        self.cluster, self.term = work.cluster, work.term
        self.vote = None if self.lies else work.voted_for
        if work.snapshot is not None:
            self.snapshot = work.snapshot
        if work.truncate_from:
            self.entries = [entry for entry in self.entries if entry.index < work.truncate_from]
        base = self.snapshot.index if self.snapshot else 0
        self.entries += work.entries
        if work.snapshot is not None:
            self.entries = [entry for entry in self.entries if entry.index > base]

    def restored(self) -> ev.RestoredState:
        """As a start reads it."""
        return ev.RestoredState(self.cluster, self.term, self.vote, self.snapshot, tuple(self.entries))


class Host:
    """One broker's place: its disk, its clock, and its process while it runs."""

    def __init__(self, sim: Cluster, name: str, rate: float, offset_us: int) -> None:
        self.sim, self.name, self.rate, self.offset_us = sim, name, rate, offset_us
        self.disks = 0
        self.disk = self.new_disk()
        self.replica: Replica | None = None
        self.roster: Roster
        self.life = 0  # of the process
        self.paused_until = 0
        self.wake_us = NEVER_US
        self.serial = 0

    def new_disk(self) -> Disk:
        """An empty one under the same name."""
        self.disks += 1
        disk_id = f"{self.name}{1 if self.sim.seeded_bug == 'empty-disk-votes' else self.disks}"
        return Disk(disk_id, lies=self.sim.seeded_bug == "vote-not-synced")

    def now(self) -> int:
        """Its own clock."""
        return int(self.offset_us + self.rate * self.sim.now)

    def real(self, own_us: int) -> int:
        """When its own clock shows this."""
        return int((own_us - self.offset_us) / self.rate) + 1

    def start(self) -> None:
        """A new process on the disk as it is."""
        self.life += 1
        self.disk.waiting = []
        me = Member(self.name, self.disk.id)
        self.replica = Replica(
            me, Registers(), self.sim.tuning, self.disk.restored(), Random(self.sim.random.random()),
            self.now(), snapshot_interval=self.sim.keep, node_class=self.sim.node_class,
        )  # fmt: skip
        self.roster = Roster(me, tuple(self.sim.names))
        self.wake_us = NEVER_US
        self.do([])
        self.sim.at(self.sim.now, self._beat, self.life)

    def kill(self, random: Random) -> None:
        """The process ends; of what was not synced, a part drawn may have come to the disk."""
        self.replica = None
        self.life += 1
        kept = random.randint(0, len(self.disk.waiting))
        for work in self.disk.waiting[:kept]:
            self.disk.write(work)
        self.disk.waiting = []

    def _beat(self, life: int) -> None:
        """Hellos, founding and the roster: each 100 ms."""
        if life != self.life or self.replica is None:
            return
        if self.sim.now < self.paused_until:
            self.sim.at(self.paused_until, self._beat, life)
            return
        node, now = self.replica.node, self.now()
        hello = self.roster.next_hello(now, node)
        if hello is not None:
            for name in self.sim.names:
                if name != self.name:
                    self.sim.post(self.name, name, hello)
        if not node.cluster:
            found = self.roster.propose_founding(now, f"c{self.sim.random.randrange(1 << 30)}")
            if found is not None and self.roster.accepts_founding(found, node):
                self.do(node.found_cluster(now, found.cluster, found.members))
                self.sim.founded = found
        elif self.sim.founded is not None and node.log.last_index and self.name == self.sim.names[0]:
            for name in self.sim.names[1:]:
                if not self.sim.hosts[name].disk.cluster:
                    self.sim.post(self.name, name, self.sim.founded)
        step = self.roster.next_change(now, node)
        if step is not None:
            self.do(self.replica.step(now, step))
        self.sim.at(self.sim.now + 100_000, self._beat, life)

    def hear(self, message: Any) -> None:
        """A message has come; a process that stands still reads it later."""
        if self.replica is None:
            return
        if self.sim.now < self.paused_until:
            self.sim.at(self.paused_until + 1, self._hear_late, self.life, message)
            return
        if isinstance(message, Hello):
            self.roster.on_hello(self.now(), message)
        elif isinstance(message, Founding):
            if self.roster.accepts_founding(message, self.replica.node):
                self.do(self.replica.node.found_cluster(self.now(), message.cluster, message.members))
        else:
            self.do(self.replica.step(self.now(), ev.MessageReceived(message)))

    def _hear_late(self, life: int, message: Any) -> None:
        if life == self.life:
            self.hear(message)

    def tick(self, life: int) -> None:
        """Its timer."""
        if life != self.life or self.replica is None:
            return
        if self.sim.now < self.paused_until:
            self.sim.at(self.paused_until, self.tick, life)
            return
        self.wake_us = NEVER_US
        self.do(self.replica.step(self.now(), ev.Tick()))

    def do(self, effects: list[Any]) -> None:
        """Perform effects."""
        sim = self.sim
        for effect in effects:
            if isinstance(effect, ev.SendMessage):
                sim.post(self.name, effect.message.to.name, effect.message)
            elif isinstance(effect, ev.Persist):
                self.disk.waiting.append(effect)
                took = int(self.disk.late_us * sim.random.uniform(0.5, 1.5))
                sim.at(sim.now + took, self._synced, self.life, effect, took)
            elif isinstance(effect, EntryApplied):
                sim.applied(self.name, effect)
            elif isinstance(effect, (CallCompleted, ReadCompleted, CallExpired)):
                sim.answered(self, effect)
            elif isinstance(effect, ev.LogLine):
                sim.noted(self.name, effect)
        if self.replica is not None:
            due = self.replica.next_tick_us
            if due < self.wake_us:
                self.wake_us = due
                sim.at(max(sim.now, self.real(due)), self.tick, self.life)

    def _synced(self, life: int, work: ev.Persist, took: int) -> None:
        if life != self.life or self.replica is None:
            return
        if self.sim.now < self.paused_until:
            self.sim.at(self.paused_until, self._synced, life, work, took)
            return
        if self.disk.fails:
            self.do(self.replica.step(self.now(), ev.SyncFailed()))
            return
        while self.disk.waiting and self.disk.waiting[0].number <= work.number:
            self.disk.write(self.disk.waiting.pop(0))
        self.do(self.replica.step(self.now(), ev.Synced(work.number, took)))


@dataclass
class Verdict:
    """What a run showed."""

    broken: list[str] = field(default_factory=list)
    operations: int = 0
    answered: int = 0
    elections: int = 0
    leaderless_us: int = 0  # the longest time without a leader that a majority could reach
    faults: list[str] = field(default_factory=list)


class Cluster:
    """A run: events by their time, links between hosts, and what the checkers keep."""

    def __init__(
        self,
        seed: int,
        size: int = 5,
        tuning: Tuning | None = None,
        node_class: type[Node] = Node,
        seeded_bug: str = "",
        keep: int = 40,
    ) -> None:
        self.random = Random(seed)
        self.tuning, self.keep = tuning or Tuning(), keep
        self.node_class, self.seeded_bug = node_class, seeded_bug
        self.now = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._made = 0
        self.lost, self.doubled = 0.0, 0.02
        self.late = (300, 8_000)
        self.cut: set[tuple[str, str]] = set()
        self.founded: Founding | None = None
        self.names = [chr(ord("a") + place) for place in range(size)]
        self.hosts: dict[str, Host] = {}
        for name in self.names:
            rate = self.random.uniform(0.99, 1.01)
            self.hosts[name] = Host(self, name, rate, self.random.randrange(10**9))
        self.verdict = Verdict()
        self._digests: dict[int, int] = {}
        self._leaders: dict[int, str] = {}
        self.history: list[Operation] = []
        self._open: dict[int, tuple[str, str, str, int, Host, int, Callable[[], None]]] = {}
        self.values = 0

    # --- time and links -------------------------------------------------------------------------------

    def at(self, when: int, act: Callable[..., None], *args: Any) -> None:
        """Do this then."""
        self._made += 1
        heappush(self._events, (max(when, self.now), self._made, act, args))

    def run(self, until: int) -> None:
        """Play on to this moment."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act, args = heappop(self._events)
            act(*args)
        self.now = until

    def post(self, a: str, b: str, message: Message | Hello | Founding) -> None:
        """Over the link from a to b."""
        if (a, b) in self.cut or b not in self.hosts or self.random.random() < self.lost:
            return
        for _ in range(1 + (self.random.random() < self.doubled)):
            self.at(self.now + self.random.randint(*self.late), self.hosts[b].hear, message)

    # --- checkers ----------------------------------------------------------------------------------

    def applied(self, name: str, effect: EntryApplied) -> None:
        """A member's state at an index: the same at all members."""
        was = self._digests.setdefault(effect.index, effect.digest)
        if was != effect.digest:
            self.verdict.broken.append(f"{name}: another state at index {effect.index}")

    def noted(self, name: str, effect: ev.LogLine) -> None:
        """One leader a term; nobody finds an invariant broken."""
        if effect.event == "leads":
            self.verdict.elections += 1
            if self._leaders.setdefault(effect.term, name) != name:
                self.verdict.broken.append(
                    f"term {effect.term}: {self._leaders[effect.term]} and {name} lead"
                )
        elif effect.event == "broken":
            self.verdict.broken.append(f"{name}: {effect.detail}")

    def answered(self, host: Host, effect: CallCompleted | ReadCompleted | CallExpired) -> None:
        """A client's call is over."""
        row = self._open.pop(effect.number, None)
        if row is None:
            return
        what, key, value, began, _, _, then = row
        if isinstance(effect, ReadCompleted):
            assert host.replica is not None and isinstance(host.replica.machine, Registers)
            value = host.replica.machine.values.get(key, "")
        if isinstance(effect, CallExpired):
            self.history.append(Operation(what, key, value, began))  # type: ignore[arg-type]
        else:
            self.verdict.answered += 1
            done = not isinstance(effect, CallCompleted) or effect.answer == b"yes"
            self.history.append(Operation(what, key, value, began, self.now, done))  # type: ignore[arg-type]
        then()

    def client(self, key: str, until: int) -> None:
        """One client: a call, its answer or its end of patience, a pause, and so on."""

        def next_call() -> None:
            if self.now < until:
                self.at(self.now + self.random.randint(10_000, 150_000), call)

        def call() -> None:
            up = [h for h in self.hosts.values() if h.replica is not None and self.now >= h.paused_until]
            if not up:
                next_call()
                return
            host = self.random.choice(up)
            assert host.replica is not None
            self.values += 1
            self.verdict.operations += 1
            number, what = self.values, self.random.choice(("put", "get", "get", "swap"))
            value = f"v{number}"
            if what == "swap":
                value = f"v{max(1, number - self.random.randint(1, 8))}>{value}"
            limit = host.now() + 2 * SECOND
            life = host.life
            self._open[number] = (what, key, value, self.now, host, life, next_call)
            self.at(self.now + 2 * SECOND + 100_000, lost, number)
            if what == "get":
                host.do(host.replica.query(host.now(), number, limit))
            else:
                data = f"{what}\n{key}\n{value}".encode()
                host.do(host.replica.call(host.now(), number, f"client-{key}-{number}", 1, data, limit))

        def lost(number: int) -> None:
            """Its member was killed: nobody will say."""
            if number in self._open:
                row = self._open.pop(number)
                self.history.append(Operation(row[0], row[1], row[2], row[3]))  # type: ignore[arg-type]
                next_call()

        next_call()

    def leader(self) -> Host | None:
        """A leader that a majority can reach both ways, if there is one."""
        for host in self.hosts.values():
            if host.replica is None or not host.replica.node.is_leader or self.now < host.paused_until:
                continue
            near = 1
            for name, other in self.hosts.items():
                ends = {(host.name, name), (name, host.name)} & self.cut
                near += name != host.name and other.replica is not None and not ends
            if near >= len(self.hosts) // 2 + 1:
                return host
        return None

    def check_history(self) -> Verdict:
        """After the run: histories too."""
        for key in non_linearizable(self.history):
            self.verdict.broken.append(f"register {key}: its history can't have happened")
        return self.verdict

    # --- faults ---------------------------------------------------------------------------------------

    def fault(self, what: str, host: Host, other: Host, for_us: int) -> None:
        """One fault, which ends by itself."""
        self.verdict.faults.append(what)

        def back() -> None:
            if host.replica is None:
                host.start()

        if what == "kill" and host.replica is not None:
            host.kill(self.random)
            self.at(self.now + for_us, back)
        elif what == "lose-disk" and host.replica is not None:
            host.kill(self.random)
            host.disk = host.new_disk()
            self.at(self.now + for_us, back)
        elif what == "kill-all":
            for each in self.hosts.values():
                if each.replica is not None:
                    each.kill(self.random)
                    self.at(self.now + self.random.randint(1, for_us), self._start, each)
        elif what == "pause":
            host.paused_until = self.now + for_us
        elif what == "one-way":
            self.cut.add((host.name, other.name))
            self.at(self.now + for_us, self.cut.discard, (host.name, other.name))
        elif what == "apart":
            side = set(self.random.sample(self.names, self.random.randint(1, len(self.names) // 2)))
            ways = {(a, b) for a in self.names for b in self.names if (a in side) != (b in side)}
            self.cut |= ways
            self.at(self.now + for_us, self.cut.difference_update, ways)
        elif what == "slow-disk":
            host.disk.late_us = 500_000
            self.at(self.now + for_us, setattr, host.disk, "late_us", 500)
        elif what == "sync-fails":
            host.disk.fails = True

            def mended() -> None:
                host.disk.fails = False
                if host.replica is not None and host.replica.node.role == "halted":
                    host.kill(self.random)
                back()

            self.at(self.now + for_us, mended)
        elif what == "loss":
            self.lost = self.random.choice((0.0, 0.1, 0.3))

    def _start(self, host: Host) -> None:
        if host.replica is None:
            host.start()


FAULTS = (
    "kill",
    "kill",
    "lose-disk",
    "kill-all",
    "pause",
    "one-way",
    "apart",
    "slow-disk",
    "sync-fails",
    "loss",
)


def run_simulation(
    seed: int,
    size: int = 5,
    seconds: float = 12.0,
    node_class: type[Node] = Node,
    seeded_bug: str = "",
    faults: tuple[str, ...] = FAULTS,
) -> Verdict:
    """A drawn run under clients; at its end all is healed, and must agree and serve."""
    sim = Cluster(seed, size, node_class=node_class, seeded_bug=seeded_bug)
    for host in sim.hosts.values():
        sim.at(sim.random.randint(0, 300_000), sim._start, host)
    end = int(seconds * SECOND)
    for place in range(3):
        sim.at(SECOND, sim.client, f"k{place}", end + 2 * SECOND)
    at = 2 * SECOND
    lost_disk_until = 0
    while at < end:
        what = sim.random.choice(faults)
        a, b = sim.random.sample([*sim.hosts.values()] * 2, 2)
        for_us = sim.random.randint(100_000, 2 * SECOND)
        if what == "lose-disk":
            if at < lost_disk_until:
                what = "kill"  # a second disk at once with other faults may be more than a minority
            lost_disk_until = at + 10 * SECOND
        sim.at(at, sim.fault, what, a, b, for_us)
        at += sim.random.randint(200_000, 1_500_000)
    sim.run(end)
    sim.cut.clear()
    sim.lost = 0.0
    sim.run(end + 6 * SECOND)
    last: list[str] = []
    led = sim.leader()
    if led is None:
        sim.verdict.broken.append("no leader 6 s after all was healed")
    else:
        assert led.replica is not None
        sim.values += 1
        sim._open[sim.values] = ("put", "last", "x", sim.now, led, led.life, lambda: last.append("done"))
        led.do(led.replica.call(led.now(), sim.values, "last", 1, b"put\nlast\nx", led.now() + 3 * SECOND))
        sim.run(sim.now + 3 * SECOND)
        if not last:
            sim.verdict.broken.append("a call is not answered after all was healed")
        behind = [
            h.name for h in sim.hosts.values()
            if h.replica is None or h.replica.applied < led.replica.node.commit_index
        ]  # fmt: skip
        if behind:
            sim.verdict.broken.append(f"{', '.join(behind)} did not catch up")
        voters = sorted(m.name for m in led.replica.node.members.voters)
        if voters != sim.names:
            sim.verdict.broken.append(f"voters are {', '.join(voters)} in the end")
    return sim.check_history()
