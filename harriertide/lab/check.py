"""A search through the states of three members, and many simulated runs of five: what agreement promises.

Usage: check [--states N] [--seeds N] [--first SEED] [--processes N] [--short]

The search takes every order of messages, with losses, doubling, elections, crashes with and without the disk
and changes of members, to a depth, and checks each invariant of harriertide/consensus/node.py in each state.
Members with a seeded bug must be found, and the way there is printed. Then the simulated runs: histories of
clients must be linearizable. Exits with 1 where anything is broken, or a seeded bug is not found.

Options:
  --states N     the most states of each search [default: 400000]
  --seeds N      simulated runs [default: 2000]
  --first SEED   of the first simulated run [default: 0]
  --processes N  at once; 0: one a core [default: 0]
  --short        20000 states and 60 simulated runs
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter, deque
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any

import msgspec
from docopt import docopt

from harriertide.consensus import events as ev
from harriertide.consensus.events import Tuning
from harriertide.consensus.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    Member,
    Membership,
    Message,
    encode_membership,
)
from harriertide.consensus.node import Node
from harriertide.consensus.roles import InvariantViolationError
from harriertide.consensus.state import RaftState
from harriertide.decide.settings import SettingsError
from harriertide.lab.raft_simulation.run import run_simulation
from harriertide.lab.raft_simulation.verdict import Verdict
from harriertide.lab.seeded_bugs import SEEDED_BUGS

NAMES = ("a", "b", "c")
TUNING = Tuning(heartbeat_us=0, election_timeout_us=0, max_election_timeout_us=0, batch_entries=1)
Action = tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Disk:
    """What is on it."""

    id: str
    cluster: str = ""
    term: int = 0
    vote: Member | None = None
    entries: tuple[Entry, ...] = ()

    def write(self, work: ev.Persist) -> Disk:
        """With one write more."""
        kept = tuple(e for e in self.entries if not work.truncate_from or e.index < work.truncate_from)
        return Disk(self.id, work.cluster, work.term, work.voted_for, kept + work.entries)


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each thing may still happen."""

    elections: int = 2
    beats: int = 1
    proposals: int = 2
    crashes: int = 1
    losses: int = 0  # of a disk
    doubles: int = 1
    changes: int = 0


@dataclass(slots=True)
class State:
    """Of everything. net: messages on their way and how often each may still arrive."""

    nodes: dict[str, RaftState]
    disks: dict[str, Disk]
    net: dict[Message, int]
    budget: Budget
    leaders: dict[int, Member] = field(default_factory=dict)  # by term, all that ever were
    agreed: dict[int, tuple[int, int, bytes]] = field(default_factory=dict)  # index: term, agreed in, data

    def key(self) -> int:
        """The same for states that can't be told apart."""
        rows = tuple(_look(self.nodes[name]) for name in NAMES)
        net = frozenset(self.net.items())
        return hash((rows, net, self.budget, frozenset(self.agreed.items()), tuple(self.disks.values())))


def _look(state: RaftState) -> tuple[Any, ...]:
    """All of a node that decides what it does, less its clocks and counters."""
    progress = tuple(
        (m, p.next_index, p.match_index, p.probing, p.probe_sent, tuple(p.inflight))
        for m, p in sorted(state.leadership.progress.items())
    )
    return (
        state.me, state.role, state.term, state.voted_for, state.leader, state.campaign.phase,
        state.campaign.term, tuple(sorted(state.campaign.votes.items())), state.commit_index,
        state.durable_index, tuple(state.log.entries), progress, state.campaign.by_transfer,
        state.leadership.term_start_index,
    )  # fmt: skip


