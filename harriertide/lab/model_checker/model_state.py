"""A state of the model: three members, their disks, the messages in flight, and what may still happen."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from harriertide.consensus import events as ev
from harriertide.consensus.events import Tuning
from harriertide.consensus.messages import Entry, Member, Membership, Message, encode_membership
from harriertide.consensus.state import RaftState

NODE_NAMES = ("a", "b", "c")
# The clock of the model stands still: elections and heartbeats are actions. One entry an append, so that each
# entry can be delivered, lost or duplicated by itself.
TUNING = Tuning(heartbeat_us=0, election_timeout_us=0, max_election_timeout_us=0, batch_entries=1)


@dataclass(frozen=True, slots=True)
class Disk:
    """The persistent state of a member, and the identity of the disk that holds it."""

    disk_id: str
    cluster: str = ""
    term: int = 0
    voted_for: Member | None = None
    entries: tuple[Entry, ...] = ()

    def write(self, persist: ev.Persist) -> Disk:
        """The disk after a write."""
        first_void = persist.truncate_from
        kept = tuple(entry for entry in self.entries if not first_void or entry.index < first_void)
        return Disk(self.disk_id, persist.cluster, persist.term, persist.voted_for, kept + persist.entries)

    def start_node(self, name: str) -> RaftState:
        """The follower that a process started on this disk is."""
        restored = ev.RestoredState(self.cluster, self.term, self.voted_for, None, self.entries)
        return RaftState.restore(Member(name, self.disk_id), TUNING, restored, Random(0), 0)


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each kind of action may still happen: without bounds there would be no end of states."""

    elections: int = 0
    heartbeats: int = 0
    proposals: int = 0
    crashes: int = 0
    disk_losses: int = 0
    duplicates: int = 0
    membership_changes: int = 0


class CommittedEntry(NamedTuple):
    """What the first member that committed an index has there, and the term in which that member did."""

    term: int
    committed_in_term: int
    data: bytes


@dataclass(slots=True)
class ModelState:
    """One state. A transition copies it and replaces what changes, so states share what stays.

    :param network: messages in flight, in the order in which they were sent. Each may arrive at any time or
        never; a message that is sent again while it is in flight is not counted twice
    :param leaders: the first leader seen in each term, for election safety
    :param committed: by index, for leader completeness and state machine safety
    """

    nodes: dict[str, RaftState]
    disks: dict[str, Disk]
    network: dict[Message, None]
    budget: Budget
    leaders: dict[int, Member] = field(default_factory=dict)
    committed: dict[int, CommittedEntry] = field(default_factory=dict)

    def copy(self) -> ModelState:
        """A state whose parts can be replaced one by one."""
        return ModelState(
            dict(self.nodes),
            dict(self.disks),
            dict(self.network),
            self.budget,
            dict(self.leaders),
            dict(self.committed),
        )

    def fingerprint(self) -> int:
        """A 64-bit hash that tells states apart: equal for states in which the same can happen.

        The search keeps only the fingerprints of visited states (hash compaction): two states with the same
        one are taken for one, which is improbable at 64 bits and under a million states. `leaders` is left
        out: where two paths lead to the same nodes, disks and messages, those of the first path are kept.
        """
        nodes = tuple(_protocol_state(self.nodes[name]) for name in NODE_NAMES)
        committed = frozenset(self.committed.items())
        return hash((nodes, frozenset(self.network), self.budget, committed, tuple(self.disks.values())))


def _protocol_state(state: RaftState) -> Hashable:
    """All that decides what a node does, without its clocks and counters."""
    progress = tuple(
        (
            member,
            peer.next_index,
            peer.match_index,
            peer.probing,
            peer.probe_sent,
            tuple(peer.inflight),
        )
        for member, peer in sorted(state.leadership.progress.items())
    )
    return (
        state.me,
        state.role,
        state.term,
        state.voted_for,
        state.leader,
        state.campaign.phase,
        state.campaign.term,
        tuple(sorted(state.campaign.votes.items())),
        state.commit_index,
        state.durable_index,
        tuple(state.log.entries),
        progress,
        state.campaign.by_transfer,
        state.leadership.term_start_index,
    )


def bootstrapped_state() -> ModelState:
    """A cluster that was just bootstrapped: the first membership is entry 1 of every log."""
    membership = Membership(tuple(Member(name, f"{name}1") for name in NODE_NAMES))
    entry = Entry(1, 1, "members", encode_membership(membership))
    disks = {name: Disk(f"{name}1", "c", 1, None, (entry,)) for name in NODE_NAMES}
    nodes = {name: disk.start_node(name) for name, disk in disks.items()}
    return ModelState(nodes, disks, {}, Budget())
