"""Changes of role: follower, candidate, leader, halted; what each change clears, and in which order."""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.events import LogEvent
from harriertide.consensus.messages import AppendRequest, Member, SnapshotChunk
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.state import CampaignPhase, RaftState, Role


class InvariantViolationError(Exception):
    """An invariant of the protocol does not hold on this member: it must not go on."""


class Roles:
    """The only code that sets a node's role."""

    def __init__(self, state: RaftState, outbox: Outbox) -> None:
        self._state = state
        self._outbox = outbox

    def become_follower(self, term: int, leader: Member | None) -> None:
        """Follow in this term, which may be newer than the present one.

        :param leader: of that term, None while it is not known
        """
        state = self._state
        was_leader = state.is_leader
        if term > state.term:
            state.term = term
            state.voted_for = None
            self._outbox.persist(term_changed=True)
        state.role = Role.FOLLOWER
        state.campaign.end()
        self._abort_reads()
        if was_leader:
            self._outbox.log(LogEvent.FOLLOWS)
            state.leadership.end()
            state.leader_contact_us = state.now_us
            state.reset_election_timeout()
        if leader is not None and leader != state.leader:
            self._outbox.log(LogEvent.FOLLOWS_LEADER, leader.name)
        state.leader = leader

    def step_down(self, reason: str) -> None:
        """Stop leading, without having heard of a newer term."""
        self._outbox.log(LogEvent.STEPPED_DOWN, reason)
        self.become_follower(self._state.term, None)

    def accept_leader(self, message: AppendRequest | SnapshotChunk) -> None:
        """Follow the sender of an append or a chunk of the present term."""
        state = self._state
        if state.role == Role.LEADER:
            raise InvariantViolationError(f"ELECTION: {message.sender} leads term {state.term} too")
        if state.role != Role.FOLLOWER or state.leader != message.sender:
            self.become_follower(state.term, message.sender)
        state.leader_contact_us = state.now_us
        if message.election_timeout_us != state.election_timeout_us:
            state.election_timeout_us = message.election_timeout_us
            state.reset_election_timeout()

    def become_candidate(self, phase: CampaignPhase) -> None:
        """Campaign, without a leader. A vote (not a pre-vote) begins a new term with the own vote."""
        state = self._state
        state.role = Role.CANDIDATE
        state.leader = None
        state.leader_contact_us = state.now_us
        state.reset_election_timeout()
        state.campaign.phase = phase
        state.campaign.votes = {state.me: False}
        state.campaign.term = state.term + 1
        if phase == CampaignPhase.VOTE:
            state.term += 1
            state.voted_for = state.me
            self._outbox.persist(term_changed=True)  # ELECTION: the own vote counts once this is synced
        self._outbox.log(LogEvent.CAMPAIGNS, phase.value)

    def become_leader(self) -> None:
        """Lead the present term."""
        state = self._state
        state.role = Role.LEADER
        state.leader = state.me
        state.campaign.end()
        state.leadership.begin(term_start_index=state.log.last_index + 1)
        self._abort_reads()
        self._outbox.log(LogEvent.LEADS)

    def halt(self, reason: str) -> None:
        """Take no part in the protocol until the process is started again."""
        self._outbox.log(LogEvent.HALTED, reason)
        self._abort_reads()
        self._state.role = Role.HALTED
        self._state.leader = None

    def _abort_reads(self) -> None:
        leadership = self._state.leadership
        for read in leadership.pending_reads:
            self._outbox.emit(ev.ReadAborted(read.number))
        for number in leadership.deferred_reads:
            self._outbox.emit(ev.ReadAborted(number))
        leadership.pending_reads.clear()
        leadership.deferred_reads.clear()
