"""Rounds of heartbeats: whether a majority still hears the leader (check quorum; Ongaro 2014, 6.2), and the
election timeout that round trips and syncs ask for.
"""

from __future__ import annotations

from statistics import median

from harriertide.consensus.messages import Member
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.reads import ReadIndex
from harriertide.consensus.replication import Replication
from harriertide.consensus.snapshots import SnapshotSender
from harriertide.consensus.state import PeerProgress, RaftState, moving_average

# Rounds whose times are kept for measuring round trips: six seconds of them, later answers tell nothing.
ROUNDS_KEPT_COUNT = 64
ROUND_TRIP_WEIGHT = 0.2  # of the latest round trip in the moving average: about the last five count
# An election takes two round trips and two syncs, a heartbeat half a round trip: with these a candidate wins
# well within one election timeout, and jitter does not look like a silent leader.
ROUND_TRIPS_PER_TIMEOUT = 6
SYNCS_PER_TIMEOUT = 3


class Heartbeat:
    """The leader's rounds. One that a majority has answered shows that this node led when it was sent."""

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
        """The next round is due a heartbeat interval from now."""
        self._state.leadership.next_heartbeat_us = self._state.now_us + self._state.tuning.heartbeat_us

    def start_round(self) -> None:
        """Send a heartbeat to all members."""
        leadership = self._state.leadership
        leadership.heartbeat_round += 1
        leadership.round_sent_us[leadership.heartbeat_round] = self._state.now_us
        leadership.round_sent_us.pop(leadership.heartbeat_round - ROUNDS_KEPT_COUNT, None)
        for member, progress in leadership.progress.items():
            self._send_heartbeat(member, progress)
        self._reads.confirm()

    def _send_heartbeat(self, member: Member, progress: PeerProgress) -> None:
        progress.probe_sent = False
        silence_us = self._state.now_us - progress.last_contact_us
        if progress.inflight and silence_us > self._state.election_timeout_us:
            # The appends on their way are lost: begin anew behind what is known to match.
            progress.probing = True
            progress.inflight = []
        self._snapshots.resend_if_lost(member, progress)
        self._replication.replicate(member, heartbeat=True)

    def record_response(self, member: Member, heartbeat_round: int) -> PeerProgress | None:
        """Record that a member has answered, and confirm the reads that waited for this.

        :param heartbeat_round: that the response repeats
        :returns: None where this node does not lead, or the sender is no member
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
                took_us = state.now_us - sent_us
                progress.round_trip_us = moving_average(progress.round_trip_us, took_us, ROUND_TRIP_WEIGHT)
            self._reads.confirm()
        return progress

    def has_quorum(self) -> bool:
        """Whether a majority of the voters has answered lately.

        Guards against a leader that is cut off and answers for a cluster that has gone on without it.
        """
        state = self._state
        connected = [
            voter for voter in state.members.voters if voter == state.me or state.is_peer_connected(voter)
        ]
        return len(connected) >= state.members.majority

    def update_election_timeout(self) -> None:
        """Set the election timeout by measured round trips and syncs; heartbeats tell it to all members."""
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
        least_us, most_us = state.tuning.election_timeout_us, state.tuning.max_election_timeout_us
        state.election_timeout_us = int(min(most_us, max(least_us, needed_us)))
