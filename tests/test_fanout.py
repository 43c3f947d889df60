"""The tree of a fleet: who reports to whom, and which lease a grant gives."""

from __future__ import annotations

from harriertide.consensus.fanout import PEER_LOST_AFTER_US, TREE_WIDTH, FanoutTree, lease_lapse_us
from harriertide.consensus.fanout_messages import (
    SubtreeReport,
    TreeUpdate,
    decode_broker_set,
    encode_broker_set,
)

VOTERS = ("a", "b", "c")
NAMES = (*VOTERS, *(f"n{number}" for number in range(100)))
LEASE_US = 3_000_000


def make_tree(name: str, first: int = 0, leader: str = "a") -> FanoutTree:
    tree = FanoutTree(name, NAMES, VOTERS, LEASE_US, 0, first)
    tree.leader = leader
    return tree


def own_report(tree: FanoutTree) -> SubtreeReport:
    return SubtreeReport(tree.me, 0, 5, encode_broker_set({tree.broker_indexes[tree.me]}))


def test_nobody_has_more_children_than_the_tree_is_wide_and_all_reach_the_leader() -> None:
    """Reports of 103 brokers reach the leader over few levels, and no broker receives more than its share."""
    parents = {name: make_tree(name).parent() for name in NAMES if name != "a"}
    above = list(parents.values())
    assert all(above.count(name) <= TREE_WIDTH for name in NAMES if name not in VOTERS)
    assert all(above.count(name) <= TREE_WIDTH + len(VOTERS) - 1 for name in VOTERS)
    for name in parents:
        path = [name]
        while path[-1] != "a":
            path.append(parents[path[-1]])
            assert len(path) <= 6, path


def test_a_parent_that_is_silent_is_passed_over() -> None:
    """A parent dies: after a while its child reports to another broker."""
    tree = make_tree("n50")
    first = tree.parent()
    assert tree.build_report(PEER_LOST_AFTER_US + 1, own_report(tree)) is not None
    assert tree.parent() != first


def test_a_lease_runs_from_the_report_that_was_granted_and_needs_what_was_agreed_on_by_then() -> None:
    """LEASE: a lease counts from when the report was sent, and no broker but the parent grants it."""
    tree = make_tree("b")
    report = tree.build_report(1_000_000, own_report(tree))
    assert report is not None and report[0] == "a"
    tree.on_update(1_700_000, TreeUpdate("a", "a", report[1].number, 9))
    tree.activate_lease(8)
    assert tree.lease_end_us == 0  # it does not know yet what it may not do
    tree.activate_lease(9)
    assert tree.lease_end_us == 1_000_000 + LEASE_US
    tree.on_update(1_800_000, TreeUpdate("c", "c", report[1].number, 0))
    assert tree.lease_end_us == 1_000_000 + LEASE_US  # not from who is no parent
    assert lease_lapse_us(LEASE_US) > LEASE_US * 1.01


def test_a_grant_of_the_last_process_is_none_of_this_one() -> None:
    """A broker restarts while a grant for its last process' report is on its way. Taken for one of the new
    process it would give a lease that nobody counts.
    """
    last = make_tree("b", first=700)
    report = last.build_report(1_000_000, own_report(last))
    assert report is not None
    again = make_tree("b", first=90_000)
    assert again.build_report(5_000_000, own_report(again)) is not None
    again.on_update(5_100_000, TreeUpdate("a", "a", report[1].number, 0))
    again.activate_lease(100)
    assert again.lease_end_us == 0


def test_who_falls_silent_between_question_and_answer_has_its_grant_and_is_counted_with_it() -> None:
    """What the leader counts as granted is what was in the round, not what it sees when that is confirmed."""
    leader, child, grandchild = make_tree("a"), make_tree("b"), make_tree("n1")
    assert grandchild.parent() == "b"
    report = grandchild.build_report(900_000, own_report(grandchild))
    assert report is not None
    child.on_report(950_000, report[1])
    relayed = child.build_report(1_000_000, own_report(child))
    assert relayed is not None
    leader.on_report(1_010_000, relayed[1])
    grant_round = leader.start_grant_round(1_020_000)
    later = child.build_report(
        1_000_000 + PEER_LOST_AFTER_US, own_report(child)
    )  # n1 has not been heard for long by then
    assert later is not None and leader.broker_indexes["n1"] not in decode_broker_set(later[1].alive_brokers)
    leader.on_report(1_010_000 + PEER_LOST_AFTER_US, later[1])
    leader.confirm_round(grant_round, 5)
    assert leader.broker_indexes["n1"] in grant_round.alive_brokers
    child.on_update(2_000_000, TreeUpdate("a", "a", leader.take_pending_grants(2_000_000)[0][1], 5))
    grandchild.on_update(2_010_000, TreeUpdate("b", "a", report[1].number, 5))  # on its way since before
    grandchild.activate_lease(5)
    assert grandchild.lease_end_us == 900_000 + LEASE_US
