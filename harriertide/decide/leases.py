"""Leases of slots by majority vote, which decide the broker that keeps a volume's rate limit.

This module does no I/O and reads no clock: time and messages are arguments.

The rate limit of a plan covers all brokers together, so each volume has one shared token bucket, at the
broker that holds the volume's slot. A small group of brokers elects the holder of each slot for the time of a
lease. A vote is a promise to vote for no other broker for LEASE_US:

- Invariant: a broker has promised a slot to at most one broker at a time, and promises the slot to another
  broker only after the last promise has expired.
- Invariant: a lease ends before each of the promises that it rests on.

So no two brokers hold a slot at the same time. A broker that has just started may have given a promise
before its restart, which it does not remember; it gives no vote until such a promise has expired.
docs/design/deployments.md has the proof.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from harriertide.decide.quota_credit import REQUEST_NUMBER_COUNT, UNIT_COUNTER_COUNT
from harriertide.decide.units import MILLISECOND_US

# Largest number of brokers that elect the holder of a slot: odd, and small, so that the number of messages
# for each slot does not grow with the fleet.
MAX_GROUP_SIZE = 5
# Interval between the requests for votes of a candidate or a lease holder.
VOTE_INTERVAL_US = 45_000
# Requests for votes within one lease: with 30% of messages lost and one of three brokers dead, all of them
# fail with a probability of 1 in 10,000.
BALLOTS_PER_LEASE = 14
LEASE_US = BALLOTS_PER_LEASE * VOTE_INTERVAL_US
# Largest difference between the rates of two brokers' clocks, as a part of the lease time.
CLOCK_DRIFT_RATIO = 0.01
NO_BROKER = -1


class Ballot(NamedTuple):
    """A candidate's request for votes: its time, and the brokers that have voted for it."""

    requested_at_us: int
    voters: set[int]


@dataclass(slots=True)
class LeaseSlot:
    """The state of a slot at one broker of the slot's group.

    promised_to, promised_until_us: the broker that this broker has voted for last, and the end of that
    promise. candidate_since_us: the time at which this broker became a candidate, or last held the slot.
    held_since_us, held_until_us: this broker's own lease, including renewals without a gap.
    """

    promised_to: int = NO_BROKER
    promised_until_us: int = 0
    ballot_number: int = 0  # this broker's last ballot
    candidate_since_us: int = 0
    ballots: dict[int, Ballot] = field(default_factory=dict)  # by number, oldest first
    held_since_us: int = 0
    held_until_us: int = 0


class VoteRequest(NamedTuple):
    """A request for another broker's vote; number: of the ballot."""

    broker: int
    slot: int
    number: int


