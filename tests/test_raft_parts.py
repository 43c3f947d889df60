"""Unit tests of the Raft modules on states that the tests set up."""

from __future__ import annotations

from random import Random

import pytest

from harriertide.consensus import events as ev
from harriertide.consensus.append_entries import AppendReceiver
from harriertide.consensus.disk_format import LogImage, Record
from harriertide.consensus.election import Election
from harriertide.consensus.events import Tuning
from harriertide.consensus.log import Log
from harriertide.consensus.messages import (
    RECORD_VERSION,
    AppendRequest,
    AppendResponse,
    Entry,
    Member,
    Membership,
    VoteRequest,
    VoteResponse,
    encode_membership,
)
from harriertide.consensus.node import RaftNode
from harriertide.consensus.outbox import Outbox
from harriertide.consensus.pending_requests import (
    RETRY_INTERVAL_US,
    ClientCall,
    ClientRead,
    PendingRequests,
)
from harriertide.consensus.replica import Replica
from harriertide.consensus.roles import InvariantViolationError, Roles
from harriertide.consensus.state import RaftState

A, B, C = Member("a", "a1"), Member("b", "b1"), Member("c", "c1")
MEMBERSHIP = Membership((A, B, C))
BOOTSTRAP_ENTRY = Entry(1, 1, "members", encode_membership(MEMBERSHIP))


def restored_follower(*entries: Entry, term: int = 1, voted_for: Member | None = None) -> RaftState:
    """Return the state of a follower in a cluster of three, restored from its disk."""
    restored = ev.RestoredState("c", term, voted_for, None, (BOOTSTRAP_ENTRY, *entries))
    return RaftState.restore(A, Tuning(), restored, Random(0), 0)


def command(index: int, term: int = 1) -> Entry:
    return Entry(index, term, "command", b"x", "client", index)


def sent_messages(effects: list[ev.Effect]) -> list[object]:
    return [effect.message for effect in effects if isinstance(effect, ev.SendMessage)]


def elected_leader() -> RaftNode:
    """Return a leader in a cluster of three that has not committed an entry of its own term yet."""
    node = RaftNode(restored_follower())
    node.step(0, ev.ElectionTimedOut())
    node.step(0, ev.MessageReceived(VoteResponse("c", B, A, 2, True, True)))
    node.step(0, ev.Synced(1))
    node.step(0, ev.MessageReceived(VoteResponse("c", B, A, 2, True)))
    assert node.is_leader and not node.has_committed_own_term
    return node


def test_vote_is_sent_only_after_it_is_synced() -> None:
    """A voter that answers before the sync and then crashes would vote a second time in the same term."""
    state = restored_follower()
    outbox = Outbox(state)
    election = Election(state, outbox, Roles(state, outbox))
    election.on_vote_request(VoteRequest("c", B, A, 2, 1, 1))
    effects = outbox.take_effects()
    persists = [effect for effect in effects if isinstance(effect, ev.Persist)]
    assert persists[-1].voted_for == B and not sent_messages(effects)
    assert outbox.on_synced(ev.Synced(persists[-1].number))
    assert [type(message) for message in sent_messages(outbox.take_effects())] == [VoteResponse]


def test_member_votes_once_per_term() -> None:
    """A voter restarts after voting for one candidate, then both candidates of the term request its vote."""
    state = restored_follower(term=2, voted_for=B)
    outbox = Outbox(state)
    election = Election(state, outbox, Roles(state, outbox))
    for candidate, granted in ((C, False), (B, True)):
        election.on_vote_request(VoteRequest("c", candidate, A, 2, 1, 1))
        (response,) = sent_messages(outbox.take_effects())
        assert isinstance(response, VoteResponse) and response.granted is granted


def test_voter_with_live_leader_rejects_vote_request_and_names_leader() -> None:
    """A partitioned member campaigns while the other members still hear from their leader."""
    state = restored_follower()
    state.leader = C
    outbox = Outbox(state)
    Election(state, outbox, Roles(state, outbox)).on_vote_request(VoteRequest("c", B, A, 9, 9, 9, True))
    (response,) = sent_messages(outbox.take_effects())
    assert isinstance(response, VoteResponse) and not response.granted and response.leader == "c"
    assert state.term == 1


def test_sync_of_truncated_entry_does_not_make_its_replacement_durable() -> None:
    """On a slow disk, an entry is truncated and replaced before its sync is reported."""
    state = restored_follower()
    outbox = Outbox(state)
    state.log.append(command(2))
    outbox.persist(entries=(command(2),))
    state.log.truncate(2)
    outbox.forget_durable_from(2)
    state.log.append(command(2, term=2))
    outbox.persist(truncate_from=2, entries=(command(2, term=2),))
    outbox.on_synced(ev.Synced(1))
    assert state.durable_index == 1
    outbox.on_synced(ev.Synced(2))
    assert state.durable_index == 2


def test_append_that_replaces_committed_entry_violates_completeness() -> None:
    """COMPLETE: a member halts rather than replace an entry whose result clients may have received."""
    state = restored_follower(command(2))
    state.commit_index = 2
    outbox = Outbox(state)
    receiver = AppendReceiver(state, outbox, Roles(state, outbox))
    with pytest.raises(InvariantViolationError, match="COMPLETE: entry 2"):
        receiver.on_append_request(AppendRequest("c", B, A, 1, 1, 1, (command(2, term=3),), 2, 1, 400_000))


