"""Leases of rate limits: elections under message loss, crashes, stalls and clock drift."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import pytest

from harriertide.decide.leases import LEASE_US, VOTE_INTERVAL_US, Leases
from tests.helpers import (
    SECOND_US,
)


def run_elections(seed: int, brokers: int, loss_ratio: float) -> Iterator[tuple[int, list[int]]]:
    """Yield, every 10 ms for a minute, the time and the brokers that hold slot 0 by their own clocks.

    Messages are lost, delayed and duplicated; brokers crash, restart without their state, and stall for up to
    3 s.
    """
    random = Random(seed)
    drift = [1 + random.uniform(-0.004, 0.004) for _ in range(brokers)]
    fleet: list[Leases | None] = [Leases(i, brokers, 0) for i in range(brokers)]
    next_us, stalled_until_us = [0] * brokers, [0] * brokers
    deliveries: list[tuple[int, int, int, str, int, int]] = []
    for now in range(0, 60 * SECOND_US, 10_000):
        for i in range(brokers):
            clock = int(now * drift[i])
            leases = fleet[i]
            if random.random() < 0.0003:
                stalled_until_us[i] = now + random.randrange(3 * SECOND_US)
            if random.random() < 0.0001 * (1 if leases else 10):
                fleet[i] = leases = None if leases else Leases(i, brokers, clock)
            if leases is None or now < stalled_until_us[i]:
                continue
            arrived = [m for m in deliveries if m[1] == i and m[0] <= now]
            deliveries = [m for m in deliveries if m[1] != i or m[0] > now]
            outgoing: list[tuple[int, str, int, int]] = []
            for _, _, sender, kind, slot, number in sorted(arrived):
                if kind == "request" and leases.grant_vote(clock, sender, slot):
                    outgoing.append((sender, "vote", slot, number))
                elif kind == "vote":
                    leases.count_vote(clock, sender, slot, number)
            if clock >= next_us[i]:
                next_us[i] = clock + VOTE_INTERVAL_US
                outgoing += [
                    (broker, "request", slot, number) for broker, slot, number in leases.request_votes(clock)
                ]
            for broker, kind, slot, number in outgoing:
                for _ in range((random.random() >= loss_ratio) + (random.random() < 0.1)):
                    deliveries.append((now + random.randrange(1_000, 60_000), broker, i, kind, slot, number))
        holders = [
            i for i in range(brokers) if (leases := fleet[i]) and leases.is_holder(0, int(now * drift[i]))
        ]
        yield now, holders


@pytest.mark.parametrize("brokers", [2, 3, 5, 8])
@pytest.mark.parametrize("seed", range(6))
def test_no_two_brokers_hold_a_lease_at_once(brokers: int, seed: int) -> None:
    """Messages are lost, delayed and duplicated; brokers crash, restart and stall; clocks drift.

    A broker that resumes after a stall holds its lease only if the lease is still valid by its own clock.
    """
    held_count = 0
    for _, holders in run_elections(seed, brokers, 0.3):
        assert len(holders) <= 1
        held_count += len(holders)
    # of 6,000 checks; a group of two elects no holder while one of its brokers is down
    assert held_count > 3_000 or brokers == 2


def test_without_faults_a_lease_is_held_from_soon_after_the_start_on() -> None:
    fleet = [Leases(i, 5, 0) for i in range(5)]
    gap_count = 0
    for now in range(0, 20 * SECOND_US, VOTE_INTERVAL_US):
        for leases in fleet:
            for broker, slot, number in leases.request_votes(now):
                if fleet[broker].grant_vote(now, leases.broker_index, slot):
                    leases.count_vote(now, broker, slot, number)
        gap_count += any(not fleet[slot].is_holder(slot, now) for slot in range(5))
    assert gap_count * VOTE_INTERVAL_US <= LEASE_US + VOTE_INTERVAL_US


def test_a_broker_that_has_just_started_votes_for_nobody() -> None:
    """A broker votes, restarts, and does not remember its vote. A second vote within the same lease time
    could make two brokers hold the slot.
    """
    restarted = Leases(1, 3, 10 * SECOND_US)
    assert not restarted.grant_vote(10 * SECOND_US, 0, 0) and not restarted.grant_vote(
        10 * SECOND_US + LEASE_US - 1, 0, 0
    )
    assert restarted.grant_vote(10 * SECOND_US + LEASE_US, 0, 0) and not restarted.grant_vote(
        10 * SECOND_US + LEASE_US, 2, 0
    )


def test_of_two_candidates_that_need_each_others_vote_the_first_of_the_group_wins() -> None:
    """One of three brokers is dead, and the two others become candidates for the same slot at the same time.

    One must give way, or neither ever wins. Late votes for the candidate that gave way make no lease.
    """
    first, last = Leases(0, 3, 0), Leases(1, 3, 0)
    now = 2 * LEASE_US
    vote_requests = {
        leases.broker_index: [request for request in leases.request_votes(now) if request[1] == 0]
        for leases in (first, last)
    }
    assert vote_requests[0] and vote_requests[1]
    assert not first.grant_vote(now, 1, 0) and last.grant_vote(now, 0, 0)
    first.count_vote(now, 1, 0, vote_requests[0][0][2])
    assert first.is_holder(0, now)
    last.count_vote(now, 2, 0, vote_requests[1][0][2])
    last.count_vote(now, 0, 0, vote_requests[1][0][2])
    assert not last.is_holder(0, now) and last.presumed_holder(0, now, 0) == 0
    first.request_votes(now + VOTE_INTERVAL_US)
    assert first.is_holder(0, now + VOTE_INTERVAL_US) and not first.grant_vote(now + VOTE_INTERVAL_US, 2, 0)


def test_votes_of_outsiders_and_for_older_ballots_do_not_count() -> None:
    """Votes arrive from brokers outside the group, for older ballots, or twice."""
    leases = Leases(0, 8, 0)
    requests = [request for request in leases.request_votes(LEASE_US) if request[1] == 0]
    assert {broker for broker, _, _ in requests} == {1, 2, 3, 4}
    for broker in (5, 6, 7):
        leases.count_vote(LEASE_US, broker, 0, requests[0][2])
    for broker in (1, 2):
        leases.count_vote(LEASE_US, broker, 0, requests[0][2] + 1)
    assert not leases.is_holder(0, LEASE_US) and not Leases(6, 8, 0).grant_vote(LEASE_US, 1, 0)
    assert Leases(0, 8, 77_000).slots[0].ballot_number == 77
    leases.count_vote(LEASE_US, 1, 0, requests[0][2])
    leases.count_vote(LEASE_US, 1, 0, requests[0][2])
    assert not leases.is_holder(0, LEASE_US)
    leases.count_vote(LEASE_US, 2, 0, requests[0][2])
    assert leases.is_holder(0, LEASE_US) and not leases.is_holder(0, 2 * LEASE_US)
