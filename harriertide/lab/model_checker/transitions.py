"""What an action does to a state: the member's own protocol code runs on a copy of its state."""

from __future__ import annotations

from collections import deque

import msgspec

from harriertide.consensus import events as ev
from harriertide.consensus.messages import AppendRequest, AppendResponse, Entry, Message
from harriertide.consensus.node import RaftNode
from harriertide.consensus.state import RaftState
from harriertide.lab.model_checker import invariants
from harriertide.lab.model_checker.actions import Action, Deliver, DeliverDuplicate, LoseDisk
from harriertide.lab.model_checker.model_state import CommittedEntry, Disk, ModelState


class TransitionSystem:
    """The transitions of members of one implementation.

    :param node_class: the protocol, as it is or with a seeded bug
    :param reuses_disk_id: a seeded bug: an empty disk has the identity of the lost one
    """

    def __init__(self, node_class: type[RaftNode] = RaftNode, reuses_disk_id: bool = False) -> None:
        self._node_class = node_class
        self._reuses_disk_id = reuses_disk_id

    def apply(self, state: ModelState, action: Action) -> ModelState:
        """The state after an action.

        :raises InvariantViolationError: an invariant does not hold there
        """
        new = state.copy()
        new.budget = action.spend(state.budget)
        name = action.node_name
        if isinstance(action, LoseDisk):
            new.disks[name] = self._empty_disk(name, new.disks[name])
        elif isinstance(action, Deliver) and not isinstance(action, DeliverDuplicate):
            del new.network[action.message]
        event = action.event()
        if event is not None:
            self._step(new, name, event, is_synced=not action.crashes)
        if action.crashes:
            new.nodes[name] = new.disks[name].start_node(name)
        invariants.check_transition(state, new)
        return new

    def _empty_disk(self, name: str, lost: Disk) -> Disk:
        if self._reuses_disk_id:
            return Disk(lost.disk_id)
        number = int(lost.disk_id.removeprefix(name))
        return Disk(f"{name}{number + 1}")

    def _step(self, state: ModelState, name: str, event: ev.Event, is_synced: bool) -> None:
        """Let a member take an event, and the end of each sync that this starts."""
        node_state = state.nodes[name] = state.nodes[name].copy()
        node = self._node_class(node_state)
        events: deque[ev.Event] = deque([event])
        while events:
            for effect in node.step(0, events.popleft()):
                match effect:
                    case ev.SendMessage():
                        state.network[_without_round_number(effect.message)] = None
                    case ev.Persist() if is_synced:
                        state.disks[name] = state.disks[name].write(effect)
                        events.append(ev.Synced(effect.number))
                    case ev.Committed():
                        _record_commit(state, node_state, effect.entries)
        if node_state.is_leader:
            state.leaders.setdefault(node_state.term, node_state.me)


def _without_round_number(message: Message) -> Message:
    """The message with round 1 for any round of heartbeats: a counter would make equal states differ."""
    if isinstance(message, (AppendRequest, AppendResponse)) and message.heartbeat_round:
        return msgspec.structs.replace(message, heartbeat_round=1)
    return message


def _record_commit(state: ModelState, node: RaftState, entries: tuple[Entry, ...]) -> None:
    for entry in entries:
        committed = CommittedEntry(entry.term, node.term, entry.data)
        first = state.committed.setdefault(entry.index, committed)
        invariants.check_state_machine_safety(node, entry, first)
    invariants.check_commit_rule(node, entries[-1])
