"""What a member's role (voter or observer) shares with the member: name, tree, calls, counters, sending."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from harriertide.consensus.applied_state import AppliedState
from harriertide.consensus.fanout import FanoutTree, GrantRound
from harriertide.consensus.fanout_messages import SubtreeReport, TreeUpdate
from harriertide.consensus.membership_reconciler import BootstrapCluster, Hello
from harriertide.consensus.messages import Entry, Message
from harriertide.control.environment import Environment
from harriertide.control.event_log import EventSink
from harriertide.control.pending_calls import PendingCalls
from harriertide.control.wire import WireMessage


class MemberListener(Protocol):
    """Who uses a member: it is notified of what was agreed on, and states what this broker reports."""

    def build_report(self) -> SubtreeReport:
        """Return what this broker reports of itself now."""

    def on_applied(self) -> None:
        """Entries were applied to the state machine."""

    def on_leases_granted(self, granted: GrantRound) -> None:
        """As leader: a majority has confirmed a round, and who was in it holds a lease."""


@dataclass(frozen=True, slots=True)
class MemberLink:
    """The member as its role sees it.

    now_us: the event loop's clock. send: to a broker by name; it may be lost. distribute: sends the children
    in the tree what they lack.
    """

    name: str
    voters: tuple[str, ...]
    tree: FanoutTree
    calls: PendingCalls
    events: EventSink
    counts: Counter[str]
    environment: Environment
    listener: MemberListener
    now_us: Callable[[], int]
    send: Callable[[str, WireMessage], None]
    distribute: Callable[[], None]


@dataclass(frozen=True, slots=True)
class ClientCommand:
    """A command to agree on. number: of the call; client and serial: the same for each attempt of one
    command.
    """

    number: int
    client: str
    serial: int
    data: bytes
    deadline_us: int


class Role(Protocol):
    """What a voter and an observer have in common."""

    @property
    def leader(self) -> str:
        """The broker that it takes for the leader; "" for none."""

    @property
    def led_term(self) -> int:
        """The term in which it leads; 0 where it does not."""

    @property
    def has_committed_own_term(self) -> bool:
        """Whether it leads and knows all that was agreed on before its election."""

    @property
    def voter_names(self) -> list[str]:
        """The voters as far as it knows, by name."""

    @property
    def halted(self) -> str:
        """Why it takes no part in the agreement any more; "" while it does."""

    @property
    def applied_state(self) -> AppliedState:
        """The state machine, with the index up to which it is applied."""

    def entries_after(self, index: int) -> tuple[Entry, ...] | None:
        """Return applied entries after an index for a child; None where they are not kept any more."""

    def tick(self, now_us: int) -> None:
        """Do what is due by time alone."""

    def on_message(self, now_us: int, message: Message | Hello | BootstrapCluster) -> None:
        """Take a message of the agreement."""

    def on_update(self, now_us: int, update: TreeUpdate) -> None:
        """Take what the parent in the tree sends."""

    def start_grant_round(self, now_us: int) -> bool:
        """As leader, ask a majority to confirm it; False where it does not lead."""

    def submit(self, now_us: int, command: ClientCommand) -> None:
        """Have a command agreed on; its call is completed or failed later."""

    def withdraw(self, number: int) -> None:
        """Stop attempts for a call that nobody awaits any more."""

    async def read(self, within_s: float) -> bool:
        """Wait until the state holds all that was agreed on by now; False where that can't be known."""

    def transfer_leadership(self) -> None:
        """If it leads, hand over to the best of the others."""
