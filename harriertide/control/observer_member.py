"""The observer role: a broker without a vote or a store, which receives the log through the fan-out tree."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.consensus.applied_state import AppliedState, StateMachine
from harriertide.consensus.fanout import UPDATE_ENTRY_COUNT
from harriertide.consensus.fanout_messages import TreeUpdate
from harriertide.consensus.membership_reconciler import BootstrapCluster, Hello
from harriertide.consensus.messages import Entry, Member, Message, Proposal
from harriertide.consensus.observer import Observer
from harriertide.consensus.pending_requests import RETRY_INTERVAL_US
from harriertide.control.member_link import ClientCommand, MemberLink
from harriertide.control.pending_calls import NOT_AGREED


@dataclass(slots=True)
class _ProposedCall:
    proposal: Proposal
    next_attempt_us: int
    deadline_us: int


class ObserverMember:
    """Applies updates from its parent, and sends proposals to the leader."""

    def __init__(self, link: MemberLink, state_machine: StateMachine) -> None:
        self._link = link
        self._observer = Observer(AppliedState(state_machine))
        self._calls: dict[int, _ProposedCall] = {}

    # --- queries --------------------------------------------------------------------------------------

    @property
    def leader(self) -> str:
        """Name of the leader from the last update of the parent; "" if none is known."""
        return self._link.tree.leader

    @property
    def led_term(self) -> int:
        """Always 0: an observer is never the leader."""
        return 0

    @property
    def has_committed_own_term(self) -> bool:
        """Always False: an observer is never the leader."""
        return False

    @property
    def voter_names(self) -> list[str]:
        """Names of the voters in the operator's file, because tree updates do not carry the membership."""
        return list(self._link.voters)

    @property
    def halted(self) -> str:
        """Always "": an observer has no disk that could fail."""
        return ""

    @property
    def applied_state(self) -> AppliedState:
        """The state machine and the index of the last applied entry."""
        return self._observer.applied_state

    def entries_after(self, index: int) -> tuple[Entry, ...] | None:
        """Return applied entries after an index for a child; None if they are no longer kept."""
        return self._observer.entries_after(index, UPDATE_ENTRY_COUNT)

    # --- events ---------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> None:
        """Send due proposals to the leader, retry unanswered ones, and fail expired calls."""
        for number, call in list(self._calls.items()):
            if now_us >= call.deadline_us:
                del self._calls[number]
                self._link.calls.fail(number, NOT_AGREED)
            elif now_us >= call.next_attempt_us and self.leader:
                call.next_attempt_us = now_us + RETRY_INTERVAL_US
                self._link.send(self.leader, call.proposal)

    def on_message(self, now_us: int, message: Message | Hello | BootstrapCluster) -> None:
        """Count and drop a message that only voters handle."""
        self._link.counts["not_for_a_follower"] += 1

    def on_update(self, now_us: int, update: TreeUpdate) -> None:
        """Apply an update from the parent, complete own calls, and forward the entries to the children."""
        applied_before = self.applied_state.last_applied
        for entry, result, fresh, digest in self._observer.apply_update(update):
            self._link.events.write("applied", index=entry.index, digest=digest, fresh=fresh)
            self._complete_calls(entry, result)
        if self.applied_state.last_applied != applied_before:
            self._link.listener.on_applied()
            self._link.distribute()

    def _complete_calls(self, entry: Entry, result: bytes) -> None:
        for number, call in list(self._calls.items()):
            if (call.proposal.client, call.proposal.serial) == (entry.client, entry.serial):
                del self._calls[number]
                self._link.calls.complete(number, result)

    def start_grant_round(self, now_us: int) -> bool:
        """Do nothing: an observer is never the leader."""
        return False

    def submit(self, now_us: int, command: ClientCommand) -> None:
        """Propose a command to the leader; its call is completed or failed later."""
        sender, unknown_leader = Member(self._link.name, ""), Member("", "")
        proposal = Proposal("", sender, unknown_leader, 0, command.client, command.serial, command.data)
        self._calls[command.number] = _ProposedCall(proposal, now_us, command.deadline_us)
        self.tick(now_us)

    def withdraw(self, number: int) -> None:
        """Stop retrying a call whose caller no longer waits."""
        self._calls.pop(number, None)

    async def read(self, within_s: float) -> bool:
        """Return whether this broker holds a lease; without one, its state may lack committed entries."""
        return self._link.tree.lease_end_us > self._link.now_us()

    def transfer_leadership(self) -> None:
        """Do nothing: an observer is never the leader."""
