"""Which brokers are members: founding on empty disks, and the return of a broker with another disk. Pure.

A disk has an identity, made on its first use. A cluster is founded only when every voter of the deploy file
stands there with an empty disk at once: a broker that comes back with an empty disk to a cluster that exists
can found no second one, and its old vote, which it has forgotten, does not count any more, since the
membership names another disk. Its new disk is caught up as a learner, then the old disk is removed and the
new one promoted, each by a change of membership that is committed.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from harriertide.consensus import events as ev
from harriertide.consensus.messages import Member, Membership
from harriertide.consensus.node import Node

HELLO_INTERVAL_US = 300_000
# A hello older than this (five intervals) tells nothing about now.
HELLO_VALID_US = 1_500_000
# A learner no further behind than this has caught up: the rest takes it one or two appends.
CAUGHT_UP_ENTRY_COUNT = 64


class Hello(Struct, frozen=True, tag="hello"):
    """Who is there, on which disk, and of which cluster ("" for an empty disk)."""

    sender: Member
    cluster: str


class Founding(Struct, frozen=True, tag="found"):
    """From the first voter of the deploy file to the others: the cluster and its first membership."""

    cluster: str
    members: Membership


@dataclass(frozen=True, slots=True)
class _HeardHello:
    """The latest hello of a voter's name."""

    disk: str
    cluster: str
    received_us: int


class Roster:
    """What this broker hears of other voters, and the changes of membership that follow.

    :param voters: names in the order of the deploy file
    """

    def __init__(self, me: Member, voters: tuple[str, ...]) -> None:
        self.me = me
        self.voters = voters
        self.duplicate_names: set[str] = set()  # names under which two disks answer at once
        self._heard: dict[str, _HeardHello] = {}
        self._next_hello_us = 0

    def on_hello(self, now_us: int, hello: Hello) -> None:
        """Another voter is there."""
        if hello.sender.name in self.voters:
            self._heard[hello.sender.name] = _HeardHello(hello.sender.disk, hello.cluster, now_us)

    def next_hello(self, now_us: int, node: Node) -> Hello | None:
        """What to send to all voters now; None while it is not time, or once this disk is a voter."""
        if now_us < self._next_hello_us or self.me in node.members.voters:
            return None
        self._next_hello_us = now_us + HELLO_INTERVAL_US
        return Hello(self.me, node.cluster)

    # --- founding -------------------------------------------------------------------------------------

    def propose_founding(self, now_us: int, cluster: str) -> Founding | None:
        """As the first voter, on an empty disk: the cluster, once all voters are there on empty disks."""
        if self.voters[0] != self.me.name:
            return None
        members = [self.me]
        for name in self.voters[1:]:
            heard = self._heard.get(name)
            if heard is None or heard.cluster or now_us - heard.received_us > HELLO_VALID_US:
                # Guards against a second cluster beside one that a silent voter is a member of.
                return None
            members.append(Member(name, heard.disk))
        return Founding(cluster, Membership(tuple(members)))

    def accepts_founding(self, founding: Founding, node: Node) -> bool:
        """Whether this disk is empty and one of the founders."""
        return not node.cluster and not node.log.last_index and self.me in founding.members.voters

    # --- changes of membership ------------------------------------------------------------------------

    def next_change(self, now_us: int, node: Node) -> ev.ChangeMembership | ev.TransferLeadership | None:
        """As leader: the next step towards exactly one member for each voter's name of the deploy file."""
        if not node.has_committed_own_term:
            return None
        self.duplicate_names.clear()
        for name in self.voters:
            change = self._replace_disk(now_us, node, name)
            if change is not None:
                return change
        return self._remove_unlisted(node)

    def _replace_disk(self, now_us: int, node: Node, name: str) -> ev.ChangeMembership | None:
        """The next step for a voter's name whose broker has come back with another disk."""
        voters = [member for member in node.members.voters if member.name == name]
        learners = [member for member in node.members.learners if member.name == name]
        newcomer = self._newcomer(now_us, node, name)
        if newcomer is not None:
            if any(_is_answering(now_us, node, voter) for voter in voters):
                # Two processes run under one name: nobody can tell the right one, so neither is removed.
                self.duplicate_names.add(name)
                return None
            if learners:
                return ev.ChangeMembership("remove", learners[0])  # a disk that was replaced as well
            return ev.ChangeMembership("learn", newcomer)
        for learner in learners:
            if node.progress[learner].match_index < node.commit_index - CAUGHT_UP_ENTRY_COUNT:
                continue
            if voters:
                return ev.ChangeMembership("remove", voters[0])
            return ev.ChangeMembership("promote", learner)
        return None

    def _newcomer(self, now_us: int, node: Node, name: str) -> Member | None:
        """The member under this name that is there now, where the membership does not have it."""
        heard = self._heard.get(name)
        if heard is None or now_us - heard.received_us >= HELLO_VALID_US or name == self.me.name:
            return None
        member = Member(name, heard.disk)
        return None if member in node.members.all else member

    def _remove_unlisted(self, node: Node) -> ev.ChangeMembership | ev.TransferLeadership | None:
        """Remove a member whose name the deploy file does not list as a voter any more."""
        for member in node.members.all:
            if member.name not in self.voters:
                return ev.TransferLeadership() if member == node.me else ev.ChangeMembership("remove", member)
        return None


def _is_answering(now_us: int, node: Node, member: Member) -> bool:
    """As leader: whether a member has answered within two election timeouts."""
    progress = node.progress.get(member)
    return progress is not None and now_us - progress.last_contact_us < 2 * node.election_timeout_us