class Leases:
    """The slots whose groups this broker belongs to, its votes for their holders, and its own leases."""

    def __init__(self, broker_index: int, broker_count: int, now_us: int) -> None:
        self.broker_index = broker_index
        self.broker_count = broker_count
        # distinguishes this start of the broker from earlier ones: it repeats only after about a minute
        self.epoch = now_us // MILLISECOND_US % UNIT_COUNTER_COUNT
        # an odd number: with four brokers, the fourth would raise the majority to three and add messages
        self._group_size = min(MAX_GROUP_SIZE, broker_count - 1 + broker_count % 2)
        first_vote_at_us = now_us + LEASE_US if self._group_size > 1 else now_us
        # The first ballot number differs from start to start, so that a late vote for a ballot of before the
        # restart is not counted for a new ballot of the same number.
        initial_slot = LeaseSlot(
            promised_until_us=first_vote_at_us, ballot_number=self.epoch % REQUEST_NUMBER_COUNT
        )
        self.slots = {
            (broker_index - rank) % broker_count: replace(initial_slot, ballots={})
            for rank in range(self._group_size)
        }

    def group(self, slot: int) -> list[int]:
        """Return the brokers that elect a slot's holder, in the order in which they become candidates."""
        return [(slot + rank) % self.broker_count for rank in range(self._group_size)]

    def slot_of(self, volume_key: int) -> int:
        """Return the slot whose holder keeps a volume's token bucket."""
        return volume_key % self.broker_count

    def is_holder(self, slot: int, now_us: int) -> bool:
        """Whether this broker holds the slot now."""
        state = self.slots.get(slot)
        return state is not None and state.held_since_us > 0 and now_us < state.held_until_us

    def presumed_holder(self, slot: int, now_us: int, unanswered: int) -> int:
        """Return the broker to ask for units: the one that this broker's promise names.

        :param unanswered: requests that got no answer so far; without a promise, this count selects the
            members of the group in turn
        """
        state = self.slots.get(slot)
        if state is not None and state.promised_to >= 0 and state.promised_until_us > now_us:
            return state.promised_to
        group = self.group(slot)
        return group[unanswered % len(group)]

    def request_votes(self, now_us: int) -> list[VoteRequest]:
        """Become a candidate for free slots and renew leases; called every VOTE_INTERVAL_US.

        :returns: the requests for votes on each slot that this broker holds or is a candidate for
        """
        requests: list[VoteRequest] = []
        for slot, state in self.slots.items():
            if not self._is_candidate(slot, state, now_us):
                continue
            self._open_ballot(state, now_us)
            self.count_vote(now_us, self.broker_index, slot, state.ballot_number)
            requests += [
                VoteRequest(broker, slot, state.ballot_number)
                for broker in self.group(slot)
                if broker != self.broker_index
            ]
        return requests

    def _is_candidate(self, slot: int, state: LeaseSlot, now_us: int) -> bool:
        """Whether this broker requests votes for a slot now."""
        if self.is_holder(slot, now_us):
            state.candidate_since_us = now_us
            return True
        if state.promised_to == self.broker_index and now_us < state.promised_until_us:
            # After a whole lease time without a majority, this broker lets its own promise expire, so that
            # another broker can be elected.
            return now_us - state.candidate_since_us < LEASE_US
        rank = self.group(slot).index(self.broker_index)
        if now_us < state.promised_until_us + rank * VOTE_INTERVAL_US:
            # The slot is promised, or an earlier member of the group may become a candidate. If all members
            # became candidates at the same time, none would win.
            return False
        state.candidate_since_us = now_us
        return True

    def _open_ballot(self, state: LeaseSlot, now_us: int) -> None:
        state.ballot_number = (state.ballot_number + 1) % REQUEST_NUMBER_COUNT
        state.ballots[state.ballot_number] = Ballot(now_us, set())
        if len(state.ballots) > BALLOTS_PER_LEASE:
            del state.ballots[next(iter(state.ballots))]
        state.promised_to = self.broker_index
        state.promised_until_us = now_us + LEASE_US

    def grant_vote(self, now_us: int, candidate: int, slot: int) -> bool:
        """Vote for a candidate, unless the slot is promised to another broker.

        If this broker is a candidate itself and does not hold the slot, it gives way to a candidate that
        comes before it in the group, so that two candidates do not wait for each other's vote. Its own
        ballots are discarded then, so its promise to itself supports no lease.

        :returns: whether the candidate gets the vote
        """
        state, group = self.slots.get(slot), self.group(slot)
        if state is None or candidate not in group:
            return False
        is_candidate = state.promised_to == self.broker_index and not self.is_holder(slot, now_us)
        if is_candidate and group.index(candidate) < group.index(self.broker_index):
            state.ballots.clear()
        elif state.promised_until_us > now_us and state.promised_to != candidate:
            return False
        state.promised_to = candidate
        state.promised_until_us = now_us + LEASE_US
        return True

    def count_vote(self, now_us: int, voter: int, slot: int, number: int) -> None:
        """Count a vote. A majority makes a lease, whose time starts when its votes were requested."""
        state = self.slots.get(slot)
        if state is None or number not in state.ballots or state.promised_to != self.broker_index:
            return
        ballot = state.ballots[number]
        if voter in self.group(slot):
            ballot.voters.add(voter)
        has_majority = len(ballot.voters) > self._group_size // 2
        lease_end_us = ballot.requested_at_us + int((1 - CLOCK_DRIFT_RATIO) * LEASE_US)
        if has_majority and lease_end_us > max(now_us, state.held_until_us):
            if state.held_until_us <= now_us:
                state.held_since_us = now_us
            state.held_until_us = lease_end_us
