"""A member with its state machine: proposals and reads from any member, each with its effect once. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Protocol

import xxhash
from msgspec import msgpack

from harriertide.consensus import events as ev
from harriertide.consensus.events import Tuning
from harriertide.consensus.messages import (
    Entry,
    Member,
    Message,
    Proposal,
    ReadIndexRequest,
    ReadIndexResponse,
)
from harriertide.consensus.node import InvariantViolationError, Node
from harriertide.consensus.sessions import Sessions

RETRY_INTERVAL_US = (
    250_000  # a proposal or read that is not answered goes out again, perhaps to another leader
)
KEEP = 1024  # entries behind the last snapshot before the next is made
KEEP_SLOW = 4  # times as many, for the sake of members that are behind


class StateMachine(Protocol):
    """What is agreed on. apply must depend on nothing but the state and its arguments."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Take a command; its answer."""

    def dump(self) -> bytes:
        """All of the state."""

    def load(self, data: bytes) -> None:
        """In place of the state."""


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A call's command is agreed on, and this is its answer."""

    number: int
    index: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class ReadCompleted:
    """The state may be read: it holds all that was agreed on when the question came."""

    number: int


@dataclass(frozen=True, slots=True)
class CallExpired:
    """Its time is over. A command may still be agreed on later."""

    number: int


@dataclass(frozen=True, slots=True)
class EntryApplied:
    """For judges: the state's chain of hashes at an index."""

    index: int
    digest: int
    fresh: bool  # False: a repeated command, without effect


Effect = ev.Effect | CallCompleted | ReadCompleted | CallExpired | EntryApplied


@dataclass(slots=True)
class _Call:
    client: str
    serial: int
    data: bytes
    deadline_at_us: int
    again_us: int = 0
    to: Member | None = None


@dataclass(slots=True)
class _Query:
    deadline_at_us: int
    again_us: int = 0
    to: Member | None = None
    index: int = -1  # known by now: right once this is applied


class AppliedState:
    """A state machine with its sessions, and the chain of hashes of what it took."""

    def __init__(self, machine: StateMachine) -> None:
        self.machine, self.sessions = machine, Sessions()
        self.applied = self.digest = 0

    def apply(self, entry: Entry) -> tuple[bytes, bool]:
        """The next entry: the answer to it, and whether it had an effect now."""
        self.applied = entry.index
        answer, fresh = b"", False
        if entry.kind == "command":
            answer, fresh = self.sessions.once(
                entry.client, entry.serial, lambda: self.machine.apply(entry.index, entry.data)
            )
        said = b"%d %d %d " % (self.digest, entry.index, entry.term) + entry.data
        self.digest = xxhash.xxh3_64_intdigest(said)
        return answer, fresh

    def dump(self) -> bytes:
        """All of it, as a snapshot carries it."""
        return msgpack.encode((self.digest, self.sessions.dump(), self.machine.dump()))

    def load(self, index: int, data: bytes) -> None:
        """In place of what is here."""
        self.digest, sessions, state = msgpack.decode(data, type=tuple[int, bytes, bytes])
        self.sessions.load(sessions)
        self.machine.load(state)
        self.applied = index


