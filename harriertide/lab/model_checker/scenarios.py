"""The searches: where each starts, within which bounds, and which one finds each seeded bug."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.consensus.messages import Message, VoteRequest, VoteResponse
from harriertide.consensus.node import RaftNode
from harriertide.lab.model_checker.actions import Action, Deliver, Propose, TimeOutElection
from harriertide.lab.model_checker.model_state import Budget, ModelState, bootstrapped_state
from harriertide.lab.model_checker.search import BreadthFirstSearch
from harriertide.lab.model_checker.transitions import TransitionSystem
from harriertide.lab.seeded_bugs import SEEDED_BUGS


@dataclass(frozen=True, slots=True)
class DeliverAllAmong:
    """Deliver every message between these members, and those that this causes."""

    names: str


@dataclass(frozen=True, slots=True)
class DeliverFirst:
    """Deliver the first message of a kind from one member to another."""

    kind: type[Message]
    sender: str
    recipient: str


@dataclass(frozen=True, slots=True)
class DropMessages:
    """Lose all messages in flight."""


Step = Action | DeliverAllAmong | DeliverFirst | DropMessages


@dataclass(frozen=True, slots=True)
class Scenario:
    """One search.

    :param prefix: the steps from the bootstrap of the cluster to the state in which the search starts
    :param budget: what may happen from there on
    """

    prefix: tuple[Step, ...]
    budget: Budget
    depth_limit: int

    def start(self) -> ModelState:
        """The state in which the search starts."""
        system = TransitionSystem()
        state = bootstrapped_state()
        for step in self.prefix:
            state = _apply_step(system, state, step)
        state.budget = self.budget
        return state


def _apply_step(system: TransitionSystem, state: ModelState, step: Step) -> ModelState:
    match step:
        case DropMessages():
            state.network = {}
        case DeliverFirst():
            state = system.apply(state, Deliver(_first_message(state, step)))
        case DeliverAllAmong():
            while messages := _messages_among(state, step.names):
                state = system.apply(state, Deliver(messages[0]))
        case _:
            state = system.apply(state, step)
    return state


def _messages_among(state: ModelState, names: str) -> list[Message]:
    return [m for m in state.network if m.to.name in names and m.sender.name in names]


def _first_message(state: ModelState, step: DeliverFirst) -> Message:
    return next(
        message
        for message in state.network
        if isinstance(message, step.kind)
        and (message.sender.name, message.to.name) == (step.sender, step.recipient)
    )


_ONE_LEADER: tuple[Step, ...] = (TimeOutElection("a"), DeliverAllAmong("abc"))
_ONE_LEADER_ALL_LOST: tuple[Step, ...] = (*_ONE_LEADER, DropMessages())
_TWO_CANDIDATES: tuple[Step, ...] = (
    TimeOutElection("a"),
    TimeOutElection("b"),
    DeliverFirst(VoteRequest, "a", "c"),
    DeliverFirst(VoteRequest, "b", "c"),
    DeliverFirst(VoteResponse, "c", "a"),
    DeliverFirst(VoteResponse, "c", "b"),
)
# a has a command of term 2 that no other member has; b leads term 3 with the vote of c.
_UNREPLICATED_ENTRY: tuple[Step, ...] = (
    TimeOutElection("a"),
    DeliverAllAmong("abc"),
    Propose("a", serial=9),
    DropMessages(),
    TimeOutElection("b"),
    DeliverAllAmong("bc"),
    DropMessages(),
)
# a has committed a command with the copy of b; c has received nothing of term 2.
_ENTRY_ON_TWO: tuple[Step, ...] = (
    TimeOutElection("a"),
    DeliverAllAmong("ab"),
    Propose("a", serial=9),
    DeliverAllAmong("ab"),
    DropMessages(),
)

SEARCHES = {
    "from the founding": Scenario(
        (), Budget(elections=2, heartbeats=1, proposals=1, crashes=1, duplicates=1), depth_limit=14
    ),
    "a leader and two proposals": Scenario(
        _ONE_LEADER,
        Budget(elections=1, heartbeats=1, proposals=2, crashes=1, duplicates=1),
        depth_limit=14,
    ),
    "two that stand at once": Scenario(_TWO_CANDIDATES, Budget(proposals=1, crashes=1), depth_limit=14),
    "an entry of an earlier term": Scenario(
        _UNREPLICATED_ENTRY, Budget(elections=1, heartbeats=1), depth_limit=16
    ),
    "an entry of an earlier term, a crash": Scenario(
        _UNREPLICATED_ENTRY, Budget(elections=1, heartbeats=1, crashes=1, duplicates=1), depth_limit=14
    ),
    "two changes of members": Scenario(
        _ONE_LEADER_ALL_LOST, Budget(elections=1, proposals=1, membership_changes=2), depth_limit=14
    ),
    "a change of members, a crash": Scenario(
        _ONE_LEADER_ALL_LOST,
        Budget(elections=2, heartbeats=1, proposals=1, crashes=1, membership_changes=1),
        depth_limit=14,
    ),
    "a disk is lost": Scenario(
        _ENTRY_ON_TWO, Budget(elections=1, disk_losses=1, duplicates=1), depth_limit=16
    ),
    "a disk is lost, a crash": Scenario(
        _ENTRY_ON_TWO,
        Budget(elections=1, heartbeats=1, proposals=1, crashes=1, disk_losses=1),
        depth_limit=14,
    ),
}
# by seeded bug, the search in which it shows soonest
SEEDED_BUG_SEARCHES = {
    "vote-not-synced": "two that stand at once",
    "earlier-term-by-count": "an entry of an earlier term",
    "two-majorities": "two changes of members",
    "empty-disk-votes": "a disk is lost",
}


def search(name: str, state_limit: int, seeded_bug: str = "") -> tuple[BreadthFirstSearch, list[str]]:
    """Run one of SEARCHES, on members as they are or with a seeded bug.

    :returns: the search, and its counterexample, empty where every invariant holds
    """
    scenario = SEARCHES[name]
    node_class = SEEDED_BUGS[seeded_bug] if seeded_bug else RaftNode
    system = TransitionSystem(node_class, reuses_disk_id=seeded_bug == "empty-disk-votes")
    breadth_first = BreadthFirstSearch(system, state_limit, scenario.depth_limit)
    return breadth_first, breadth_first.run(scenario.start())
