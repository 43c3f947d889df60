"""Heartbeat rounds: the leader checks that a majority still responds (Ongaro 2014, 6.2) and adapts the
election timeout to measured round trips and syncs.
"""

from __future__ import annotations

from statistics import median

from harriertide.consensus.messages import Member
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.reads import ReadIndex
from harriertide.consensus.replication import Replication
from harriertide.consensus.snapshots import SnapshotSender
from harriertide.consensus.state import PeerProgress, RaftState, moving_average

# Rounds whose send times are kept to measure round trips: six seconds of rounds. Responses to older rounds
# are not measured.
MAX_KEPT_ROUNDS = 64
ROUND_TRIP_WEIGHT = 0.2  # weight of the latest sample: the average covers about five samples
# An election takes two round trips and two syncs, a heartbeat half a round trip. With these factors a
# candidate wins well within one election timeout, and latency jitter does not start an election.
ROUND_TRIPS_PER_TIMEOUT = 6
SYNCS_PER_TIMEOUT = 3


class Heartbeat:
    """Runs the leader's heartbeat rounds.

    A round answered by a majority shows that this node was the leader when the round was sent.
    """

    def __init__(
        self,
        state: RaftState,
        outbox: Outbox,
        replication: Replication,
        snapshots: SnapshotSender,
        reads: ReadIndex,
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._replication = replication
        self._snapshots = snapshots
        self._reads = reads

    def schedule(self) -> None:
        """Schedule the next round one heartbeat interval from now."""
        self._state.leadership.next_heartbeat_us = self._state.now_us + self._state.tuning.heartbeat_us

    def start_round(self) -> None:
        """Start a round: send a heartbeat to all other members."""
        leadership = self._state.leadership
        leadership.heartbeat_round += 1
        leadership.round_sent_us[leadership.heartbeat_round] = self._state.now_us
        leadership.round_sent_us.pop(leadership.heartbeat_round - MAX_KEPT_ROUNDS, None)
        for member, progress in leadership.progress.items():
            self._send_heartbeat(member, progress)
        self._reads.confirm()

    def _send_heartbeat(self, member: Member, progress: PeerProgress) -> None:
        progress.probe_sent = False
        silence_us = self._state.now_us - progress.last_contact_us
        if progress.inflight and silence_us > self._state.election_timeout_us:
            # The appends in flight are lost: probe again.
            progress.probing = True
            progress.inflight = []
        self._snapshots.resend_if_lost(member, progress)
        self._replication.replicate(member, heartbeat=True)

    def record_response(self, member: Member, heartbeat_round: int) -> PeerProgress | None:
        """Record a member's response and confirm the reads that waited for the response.

        :param heartbeat_round: the round that the response repeats
        :returns: the member's progress; None if this node is not the leader or the sender is not a member
        """
        state = self._state
        progress = state.leadership.progress.get(member)
        if progress is None or not state.is_leader:
            return None
        progress.last_contact_us = state.now_us
        if heartbeat_round > progress.last_answered_round:
            progress.last_answered_round = heartbeat_round
            sent_us = state.leadership.round_sent_us.get(heartbeat_round)
            if sent_us is not None:
                sample_us = state.now_us - sent_us
                progress.round_trip_us = moving_average(progress.round_trip_us, sample_us, ROUND_TRIP_WEIGHT)
            self._reads.confirm()
        return progress

    def has_quorum(self) -> bool:
        """Whether a majority of the voters has responded recently.

        A leader without a quorum steps down: the other members may have elected a new leader.
        """
        state = self._state
        connected = [
            voter for voter in state.members.voters if voter == state.me or state.is_peer_connected(voter)
        ]
        return len(connected) >= state.members.majority

    def update_election_timeout(self) -> None:
        """Derive the election timeout from measured round trips and syncs; it is announced in appends."""
        state = self._state
        progress_of_voters = [
            progress
            for member, progress in state.leadership.progress.items()
            if member in state.members.voters
        ]
        round_trips = [progress.round_trip_us for progress in progress_of_voters if progress.round_trip_us]
        syncs = [progress.sync_us for progress in progress_of_voters if progress.sync_us]
        needed_us = ROUND_TRIPS_PER_TIMEOUT * (median(round_trips) if round_trips else 0)
        needed_us += SYNCS_PER_TIMEOUT * (median(syncs) if syncs else 0)
        min_timeout_us, max_timeout_us = (
            state.tuning.election_timeout_us,
            state.tuning.max_election_timeout_us,
        )
        state.election_timeout_us = int(min(max_timeout_us, max(min_timeout_us, needed_us)))
