"""Parts of the Raft node alone, over a state that the test sets up."""

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
    VERSION,
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
ALL = Membership((A, B, C))
BOOTSTRAP_ENTRY = Entry(1, 1, "members", encode_membership(ALL))


def restored(*entries: Entry, term: int = 1, voted_for: Member | None = None) -> RaftState:
    """A follower of three that starts on its disk."""
    found = ev.RestoredState("c", term, voted_for, None, (BOOTSTRAP_ENTRY, *entries))
    return RaftState.restore(A, Tuning(), found, Random(0), 0)


def command(index: int, term: int = 1) -> Entry:
    return Entry(index, term, "command", b"x", "client", index)


def sent(effects: list[ev.Effect]) -> list[object]:
    return [effect.message for effect in effects if isinstance(effect, ev.SendMessage)]


def leading() -> RaftNode:
    """A leader of three that has committed an entry of its own term."""
    node = RaftNode(restored())
    node.step(0, ev.ElectionTimedOut())
    node.step(0, ev.MessageReceived(VoteResponse("c", B, A, 2, True, True)))
    node.step(0, ev.Synced(1))
    node.step(0, ev.MessageReceived(VoteResponse("c", B, A, 2, True)))
    assert node.is_leader and not node.has_committed_own_term
    return node


def test_a_vote_is_sent_only_once_it_is_on_the_disk() -> None:
    """A voter crashes between its answer and the sync: it would vote a second time in that term."""
    state = restored()
    outbox = Outbox(state)
    election = Election(state, outbox, Roles(state, outbox))
    election.on_vote_request(VoteRequest("c", B, A, 2, 1, 1))
    effects = outbox.take_effects()
    persists = [effect for effect in effects if isinstance(effect, ev.Persist)]
    assert persists[-1].voted_for == B and not sent(effects)
    assert outbox.on_synced(ev.Synced(persists[-1].number))
    assert [type(message) for message in sent(outbox.take_effects())] == [VoteResponse]


def test_a_member_votes_once_a_term() -> None:
    """Two candidates of one term ask the same voter, before and after its restart."""
    state = restored(term=2, voted_for=B)
    outbox = Outbox(state)
    election = Election(state, outbox, Roles(state, outbox))
    for candidate, granted in ((C, False), (B, True)):
        election.on_vote_request(VoteRequest("c", candidate, A, 2, 1, 1))
        (answer,) = sent(outbox.take_effects())
        assert isinstance(answer, VoteResponse) and answer.granted is granted


def test_a_voter_that_hears_a_leader_refuses_and_names_it() -> None:
    """A member that was cut off campaigns; the others still hear their leader."""
    state = restored()
    state.leader = C
    outbox = Outbox(state)
    Election(state, outbox, Roles(state, outbox)).on_vote_request(VoteRequest("c", B, A, 9, 9, 9, True))
    (answer,) = sent(outbox.take_effects())
    assert isinstance(answer, VoteResponse) and not answer.granted and answer.leader == "c"
    assert state.term == 1


def test_a_sync_of_an_entry_that_was_replaced_counts_for_nothing() -> None:
    """The disk is slow: an entry is truncated and another one takes its index before its sync is reported."""
    state = restored()
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


def test_a_leader_that_would_change_a_committed_entry_is_a_broken_invariant() -> None:
    """COMPLETE: better no member than one that takes back what clients were told."""
    state = restored(command(2))
    state.commit_index = 2
    outbox = Outbox(state)
    receiver = AppendReceiver(state, outbox, Roles(state, outbox))
    with pytest.raises(InvariantViolationError, match="COMPLETE: entry 2"):
        receiver.on_append_request(AppendRequest("c", B, A, 1, 1, 1, (command(2, term=3),), 2, 1, 400_000))


class Unchanged:
    """A state machine without a state."""

    def apply(self, index: int, data: bytes) -> bytes:
        return b""

    def dump(self) -> bytes:
        return b""

    def load(self, data: bytes) -> None:
        pass


def test_a_member_that_halts_after_a_broken_invariant_names_the_invariant() -> None:
    """An operator reads why a member is out of the agreement: its disk is not to blame for this."""
    disk = ev.RestoredState("c", 1, None, None, (BOOTSTRAP_ENTRY, command(2)))
    replica = Replica(A, Unchanged(), Tuning(), disk, Random(0), 0)
    replica.step(0, ev.MessageReceived(AppendRequest("c", B, A, 1, 2, 1, (), 2, 1, 400_000)))
    changed = AppendRequest("c", B, A, 1, 1, 1, (command(2, term=3),), 2, 1, 400_000)
    effects = replica.step(0, ev.MessageReceived(changed))
    lines = {line.event: line.detail for line in effects if isinstance(line, ev.LogLine)}
    assert set(lines) == {"halted", "broken"}
    assert all(detail.startswith("COMPLETE: entry 2") for detail in lines.values()), lines
    assert replica.node.role == "halted" and not replica.step(0, ev.Tick())