class Replica:
    """Node, sessions and machine as one state."""

    def __init__(
        self,
        me: Member,
        machine: StateMachine,
        tuning: Tuning,
        found: ev.RestoredState,
        random: Random,
        now_us: int,
        keep: int = KEEP,
    ) -> None:
        self.node = Node(me, tuning, found, random, now_us)
        self.applied_state, self.broken = AppliedState(machine), ""
        self.machine, self.sessions = machine, self.applied_state.sessions
        self._keep = keep
        self._calls: dict[int, _Call] = {}
        self._queries: dict[int, _Query] = {}
        self._asked: dict[int, tuple[Member, int]] = {}  # reads of others, as leader
        self._own: dict[int, int] = {}  # reads of this member, as leader: to the query's number
        self._numbers = 0
        self._appended: dict[tuple[str, int], int] = {}  # as leader: proposals in the log, and their index
        self._out: list[Effect] = []
        if found.snapshot is not None:
            self.applied_state.load(found.snapshot.index, found.snapshot.data)

    @property
    def applied(self) -> int:
        """The index of the last entry that the state holds."""
        return self.applied_state.applied

    @property
    def digest(self) -> int:
        """Of the state's chain of hashes."""
        return self.applied_state.digest

    @property
    def next_tick_us(self) -> int:
        """When it wants a Tick."""
        due = self.node.next_tick_us
        rows: list[_Call | _Query] = [*self._calls.values(), *self._queries.values()]
        for row in rows:
            due = min(due, row.deadline_at_us, row.again_us)
        return due

    # --- the way in -----------------------------------------------------------------------------------

    def step(self, now_us: int, event: ev.Event) -> list[Effect]:
        """Take an event of the node's."""
        self._out = []
        try:
            if isinstance(event, ev.MessageReceived) and isinstance(
                event.message, (Proposal, ReadIndexRequest, ReadIndexResponse)
            ):
                self._hear(now_us, event.message)
            else:
                self._do(now_us, self.node.step(now_us, event))
            self._again(now_us)
        except InvariantViolationError as fault:
            self._break(now_us, str(fault))
        return self._out

    def call(
        self, now_us: int, number: int, client: str, serial: int, data: bytes, deadline_at_us: int
    ) -> list[Effect]:
        """Agree on a command. client and serial: the same for each try of one command, and of no other."""
        self._out = []
        known = self.sessions.find(client, serial)
        if known is not None:
            return [CallCompleted(number, self.applied, known)]
        self._calls[number] = _Call(client, serial, data, deadline_at_us)
        self._again(now_us)
        return self._out

    def query(self, now_us: int, number: int, deadline_at_us: int) -> list[Effect]:
        """Ask when the state may be read."""
        self._out = []
        self._queries[number] = _Query(deadline_at_us)
        self._again(now_us)
        return self._out

    def _break(self, now_us: int, why: str) -> None:
        self.broken = why
        self._do(now_us, self.node.step(now_us, ev.SyncFailed()))
        self.node.role = "halted"
        self._out.append(ev.LogLine("broken", self.node.term, why))

    # --- proposals and reads --------------------------------------------------------------------------

    def _hear(self, now_us: int, message: Message) -> None:
        node = self.node
        if message.to != node.me or message.cluster != node.cluster:
            return
        if isinstance(message, Proposal):
            self._propose(now_us, message.client, message.serial, message.data)
        elif isinstance(message, ReadIndexRequest) and node.is_leader:
            self._numbers += 1
            self._asked[self._numbers] = (message.sender, message.number)
            self._do(now_us, node.step(now_us, ev.ReadRequested(self._numbers)))
        elif isinstance(message, ReadIndexResponse) and message.number in self._queries:
            self._queries[message.number].index = message.index
            self._readable()

    def _propose(self, now_us: int, client: str, serial: int, data: bytes) -> None:
        """As leader: append it, unless it is in the log or has had its effect."""
        name = (client, serial)
        if (
            not self.node.is_leader
            or name in self._appended
            or self.sessions.find(client, serial) is not None
        ):
            return
        index = self.node.log.last_index + 1
        self._do(now_us, self.node.step(now_us, ev.Proposed(client, serial, data)))
        if self.node.log.last_index >= index:
            self._appended[name] = index

    def _again(self, now_us: int) -> None:
        """Send on what waits: to a leader that is new, and again after a while."""
        node, leader = self.node, self.node.leader
        rows: dict[int, _Call | _Query] = {**self._calls, **self._queries}
        for number in [n for n, row in rows.items() if row.deadline_at_us <= now_us]:
            self._calls.pop(number, None)
            self._queries.pop(number, None)
            self._out.append(CallExpired(number))
        for call in list(self._calls.values()):
            if leader is None or (call.to == leader and now_us < call.again_us):
                call.again_us = (
                    max(call.again_us, now_us + RETRY_INTERVAL_US) if leader is None else call.again_us
                )
                continue
            call.to, call.again_us = leader, now_us + RETRY_INTERVAL_US
            if node.is_leader:
                self._propose(now_us, call.client, call.serial, call.data)
            else:
                message = Proposal(
                    node.cluster, node.me, leader, node.term, call.client, call.serial, call.data
                )
                self._out.append(ev.SendMessage(message))
        for number, query in list(self._queries.items()):
            if query.index >= 0 or leader is None or (query.to == leader and now_us < query.again_us):
                query.again_us = max(query.again_us, now_us + RETRY_INTERVAL_US)
                continue
            query.to, query.again_us = leader, now_us + RETRY_INTERVAL_US
            if node.is_leader:
                self._numbers += 1
                self._own[self._numbers] = number
                self._do(now_us, node.step(now_us, ev.ReadRequested(self._numbers)))
            else:
                self._out.append(
                    ev.SendMessage(ReadIndexRequest(node.cluster, node.me, leader, node.term, number))
                )

    def _readable(self) -> None:
        for number in [n for n, q in self._queries.items() if 0 <= q.index <= self.applied]:
            del self._queries[number]
            self._out.append(ReadCompleted(number))

    # --- the node's effects ---------------------------------------------------------------------------

    def _do(self, now_us: int, effects: list[ev.Effect]) -> None:
        todo = deque(effects)
        while todo:
            effect = todo.popleft()
            if isinstance(effect, ev.Committed):
                for entry in effect.entries:
                    self._apply(entry)
                self._readable()
                todo.extend(self._compact(now_us))
            elif isinstance(effect, ev.InstallSnapshot):
                self.applied_state.load(effect.snapshot.index, effect.snapshot.data)
                self._out.append(EntryApplied(self.applied, self.digest, False))
                self._finish()
                self._readable()
            elif isinstance(effect, ev.ReadConfirmed):
                self._read_ready(effect)
            elif isinstance(effect, ev.ReadAborted):
                self._asked.pop(effect.number, None)
                self._own.pop(effect.number, None)
            else:
                if isinstance(effect, ev.LogLine) and effect.event in ("leads", "follows"):
                    self._appended = {}
                self._out.append(effect)

    def _read_ready(self, effect: ev.ReadConfirmed) -> None:
        node = self.node
        if effect.number in self._asked:
            member, number = self._asked.pop(effect.number)
            answer = ReadIndexResponse(node.cluster, node.me, member, node.term, number, effect.index)
            self._out.append(ev.SendMessage(answer))
        query = self._queries.get(self._own.pop(effect.number, -1))
        if query is not None:
            query.index = effect.index
            self._readable()

    def _apply(self, entry: Entry) -> None:
        answer, fresh = self.applied_state.apply(entry)
        name = (entry.client, entry.serial)
        self._appended.pop(name, None)
        if entry.kind == "command":
            for number in [n for n, c in self._calls.items() if (c.client, c.serial) == name]:
                del self._calls[number]
                self._out.append(CallCompleted(number, entry.index, answer))
        self._out.append(EntryApplied(entry.index, self.digest, fresh))

    def _finish(self) -> None:
        """After a snapshot: calls that it holds the answers of."""
        for number, call in list(self._calls.items()):
            known = self.sessions.find(call.client, call.serial)
            if known is not None:
                del self._calls[number]
                self._out.append(CallCompleted(number, self.applied, known))

    def _compact(self, now_us: int) -> list[ev.Effect]:
        log = self.node.log
        behind = self.applied - log.base_index
        if behind < self._keep:
            return []
        near = [p.match_index for p in self.node.progress.values()]
        if near and min(near) < self.applied - self._keep // 2 and behind < KEEP_SLOW * self._keep:
            return []  # a member lacks what would go; a snapshot costs it more
        data = self.applied_state.dump()
        return self.node.step(now_us, ev.SnapshotTaken(self.applied, data, xxhash.xxh3_64_intdigest(data)))
