"""Members with a known fault each: what the search and the courses must find, or they are worth nothing."""

from __future__ import annotations

from harriertide.consensus import events as ev
from harriertide.consensus.messages import Membership, Message
from harriertide.consensus.node import Node, encode_members


class VotesBeforeSync(Node):
    """Sends what it promises before it is on the disk."""

    def _send(self, message: Message, durable: bool = False) -> None:
        super()._send(message)


class CommitsEarlierTerms(Node):
    """Counts copies of entries of any term."""

    def _advance(self) -> None:
        if self.is_leader:
            have = sorted(
                (
                    self.durable_index if m == self.me else self.progress[m].match_index
                    for m in self.members.voters
                ),
                reverse=True,
            )
            if have and have[self.members.majority - 1] > self.commit_index:
                self._commit(have[self.members.majority - 1])


class ChangesAtOnce(Node):
    """Takes the next change of members before the last is agreed on."""

    def _change(self, event: ev.ChangeMembership) -> None:
        if self.is_leader and event.what == "remove" and event.member != self.me:
            voters = tuple(m for m in self.members.voters if m != event.member)
            if voters != self.members.voters:
                self._extend("members", encode_members(Membership(voters)))
                self._advance()


PLANTS: dict[str, type[Node]] = {
    "vote-not-synced": VotesBeforeSync,
    "earlier-term-by-count": CommitsEarlierTerms,
    "two-majorities": ChangesAtOnce,
    "empty-disk-votes": Node,  # as it is; the disk calls itself as the lost one did
}
