"""Which brokers of a service share its nodes, and the index of each: membership by heartbeats.

Pure: time is an argument. Each broker judges by the heartbeats that it receives. Its view is the members that
it takes to be alive, in the order of their ids; a broker's index is its position there. Messages count only
between brokers whose views are the same, so that an index never means two brokers at once. A member without
heartbeats leaves the view and the others move up; one that comes back joins anew.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

HEARTBEAT_US = 60_000  # between the heartbeats of a broker: a failure shows within a bid interval of 300 ms
FAILED_AFTER_US = 240_000  # without a heartbeat a member counts as failed: four in a row are lost
# An update of the view that is later than this was held up in this broker itself.
LATE_UPDATE_US = 120_000


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The members at a moment, as one broker sees them; own_id is that broker."""

    members: tuple[int, ...]
    own_id: int

    @property
    def broker_index(self) -> int:
        """The index of this broker among the members."""
        return self.members.index(self.own_id)

    @property
    def checksum(self) -> int:
        """The same for the same members, as a heartbeat carries it."""
        return crc32(b"".join(member.to_bytes(4, "big") for member in self.members))


class Membership:
    """One broker's judgement of which others are alive."""

    def __init__(self, own_id: int, now_us: int) -> None:
        self.view = MembershipView((own_id,), own_id)
        self._heartbeats_us: dict[int, int] = {}  # of other members: when the last one came
        self._checksums: dict[int, int] = {}  # and the view that it named
        self._updated_at_us = now_us

    def record_heartbeat(self, member: int, checksum: int, now_us: int) -> None:
        """A heartbeat of another member, with the checksum of its view."""
        if member != self.view.own_id:
            self._heartbeats_us[member] = now_us
            self._checksums[member] = checksum

    def remove_member(self, member: int) -> None:
        """A member has announced that it leaves, or has failed."""
        self._heartbeats_us.pop(member, None)
        self._checksums.pop(member, None)

    def update_view(self, now_us: int) -> MembershipView | None:
        """Judge who is alive; to be called once a heartbeat.

        Guards against a broker that was suspended and takes all others for failed: the time for which it was
        held up itself is not counted against them.

        :returns: the new view where it has changed
        """
        late_us = now_us - self._updated_at_us - HEARTBEAT_US
        self._updated_at_us = now_us
        if late_us > LATE_UPDATE_US:
            self._excuse_members(late_us, now_us)
        for member in self._failed_members(now_us):
            self.remove_member(member)
        members = tuple(sorted((self.view.own_id, *self._heartbeats_us)))
        if members == self.view.members:
            return None
        self.view = MembershipView(members, self.view.own_id)
        return self.view

    def _excuse_members(self, late_us: int, now_us: int) -> None:
        for member, heartbeat_us in self._heartbeats_us.items():
            self._heartbeats_us[member] = min(now_us, heartbeat_us + late_us)

    def _failed_members(self, now_us: int) -> list[int]:
        return [
            member
            for member, heartbeat_us in self._heartbeats_us.items()
            if now_us - heartbeat_us > FAILED_AFTER_US
        ]

    def broker_index_of(self, member: int) -> int | None:
        """The index of a member whose view is the same; None for all others, whose messages do not count."""
        if member not in self.view.members or self._checksums.get(member) != self.view.checksum:
            return None
        return self.view.members.index(member)
