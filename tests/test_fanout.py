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


def fan(name: str, first: int = 0, leader: str = "a") -> FanoutTree:
    made = FanoutTree(name, NAMES, VOTERS, LEASE_US, 0, first)
    made.leader = leader
    return made


def own(made: FanoutTree) -> SubtreeReport:
    return SubtreeReport(made.me, 0, 5, encode_broker_set({made.broker_indexes[made.me]}))


def test_nobody_has_more_children_than_the_tree_is_wide_and_all_reach_the_leader() -> None:
    parents = {name: fan(name).parent() for name in NAMES if name != "a"}
    above = list(parents.values())
    assert all(above.count(name) <= TREE_WIDTH for name in NAMES if name not in VOTERS)
    assert all(above.count(name) <= TREE_WIDTH + len(VOTERS) - 1 for name in VOTERS)
    for name in parents:
        way = [name]
        while way[-1] != "a":
            way.append(parents[way[-1]])
            assert len(way) <= 6, way


def test_a_parent_that_is_silent_is_passed_over() -> None:
    """A parent dies: after a while its child reports to another broker."""
    made = fan("n50")
    first = made.parent()
    assert made.build_report(PEER_LOST_AFTER_US + 1, own(made)) is not None
    assert made.parent() != first


def test_a_lease_runs_from_the_report_that_was_granted_and_needs_what_was_agreed_on_by_then() -> None:
    made = fan("b")
    said = made.build_report(1_000_000, own(made))
    assert said is not None and said[0] == "a"
    made.on_update(1_700_000, TreeUpdate("a", "a", said[1].number, 9))
    made.activate_lease(8)
    assert made.lease_end_us == 0  # it does not know yet what it may not do
    made.activate_lease(9)
    assert made.lease_end_us == 1_000_000 + LEASE_US
    made.on_update(1_800_000, TreeUpdate("c", "c", said[1].number, 0))
    assert made.lease_end_us == 1_000_000 + LEASE_US  # not from who is no parent
    assert lease_lapse_us(LEASE_US) > LEASE_US * 1.01


def test_a_grant_of_the_last_process_is_none_of_this_one() -> None:
    """A broker restarts while a grant for its last process' report is on its way. Taken for one of the new
    process it would give a lease that nobody counts.
    """
    last = fan("b", first=700)
    said = last.build_report(1_000_000, own(last))
    assert said is not None
    again = fan("b", first=90_000)
    assert again.build_report(5_000_000, own(again)) is not None
    again.on_update(5_100_000, TreeUpdate("a", "a", said[1].number, 0))
    again.activate_lease(100)
    assert again.lease_end_us == 0


def test_who_falls_silent_between_question_and_answer_has_its_grant_and_is_counted_with_it() -> None:
    """What the leader counts as granted is what was in the round, not what it sees when that is confirmed."""
    leader, child, below = fan("a"), fan("b"), fan("n1")
    assert below.parent() == "b"
    said = below.build_report(900_000, own(below))
    assert said is not None
    child.on_report(950_000, said[1])
    told = child.build_report(1_000_000, own(child))
    assert told is not None
    leader.on_report(1_010_000, told[1])
    asked = leader.start_grant_round(1_020_000)
    later = child.build_report(
        1_000_000 + PEER_LOST_AFTER_US, own(child)
    )  # n1 has not been heard for long by then
    assert later is not None and leader.broker_indexes["n1"] not in decode_broker_set(later[1].alive_brokers)
    leader.on_report(1_010_000 + PEER_LOST_AFTER_US, later[1])
    leader.confirm_round(asked, 5)
    assert leader.broker_indexes["n1"] in asked.alive_brokers
    child.on_update(2_000_000, TreeUpdate("a", "a", leader.take_pending_grants(2_000_000)[0][1], 5))
    below.on_update(2_010_000, TreeUpdate("b", "a", said[1].number, 5))  # on its way since before
    below.activate_lease(5)
    assert below.lease_end_us == 900_000 + LEASE_US