class Search:
    """Breadth first, from one state."""

    def __init__(self, same_disk: bool = False) -> None:
        self.node_class, self._same_disk = Node, same_disk
        self.states = self.depth = 0

    # --- making states --------------------------------------------------------------------------------

    def _boot(self, disk: Disk, name: str) -> RaftState:
        found = ev.RestoredState(disk.cluster, disk.term, disk.vote, None, disk.entries)
        return RaftState.restore(Member(name, disk.id), TUNING, found, Random(0), 0)

    def first(self, budget: Budget) -> State:
        """Founded: the list of members is entry 1 everywhere."""
        members = Membership(tuple(Member(name, name + "1") for name in NAMES))
        entry = Entry(1, 1, "members", encode_membership(members))
        disks = {name: Disk(name + "1", "c", 1, None, (entry,)) for name in NAMES}
        return State({name: self._boot(disk, name) for name, disk in disks.items()}, disks, {}, budget)

    def actions(self, state: State) -> Iterator[Action]:
        """All that can happen next."""
        left = state.budget
        for name, node in state.nodes.items():
            if node.is_leader:
                if left.proposals:
                    yield ("propose", name)
                if left.beats:
                    yield ("beat", name)
                if left.changes:
                    for member in node.members.voters:
                        if member != node.me:
                            yield ("remove", name, member)
            elif left.elections and node.me in node.members.voters:
                yield ("elapse", name)
            if left.crashes:
                yield ("crash", name)
            if left.losses:
                yield ("lose-disk", name)
        for message in state.net:
            yield ("deliver", message)
            if left.doubles:
                yield ("deliver, and once more later", message)
            if left.crashes:
                yield ("deliver, and crash before the sync", message)

    def act(self, state: State, action: Action) -> tuple[State, list[str]]:
        """The next state, and what is broken there."""
        what, left = action[0], state.budget
        new = State(
            dict(state.nodes),
            dict(state.disks),
            dict(state.net),
            left,
            dict(state.leaders),
            dict(state.agreed),
        )
        message: Message | None = None
        name = action[1] if isinstance(action[1], str) else action[1].to.name
        event: ev.Event | None = None
        crash = what == "crash" or what == "lose-disk"
        if what == "elapse":
            new.budget, event = replace(left, elections=left.elections - 1), ev.ElectionTimedOut()
        elif what == "beat":
            new.budget, event = replace(left, beats=left.beats - 1), ev.Tick()
        elif what == "propose":
            new.budget = replace(left, proposals=left.proposals - 1)
            event = ev.Proposed("client", left.proposals, b"%d" % left.proposals)
        elif what == "remove":
            new.budget, event = (
                replace(left, changes=left.changes - 1),
                ev.ChangeMembership("remove", action[2]),
            )
        elif what == "crash":
            new.budget = replace(left, crashes=left.crashes - 1)
        elif what == "lose-disk":
            new.budget = replace(left, losses=left.losses - 1)
            old = new.disks[name]
            new.disks[name] = Disk(old.id if self._same_disk else old.id[0] + str(int(old.id[1:]) + 1))
        else:
            message = action[1]
            event = ev.MessageReceived(message)
            if what == "deliver, and once more later":
                new.budget = replace(left, doubles=left.doubles - 1)
            else:
                del new.net[message]
                if what != "deliver":
                    new.budget, crash = replace(left, crashes=left.crashes - 1), True
        broken: list[str] = []
        if event is not None:
            changed = new.nodes[name] = state.nodes[name].copy()
            broken = self._step(new, self.node_class(changed), event, sync=not crash)
        if crash:
            new.nodes[name] = self._boot(new.disks[name], name)
        return new, broken or self._wrong(state, new)

    def _step(self, state: State, node: Node, event: ev.Event, sync: bool) -> list[str]:
        todo: deque[ev.Event] = deque([event])
        while todo:
            try:
                effects = node.step(0, todo.popleft())
            except InvariantViolationError as fault:
                return [str(fault)]
            for effect in effects:
                if isinstance(effect, ev.SendMessage):
                    message = effect.message
                    if isinstance(message, (AppendRequest, AppendResponse)) and message.heartbeat_round:
                        message = msgspec.structs.replace(message, heartbeat_round=1)
                    state.net[message] = 1
                elif isinstance(effect, ev.Persist) and sync:
                    state.disks[node.me.name] = state.disks[node.me.name].write(effect)
                    todo.append(ev.Synced(effect.number))
                elif isinstance(effect, ev.Committed):
                    for entry in effect.entries:
                        was = state.agreed.setdefault(entry.index, (entry.term, node.term, entry.data))
                        if (was[0], was[2]) != (entry.term, entry.data):
                            return [
                                f"COMPLETE: {node.me.name} has another entry {entry.index} than was agreed on"
                            ]
                    if node.is_leader and effect.entries[-1].term != node.term:
                        return [f"COMMIT: {node.me.name} agrees on entry {effect.entries[-1].index} by count"]
        return []

    # --- what must hold -------------------------------------------------------------------------------

    def _wrong(self, old: State, new: State) -> list[str]:
        for name, node in new.nodes.items():
            if not node.is_leader:
                continue
            if new.leaders.setdefault(node.term, node.me) != node.me:
                return [f"ELECTION: {new.leaders[node.term].name} and {name} lead term {node.term}"]
            for index, (term, agreed_in, _) in new.agreed.items():
                if node.term > agreed_in and node.log.term_at(index) != term:
                    return [f"COMPLETE: {name} leads term {node.term} without entry {index}"]
            was = old.nodes[name]
            if was.is_leader and was.term == node.term:
                length = len(was.log.entries)
                if node.log.entries[:length] != was.log.entries:
                    return [f"APPEND: {name} changed its log as leader"]
        logs = [node.log.entries for node in new.nodes.values()]
        for place, one in enumerate(logs):
            for other in logs[place + 1 :]:
                for i in range(min(len(one), len(other)) - 1, -1, -1):
                    if one[i].term == other[i].term:
                        if one[: i + 1] != other[: i + 1]:
                            return [f"MATCH: two logs differ up to entry {i + 1}"]
                        break
        return []

    # --- the search -----------------------------------------------------------------------------------

    def run(self, start: State, most: int, depth: int) -> list[str]:
        """Empty, or what is broken and the shortest way there, in plain words."""
        ways: dict[int, tuple[int, Action | None]] = {start.key(): (0, None)}
        todo: deque[tuple[State, int, int]] = deque([(start, 0, start.key())])
        self.states, self.depth = 1, 0
        while todo:
            state, at, key = todo.popleft()
            if at >= depth or self.states >= most:
                continue
            for action in self.actions(state):
                new, broken = self.act(state, action)
                if broken:
                    return [*broken, *self._way(ways, key, action)]
                found = new.key()
                if found not in ways:
                    ways[found] = (key, action)
                    self.states += 1
                    self.depth = at + 1
                    todo.append((new, at + 1, found))
        return []

    def _way(self, ways: dict[int, tuple[int, Action | None]], key: int, last: Action) -> list[str]:
        rows = [_say(last)]
        while True:
            key, action = ways[key]
            if action is None:
                return rows[::-1]
            rows.append(_say(action))

    def follow(self, state: State, *rows: Action) -> State:
        """A way to a later start. ("settle", names): deliver all between these until nothing is on its way;
        ("pass", kind, a, b): deliver that from a to b; ("drop",): lose all that is on its way."""
        for row in rows:
            if row[0] == "drop":
                state.net = {}
                continue
            if row[0] in ("settle", "pass"):
                many, fit = row[0] == "settle", self._fit(state, row)
                while fit:
                    state, broken = self.act(state, ("deliver", fit[0]))
                    assert not broken, broken
                    fit = self._fit(state, row) if many else []
                continue
            state, broken = self.act(state, row)
            assert not broken, broken
        return state

    @staticmethod
    def _fit(state: State, row: Action) -> list[Message]:
        if row[0] == "settle":
            return [m for m in state.net if m.to.name in row[1] and m.sender.name in row[1]]
        names = (row[1], row[2], row[3])
        return [m for m in state.net if (type(m).__name__, m.sender.name, m.to.name) == names]


