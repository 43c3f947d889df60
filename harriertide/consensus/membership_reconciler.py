"""Reconciles the membership with the voters of the deploy file: bootstrap, disks that were replaced. Pure.

A disk has an identity, made on its first use. A cluster is bootstrapped only while every voter of the deploy
file is there with an empty disk. So a broker that comes back with an empty disk to a cluster that exists
can't bootstrap a second one; nor does the vote count that it has forgotten, as the membership names another
disk. Its new disk is caught up as a learner, then the old disk is removed and the new one promoted, each by a
change of membership that is committed.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from harriertide.consensus import events as ev
from harriertide.consensus.messages import Member, Membership
from harriertide.consensus.node import RaftNode

HELLO_INTERVAL_US = 300_000
# A hello older than this (five intervals) says nothing about the present.
HELLO_VALID_US = 1_500_000
# A learner no further behind than this has caught up: one or two appends bring the rest.
CAUGHT_UP_ENTRY_COUNT = 64


class Hello(Struct, frozen=True, tag="hello"):
    """The sender is up, on this disk, as a member of this cluster ("" for an empty disk)."""

    sender: Member
    cluster: str


class BootstrapCluster(Struct, frozen=True, tag="found"):
    """From the first voter of the deploy file to the others: the cluster and its first membership."""

    cluster: str
    members: Membership


@dataclass(frozen=True, slots=True)
class _ReceivedHello:
    """The latest hello of a voter's name."""

    disk: str
    cluster: str
    received_us: int


class MembershipReconciler:
    """Collects hellos of the other voters, and decides which change of membership comes next.

    :param voters: names in the order of the deploy file
    """

    def __init__(self, me: Member, voters: tuple[str, ...]) -> None:
        self.me = me
        self.voters = voters
        self.duplicate_names: set[str] = set()  # of brokers under whose name two disks answer at once
        self._hellos: dict[str, _ReceivedHello] = {}
        self._next_hello_us = 0

    def on_hello(self, now_us: int, hello: Hello) -> None:
        """Take the hello of another voter."""
        if hello.sender.name in self.voters:
            self._hellos[hello.sender.name] = _ReceivedHello(hello.sender.disk, hello.cluster, now_us)

    def next_hello(self, now_us: int, node: RaftNode) -> Hello | None:
        """The hello to send to all voters; None while none is due, or once this disk is a voter."""
        if now_us < self._next_hello_us or self.me in node.members.voters:
            return None
        self._next_hello_us = now_us + HELLO_INTERVAL_US
        return Hello(self.me, node.cluster)

    # --- bootstrap ------------------------------------------------------------------------------------

    def propose_bootstrap(self, now_us: int, cluster: str) -> BootstrapCluster | None:
        """As the first voter with an empty disk: the cluster, once all voters are there on empty disks."""
        if self.voters[0] != self.me.name:
            return None
        members = [self.me]
        for name in self.voters[1:]:
            hello = self._hellos.get(name)
            if hello is None or hello.cluster or now_us - hello.received_us > HELLO_VALID_US:
                # Guards against a second cluster beside one that a silent voter is a member of.
                return None
            members.append(Member(name, hello.disk))
        return BootstrapCluster(cluster, Membership(tuple(members)))

    def accepts_bootstrap(self, bootstrap: BootstrapCluster, node: RaftNode) -> bool:
        """Whether this disk is empty and among the first voters."""
        return not node.cluster and not node.log.last_index and self.me in bootstrap.members.voters

    # --- changes of membership ------------------------------------------------------------------------

    def next_change(self, now_us: int, node: RaftNode) -> ev.ChangeMembership | ev.TransferLeadership | None:
        """As leader: the next step towards exactly one member for each voter's name of the deploy file."""
        if not node.has_committed_own_term:
            return None
        self.duplicate_names.clear()
        for name in self.voters:
            change = self._replace_disk(now_us, node, name)
            if change is not None:
                return change
        return self._remove_unlisted(node)

    def _replace_disk(self, now_us: int, node: RaftNode, name: str) -> ev.ChangeMembership | None:
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

    def _newcomer(self, now_us: int, node: RaftNode, name: str) -> Member | None:
        """The member under this name that is there now, where the membership does not have it."""
        hello = self._hellos.get(name)
        if hello is None or now_us - hello.received_us >= HELLO_VALID_US or name == self.me.name:
            return None
        member = Member(name, hello.disk)
        return None if member in node.members.all else member

    def _remove_unlisted(self, node: RaftNode) -> ev.ChangeMembership | ev.TransferLeadership | None:
        """Remove a member whose name the deploy file does not list as a voter any more."""
        for member in node.members.all:
            if member.name not in self.voters:
                return ev.TransferLeadership() if member == node.me else ev.ChangeMembership("remove", member)
        return None


def _is_answering(now_us: int, node: RaftNode, member: Member) -> bool:
    """As leader: whether a member has answered within two election timeouts."""
    progress = node.progress.get(member)
    return progress is not None and now_us - progress.last_contact_us < 2 * node.election_timeout_us
