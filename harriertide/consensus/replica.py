"""A Raft node with its state machine: accepts calls and reads on any member and applies committed entries.

A call is sent to the leader and retried until it is answered or its deadline passes; client sessions make
sure that its command takes effect once. A read waits until the local state holds every entry that was
committed when the read was requested. The code performs no I/O: it takes events and returns effects.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

import xxhash

from harriertide.consensus import events as ev
from harriertide.consensus.applied_state import AppliedState, StateMachine
from harriertide.consensus.events import LogEvent, Tuning
from harriertide.consensus.messages import (
    Entry,
    Member,
    Proposal,
    ReadIndexRequest,
    ReadIndexResponse,
    ReplicaMessage,
)
from harriertide.consensus.node import RaftNode
from harriertide.consensus.pending_requests import ClientCall, ClientRead, PendingRequests
from harriertide.consensus.roles import InvariantViolationError

# Log entries after a snapshot before the next snapshot is taken: bounds memory use and replay at startup.
SNAPSHOT_INTERVAL_COUNT = 1024
# Number of intervals for which the log is kept for a lagging member, to whom a snapshot would cost more.
LAGGING_MEMBER_INTERVALS = 4


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """The command of a call is committed and applied with this answer."""

    number: int
    index: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class ReadCompleted:
    """The state may be read: it holds every entry that was committed when the read was requested."""

    number: int


@dataclass(frozen=True, slots=True)
class RequestExpired:
    """The deadline of a call or read has passed. The command of a call may still be committed later."""

    number: int


@dataclass(frozen=True, slots=True)
class EntryApplied:
    """The hash chain of the applied entries at an index, for the lab's checkers.

    :param took_effect: False for a repeated command, an entry without a command and an installed snapshot
    """

    index: int
    digest: int
    took_effect: bool


Effect = ev.Effect | CallCompleted | ReadCompleted | RequestExpired | EntryApplied


class Replica:
    """Raft node, sessions and state machine of one member.

    :param snapshot_interval: number of log entries after a snapshot before the next snapshot is taken
    :param node_class: replaced by the lab's seeded bugs
    """

    def __init__(
        self,
        me: Member,
        machine: StateMachine,
        tuning: Tuning,
        restored: ev.RestoredState,
        random: Random,
        now_us: int,
        snapshot_interval: int = SNAPSHOT_INTERVAL_COUNT,
        node_class: type[RaftNode] = RaftNode,
    ) -> None:
        self.node = node_class.restore(me, tuning, restored, random, now_us)
        self.applied_state = AppliedState(machine)
        self._snapshot_interval = snapshot_interval
        self._pending = PendingRequests()
        self._last_read_index_number = 0
        # As leader, by ReadIndex number: the requesting member and its read number, or the local read number.
        self._remote_reads: dict[int, tuple[Member, int]] = {}
        self._local_reads: dict[int, int] = {}
        # As leader: client and serial of the commands in the log.
        self._proposed_commands: set[tuple[str, int]] = set()
        self._effects: list[Effect] = []
        if restored.snapshot is not None:
            self.applied_state.load(restored.snapshot.index, restored.snapshot.data)

    @property
    def machine(self) -> StateMachine:
        """The state machine that commands are applied to."""
        return self.applied_state.machine

    @property
    def last_applied(self) -> int:
        """Index of the last applied entry."""
        return self.applied_state.last_applied

    @property
    def next_tick_us(self) -> int:
        """Time at which this replica needs the next Tick."""
        return self._pending.next_due_us(self.node.next_tick_us)

    # --- calls, reads and events ----------------------------------------------------------------------

    def step(self, now_us: int, event: ev.Event) -> list[Effect]:
        """Process an event of the node.

        :returns: the effects to perform, in order
        """
        self._effects = []
        try:
            if isinstance(event, ev.MessageReceived) and isinstance(event.message, ReplicaMessage):
                self._on_replica_message(now_us, event.message)
            else:
                self._step_node(now_us, event)
            self._send_pending(now_us)
        except InvariantViolationError as error:
            self._halt(now_us, str(error))
        return self._effects

    def call(
        self, now_us: int, number: int, client: str, serial: int, data: bytes, deadline_us: int
    ) -> list[Effect]:
        """Submit a command to be committed and applied.

        :param number: repeated in the CallCompleted or RequestExpired
        :param client: together with serial identifies the command across all its attempts
        :returns: the effects to perform, in order
        """
        self._effects = []
        answer = self.applied_state.sessions.find(client, serial)
        if answer is not None:
            return [CallCompleted(number, self.last_applied, answer)]
        self._pending.add_call(ClientCall(number, client, serial, data, deadline_us))
        self._send_pending(now_us)
        return self._effects

    def query(self, now_us: int, number: int, deadline_us: int) -> list[Effect]:
        """Request a linearizable read of the state.

        :param number: repeated in the ReadCompleted or RequestExpired
        :returns: the effects to perform, in order
        """
        self._effects = []
        self._pending.add_read(ClientRead(number, deadline_us))
        self._send_pending(now_us)
        return self._effects

    def _halt(self, now_us: int, reason: str) -> None:
        """Halt the node after an invariant violation: it sends and writes nothing from now on."""
        self._step_node(now_us, ev.InvariantViolated(reason))
        self._effects.append(ev.LogLine(LogEvent.INVARIANT_VIOLATED, self.node.term, reason))

    # --- messages from other replicas -----------------------------------------------------------------

    def _on_replica_message(self, now_us: int, message: ReplicaMessage) -> None:
        node = self.node
        if message.to != node.me or message.cluster != node.cluster:
            return
        if isinstance(message, Proposal):
            self._propose(now_us, message.client, message.serial, message.data)
        elif isinstance(message, ReadIndexRequest):
            if node.is_leader:
                number = self._next_read_index_number()
                self._remote_reads[number] = (message.sender, message.number)
                self._step_node(now_us, ev.ReadRequested(number))
        else:
            self._pending.set_read_index(message.number, message.index)
            self._complete_reads()

    def _propose(self, now_us: int, client: str, serial: int, data: bytes) -> None:
        """Append a command as leader, unless the command is in the log or was applied."""
        command = (client, serial)
        is_known = (
            command in self._proposed_commands or self.applied_state.sessions.find(client, serial) is not None
        )
        if not self.node.is_leader or is_known:
            return
        next_index = self.node.log.last_index + 1
        self._step_node(now_us, ev.Proposed(client, serial, data))
        if self.node.log.last_index >= next_index:
            self._proposed_commands.add(command)

    def _next_read_index_number(self) -> int:
        self._last_read_index_number += 1
        return self._last_read_index_number

    # --- pending requests -----------------------------------------------------------------------------

    def _send_pending(self, now_us: int) -> None:
        """Send pending calls and reads to a new leader, and again after the retry interval."""
        for number in self._pending.expire(now_us):
            self._effects.append(RequestExpired(number))
        for call in self._pending.start_call_attempts(now_us, self.node.leader):
            self._send_call(now_us, call)
        for read in self._pending.start_read_attempts(now_us, self.node.leader):
            self._send_read(now_us, read)

    def _send_call(self, now_us: int, call: ClientCall) -> None:
        node, leader = self.node, self.node.leader
        if node.is_leader:
            self._propose(now_us, call.client, call.serial, call.data)
        elif leader is not None:
            proposal = Proposal(node.cluster, node.me, leader, node.term, call.client, call.serial, call.data)
            self._effects.append(ev.SendMessage(proposal))

    def _send_read(self, now_us: int, read: ClientRead) -> None:
        node, leader = self.node, self.node.leader
        if node.is_leader:
            read_index_number = self._next_read_index_number()
            self._local_reads[read_index_number] = read.number
            self._step_node(now_us, ev.ReadRequested(read_index_number))
        elif leader is not None:
            request = ReadIndexRequest(node.cluster, node.me, leader, node.term, read.number)
            self._effects.append(ev.SendMessage(request))

    def _complete_reads(self) -> None:
        for number in self._pending.complete_reads(self.last_applied):
            self._effects.append(ReadCompleted(number))

    # --- effects of the node --------------------------------------------------------------------------

    def _step_node(self, now_us: int, event: ev.Event) -> None:
        """Pass an event to the node and perform those of its effects that concern the state machine."""
        effects = deque(self.node.step(now_us, event))
        while effects:
            effect = effects.popleft()
            match effect:
                case ev.Committed():
                    effects.extend(self._on_committed(now_us, effect))
                case ev.InstallSnapshot():
                    self._on_install_snapshot(effect)
                case ev.ReadConfirmed():
                    self._on_read_confirmed(effect)
                case ev.ReadAborted():
                    self._remote_reads.pop(effect.number, None)
                    self._local_reads.pop(effect.number, None)
                case _:
                    self._forget_proposals_of_other_terms(effect)
                    self._effects.append(effect)

    def _forget_proposals_of_other_terms(self, effect: ev.Effect) -> None:
        """Forget proposals when the leader changes, as the new leader may lack their entries."""
        if isinstance(effect, ev.LogLine) and effect.event in (
            LogEvent.BECAME_LEADER,
            LogEvent.LOST_LEADERSHIP,
        ):
            self._proposed_commands.clear()

    def _on_committed(self, now_us: int, effect: ev.Committed) -> list[ev.Effect]:
        for entry in effect.entries:
            self._apply(entry)
        self._complete_reads()
        return self._take_snapshot(now_us)

    def _apply(self, entry: Entry) -> None:
        answer, took_effect = self.applied_state.apply(entry)
        self._proposed_commands.discard((entry.client, entry.serial))
        if entry.kind == "command":
            for number in self._pending.complete_command(entry.client, entry.serial):
                self._effects.append(CallCompleted(number, entry.index, answer))
        self._effects.append(EntryApplied(entry.index, self.applied_state.digest, took_effect))

    def _on_install_snapshot(self, effect: ev.InstallSnapshot) -> None:
        self.applied_state.load(effect.snapshot.index, effect.snapshot.data)
        self._effects.append(EntryApplied(self.last_applied, self.applied_state.digest, False))
        for call in self._pending.calls():
            answer = self.applied_state.sessions.find(call.client, call.serial)
            if answer is not None:
                self._pending.complete_call(call)
                self._effects.append(CallCompleted(call.number, self.last_applied, answer))
        self._complete_reads()

    def _on_read_confirmed(self, effect: ev.ReadConfirmed) -> None:
        node = self.node
        remote = self._remote_reads.pop(effect.number, None)
        if remote is not None:
            member, number = remote
            response = ReadIndexResponse(node.cluster, node.me, member, node.term, number, effect.index)
            self._effects.append(ev.SendMessage(response))
        if effect.number in self._local_reads:
            self._pending.set_read_index(self._local_reads.pop(effect.number), effect.index)
            self._complete_reads()

    def _take_snapshot(self, now_us: int) -> list[ev.Effect]:
        """Take a snapshot once the log is long, unless a lagging member needs entries that would go."""
        log = self.node.log
        interval = self._snapshot_interval
        log_length = self.last_applied - log.base_index
        if log_length < interval:
            return []
        match_indexes = [progress.match_index for progress in self.node.progress.values()]
        is_member_lagging = bool(match_indexes) and min(match_indexes) < self.last_applied - interval // 2
        if is_member_lagging and log_length < LAGGING_MEMBER_INTERVALS * interval:
            return []
        data = self.applied_state.dump()
        return self.node.step(
            now_us, ev.SnapshotTaken(self.last_applied, data, xxhash.xxh3_64_intdigest(data))
        )