def _say(action: Action) -> str:
    what, subject = action[0], action[1]
    if isinstance(subject, str):
        more = f" {action[2].name}" if len(action) > 2 else ""
        return f"  {subject}: {what}{more}"
    kind = type(subject).__name__
    fields = f"term {subject.term}"
    if isinstance(subject, AppendRequest):
        fields += f", behind {subject.prev_index}, {len(subject.entries)} entries"
    return f"  {what}: {kind} from {subject.sender.name} to {subject.to.name} ({fields})"


LOTS = Budget(elections=9, beats=9, proposals=9, crashes=9, losses=9, doubles=9, changes=9)


_LEADS: tuple[Action, ...] = (("elapse", "a"), ("settle", "abc"))
_STANDS: tuple[Action, ...] = (
    ("elapse", "a"), ("elapse", "b"), ("pass", "VoteRequest", "a", "c"), ("pass", "VoteRequest", "b", "c"),
    ("pass", "VoteResponse", "c", "a"), ("pass", "VoteResponse", "c", "b"),
)  # fmt: skip
_SHORT: tuple[Action, ...] = (
    ("elapse", "a"), ("settle", "abc"), ("propose", "a"), ("drop",),
    ("elapse", "b"), ("settle", "bc"), ("drop",),
)  # fmt: skip
_TWO: tuple[Action, ...] = (("elapse", "a"), ("settle", "ab"), ("propose", "a"), ("settle", "ab"), ("drop",))
# start by a way, what may still happen, and to which depth
SEARCHES: dict[str, tuple[tuple[Action, ...], Budget, int]] = {
    "from the founding": ((), Budget(2, 1, 1, 1, 0, 1), 14),
    "a leader and two proposals": (_LEADS, Budget(1, 1, 2, 1, 0, 1), 14),
    "two that stand at once": (_STANDS, Budget(0, 0, 1, 1, 0, 0), 14),
    "an entry of an earlier term": (_SHORT, Budget(1, 1, 0, 0, 0, 0), 16),
    "an entry of an earlier term, a crash": (_SHORT, Budget(1, 1, 0, 1, 0, 1), 14),
    "two changes of members": ((*_LEADS, ("drop",)), Budget(1, 0, 1, 0, 0, 0, 2), 14),
    "a change of members, a crash": ((*_LEADS, ("drop",)), Budget(2, 1, 1, 1, 0, 0, 1), 14),
    "a disk is lost": (_TWO, Budget(1, 0, 0, 0, 1, 1), 16),
    "a disk is lost, a crash": (_TWO, Budget(1, 1, 1, 1, 1, 0), 14),
}
# where a seeded bug shows soonest
SEEDED_BUG_SEARCHES = {
    "vote-not-synced": "two that stand at once",
    "earlier-term-by-count": "an entry of an earlier term",
    "two-majorities": "two changes of members",
    "empty-disk-votes": "a disk is lost",
}


