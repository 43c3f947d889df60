"""Members with one known bug each. A checker that does not find every one of them proves nothing by finding
nothing in members without a bug.
"""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.membership import MembershipChanges
from harriertide.consensus.messages import (
    Membership,
    Message,
    VoteRequest,
    VoteResponse,
    encode_membership,
)
from harriertide.consensus.node import RaftNode
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.replication import Replication


class UnsyncedVotes(Outbox):
    """Sends votes before they are synced."""

    def send_when_durable(self, message: Message) -> None:
        """Send a vote at once."""
        if isinstance(message, (VoteRequest, VoteResponse)):
            self.send(message)
        else:
            super().send_when_durable(message)


class VotesBeforeSync(RaftNode):
    """Breaks ELECTION."""

    outbox_class = UnsyncedVotes


class CommitOfAnyTerm(Replication):
    """Commits entries of any term by counting copies."""

    def advance_commit(self) -> None:
        """Commit up to what a majority has synced, whatever its term."""
        if self.state.is_leader:
            index = self.majority_index()
            if index > self.state.commit_index:
                self.outbox.commit(index)


class CommitsEarlierTerms(RaftNode):
    """Breaks COMMIT."""

    replication_class = CommitOfAnyTerm


class ConcurrentChanges(MembershipChanges):
    """Starts the next change of membership before the last one is committed."""

    def change(self, event: ev.ChangeMembership) -> None:
        """Remove a voter, whatever other change is not committed yet."""
        present = self.state.members.voters
        if self.state.is_leader and event.action == "remove" and event.member != self.state.me:
            voters = tuple(voter for voter in present if voter != event.member)
            if voters != present:
                self.replication.append("members", encode_membership(Membership(voters)))
                self.replication.advance_commit()


class ChangesAtOnce(RaftNode):
    """Breaks CHANGE."""

    membership_class = ConcurrentChanges


SEEDED_BUGS: dict[str, type[RaftNode]] = {
    "vote-not-synced": VotesBeforeSync,
    "earlier-term-by-count": CommitsEarlierTerms,
    "two-majorities": ChangesAtOnce,
    "empty-disk-votes": RaftNode,  # the bug is in the disk: an empty one has the identity of the lost one
}
