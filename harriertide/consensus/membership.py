"""Membership changes, one member at a time (Ongaro 2014, 4.1, with his correction of 2015).

CHANGE     The membership changes by one member at a time. A change needs a committed entry of the leader's
           term and a committed previous change, so consecutive memberships have overlapping majorities.
"""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.events import LogEvent
from harriertide.consensus.messages import Membership, encode_membership
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.replication import Replication
from harriertide.consensus.state import RaftState


class MembershipChanges:
    """Appends new memberships to the leader's log."""

    def __init__(self, state: RaftState, outbox: Outbox, replication: Replication) -> None:
        self.state = state
        self.outbox = outbox
        self.replication = replication

    def change(self, event: ev.ChangeMembership) -> None:
        """Append a membership with one member changed, if CHANGE allows it and the membership differs."""
        if not self._is_change_allowed():
            return
        members = self._changed_members(event)
        if members is None or not members.voters:
            return
        self.outbox.log(
            LogEvent.CHANGED_MEMBERSHIP, f"{event.action} {event.member.name}/{event.member.disk}"
        )
        self.replication.append("members", encode_membership(members))
        self.replication.advance_commit()

    def _is_change_allowed(self) -> bool:
        """CHANGE: an entry of this term and the latest membership are committed; no transfer is active."""
        state = self.state
        if not state.has_committed_own_term or state.leadership.transfer_target is not None:
            return False
        return state.log.membership_index <= state.commit_index

    def _changed_members(self, event: ev.ChangeMembership) -> Membership | None:
        """Return the membership after a change; None if the change does not apply."""
        current, member = self.state.members, event.member
        voters, learners = list(current.voters), list(current.learners)
        if event.action == "learn" and member not in current.all:
            learners.append(member)
        elif event.action == "promote" and member in learners:
            learners.remove(member)
            voters.append(member)
        elif event.action == "remove" and member in current.all and member != self.state.me:
            (voters if member in voters else learners).remove(member)
        else:
            return None
        return Membership(tuple(voters), tuple(learners))