def search(name: str, most: int, seeded_bug: str = "") -> tuple[Search, list[str]]:
    """One of SEARCHES, of members as they are or with a seeded bug: what was looked at and found."""
    rows, budget, depth = SEARCHES[name]
    made = Search(same_disk=seeded_bug == "empty-disk-votes")
    start = made.follow(made.first(LOTS), *rows)
    start.budget = budget
    made.node_class = SEEDED_BUGS.get(seeded_bug, Node)
    return made, made.run(start, most, depth)


def _search(most: int, row: tuple[str, str]) -> tuple[int, int, float, list[str]]:
    begun = time.monotonic()
    made, found = search(row[0], most, row[1])
    return made.states, made.depth, time.monotonic() - begun, found


def _simulate(seeded_bug: str, seed: int) -> tuple[int, Verdict]:
    return seed, run_simulation(seed, node_class=SEEDED_BUGS.get(seeded_bug, Node), seeded_bug=seeded_bug)


def run_simulations(first: int, number: int, processes: int) -> tuple[Counter[str], list[str]]:
    """Sums, and what was broken by seed."""
    sums: Counter[str] = Counter()
    broken: list[str] = []
    with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
        for seed, verdict in pool.map(partial(_simulate, ""), range(first, first + number), chunksize=4):
            sums.update(
                runs=1, calls=verdict.operations, answered=verdict.answered, elections=verdict.elections,
                faults=len(verdict.faults),
            )  # fmt: skip
            broken += [f"seed {seed}: {row}" for row in verdict.broken]
    return sums, broken


def main(arguments: list[str]) -> int:
    """Print what was looked at and what was found."""
    given = docopt(__doc__ or "", arguments)
    try:
        most, seeds, first = int(given["--states"]), int(given["--seeds"]), int(given["--first"])
        processes = int(given["--processes"])
    except ValueError as fault:
        raise SettingsError(f"consensus-check: {fault}") from None
    if given["--short"]:
        most, seeds = 20_000, 60
    failed = False
    rows = [(name, "") for name in SEARCHES] + [
        (name, seeded_bug) for seeded_bug, name in SEEDED_BUG_SEARCHES.items()
    ]
    with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
        for (name, seeded_bug), (states, depth, took, found) in zip(
            rows, pool.map(partial(_search, most), rows), strict=True
        ):
            failed = failed or bool(found) != bool(seeded_bug)
            end = "all" if states < most else "the first"
            print(f"search   {name}" + (f", seeded bug {seeded_bug}" if seeded_bug else ""))
            said = (
                "\n".join(["         " + row for row in found]) if found else "         every invariant holds"
            )
            print(f"         {end} {states} states to depth {depth}, {took:.0f} s\n{said}", flush=True)
    sums, broken = run_simulations(first, seeds, processes)
    print("runs     " + ", ".join(f"{count} {name}" for name, count in sums.items()))
    print("\n".join(broken[:20]) if broken else "runs     every history is linearizable, all members agree")
    return int(failed or bool(broken))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
