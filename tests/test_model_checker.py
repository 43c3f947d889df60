"""The model checker of Raft: each invariant finds a state that breaks it, and actions do what they say."""

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


def leader_of(state: ModelState, name: str, term: int) -> RaftState:
    """Make a member a leader, without an election."""
    node = state.nodes[name] = state.nodes[name].copy()
    node.role, node.term = Role.LEADER, term
    state.leaders.setdefault(term, node.me)
    return node


def with_entries(state: ModelState, name: str, *entries: Entry) -> RaftState:
    node = state.nodes[name] = state.nodes[name].copy()
    for entry in entries:
        node.log.append(entry)
    return node


def test_two_leaders_of_a_term_break_election_safety() -> None:
    before = bootstrapped_state()
    after = before.copy()
    leader_of(after, "a", 2)
    invariants.check_transition(before, after)
    leader_of(after, "b", 3)
    invariants.check_transition(before, after)
    leader_of(after, "c", 2)
    with pytest.raises(InvariantViolationError, match="^ELECTION: a and c lead term 2"):
        invariants.check_transition(before, after)


def test_a_leader_that_truncates_or_changes_its_log_breaks_append_only() -> None:
    before = bootstrapped_state()
    leader_of(before, "a", 2)
    with_entries(before, "a", Entry(2, 2, "noop"))
    longer = before.copy()
    with_entries(longer, "a", Entry(3, 2, "command", b"x"))
    invariants.check_transition(before, longer)
    for entries in ((), (Entry(2, 2, "command", b"x"),)):
        after = before.copy()
        after.nodes["a"] = after.nodes["a"].copy()
        after.nodes["a"].log.truncate(2)
        with_entries(after, "a", *entries)
        with pytest.raises(InvariantViolationError, match="^APPEND: a "):
            invariants.check_transition(before, after)


@pytest.mark.parametrize("own", [Entry(2, 2, "command", b"y"), Entry(2, 1, "noop")])
def test_logs_that_differ_before_an_equal_index_and_term_break_log_matching(own: Entry) -> None:
    state = bootstrapped_state()
    with_entries(state, "a", Entry(2, 2, "command", b"x"), Entry(3, 3, "noop"))
    with_entries(state, "b", Entry(2, 2, "command", b"x"))
    with_entries(state, "c", Entry(2, 2, "command", b"x"), Entry(3, 4, "noop"))
    invariants.check_transition(state, state)
    state.nodes["c"].log.truncate(2)
    with_entries(state, "c", own, Entry(3, 3, "noop"))
    with pytest.raises(InvariantViolationError, match="^MATCH: two logs differ up to entry 3"):
        invariants.check_transition(state, state)


def test_a_leader_of_a_later_term_without_a_committed_entry_breaks_completeness() -> None:
    state = bootstrapped_state()
    state.committed[2] = CommittedEntry(2, 2, b"x")
    leader_of(state, "a", 2)  # only leaders of later terms are checked
    invariants.check_transition(state, state)
    leader_of(state, "b", 3)
    with pytest.raises(InvariantViolationError, match="^COMPLETE: b leads term 3 without entry 2"):
        invariants.check_transition(state, state)
    with_entries(state, "b", Entry(2, 2, "command", b"x"))
    invariants.check_transition(state, state)


@pytest.mark.parametrize("entry", [Entry(2, 3, "command", b"x"), Entry(2, 2, "command", b"y")])
def test_another_entry_than_was_committed_breaks_state_machine_safety(entry: Entry) -> None:
    node = bootstrapped_state().nodes["a"]
    committed = CommittedEntry(2, 2, b"x")
    invariants.check_state_machine_safety(node, Entry(2, 2, "command", b"x"), committed)
    with pytest.raises(InvariantViolationError, match="^COMPLETE: a applies another entry 2 "):
        invariants.check_state_machine_safety(node, entry, committed)


def test_a_leader_that_commits_up_to_an_earlier_term_breaks_the_commit_rule() -> None:
    state = bootstrapped_state()
    invariants.check_commit_rule(
        state.nodes["b"], Entry(2, 1, "noop")
    )  # followers commit what the leader has committed
    leader = leader_of(state, "a", 3)
    invariants.check_commit_rule(leader, Entry(3, 3, "noop"))
    with pytest.raises(InvariantViolationError, match="^COMMIT: a commits entry 2 "):
        invariants.check_commit_rule(leader, Entry(2, 2, "noop"))


def test_a_delivered_message_is_gone_unless_it_is_duplicated() -> None:
    system = TransitionSystem()
    state = system.apply(bootstrapped_state(), actions.TimeOutElection("a"))
    message = next(iter(state.network))
    assert message not in system.apply(state, actions.Deliver(message)).network
    assert message in system.apply(state, actions.DeliverDuplicate(message)).network
    assert message not in system.apply(state, actions.DeliverAndCrash(message)).network
    assert message in state.network  # a transition leaves the state that it starts from as it was


def test_a_lost_disk_comes_back_empty_and_as_another_member() -> None:
    state = bootstrapped_state()
    lost = TransitionSystem().apply(state, actions.LoseDisk("b"))
    assert lost.nodes["b"].me == Member("b", "b2") and not lost.nodes["b"].log.entries
    seeded = TransitionSystem(reuses_disk_id=True).apply(state, actions.LoseDisk("b"))
    assert seeded.nodes["b"].me == Member("b", "b1") and not seeded.nodes["b"].log.entries


def test_a_member_that_crashes_before_a_sync_has_written_nothing() -> None:
    system = TransitionSystem()
    state = system.apply(bootstrapped_state(), actions.TimeOutElection("a"))
    for recipient in ("b", "a"):  # the pre-vote and its answer
        message = next(each for each in state.network if each.to.name == recipient)
        state = system.apply(state, actions.Deliver(message))
    request = next(each for each in state.network if each.to.name == "b")
    assert isinstance(request, VoteRequest) and not request.pre_vote
    crashed = system.apply(state, actions.DeliverAndCrash(request))
    assert crashed.disks["b"] == state.disks["b"] and crashed.nodes["b"].voted_for is None
    synced = system.apply(state, actions.Deliver(request))
    assert synced.disks["b"].voted_for == state.nodes["a"].me


def test_a_search_stops_at_its_limits_and_spends_the_budget() -> None:
    start = bootstrapped_state()
    start.budget = Budget(crashes=2)
    # A crash leaves a follower as it was, so only what is left of the budget tells the states apart.
    search = BreadthFirstSearch(TransitionSystem(), 100, 10)
    assert search.run(start) == [] and (search.states, search.depth) == (3, 2)
    search = BreadthFirstSearch(TransitionSystem(), 100, 1)
    assert search.run(start) == [] and (search.states, search.depth) == (2, 1)
    start.budget = replace(start.budget, elections=2)
    search = BreadthFirstSearch(TransitionSystem(), 10, 10)
    assert search.run(start) == [] and search.states >= 10
