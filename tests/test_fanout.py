"""Fan-out tree of a fleet: the parent of each broker, and the leases that result from grants."""

from __future__ import annotations

from harriertide.consensus.fanout import PEER_TIMEOUT_US, TREE_WIDTH, FanoutTree, lease_lapse_us
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


def test_tree_width_is_bounded_and_every_broker_reaches_the_leader() -> None:
    """Reports of 103 brokers reach the leader over few levels, and no broker has too many children."""
    parents = {name: make_tree(name).parent() for name in NAMES if name != "a"}
    all_parents = list(parents.values())
    assert all(all_parents.count(name) <= TREE_WIDTH for name in NAMES if name not in VOTERS)
    assert all(all_parents.count(name) <= TREE_WIDTH + len(VOTERS) - 1 for name in VOTERS)
    for name in parents:
        path = [name]
        while path[-1] != "a":
            path.append(parents[path[-1]])
            assert len(path) <= 6, path


def test_a_silent_parent_is_replaced() -> None:
    """A parent fails: after a timeout its child reports to another broker."""
    tree = make_tree("n50")
    first = tree.parent()
    assert tree.build_report(PEER_TIMEOUT_US + 1, own_report(tree)) is not None
    assert tree.parent() != first


def test_a_lease_starts_at_its_granted_report_and_needs_the_grant_index_applied() -> None:
    """LEASE: a lease starts when the report is sent, and only a grant from the parent counts."""
    tree = make_tree("b")
    report = tree.build_report(1_000_000, own_report(tree))
    assert report is not None and report[0] == "a"
    tree.on_update(1_700_000, TreeUpdate("a", "a", report[1].number, 9))
    tree.activate_lease(8)
    assert tree.lease_end_us == 0  # the broker has not applied the log up to the grant index
    tree.activate_lease(9)
    assert tree.lease_end_us == 1_000_000 + LEASE_US
    tree.on_update(1_800_000, TreeUpdate("c", "c", report[1].number, 0))
    assert tree.lease_end_us == 1_000_000 + LEASE_US  # the sender is not the parent
    assert lease_lapse_us(LEASE_US) > LEASE_US * 1.01


def test_a_grant_for_a_report_of_the_previous_process_is_ignored() -> None:
    """A broker restarts while a grant for a report of its previous process is in flight. If the new process
    accepted it, it would hold a lease that the leader does not know of.
    """
    previous = make_tree("b", first=700)
    report = previous.build_report(1_000_000, own_report(previous))
    assert report is not None
    restarted = make_tree("b", first=90_000)
    assert restarted.build_report(5_000_000, own_report(restarted)) is not None
    restarted.on_update(5_100_000, TreeUpdate("a", "a", report[1].number, 0))
    restarted.activate_lease(100)
    assert restarted.lease_end_us == 0


def test_a_broker_that_falls_silent_before_the_confirmation_keeps_its_grant() -> None:
    """The leader counts the grants captured at the start of the round, not the brokers alive at its end."""
    leader, child, grandchild = make_tree("a"), make_tree("b"), make_tree("n1")
    assert grandchild.parent() == "b"
    report = grandchild.build_report(900_000, own_report(grandchild))
    assert report is not None
    child.on_report(950_000, report[1])
    relayed = child.build_report(1_000_000, own_report(child))
    assert relayed is not None
    leader.on_report(1_010_000, relayed[1])
    grant_round = leader.start_grant_round(1_020_000)
    # The report of n1 has expired by then.
    later = child.build_report(1_000_000 + PEER_TIMEOUT_US, own_report(child))
    assert later is not None and leader.broker_indexes["n1"] not in decode_broker_set(later[1].alive_brokers)
    leader.on_report(1_010_000 + PEER_TIMEOUT_US, later[1])
    leader.confirm_round(grant_round, 5)
    assert leader.broker_indexes["n1"] in grant_round.alive_brokers
    child.on_update(2_000_000, TreeUpdate("a", "a", leader.take_pending_grants(2_000_000)[0][1], 5))
    grandchild.on_update(2_010_000, TreeUpdate("b", "a", report[1].number, 5))  # sent before n1 fell silent
    grandchild.activate_lease(5)
    assert grandchild.lease_end_us == 900_000 + LEASE_US
