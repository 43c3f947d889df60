"""Changes of membership, one member at a time (Ongaro 2014, 4.1, with his correction of 2015).

CHANGE     one member at a time, the next after the last is committed, the first after an entry of the own
           term: the majorities of two memberships in a row share a member
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
        """Append a membership with one member changed, if CHANGE allows it and it is a change."""
        if not self._is_change_allowed():
            return
        members = self._changed_members(event)
        if members is None or not members.voters:
            return
        self.outbox.log(LogEvent.MEMBERSHIP, f"{event.action} {event.member.name}/{event.member.disk}")
        self.replication.append("members", encode_membership(members))
        self.replication.advance_commit()

    def _is_change_allowed(self) -> bool:
        """CHANGE: behind a committed entry of this term and a committed membership."""
        state = self.state
        if not state.has_committed_own_term or state.leadership.transfer_target is not None:
            return False
        return state.log.membership_index <= state.commit_index

    def _changed_members(self, event: ev.ChangeMembership) -> Membership | None:
        """The membership after a change; None where there is nothing to change."""
        present, member = self.state.members, event.member
        voters, learners = list(present.voters), list(present.learners)
        if event.action == "learn" and member not in present.all:
            learners.append(member)
        elif event.action == "promote" and member in learners:
            learners.remove(member)
            voters.append(member)
        elif event.action == "remove" and member in present.all and member != self.state.me:
            (voters if member in voters else learners).remove(member)
        else:
            return None
        return Membership(tuple(voters), tuple(learners))
