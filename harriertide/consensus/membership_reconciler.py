"""Reconciles the membership with the voters of the deploy file: bootstrap and replaced disks. No I/O.

Each disk gets an identity on its first use. A cluster is bootstrapped only while every voter of the deploy
file responds with an empty disk. A broker that returns to an existing cluster with an empty disk therefore
can't bootstrap a second cluster. Nor does its vote count, as the membership names the old disk: a broker that
has lost its votes must not vote again. The new disk catches up as a learner; then the old disk is removed and
the new one promoted, each by a committed membership change.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from harriertide.consensus import events as ev
from harriertide.consensus.messages import Member, Membership
from harriertide.consensus.node import RaftNode

HELLO_INTERVAL_US = 300_000
# Five intervals: an older hello is ignored.
HELLO_VALID_US = 1_500_000
# A learner that lags by at most this many entries has caught up: one or two appends carry the rest.
CAUGHT_UP_MAX_LAG_ENTRIES = 64


class Hello(Struct, frozen=True, tag="hello"):
    """Announces the sender with the identity of its disk and its cluster ("" for an empty disk)."""

    sender: Member
    cluster: str


class BootstrapCluster(Struct, frozen=True, tag="found"):
    """Sent by the first voter of the deploy file to the others: the cluster name and the first membership."""

    cluster: str
    members: Membership


@dataclass(frozen=True, slots=True)
class _ReceivedHello:
    """The latest hello received under a voter's name."""

    disk: str
    cluster: str
    received_us: int


class MembershipReconciler:
    """Collects hellos from the other voters and chooses the next membership change.

    :param voters: voter names in the order of the deploy file
    """

    def __init__(self, me: Member, voters: tuple[str, ...]) -> None:
        self.me = me
        self.voters = voters
        self.duplicate_names: set[str] = set()  # names under which two disks respond at the same time
        self._hellos: dict[str, _ReceivedHello] = {}
        self._next_hello_us = 0

    def on_hello(self, now_us: int, hello: Hello) -> None:
        """Record a hello from another voter."""
        if hello.sender.name in self.voters:
            self._hellos[hello.sender.name] = _ReceivedHello(hello.sender.disk, hello.cluster, now_us)

    def next_hello(self, now_us: int, node: RaftNode) -> Hello | None:
        """Return the hello to send to all voters; None if none is due or this member is a voter."""
        if now_us < self._next_hello_us or self.me in node.members.voters:
            return None
        self._next_hello_us = now_us + HELLO_INTERVAL_US
        return Hello(self.me, node.cluster)

    # --- bootstrap ------------------------------------------------------------------------------------

    def propose_bootstrap(self, now_us: int, cluster: str) -> BootstrapCluster | None:
        """Return the bootstrap for the first voter to send, once all voters have reported an empty disk."""
        if self.voters[0] != self.me.name:
            return None
        members = [self.me]
        for name in self.voters[1:]:
            hello = self._hellos.get(name)
            if hello is None or hello.cluster or now_us - hello.received_us > HELLO_VALID_US:
                # A silent voter may belong to an existing cluster, so no second cluster may be bootstrapped.
                return None
            members.append(Member(name, hello.disk))
        return BootstrapCluster(cluster, Membership(tuple(members)))

    def accepts_bootstrap(self, bootstrap: BootstrapCluster, node: RaftNode) -> bool:
        """Whether this disk is empty and named as a voter by the bootstrap."""
        return not node.cluster and not node.log.last_index and self.me in bootstrap.members.voters

    # --- membership changes ---------------------------------------------------------------------------

    def next_change(self, now_us: int, node: RaftNode) -> ev.ChangeMembership | ev.TransferLeadership | None:
        """Return the leader's next step towards exactly one member per voter name of the deploy file."""
        if not node.has_committed_own_term:
            return None
        self.duplicate_names.clear()
        for name in self.voters:
            change = self._replace_disk(now_us, node, name)
            if change is not None:
                return change
        return self._remove_unlisted(node)

    def _replace_disk(self, now_us: int, node: RaftNode, name: str) -> ev.ChangeMembership | None:
        """Return the next step for a voter whose broker has returned with another disk."""
        voters = [member for member in node.members.voters if member.name == name]
        learners = [member for member in node.members.learners if member.name == name]
        replacement = self._find_replacement(now_us, node, name)
        if replacement is not None:
            if any(_is_answering(now_us, node, voter) for voter in voters):
                # Two processes run under one name. The right one is unknown, so neither is removed.
                self.duplicate_names.add(name)
                return None
            if learners:
                return ev.ChangeMembership("remove", learners[0])  # the learner's disk was replaced too
            return ev.ChangeMembership("learn", replacement)
        for learner in learners:
            if node.progress[learner].match_index < node.commit_index - CAUGHT_UP_MAX_LAG_ENTRIES:
                continue
            if voters:
                return ev.ChangeMembership("remove", voters[0])
            return ev.ChangeMembership("promote", learner)
        return None

    def _find_replacement(self, now_us: int, node: RaftNode, name: str) -> Member | None:
        """Return the member that a recent hello announces under this name, if the membership lacks it."""
        hello = self._hellos.get(name)
        if hello is None or now_us - hello.received_us >= HELLO_VALID_US or name == self.me.name:
            return None
        member = Member(name, hello.disk)
        return None if member in node.members.all else member

    def _remove_unlisted(self, node: RaftNode) -> ev.ChangeMembership | ev.TransferLeadership | None:
        """Return the step that removes a member whose name the deploy file no longer lists as a voter."""
        for member in node.members.all:
            if member.name not in self.voters:
                return ev.TransferLeadership() if member == node.me else ev.ChangeMembership("remove", member)
        return None


def _is_answering(now_us: int, node: RaftNode, member: Member) -> bool:
    """Whether a member has answered this leader within two election timeouts."""
    progress = node.progress.get(member)
    return progress is not None and now_us - progress.last_contact_us < 2 * node.election_timeout_us
