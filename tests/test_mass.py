"""Two hundred heads that do the same thing at once: what each may do alone adds up. The module alone."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from harriertide.decide import api
from harriertide.decide.rules import NEAR, Scheduler
from tests.helpers import SETTINGS, START_US, sends

HEADS, SHARDS = 200, 119
MASS = replace(SETTINGS, heads=HEADS, shards=SHARDS)
LIST = api.NodeList("held", tuple(api.NodeEntry(f"n{shard:03}", shard) for shard in range(SHARDS)))
SECOND = 1_000_000


def head_of(number: int, **changes: object) -> Scheduler:
    return Scheduler(replace(MASS, head=number, **changes), 100 + number)  # type: ignore[arg-type]


def test_calls_for_the_list_stay_apart_and_none_waits_longer_than_the_settings_allow() -> None:
    """Discovery turns every call away for two minutes: each counts as told four times ask_within_us later."""
    within_us = 8 * SECOND
    heads = [head_of(i, ask_for_list=True, ask_within_us=within_us) for i in range(HEADS)]
    calls: dict[int, list[int]] = {i: [] for i in range(HEADS)}
    for ms in range(0, 120_000, 20):
        for i, head in enumerate(heads):
            now = START_US + ms * 1_000
            done = head.decide(now, [] if ms else [LIST])
            if any(isinstance(action, api.Subscribe) for action in done):
                calls[i].append(ms * 1_000)
                head.decide(now, [api.NodeList("failed")])
    assert max(times[0] for times in calls.values()) < within_us
    gaps = [late - soon for times in calls.values() for soon, late in zip(times, times[1:], strict=False)]
    assert max(gaps) <= 4 * within_us - 6 * SECOND  # a call may last 6 s before it fails
    by_second = Counter(at // SECOND for times in calls.values() for at in times)
    assert max(by_second.values()) <= 70 and max(n for s, n in by_second.items() if s > 40) <= 30


def test_new_objects_of_a_head_go_to_a_few_shards_and_those_of_all_heads_to_all_alike() -> None:
    """A node drawn anew for each object has no connection of this head: each costs it a handshake."""
    by_shard: Counter[str] = Counter()
    for number in range(HEADS):
        head, placed = head_of(number), Counter[str]()
        head.decide(START_US, [LIST])
        for i in range(40):
            at = START_US + 1_000 + i * 20_000
            asked = api.Arrival(f"{number}.{i}", 0, 0, "v", -1, at + 2_000_000, 2.0)
            for send in sends(head.decide(at, [asked])):
                placed[send.node] += 1
                head.decide(at + 10_000, [api.Outcome(send.request, 0, send.node, "ok", 10_000, True)])
        assert placed.total() == 40 and len(placed) <= NEAR
        by_shard += placed
    assert len(by_shard) == SHARDS
    assert max(by_shard.values()) <= 2 * by_shard.total() / SHARDS


def test_a_head_whose_near_nodes_are_gone_places_new_objects_at_the_others() -> None:
    head = head_of(7)
    far = tuple(entry for entry in LIST.nodes if entry.shard not in head._near)
    head.decide(START_US, [replace(LIST, nodes=far)])
    placed = Counter[str]()
    for i in range(40):
        at = START_US + 1_000 + i * 20_000
        asked = api.Arrival(f"r{i}", 0, 0, "v", -1, at + 2_000_000, 2.0)
        for send in sends(head.decide(at, [asked])):
            placed[send.node] += 1
            head.decide(at + 10_000, [api.Outcome(send.request, 0, send.node, "ok", 10_000, True)])
    assert placed.total() == 40 and len(placed) > NEAR


def test_a_drain_that_discovery_cannot_tell_stops_all_sends_with_the_first_list_that_comes() -> None:
    """Discovery turns a head away for 100 s while a node drains and turns each request away itself.

    What a head sends meanwhile it cannot know to be wrong; that it asks as often as it must is its part.
    """
    within_us, told_us = 8 * SECOND, START_US + 100 * SECOND
    drained = replace(LIST, kind="changes", nodes=(api.NodeEntry("n000", 0, "draining"),))
    gaps, sent = [0], Counter[str]()
    for number in range(12):
        head, calls = head_of(number, ask_for_list=True, ask_within_us=within_us), [START_US]
        for ms in range(0, 102_000, 50):
            now = START_US + ms * 1_000
            events: list[api.Event] = [] if ms else [LIST]
            events += [drained] * (now == told_us)
            if ms % 500 == 100:
                events.append(api.Arrival(f"r{ms}", 0, 0, "v", 0, now + 2 * SECOND, 2.0))
            actions = head.decide(now, events)
            while actions:
                back: list[api.Event] = []
                for action in actions:
                    if isinstance(action, api.Subscribe) and now < told_us:
                        calls.append(now)
                        back.append(api.NodeList("failed"))
                    elif isinstance(action, api.Send):
                        sent["before" if now < told_us else "after"] += 1
                        attempt = head._requests[action.request].sent - 1
                        back.append(api.Outcome(action.request, attempt, action.node, "full", 1_000))
                actions = head.decide(now, back) if back else []
        gaps += [late - soon for soon, late in zip(calls, calls[1:], strict=False)]
        assert not head._requests
    assert max(gaps) <= 4 * within_us - 6 * SECOND
    assert sent["before"] > 0 and sent["after"] == 0


@pytest.mark.parametrize("case", ["seven in ten die with both keepers", "keeper and standby are cut off"])
@pytest.mark.parametrize("cold_units", [5.0, 24.0])  # one keeper holds all of 5 units; two hold most of 24
def test_units_sent_to_a_cold_node_by_all_heads_stay_within_what_it_bears(
    case: str, cold_units: float
) -> None:
    """Heads that come back without memory of what they gave, or keepers that don't hear of each other."""
    settings = replace(MASS, cold_units=cold_units)
    random, start = Random(5), START_US + 3 * SECOND
    fleet = [Scheduler(replace(settings, head=i), i) for i in range(HEADS)]
    keepers = fleet[0]._keepers(0)
    old, fresh = (api.NodeEntry("n0", 0),), (api.NodeEntry("n0", 0, "live", 0, start),)
    for one in fleet:
        one.decide(START_US, [api.NodeList("held", old)])
        one.decide(start, [api.NodeList("changes", fresh)])
    users = sorted({*random.sample(range(HEADS), 40), *keepers})
    dead = {*random.sample(users, 28), *keepers} if case.startswith("seven") else set()
    side = {i: i % 2 for i in users} | {keepers[0]: 0, keepers[1]: 1}
    back = {i: start + SECOND + random.randrange(300_000, 900_000) for i in dead}
    back |= {i: start + SECOND + 200_000 for i in dead & set(keepers)}  # within the window of what they gave
    post: dict[int, list[tuple[int, api.PeerNote]]] = {i: [] for i in users}
    sent: list[tuple[int, float]] = []
    for step in range(1, 250):
        now = start + step * 20_000
        for i in users:
            if i in dead and start + SECOND <= now < back[i]:
                fleet[i] = Scheduler(replace(settings, head=i), 1_000 + i)
                post[i].clear()
                continue
            events: list[api.Event] = [note for at, note in post[i] if at <= now]
            post[i] = [(at, note) for at, note in post[i] if at > now]
            if i in dead and back[i] <= now < back[i] + 20_000:
                events.append(api.NodeList("held", fresh))
            if random.random() < 0.3:
                asked = f"q{step}.{i}"
                events.append(
                    api.Arrival(asked, 0, 0, "v", 0, now + 2_000_000, float(random.randrange(1, 5)))
                )
            for action in fleet[i].decide(now, events):
                if isinstance(action, api.Tell) and action.head in post:
                    cut = not case.startswith("seven") and side[i] != side[action.head] and step > 50
                    if not cut:
                        post[action.head].append(
                            (now + random.randrange(30_000), api.PeerNote(i, action.body))
                        )
                elif isinstance(action, api.Send):
                    sent.append((now, fleet[i]._requests[action.request].arrival.units))
                    fleet[i].decide(now, [api.Outcome(action.request, 0, "n0", "ok", 9, True)])
    assert sum(units for at, units in sent if at > start + 3 * SECOND) > cold_units  # it is used all the same
    for at, _ in sent:
        grown = 1 + max(0, at - SETTINGS.fall_us - start) / SETTINGS.cold_us * (1 / SETTINGS.cold_from - 1)
        window = sum(units for t, units in sent if at - SETTINGS.fall_us < t <= at)
        assert window <= cold_units * grown + 1e-6
