"""Elections with pre-vote and leader stickiness (Ongaro 2014, 3.4, 9.6 and 4.2.3).

ELECTION   A term has at most one leader. A vote is synced to disk before it is sent, and only the member on
           the disk that the membership names may cast it.
"""

from __future__ import annotations

from harriertide.consensus.messages import TimeoutNow, VoteRequest, VoteResponse
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.roles import Roles
from harriertide.consensus.state import CampaignPhase, RaftState, Role


class Election:
    """Runs this member's campaigns and casts its votes for other candidates."""

    def __init__(self, state: RaftState, outbox: Outbox, roles: Roles) -> None:
        self._state = state
        self._outbox = outbox
        self._roles = roles

    # --- as candidate ---------------------------------------------------------------------------------

    def start_pre_vote(self) -> None:
        """Ask the voters whether this member would win an election, without changing any member's term.

        Otherwise a partitioned member would rejoin with a higher term and depose a leader that all other
        members can reach.
        """
        self._request_votes(CampaignPhase.PRE_VOTE)
        self._state.campaign.votes[self._state.me] = True
        if self._has_majority():
            self._request_votes(CampaignPhase.VOTE)

    def on_timeout_now(self, message: TimeoutNow) -> None:
        """Campaign immediately because the leader transfers leadership to this member."""
        if message.sender == self._state.leader and self._state.is_voter:
            self._state.campaign.by_transfer = True
            self._request_votes(CampaignPhase.VOTE)

    def on_vote_response(self, message: VoteResponse) -> bool:
        """Count a vote or a pre-vote.

        :returns: whether this vote wins the election
        """
        campaign = self._state.campaign
        is_pre_vote = campaign.phase == CampaignPhase.PRE_VOTE
        if self._state.role != Role.CANDIDATE:
            return False
        if message.pre_vote != is_pre_vote or message.term != campaign.term or not message.granted:
            return False
        if message.sender not in self._state.members.voters:
            return False
        campaign.votes[message.sender] = True
        if not self._has_majority():
            return False
        if is_pre_vote:
            self._request_votes(CampaignPhase.VOTE)
            return False
        return True

    def count_own_vote(self) -> bool:
        """Count the candidate's own vote once it is synced (ELECTION).

        :returns: whether this vote wins the election
        """
        state = self._state
        if state.role != Role.CANDIDATE or state.campaign.phase != CampaignPhase.VOTE:
            return False
        if not state.disk.is_term_durable:
            return False
        state.campaign.votes[state.me] = True
        return self._has_majority()

    def _request_votes(self, phase: CampaignPhase) -> None:
        self._roles.become_candidate(phase)
        state = self._state
        for voter in state.members.voters:
            if voter == state.me:
                continue
            request = VoteRequest(
                cluster=state.cluster,
                sender=state.me,
                to=voter,
                term=state.campaign.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                pre_vote=phase == CampaignPhase.PRE_VOTE,
                transfer=state.campaign.by_transfer,
            )
            self._outbox.send_when_durable(request)

    def _has_majority(self) -> bool:
        state = self._state
        granted = sum(state.campaign.votes.get(voter, False) for voter in state.members.voters)
        return granted >= state.members.majority

    # --- as voter -------------------------------------------------------------------------------------

    def on_vote_request(self, message: VoteRequest) -> None:
        """Grant or reject a vote or a pre-vote."""
        state = self._state
        if self._is_leader_alive() and not message.transfer and state.leader != message.sender:
            # Leader stickiness: a partitioned member must not depose a leader that the other members can
            # reach. The response names that leader.
            leader_name = state.leader.name if state.leader else ""
            self._outbox.send(self._response(message, state.term, granted=False, leader_name=leader_name))
        elif message.pre_vote:
            self._answer_pre_vote(message)
        else:
            self._answer_vote(message)

    def _is_leader_alive(self) -> bool:
        state = self._state
        if state.is_leader:
            return True
        silence_us = state.now_us - state.leader_contact_us
        return state.leader is not None and silence_us < state.election_timeout_us

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        """COMPLETE: whether the candidate's log is at least as up to date as this member's."""
        log = self._state.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)

    def _answer_pre_vote(self, message: VoteRequest) -> None:
        state = self._state
        granted = message.term > state.term and self._is_up_to_date(message)
        term = message.term if granted else state.term
        self._outbox.send_when_durable(self._response(message, term, granted))

    def _answer_vote(self, message: VoteRequest) -> None:
        state = self._state
        if message.term > state.term:
            self._roles.become_follower(message.term, None)
        can_vote = state.voted_for is None or state.voted_for == message.sender
        granted = (
            message.term == state.term and can_vote and self._is_up_to_date(message) and not state.is_leader
        )
        if granted:
            if state.voted_for is None:
                state.voted_for = message.sender
                self._outbox.persist(term_changed=True)
            state.leader_contact_us = state.now_us
            state.reset_election_timeout()
        self._outbox.send_when_durable(self._response(message, state.term, granted))  # ELECTION

    def _response(
        self, message: VoteRequest, term: int, granted: bool, leader_name: str = ""
    ) -> VoteResponse:
        state = self._state
        return VoteResponse(
            cluster=state.cluster,
            sender=state.me,
            to=message.sender,
            term=term,
            granted=granted,
            pre_vote=message.pre_vote,
            leader=leader_name,
        )
