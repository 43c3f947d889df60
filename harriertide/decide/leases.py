"""Which broker holds a plan's limit: leases of slots by majority vote. Pure; time and messages are arguments.

The limit of a plan holds for all brokers together, so the tokens of each volume lie in one bucket at one
broker: the holder of the volume's slot. A small group of brokers elects the holder of each slot by leases:

- Invariant: a broker has promised a slot to one broker at a time, and promises it again only when the last
  promise has run out.
- Invariant: a lease ends before each of the promises that it rests on.

So no two brokers hold a slot at once. A broker that starts may have promised just before and does not
remember; it votes for nobody for as long as a promise lasts. docs/design/deployments.md has the proof.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from harriertide.decide.quota_credit import REQUEST_NUMBER_COUNT, UNIT_COUNTER_COUNT
from harriertide.decide.units import MILLISECOND_US

# Brokers that elect the holder of a slot: an odd number, and small, so that a fleet of any size needs as many
# messages a slot.
MAX_GROUP_SIZE = 5
# Between a holder's requests for votes.
VOTE_INTERVAL_US = 45_000
# A promise outlasts so many requests for votes: with 30% of messages lost and one of three brokers dead, all
# of them fail once in 10,000 times.
VOTES_PER_LEASE_COUNT = 14
LEASE_US = VOTES_PER_LEASE_COUNT * VOTE_INTERVAL_US
# Part of a lease by which the clocks of two brokers may differ in how fast they run.
CLOCK_DRIFT_RATIO = 0.01
NOBODY = -1


class Ballot(NamedTuple):
    """A request for votes: when it was made, and who has voted for it."""

    requested_at_us: int
    voters: set[int]


@dataclass(slots=True)
class LeaseSlot:
    """What a broker of its group knows of a slot.

    promised_to, promised_until_us: whom this broker has voted for last, and how long that binds it.
    candidate_since_us: since when this broker is a candidate, or when it last held the slot. held_since_us,
    held_until_us: this broker's own lease, without a gap.
    """

    promised_to: int = NOBODY
    promised_until_us: int = 0
    ballot_number: int = 0  # of this broker's last request for votes
    candidate_since_us: int = 0
    ballots: dict[int, Ballot] = field(default_factory=dict)  # by number, the oldest first
    held_since_us: int = 0
    held_until_us: int = 0


class VoteRequest(NamedTuple):
    """A vote to be asked of another broker."""

    broker: int
    slot: int
    number: int


class Leases:
    """One broker's part in the elections of the slots whose groups it belongs to."""

    def __init__(self, broker_index: int, broker_count: int, now_us: int) -> None:
        self.broker_index = broker_index
        self.broker_count = broker_count
        # tells this start of the broker from others: no two within a minute fall in one millisecond
        self.epoch = now_us // MILLISECOND_US % UNIT_COUNTER_COUNT
        # of four brokers three: the fourth would only have to be asked for its vote as well
        self._group_size = min(MAX_GROUP_SIZE, broker_count - 1 + broker_count % 2)
        votes_from_us = now_us + LEASE_US if self._group_size > 1 else now_us
        # Ballots are numbered from anywhere. Guards against votes for a ballot of this broker before it
        # restarted, which would be counted for the new one of the same number.
        first = LeaseSlot(promised_until_us=votes_from_us, ballot_number=self.epoch % REQUEST_NUMBER_COUNT)
        self.slots = {
            (broker_index - rank) % broker_count: replace(first, ballots={})
            for rank in range(self._group_size)
        }

    def group(self, slot: int) -> list[int]:
        """The brokers that elect the holder of a slot, in the order in which they become candidates."""
        return [(slot + rank) % self.broker_count for rank in range(self._group_size)]

    def slot_of(self, volume_key: int) -> int:
        """The slot whose holder has a volume's bucket."""
        return volume_key % self.broker_count

    def is_holder(self, slot: int, now_us: int) -> bool:
        """Whether this broker holds the slot now."""
        state = self.slots.get(slot)
        return state is not None and state.held_since_us > 0 and now_us < state.held_until_us

    def presumed_holder(self, slot: int, now_us: int, unanswered: int) -> int:
        """Whom to ask for units: the broker that has this one's promise.

        :param unanswered: requests that nobody answered; without a promise the group is tried in turn by it
        """
        state = self.slots.get(slot)
        if state is not None and state.promised_to >= 0 and state.promised_until_us > now_us:
            return state.promised_to
        group = self.group(slot)
        return group[unanswered % len(group)]

    def request_votes(self, now_us: int) -> list[VoteRequest]:
        """Stand for election, or renew leases. To be called every VOTE_INTERVAL_US.

        :returns: the votes to ask for, for each slot that is held or stood for
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
        """Whether to ask for votes for a slot now."""
        if self.is_holder(slot, now_us):
            state.candidate_since_us = now_us
            return True
        if state.promised_to == self.broker_index and now_us < state.promised_until_us:
            # not voted for during a whole lease: its own promise runs out, so that another can be elected
            return now_us - state.candidate_since_us < LEASE_US
        rank = self.group(slot).index(self.broker_index)
        if now_us < state.promised_until_us + rank * VOTE_INTERVAL_US:
            # promised, or one before it in the group may stand: if all stood at once, none would win
            return False
        state.candidate_since_us = now_us
        return True

    def _open_ballot(self, state: LeaseSlot, now_us: int) -> None:
        state.ballot_number = (state.ballot_number + 1) % REQUEST_NUMBER_COUNT
        state.ballots[state.ballot_number] = Ballot(now_us, set())
        if len(state.ballots) > VOTES_PER_LEASE_COUNT:
            del state.ballots[next(iter(state.ballots))]
        state.promised_to = self.broker_index
        state.promised_until_us = now_us + LEASE_US

    def grant_vote(self, now_us: int, candidate: int, slot: int) -> bool:
        """Whether to vote for a candidate: no other broker has this one's promise.

        A candidate that holds nothing gives way to those before it in the group. Guards against two
        candidates that wait for each other's vote for long. Its ballots are void then, and its own promise
        binds nothing.
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
        """A vote has come. A majority makes a lease, which counts from when its votes were asked for."""
        state = self.slots.get(slot)
        if state is None or number not in state.ballots or state.promised_to != self.broker_index:
            return
        ballot = state.ballots[number]
        if voter in self.group(slot):
            ballot.voters.add(voter)
        has_majority = len(ballot.voters) > self._group_size // 2
        until_us = ballot.requested_at_us + int((1 - CLOCK_DRIFT_RATIO) * LEASE_US)
        if has_majority and until_us > max(now_us, state.held_until_us):
            if state.held_until_us <= now_us:
                state.held_since_us = now_us
            state.held_until_us = until_us
