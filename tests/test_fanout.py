"""The tree of a fleet: who reports to whom, and which lease a grant gives."""

from __future__ import annotations

from harriertide.consensus.fanout import LOST_US, WIDTH, Fan, Feed, Report, bits, lapse_us, places

VOTERS = ("a", "b", "c")
NAMES = (*VOTERS, *(f"n{number}" for number in range(100)))
LEASE_US = 3_000_000


def fan(name: str, first: int = 0, leader: str = "a") -> Fan:
    made = Fan(name, NAMES, VOTERS, LEASE_US, 0, first)
    made.leader = leader
    return made


def own(made: Fan) -> Report:
    return Report(made.me, 0, 5, bits({made.place[made.me]}))


def test_nobody_has_more_children_than_the_tree_is_wide_and_all_reach_the_leader() -> None:
    parents = {name: fan(name).parent() for name in NAMES if name != "a"}
    above = list(parents.values())
    assert all(above.count(name) <= WIDTH for name in NAMES if name not in VOTERS)
    assert all(above.count(name) <= WIDTH + len(VOTERS) - 1 for name in VOTERS)
    for name in parents:
        way = [name]
        while way[-1] != "a":
            way.append(parents[way[-1]])
            assert len(way) <= 6, way


def test_a_parent_that_is_silent_is_passed_over() -> None:
    made = fan("n50")
    first = made.parent()
    assert made.report(LOST_US + 1, own(made)) is not None
    assert made.parent() != first


def test_a_lease_runs_from_the_report_that_was_granted_and_needs_what_was_agreed_on_by_then() -> None:
    made = fan("b")
    said = made.report(1_000_000, own(made))
    assert said is not None and said[0] == "a"
    made.hear_feed(1_700_000, Feed("a", "a", said[1].number, 9))
    made.settle(8)
    assert made.lease_end_us == 0  # it does not know yet what it may not do
    made.settle(9)
    assert made.lease_end_us == 1_000_000 + LEASE_US
    made.hear_feed(1_800_000, Feed("c", "c", said[1].number, 0))
    assert made.lease_end_us == 1_000_000 + LEASE_US  # not from who is no parent
    assert lapse_us(LEASE_US) > LEASE_US * 1.01


def test_a_grant_of_the_last_process_is_none_of_this_one() -> None:
    last = fan("b", first=700)
    said = last.report(1_000_000, own(last))
    assert said is not None
    again = fan("b", first=90_000)
    assert again.report(5_000_000, own(again)) is not None
    again.hear_feed(5_100_000, Feed("a", "a", said[1].number, 0))
    again.settle(100)
    assert again.lease_end_us == 0


def test_who_falls_silent_between_question_and_answer_has_its_grant_and_is_counted_with_it() -> None:
    """What the leader counts as granted is what was in the round, not what it sees when that is confirmed."""
    leader, child, below = fan("a"), fan("b"), fan("n1")
    assert below.parent() == "b"
    said = below.report(900_000, own(below))
    assert said is not None
    child.hear_report(950_000, said[1])
    told = child.report(1_000_000, own(child))
    assert told is not None
    leader.hear_report(1_010_000, told[1])
    asked = leader.round(1_020_000)
    later = child.report(1_000_000 + LOST_US, own(child))  # n1 has not been heard for long by then
    assert later is not None and leader.place["n1"] not in places(later[1].alive)
    leader.hear_report(1_010_000 + LOST_US, later[1])
    leader.confirm(asked, 5)
    assert leader.place["n1"] in asked.alive
    child.hear_feed(2_000_000, Feed("a", "a", leader.grants(2_000_000)[0][1], 5))
    below.hear_feed(2_010_000, Feed("b", "a", said[1].number, 5))  # on its way since before
    below.settle(5)
    assert below.lease_end_us == 900_000 + LEASE_US
