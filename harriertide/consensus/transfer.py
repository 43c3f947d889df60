"""Leadership transfer (Ongaro 2014, 3.10), on request or because the leader's disk is slow."""

from __future__ import annotations

from statistics import median

from harriertide.consensus.events import LogEvent
from harriertide.consensus.messages import Member, TimeoutNow
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.replication import Replication
from harriertide.consensus.state import RaftState

SLOW_DISK_TRANSFER_INTERVAL_US = 5_000_000  # minimum; keeps leadership from moving among slow disks
SLOW_DISK_RATIO = 4  # to the median of the other voters: if all disks are slow, a transfer gains nothing
SYNC_TIME_BUCKET_US = 50_000  # the choice of a target treats sync times in one bucket as equal


class LeadershipTransfer:
    """Brings the target's log up to date and tells the target to campaign.

    The leader ignores proposals and membership changes during a transfer.
    """

    def __init__(self, state: RaftState, outbox: Outbox, replication: Replication) -> None:
        self._state = state
        self._outbox = outbox
        self._replication = replication

    def start(self, target: Member | None) -> None:
        """Transfer leadership to a voter.

        :param target: None selects the connected voter with the fastest disk, then the longest log
        """
        state = self._state
        if not state.is_leader:
            return
        if target is None:
            target = self._choose_target()
        if target is None or target not in state.members.voters or target == state.me:
            return
        state.leadership.transfer_target = target
        state.leadership.transfer_deadline_us = state.now_us + 2 * state.election_timeout_us
        if self._is_caught_up(target):
            self._send_timeout_now(target)
        else:
            self._replication.replicate(target)

    def _choose_target(self) -> Member | None:
        state = self._state
        progress_of = state.leadership.progress
        connected = [
            voter for voter in state.members.voters if voter != state.me and state.is_peer_connected(voter)
        ]

        def preference(voter: Member) -> tuple[int, int]:
            progress = progress_of[voter]
            return progress.sync_us // SYNC_TIME_BUCKET_US, -progress.match_index

        return min(connected, key=preference, default=None)

    def on_member_accepted(self, member: Member) -> None:
        """Tell the target to campaign once its log matches the leader's."""
        if member == self._state.leadership.transfer_target and self._is_caught_up(member):
            self._send_timeout_now(member)

    def expire(self) -> None:
        """Abort a transfer whose deadline has passed; this node remains the leader."""
        leadership = self._state.leadership
        if leadership.transfer_target is not None and self._state.now_us >= leadership.transfer_deadline_us:
            leadership.transfer_target = None

    def start_if_disk_is_slow(self) -> None:
        """Transfer leadership to a voter with a faster disk, as a slow leader disk delays every commit."""
        state = self._state
        leadership = state.leadership
        since_last_us = state.now_us - leadership.last_slow_disk_transfer_us
        if leadership.transfer_target is not None or since_last_us <= SLOW_DISK_TRANSFER_INTERVAL_US:
            return
        if self._is_own_disk_slow():
            leadership.last_slow_disk_transfer_us = state.now_us
            self._outbox.log(LogEvent.STARTED_TRANSFER, "its own disk is slow")
            self.start(None)

    def _is_own_disk_slow(self) -> bool:
        state = self._state
        own_sync_us = state.disk.sync_us
        others_sync_us = [
            progress.sync_us
            for member, progress in state.leadership.progress.items()
            if member in state.members.voters and progress.sync_us
        ]
        if not others_sync_us or own_sync_us <= state.tuning.slow_sync_us:
            return False
        return own_sync_us > SLOW_DISK_RATIO * median(others_sync_us)

    def _is_caught_up(self, member: Member) -> bool:
        return self._state.leadership.progress[member].match_index == self._state.log.last_index

    def _send_timeout_now(self, target: Member) -> None:
        state = self._state
        self._outbox.send(TimeoutNow(state.cluster, state.me, target, state.term))
