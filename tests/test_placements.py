"""Reads of new objects whose client names another shard than the one that took them."""

from __future__ import annotations

import pytest

from harriertide.decide import api
from harriertide.decide.rules import REST_US
from harriertide.decide.state import PLACEMENTS, Placements
from tests.helpers import Head, refusals, sends

NODES = (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1))
SHARD = {"n0": 0, "n1": 1}


def place(head: Head, key: str = "k", kind: str = "ok") -> api.Send:
    """Write a new object: its last attempt."""
    (sent,) = sends(head.ask(1, shard=-1, key=key))
    head.end(sent.request, kind, node=sent.node)
    return sent


def other(node: str) -> str:
    return "n1" if node == "n0" else "n0"


def test_a_read_that_its_node_calls_moot_goes_to_the_shard_that_took_its_object() -> None:
    head = Head(NODES)
    holder = place(head).node
    (first,) = sends(head.ask(shard=SHARD[other(holder)], key="k"))
    assert first.node == other(holder)  # as its client says
    (second,) = sends(head.end(first.request, "moot", node=first.node))
    assert (second.request, second.node) == (first.request, holder)
    assert not refusals(head.end(first.request, "ok", 1, holder))


def test_one_that_is_moot_there_as_well_is_refused_at_once() -> None:
    head = Head(NODES)
    holder = place(head).node
    (first,) = sends(head.ask(shard=SHARD[other(holder)], key="k"))
    head.end(first.request, "moot", node=first.node)
    done = head.end(first.request, "moot", 1, holder)
    assert refusals(done) and not sends(done)


@pytest.mark.parametrize("key", ["", "another"])
def test_one_whose_object_is_not_known_is_refused_at_once(key: str) -> None:
    head = Head(NODES)
    place(head, "")
    (first,) = sends(head.ask(shard=0, key=key))
    done = head.end(first.request, "moot", node=first.node)
    assert refusals(done) and not sends(done)


def test_a_new_object_that_is_moot_is_not_sent_where_an_older_one_of_its_key_lies() -> None:
    head = Head(NODES)
    place(head)
    (first,) = sends(head.ask(1, shard=-1, key="k"))
    done = head.end(first.request, "moot", node=first.node)
    assert refusals(done) and not sends(done)


def test_moot_where_the_object_lies_is_refused_at_once() -> None:
    head = Head(NODES)
    holder = place(head).node
    (first,) = sends(head.ask(shard=SHARD[holder], key="k"))
    done = head.end(first.request, "moot", node=holder)
    assert refusals(done) and not sends(done)


def test_a_write_that_may_have_run_elsewhere_first_tells_no_place() -> None:
    head = Head(NODES)
    (first,) = sends(head.ask(0, shard=-1, key="k"))
    actions = head.end(first.request, "reset", node=first.node)
    while not (again := sends(actions)):
        actions = head.idle(50_000)
    head.end(first.request, "ok", 1, again[0].node)
    known = head.scheduler._placed.rows.get("k", (None, 0))[0]
    assert known == (SHARD[first.node] if again[0].node == first.node else None)


def test_what_is_moot_is_no_pressure() -> None:
    head = Head(NODES)
    for _ in range(50):
        (sent,) = sends(head.ask(shard=0))
        head.end(sent.request, "moot", node=sent.node, after_us=1_000)
    assert head.scheduler._cells[0].strain < 0.05 and not head.scheduler._cells[0].tight


def test_places_of_new_objects_are_bounded_and_the_newest_stay() -> None:
    placements = Placements()
    for number in range(PLACEMENTS + 10):
        placements.put(f"{number}", 0, number)
    placements.put("10", 1, PLACEMENTS + 10)
    placements.put("one more", 1, PLACEMENTS + 11)
    rows = placements.rows
    assert len(rows) == PLACEMENTS and "9" not in rows and rows["10"][0] == 1 and "11" not in rows
    placements.forget(PLACEMENTS + 10)
    assert list(rows) == ["one more"]


def test_places_are_forgotten_with_time() -> None:
    head = Head(NODES)
    place(head)
    head.idle(REST_US // 2, 500_000)
    assert head.scheduler._placed.rows
    head.idle(REST_US, 500_000)
    assert not head.scheduler._placed.rows