def test_a_truncated_membership_falls_back_to_the_one_before() -> None:
    """A change of membership was in the log of a leader that lost its term before it was committed."""
    smaller = Membership((A, B))
    log = Log(entries=(BOOTSTRAP_ENTRY, Entry(2, 1, "members", encode_membership(smaller)), command(3)))
    assert log.members == smaller and log.membership_index == 2 and log.members_at(1) == ALL
    kept = log.copy()
    kept.compact(2)
    assert kept.members == smaller and kept.base_index == 2 and kept.term_at(3) == 1
    log.truncate(2)
    assert log.members == ALL and log.last_index == 1


def commit_own_term(node: RaftNode) -> list[ev.Effect]:
    """The leader's first entry is synced here and at another member."""
    node.step(0, ev.Synced(9))
    return node.step(0, ev.MessageReceived(AppendResponse("c", B, A, 2, True, 1, 2, 2, 0, 0)))


def test_reads_wait_for_the_first_commit_of_a_term_and_for_a_majority() -> None:
    """A new leader does not know what is committed; an old one does not know that it is none any more."""
    follower = RaftNode(restored())
    assert follower.step(0, ev.ReadRequested(1)) == [ev.ReadAborted(1)]
    node = leading()
    assert not node.step(0, ev.ReadRequested(7))  # deferred
    effects = commit_own_term(node)
    assert node.has_committed_own_term and node.commit_index == 2
    assert not [effect for effect in effects if isinstance(effect, ev.ReadConfirmed)]
    answer = AppendResponse("c", C, A, 2, True, 2, 2, 2, heartbeat_round=1, sync_us=0)
    assert ev.ReadConfirmed(7, 2) in node.step(0, ev.MessageReceived(answer))


def test_the_next_change_of_membership_waits_for_the_last_one() -> None:
    """CHANGE: two changes at once could give two majorities without a member in common."""
    node, newcomer = leading(), Member("d", "d1")
    node.step(0, ev.ChangeMembership("learn", newcomer))
    assert node.members == ALL  # no entry of its own term is committed yet
    commit_own_term(node)
    node.step(0, ev.ChangeMembership("learn", newcomer))
    learning = Membership((A, B, C), (newcomer,))
    assert node.members == learning
    node.step(0, ev.ChangeMembership("remove", C))
    assert node.members == learning  # the last change is not committed yet


def test_a_call_goes_to_a_new_leader_at_once_and_to_the_same_after_a_while() -> None:
    """A leader dies with a call: the next one is asked as soon as it is known."""
    pending = PendingRequests()
    pending.add_call(ClientCall(1, "client", 1, b"", deadline_us=10 * RETRY_INTERVAL_US))
    assert not pending.start_call_attempts(0, None)
    assert [call.number for call in pending.start_call_attempts(1, A)] == [1]
    assert not pending.start_call_attempts(2, A)
    assert [call.number for call in pending.start_call_attempts(3, B)] == [1]
    assert [call.number for call in pending.start_call_attempts(3 + RETRY_INTERVAL_US, B)] == [1]
    assert pending.expire(10 * RETRY_INTERVAL_US) == [1] and not pending.calls()


def test_a_read_is_complete_once_its_index_is_applied() -> None:
    """The state here is behind the leader's: the read waits for it."""
    pending = PendingRequests()
    pending.add_read(ClientRead(1, deadline_us=10))
    pending.set_read_index(1, 5)
    pending.set_read_index(2, 5)  # not waiting any more
    assert not pending.complete_reads(4)
    assert pending.complete_reads(5) == [1] and not pending.complete_reads(6)


def test_one_record_stands_for_all_that_a_log_file_holds() -> None:
    """A rewritten log has to give the same state at the next start."""
    image = LogImage()
    for record in (
        Record(VERSION, "c", 1, A, 0, tuple(command(index) for index in range(1, 7))),
        Record(VERSION, "c", 2, None, 5, (command(5, 2),)),
        Record(VERSION, "c", 2, B, 0, (), 3),
    ):
        image.apply(record)
    again = LogImage()
    again.apply(image.to_record())
    assert again == image and not image.has_gap()
    assert [(entry.index, entry.term) for entry in image.entries] == [(4, 1), (5, 2)]
    image.entries.pop(0)
    assert image.has_gap()
