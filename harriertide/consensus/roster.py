"""Who is a member: founding on empty disks, and the return of a broker with another disk. Pure.

A disk has an identity, made on its first use. A cluster is founded only when every voter of the file stands
there with an empty disk at once: a broker that comes back with an empty disk to a cluster that exists can
found no second one, and its old vote, which it has forgotten, counts no more, since the list names another
disk. Its name's new disk is caught up as a learner, then the old disk is removed and the new one promoted,
each a change that is agreed on.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from harriertide.consensus import events as ev
from harriertide.consensus.messages import Member, Membership
from harriertide.consensus.node import Node

HELLO_US = 300_000
FRESH_US = 1_500_000  # a word older than that says nothing about now
NEAR = 64  # entries: a learner no further behind has caught up


class Hello(Struct, frozen=True, tag="hello"):
    """Who stands there, on which disk, and of which cluster ("" for an empty disk)."""

    sender: Member
    cluster: str


class Founding(Struct, frozen=True, tag="found"):
    """From the first voter of the file to the others: this is the cluster."""

    cluster: str
    members: Membership


@dataclass(slots=True)
class _Heard:
    disk: str
    cluster: str
    at_us: int


class Roster:
    """What this broker hears of who stands there. voters: names in the order of the file."""

    def __init__(self, me: Member, voters: tuple[str, ...]) -> None:
        self.me, self.voters = me, voters
        self._heard: dict[str, _Heard] = {}
        self._hello_us = 0
        self.duplicate_names: set[str] = set()  # names under which two disks stand at once

    def on_hello(self, now_us: int, hello: Hello) -> None:
        """Somebody stands there."""
        if hello.sender.name in self.voters:
            self._heard[hello.sender.name] = _Heard(hello.sender.disk, hello.cluster, now_us)

    def next_hello(self, now_us: int, node: Node) -> Hello | None:
        """What to tell all voters now, where it is time: while this disk is in no list."""
        if now_us < self._hello_us or self.me in node.members.voters:
            return None
        self._hello_us = now_us + HELLO_US
        return Hello(self.me, node.cluster)

    def propose_founding(self, now_us: int, cluster: str) -> Founding | None:
        """As the first voter on an empty disk: the cluster, once all voters stand there on empty ones."""
        if self.voters[0] != self.me.name:
            return None
        members = [self.me]
        for name in self.voters[1:]:
            heard = self._heard.get(name)
            if heard is None or heard.cluster or now_us - heard.at_us > FRESH_US:
                return None  # guards against a second cluster beside one that a silent voter is of
            members.append(Member(name, heard.disk))
        return Founding(cluster, Membership(tuple(members)))

    def accepts_founding(self, found: Founding, node: Node) -> bool:
        """Whether an empty disk may join this founding."""
        return not node.cluster and not node.log.last_index and self.me in found.members.voters

    def next_change(self, now_us: int, node: Node) -> ev.Event | None:
        """As leader: the next step towards one member a voter's name of the file, or None."""
        if not node.has_committed_own_term:
            return None
        members = node.members
        self.duplicate_names.clear()
        for name in self.voters:
            heard = self._heard.get(name)
            old = [m for m in members.voters if m.name == name]
            new = [m for m in members.learners if m.name == name]
            if heard is not None and now_us - heard.at_us < FRESH_US and name != self.me.name:
                stands = Member(name, heard.disk)
                if stands not in members.all:
                    if any(self._lives(now_us, node, m) for m in old):
                        self.duplicate_names.add(name)  # two processes under one name: neither is thrown out
                        continue
                    stale = [m for m in new if m != stands]
                    return (
                        ev.ChangeMembership("remove", stale[0])
                        if stale
                        else ev.ChangeMembership("learn", stands)
                    )
            for learner in new:
                if node.progress[learner].match_index < node.commit_index - NEAR:
                    continue
                if old:
                    return ev.ChangeMembership("remove", old[0])
                return ev.ChangeMembership("promote", learner)
        for member in members.all:
            if member.name not in self.voters:
                return ev.TransferLeadership() if member == node.me else ev.ChangeMembership("remove", member)
        return None

    def _lives(self, now_us: int, node: Node, member: Member) -> bool:
        p = node.progress.get(member)
        return p is not None and now_us - p.heard_us < 2 * node.election_timeout_us
