"""What can happen in a state of the model: an event at a member, a message that arrives, a crash.

Losing a message needs no action: a message that is never delivered is lost.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import ClassVar

from harriertide.consensus import events as ev
from harriertide.consensus.messages import AppendRequest, Member, Message
from harriertide.lab.model_checker.model_state import Budget, ModelState


class Action(ABC):
    """One step of the model. str() is its line in a counterexample.

    :cvar text: what happens
    :cvar crashes: the process ends before anything of this step is synced, and starts anew on its disk
    """

    __slots__ = ()
    text: ClassVar[str]
    crashes: ClassVar[bool] = False

    @property
    @abstractmethod
    def node_name(self) -> str:
        """The member at which it happens."""

    def spend(self, budget: Budget) -> Budget:
        """What may still happen afterwards."""
        return budget

    def event(self) -> ev.Event | None:
        """What the member is given; None where its process only ends."""
        return None


@dataclass(frozen=True, slots=True)
class NodeAction(Action):
    """An action that no message causes."""

    name: str

    @property
    def node_name(self) -> str:
        """The member at which it happens."""
        return self.name

    def __str__(self) -> str:
        return f"{self.name}: {self.text}"


@dataclass(frozen=True, slots=True)
class TimeOutElection(NodeAction):
    """A follower or candidate hears no leader for an election timeout."""

    text = "election timeout"

    def spend(self, budget: Budget) -> Budget:
        """One election less."""
        return replace(budget, elections=budget.elections - 1)

    def event(self) -> ev.Event:
        """Campaign."""
        return ev.ElectionTimedOut()


@dataclass(frozen=True, slots=True)
class SendHeartbeat(NodeAction):
    """A heartbeat of a leader is due."""

    text = "heartbeat"

    def spend(self, budget: Budget) -> Budget:
        """One heartbeat less."""
        return replace(budget, heartbeats=budget.heartbeats - 1)

    def event(self) -> ev.Event:
        """Send a round of heartbeats."""
        return ev.Tick()


@dataclass(frozen=True, slots=True)
class Propose(NodeAction):
    """A client proposes a command to a leader. The serial number tells it from others."""

    text = "propose"
    serial: int

    def spend(self, budget: Budget) -> Budget:
        """One proposal less."""
        return replace(budget, proposals=budget.proposals - 1)

    def event(self) -> ev.Event:
        """Append a command."""
        return ev.Proposed("client", self.serial, b"%d" % self.serial)


@dataclass(frozen=True, slots=True)
class RemoveMember(NodeAction):
    """A leader is asked to remove another voter."""

    text = "remove"
    removed: Member

    def spend(self, budget: Budget) -> Budget:
        """One change of membership less."""
        return replace(budget, membership_changes=budget.membership_changes - 1)

    def event(self) -> ev.Event:
        """Remove the voter."""
        return ev.ChangeMembership("remove", self.removed)

    def __str__(self) -> str:
        return f"{self.name}: {self.text} {self.removed.name}"


@dataclass(frozen=True, slots=True)
class Crash(NodeAction):
    """The process ends, and starts anew on its disk."""

    text = "crash"
    crashes = True

    def spend(self, budget: Budget) -> Budget:
        """One crash less."""
        return replace(budget, crashes=budget.crashes - 1)


@dataclass(frozen=True, slots=True)
class LoseDisk(NodeAction):
    """The process ends, and starts anew on an empty disk."""

    text = "lose disk"
    crashes = True

    def spend(self, budget: Budget) -> Budget:
        """One loss of a disk less."""
        return replace(budget, disk_losses=budget.disk_losses - 1)


@dataclass(frozen=True, slots=True)
class Deliver(Action):
    """A message arrives."""

    text = "deliver"
    message: Message

    @property
    def node_name(self) -> str:
        """The recipient."""
        return self.message.to.name

    def event(self) -> ev.Event:
        """Take the message."""
        return ev.MessageReceived(self.message)

    def __str__(self) -> str:
        message = self.message
        fields = f"term {message.term}"
        if isinstance(message, AppendRequest):
            fields += f", after entry {message.prev_index}, {len(message.entries)} entries"
        kind = type(message).__name__
        return f"{self.text}: {kind} from {message.sender.name} to {message.to.name} ({fields})"


@dataclass(frozen=True, slots=True)
class DeliverDuplicate(Deliver):
    """A message arrives, and a copy of it stays in flight."""

    text = "deliver, and keep a duplicate in flight"

    def spend(self, budget: Budget) -> Budget:
        """One duplicate less."""
        return replace(budget, duplicates=budget.duplicates - 1)


@dataclass(frozen=True, slots=True)
class DeliverAndCrash(Deliver):
    """A message arrives, and the process ends before it syncs; what it sent before a sync is in flight."""

    text = "deliver, and crash before the sync"
    crashes = True

    def spend(self, budget: Budget) -> Budget:
        """One crash less."""
        return replace(budget, crashes=budget.crashes - 1)


def enabled_actions(state: ModelState) -> Iterator[Action]:
    """All that can happen next, within the budget."""
    for name in state.nodes:
        yield from _node_actions(state, name)
    for message in state.network:
        yield Deliver(message)
        if state.budget.duplicates:
            yield DeliverDuplicate(message)
        if state.budget.crashes:
            yield DeliverAndCrash(message)


def _node_actions(state: ModelState, name: str) -> Iterator[Action]:
    node, budget = state.nodes[name], state.budget
    if node.is_leader:
        yield from _leader_actions(state, name)
    elif budget.elections and node.is_voter:
        yield TimeOutElection(name)
    if budget.crashes:
        yield Crash(name)
    if budget.disk_losses:
        yield LoseDisk(name)


def _leader_actions(state: ModelState, name: str) -> Iterator[Action]:
    node, budget = state.nodes[name], state.budget
    if budget.proposals:
        yield Propose(name, serial=budget.proposals)
    if budget.heartbeats:
        yield SendHeartbeat(name)
    if budget.membership_changes:
        for voter in node.members.voters:
            if voter != node.me:
                yield RemoveMember(name, voter)