class StatelessMachine:
    """A state machine without state."""

    def apply(self, index: int, data: bytes) -> bytes:
        return b""

    def dump(self) -> bytes:
        return b""

    def load(self, data: bytes) -> None:
        pass


def test_halt_after_invariant_violation_names_the_invariant() -> None:
    """Operators need to tell an invariant violation from a disk failure when a member halts."""
    disk = ev.RestoredState("c", 1, None, None, (BOOTSTRAP_ENTRY, command(2)))
    replica = Replica(A, StatelessMachine(), Tuning(), disk, Random(0), 0)
    replica.step(0, ev.MessageReceived(AppendRequest("c", B, A, 1, 2, 1, (), 2, 1, 400_000)))
    conflicting = AppendRequest("c", B, A, 1, 1, 1, (command(2, term=3),), 2, 1, 400_000)
    effects = replica.step(0, ev.MessageReceived(conflicting))
    lines = {line.event: line.detail for line in effects if isinstance(line, ev.LogLine)}
    assert set(lines) == {"halted", "broken"}
    assert all(detail.startswith("COMPLETE: entry 2") for detail in lines.values()), lines
    assert replica.node.role == "halted" and not replica.step(0, ev.Tick())


def test_truncating_membership_entry_restores_previous_membership() -> None:
    """A leader loses its leadership before its membership change is committed."""
    smaller = Membership((A, B))
    log = Log(entries=(BOOTSTRAP_ENTRY, Entry(2, 1, "members", encode_membership(smaller)), command(3)))
    assert log.members == smaller and log.membership_index == 2 and log.members_at(1) == MEMBERSHIP
    compacted = log.copy()
    compacted.compact(2)
    assert compacted.members == smaller and compacted.base_index == 2 and compacted.term_at(3) == 1
    log.truncate(2)
    assert log.members == MEMBERSHIP and log.last_index == 1


def commit_own_term(node: RaftNode) -> list[ev.Effect]:
    """Sync the leader's first entry on the leader and on one other member, which commits it."""
    node.step(0, ev.Synced(9))
    return node.step(0, ev.MessageReceived(AppendResponse("c", B, A, 2, True, 1, 2, 2, 0, 0)))


def test_reads_wait_for_first_commit_of_term_and_for_majority() -> None:
    """A new leader does not know the commit index yet; an old leader does not know that it was replaced."""
    follower = RaftNode(restored_follower())
    assert follower.step(0, ev.ReadRequested(1)) == [ev.ReadAborted(1)]
    node = elected_leader()
    assert not node.step(0, ev.ReadRequested(7))  # deferred until the first commit
    effects = commit_own_term(node)
    assert node.has_committed_own_term and node.commit_index == 2
    assert not [effect for effect in effects if isinstance(effect, ev.ReadConfirmed)]
    response = AppendResponse("c", C, A, 2, True, 2, 2, 2, heartbeat_round=1, sync_us=0)
    assert ev.ReadConfirmed(7, 2) in node.step(0, ev.MessageReceived(response))


def test_membership_change_waits_for_previous_change() -> None:
    """CHANGE: two concurrent changes could lead to disjoint majorities."""
    node, learner = elected_leader(), Member("d", "d1")
    node.step(0, ev.ChangeMembership("learn", learner))
    assert node.members == MEMBERSHIP  # no entry of its own term is committed yet
    commit_own_term(node)
    node.step(0, ev.ChangeMembership("learn", learner))
    with_learner = Membership((A, B, C), (learner,))
    assert node.members == with_learner
    node.step(0, ev.ChangeMembership("remove", C))
    assert node.members == with_learner  # the previous change is not committed yet


def test_call_is_sent_to_new_leader_immediately_and_to_same_leader_after_retry_interval() -> None:
    """A leader crashes with a pending call; the call is sent to the next leader as soon as it is known."""
    pending = PendingRequests()
    pending.add_call(ClientCall(1, "client", 1, b"", deadline_us=10 * RETRY_INTERVAL_US))
    assert not pending.start_call_attempts(0, None)
    assert [call.number for call in pending.start_call_attempts(1, A)] == [1]
    assert not pending.start_call_attempts(2, A)
    assert [call.number for call in pending.start_call_attempts(3, B)] == [1]
    assert [call.number for call in pending.start_call_attempts(3 + RETRY_INTERVAL_US, B)] == [1]
    assert pending.expire(10 * RETRY_INTERVAL_US) == [1] and not pending.calls()


def test_read_completes_once_its_index_is_applied() -> None:
    """The local state lags behind the leader's, so the read waits until it catches up."""
    pending = PendingRequests()
    pending.add_read(ClientRead(1, deadline_us=10))
    pending.set_read_index(1, 5)
    pending.set_read_index(2, 5)  # no such read is pending
    assert not pending.complete_reads(4)
    assert pending.complete_reads(5) == [1] and not pending.complete_reads(6)


def test_single_record_represents_whole_log_file() -> None:
    """A rewritten log file must restore the same state at the next startup."""
    image = LogImage()
    for record in (
        Record(RECORD_VERSION, "c", 1, A, 0, tuple(command(index) for index in range(1, 7))),
        Record(RECORD_VERSION, "c", 2, None, 5, (command(5, 2),)),
        Record(RECORD_VERSION, "c", 2, B, 0, (), 3),
    ):
        image.apply(record)
    rewritten = LogImage()
    rewritten.apply(image.to_record())
    assert rewritten == image and not image.has_gap()
    assert [(entry.index, entry.term) for entry in image.entries] == [(4, 1), (5, 2)]
    image.entries.pop(0)
    assert image.has_gap()
