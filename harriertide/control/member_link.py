"""The interface between a member and its role (voter or observer)."""

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
    """The user of a member: handles applied entries and granted leases, and builds this broker's reports."""

    def build_report(self) -> SubtreeReport:
        """Return the current report of this broker."""

    def on_applied(self) -> None:
        """Handle entries that were applied to the state machine."""

    def on_leases_granted(self, grant_round: GrantRound) -> None:
        """As leader, handle a round that a majority has confirmed: each broker in the round holds a lease."""


@dataclass(frozen=True, slots=True)
class MemberLink:
    """The parts of a member that its role uses.

    now_us: the event loop's clock. send: sends a message to a broker by name, without a delivery guarantee.
    distribute: sends pending updates to the children in the tree.
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
    """A command to replicate.

    number: number of the call. client and serial: identify the command, and are equal in all of its attempts.
    """

    number: int
    client: str
    serial: int
    data: bytes
    deadline_us: int


class Role(Protocol):
    """The interface of both roles, voter and observer."""

    @property
    def leader(self) -> str:
        """Name of the leader known to this member; "" if none is known."""

    @property
    def led_term(self) -> int:
        """The term in which this member is the leader; 0 if it is not the leader."""

    @property
    def has_committed_own_term(self) -> bool:
        """Whether this member leads and knows all committed entries: it has committed one of its own term."""

    @property
    def voter_names(self) -> list[str]:
        """Names of the voters known to this member."""

    @property
    def halted(self) -> str:
        """Why this member has stopped taking part in Raft; "" while it takes part."""

    @property
    def applied_state(self) -> AppliedState:
        """The state machine and the index of the last applied entry."""

    def entries_after(self, index: int) -> tuple[Entry, ...] | None:
        """Return applied entries after an index for a child; None if they are compacted away."""

    def tick(self, now_us: int) -> None:
        """Run the timers of the role."""

    def on_message(self, now_us: int, message: Message | Hello | BootstrapCluster) -> None:
        """Handle a Raft, hello or bootstrap message."""

    def on_update(self, now_us: int, update: TreeUpdate) -> None:
        """Handle an update from the parent in the tree."""

    def start_grant_round(self, now_us: int) -> bool:
        """As leader, ask a majority to confirm the leadership; return False if not the leader."""

    def submit(self, now_us: int, command: ClientCommand) -> None:
        """Replicate a command; its call is completed or failed later."""

    def withdraw(self, number: int) -> None:
        """Stop retrying a call whose caller no longer waits."""

    async def read(self, within_s: float) -> bool:
        """Wait until all entries committed before this call are applied; False if that is not certain."""

    def transfer_leadership(self) -> None:
        """As leader, transfer leadership to the most suitable other voter; otherwise do nothing."""
