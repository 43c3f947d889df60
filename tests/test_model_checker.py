"""Tests of the Raft model checker: its invariants detect violations, and its actions have their effects."""

from __future__ import annotations

from dataclasses import replace

import pytest

from harriertide.consensus.messages import Entry, Member, VoteRequest
from harriertide.consensus.roles import InvariantViolationError
from harriertide.consensus.state import RaftState, Role
from harriertide.lab.model_checker import actions, invariants
from harriertide.lab.model_checker.model_state import Budget, CommittedEntry, ModelState, bootstrapped_state
from harriertide.lab.model_checker.search import BreadthFirstSearch
from harriertide.lab.model_checker.transitions import TransitionSystem


def make_leader(state: ModelState, name: str, term: int) -> RaftState:
    """Make a member the leader of a term without an election."""
    node = state.nodes[name] = state.nodes[name].copy()
    node.role, node.term = Role.LEADER, term
    state.leaders.setdefault(term, node.me)
    return node


def append_entries(state: ModelState, name: str, *entries: Entry) -> RaftState:
    node = state.nodes[name] = state.nodes[name].copy()
    for entry in entries:
        node.log.append(entry)
    return node


def test_two_leaders_in_a_term_violate_election_safety() -> None:
    before = bootstrapped_state()
    after = before.copy()
    make_leader(after, "a", 2)
    invariants.check_transition(before, after)
    make_leader(after, "b", 3)
    invariants.check_transition(before, after)
    make_leader(after, "c", 2)
    with pytest.raises(InvariantViolationError, match="^ELECTION: a and c lead term 2"):
        invariants.check_transition(before, after)


def test_leader_that_truncates_or_changes_its_log_violates_append_only() -> None:
    before = bootstrapped_state()
    make_leader(before, "a", 2)
    append_entries(before, "a", Entry(2, 2, "noop"))
    longer = before.copy()
    append_entries(longer, "a", Entry(3, 2, "command", b"x"))
    invariants.check_transition(before, longer)
    for entries in ((), (Entry(2, 2, "command", b"x"),)):
        after = before.copy()
        after.nodes["a"] = after.nodes["a"].copy()
        after.nodes["a"].log.truncate(2)
        append_entries(after, "a", *entries)
        with pytest.raises(InvariantViolationError, match="^APPEND: a "):
            invariants.check_transition(before, after)


@pytest.mark.parametrize("differing", [Entry(2, 2, "command", b"y"), Entry(2, 1, "noop")])
def test_logs_that_differ_before_equal_index_and_term_violate_log_matching(differing: Entry) -> None:
    state = bootstrapped_state()
    append_entries(state, "a", Entry(2, 2, "command", b"x"), Entry(3, 3, "noop"))
    append_entries(state, "b", Entry(2, 2, "command", b"x"))
    append_entries(state, "c", Entry(2, 2, "command", b"x"), Entry(3, 4, "noop"))
    invariants.check_transition(state, state)
    state.nodes["c"].log.truncate(2)
    append_entries(state, "c", differing, Entry(3, 3, "noop"))
    with pytest.raises(InvariantViolationError, match="^MATCH: two logs differ up to entry 3"):
        invariants.check_transition(state, state)


def test_later_leader_without_committed_entry_violates_leader_completeness() -> None:
    state = bootstrapped_state()
    state.committed[2] = CommittedEntry(2, 2, b"x")
    make_leader(state, "a", 2)  # only leaders of later terms are checked
    invariants.check_transition(state, state)
    make_leader(state, "b", 3)
    with pytest.raises(InvariantViolationError, match="^COMPLETE: b leads term 3 without entry 2"):
        invariants.check_transition(state, state)
    append_entries(state, "b", Entry(2, 2, "command", b"x"))
    invariants.check_transition(state, state)


@pytest.mark.parametrize("entry", [Entry(2, 3, "command", b"x"), Entry(2, 2, "command", b"y")])
def test_applying_a_different_entry_than_committed_violates_state_machine_safety(entry: Entry) -> None:
    node = bootstrapped_state().nodes["a"]
    committed = CommittedEntry(2, 2, b"x")
    invariants.check_state_machine_safety(node, Entry(2, 2, "command", b"x"), committed)
    with pytest.raises(InvariantViolationError, match="^COMPLETE: a applies another entry 2 "):
        invariants.check_state_machine_safety(node, entry, committed)


def test_leader_that_commits_an_entry_of_an_earlier_term_violates_commit_rule() -> None:
    state = bootstrapped_state()
    invariants.check_commit_rule(
        state.nodes["b"], Entry(2, 1, "noop")
    )  # a follower may commit entries of any term
    leader = make_leader(state, "a", 3)
    invariants.check_commit_rule(leader, Entry(3, 3, "noop"))
    with pytest.raises(InvariantViolationError, match="^COMMIT: a commits entry 2 "):
        invariants.check_commit_rule(leader, Entry(2, 2, "noop"))


def test_delivery_removes_message_from_network_unless_duplicated() -> None:
    system = TransitionSystem()
    state = system.apply(bootstrapped_state(), actions.TimeOutElection("a"))
    message = next(iter(state.network))
    assert message not in system.apply(state, actions.Deliver(message)).network
    assert message in system.apply(state, actions.DeliverDuplicate(message)).network
    assert message not in system.apply(state, actions.DeliverAndCrash(message)).network
    assert message in state.network  # a transition does not modify its initial state


def test_replaced_disk_is_empty_and_belongs_to_a_new_member() -> None:
    state = bootstrapped_state()
    lost = TransitionSystem().apply(state, actions.LoseDisk("b"))
    assert lost.nodes["b"].me == Member("b", "b2") and not lost.nodes["b"].log.entries
    reused = TransitionSystem(reuses_disk_id=True).apply(state, actions.LoseDisk("b"))
    assert reused.nodes["b"].me == Member("b", "b1") and not reused.nodes["b"].log.entries


def test_member_that_crashes_before_sync_has_persisted_nothing() -> None:
    system = TransitionSystem()
    state = system.apply(bootstrapped_state(), actions.TimeOutElection("a"))
    for recipient in ("b", "a"):  # the pre-vote request and its response
        message = next(message for message in state.network if message.to.name == recipient)
        state = system.apply(state, actions.Deliver(message))
    request = next(message for message in state.network if message.to.name == "b")
    assert isinstance(request, VoteRequest) and not request.pre_vote
    crashed = system.apply(state, actions.DeliverAndCrash(request))
    assert crashed.disks["b"] == state.disks["b"] and crashed.nodes["b"].voted_for is None
    synced = system.apply(state, actions.Deliver(request))
    assert synced.disks["b"].voted_for == state.nodes["a"].me


def test_search_stops_at_its_limits_and_respects_the_budget() -> None:
    start = bootstrapped_state()
    start.budget = Budget(crashes=2)
    # A crash does not change a follower, so the states differ only in the remaining budget.
    search = BreadthFirstSearch(TransitionSystem(), 100, 10)
    assert search.run(start) == [] and (search.states, search.depth) == (3, 2)
    search = BreadthFirstSearch(TransitionSystem(), 100, 1)
    assert search.run(start) == [] and (search.states, search.depth) == (2, 1)
    start.budget = replace(start.budget, elections=2)
    search = BreadthFirstSearch(TransitionSystem(), 10, 10)
    assert search.run(start) == [] and search.states >= 10
