"""Role transitions between follower, candidate, leader and halted, with the state that each one resets."""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.events import LogEvent
from harriertide.consensus.messages import AppendRequest, Member, SnapshotChunk
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.state import CampaignPhase, RaftState, Role


class InvariantViolationError(Exception):
    """A protocol invariant is violated on this member, which must halt."""


class Roles:
    """The only code that sets a node's role."""

    def __init__(self, state: RaftState, outbox: Outbox) -> None:
        self._state = state
        self._outbox = outbox

    def become_follower(self, term: int, leader: Member | None) -> None:
        """Become a follower in a term that is the current one or a newer one.

        :param leader: the leader of that term, None while unknown
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
            self._outbox.log(LogEvent.LOST_LEADERSHIP)
            state.leadership.end()
            state.leader_contact_us = state.now_us
            state.reset_election_timeout()
        if leader is not None and leader != state.leader:
            self._outbox.log(LogEvent.FOLLOWS_LEADER, leader.name)
        state.leader = leader

    def step_down(self, reason: str) -> None:
        """Give up leadership without having received a newer term."""
        self._outbox.log(LogEvent.STEPPED_DOWN, reason)
        self.become_follower(self._state.term, None)

    def accept_leader(self, message: AppendRequest | SnapshotChunk) -> None:
        """Follow the sender of an append or a snapshot chunk of the current term."""
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
        """Start a pre-vote, or start an election: enter the next term and vote for this member."""
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
            self._outbox.persist(term_changed=True)  # ELECTION: the own vote counts once synced
        self._outbox.log(LogEvent.STARTED_CAMPAIGN, phase.value)

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        state = self._state
        state.role = Role.LEADER
        state.leader = state.me
        state.campaign.end()
        state.leadership.begin(term_start_index=state.log.last_index + 1)
        self._abort_reads()
        self._outbox.log(LogEvent.BECAME_LEADER)

    def halt(self, reason: str) -> None:
        """Stop taking part in the protocol until the process restarts."""
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
