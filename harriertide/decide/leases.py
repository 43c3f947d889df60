"""Who keeps the store of a limit, and what it gives out: pure, all time and messages as arguments.

A plan's limit holds for all heads together. Its units lie in one store for each volume, at the one head that
keeps the volume's slot. Which head that is, a majority of the slot's group settles by leases:

- Invariant: a head has one promise a slot at a time, and gives the next only when the last has run out.
- Invariant: a lease ends before each of the promises that it rests on.

So no two heads hold a slot at once. A head that starts may have promised just before; it abstains for as long
as a promise lasts. docs/design/deployments.md has the proof, and what is used of a limit at least.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from math import ceil

from harriertide.decide import api
from harriertide.decide.peer_messages import CALL, GRANT, VOTE, WANT

GROUP = 5  # heads that settle a slot, an odd number: as many messages in fleets of any size
CALL_US = 45_000  # between a keeper's calls for votes
LEASE_CALLS = 14  # a promise outlasts so many: with 30% lost and one of three dead, all fail once in 10,000
DRIFT = 0.01  # part of a lease by which clocks may differ in how fast they run
LIFE_US = 150_000  # of units given out, from when they were asked for: two trips of a message and some
BACK_US = 4_000_000  # after which units that were not sent come back no more
AGAIN_US = 45_000  # between asks that nobody answers: two trips of a message, mostly
NUMBERS, COUNTS = 2**8, 2**16  # asks and units are counted modulo these


@dataclass(slots=True)
class Slot:
    """What a head of its group knows of a slot."""

    promised: int = -1  # to which head
    until_us: int = 0  # and how long
    number: int = 0  # of this head's last call
    stood_us: int = 0  # since when it stands, or when it last held the slot
    calls: dict[int, tuple[int, set[int]]] = field(default_factory=dict)  # when, and who voted; oldest first
    since_us: int = 0  # this head's lease: from when on, without a gap
    end_us: int = 0


@dataclass(slots=True)
class Fund:
    """A volume's store at its keeper; each head's last ask: epoch, number, units given, used before, when."""

    since_us: int
    units: float
    at_us: int
    heard_us: int = 0
    asks: dict[int, tuple[int, int, int, int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Credit:
    """What another head gave this one on its last ask, of a limit or a cold node, and until when it holds."""

    units: float = 0.0
    end_us: int = 0
    number: int = 0  # of the last ask
    wanted: int = 0  # by it
    least: float = 0.0  # that is of use
    short: bool = False  # it was given less than it wanted
    misses: int = 0  # asks so far that nobody answered
    asked_us: int = 0
    again_us: int = 0  # when to ask again
    used: int = 0  # units sent in all

    def covers(self, now_us: int, units: float) -> bool:
        """Whether a request may be sent on it now."""
        return self.units >= units and now_us <= self.end_us

    def void(self) -> None:
        """What was given holds no more, and no answer is awaited."""
        self.units, self.end_us, self.asked_us, self.again_us = 0.0, 0, -LIFE_US, 0

    def spend(self, units: float) -> None:
        """It is sent."""
        self.units -= units
        self.used += ceil(units)

    def ask(self, now_us: int, wanted: float, least: float, again_us: int) -> None:
        """Ask anew. That gives up what was not sent of the last."""
        self.void()
        self.wanted, self.least = min(255, ceil(wanted)), least
        self.asked_us, self.again_us = now_us, again_us
        self.number, self.misses = (self.number + 1) % NUMBERS, self.misses + 1

    def take(self, now_us: int, number: int, units: int, rate: float = 0.0) -> bool:
        """An answer has come: heeded where it is the last ask's and in time.

        rate: of the store that it came from, which fills up to what is of use where less was given.
        """
        if number != self.number or now_us > self.asked_us + LIFE_US or self.end_us:
            return False
        self.units, self.end_us, self.short = float(units), self.asked_us + LIFE_US, units < self.wanted
        self.misses -= 1
        lacks = max(0.0, self.least - units)
        self.again_us = now_us + int(lacks / rate * 1_000_000) if rate else now_us
        return True


class Leases:
    """The slots of whose groups a head is, and the stores that it keeps."""

    def __init__(self, head: int, heads: int, now_us: int) -> None:
        self.head, self.heads = head, heads
        self.epoch = now_us // 1000 % COUNTS  # no two starts within a minute are in one millisecond
        self._lease_us = LEASE_CALLS * CALL_US
        # of four heads three: a fourth would only have to be asked for its vote as well
        self._size = min(GROUP, heads - 1 + heads % 2)
        abstains_us = now_us + self._lease_us if self._size > 1 else now_us
        # numbers begin anywhere: guards against votes for calls of this head before it restarted
        first = Slot(until_us=abstains_us, number=self.epoch % 256)
        self._slots = {(head - rank) % heads: replace(first, calls={}) for rank in range(self._size)}
        self._funds: dict[int, Fund] = {}  # by volume, the one longest unheard of first

    def group(self, slot: int) -> list[int]:
        """The heads that settle a slot, the one that stands for it first at the front."""
        return [(slot + rank) % self.heads for rank in range(self._size)]

    def hear(
        self, now_us: int, head: int, kind: int, key: int, figures: Sequence[int], plans: Sequence[api.Plan]
    ) -> tuple[int, int, list[float]] | None:
        """A message of another head, or of this one; the answer to it, as kind, key and figures."""
        if kind == CALL and self.call(now_us, head, key):
            return VOTE, key, [figures[0]]
        if kind == VOTE:
            self.vote(now_us, head, key, figures[0])
        if kind == WANT and figures[0] < len(plans) and plans[figures[0]].rate_limit > 0:
            plan, (_, wanted, used, epoch, number) = plans[figures[0]], figures
            ask = (wanted, used, epoch, number)
            given = self.give(now_us, head, key, ask, plan.rate_limit, plan.burst_limit_units)
            return (GRANT, key, [number, given]) if given is not None else None
        return None

    def ask(
        self, now_us: int, key: int, credit: Credit, plan: int, wanted: float, least: float
    ) -> tuple[int, int, int, list[float]]:
        """An ask for units, as head, kind, key and figures."""
        keeper = self.keeper(key % self.heads, now_us, credit.misses)
        credit.ask(now_us, wanted, least, now_us + AGAIN_US)
        figures = [plan, credit.wanted, credit.used % COUNTS, self.epoch, credit.number]
        return keeper, WANT, key, list(map(float, figures))

    # --- who keeps a slot ------------------------------------------------------------------------

    def calls(self, now_us: int) -> list[tuple[int, int, int]]:
        """To be called every CALL_US: (head, slot, number) for a vote, for each slot held or stood for."""
        rows: list[tuple[int, int, int]] = []
        for slot, state in self._slots.items():
            group = self.group(slot)
            if self.holds(slot, now_us):
                state.stood_us = now_us
            elif state.promised == self.head and now_us < state.until_us:
                if now_us - state.stood_us >= self._lease_us:
                    continue  # not voted for: its own promise runs out, so that another can have it
            elif now_us < state.until_us + group.index(self.head) * CALL_US:
                continue  # promised, or one before it may stand: else all would at once, and none win
            else:
                state.stood_us = now_us
            state.number = (state.number + 1) % 256
            state.calls[state.number] = (now_us, set())
            if len(state.calls) > LEASE_CALLS:
                del state.calls[next(iter(state.calls))]
            state.promised, state.until_us = self.head, now_us + self._lease_us
            self.vote(now_us, self.head, slot, state.number)
            rows += [(head, slot, state.number) for head in group if head != self.head]
        return rows

    def call(self, now_us: int, head: int, slot: int) -> bool:
        """Whether to vote for a head that calls: no other has this head's promise.

        One that stands itself, and holds nothing, gives way to those before it: else two that stand for the
        votes of each other may do so for long. Its calls are void then, and its own promise binds nothing.
        """
        state, group = self._slots.get(slot), self.group(slot)
        if state is None or head not in group:
            return False
        stands = state.promised == self.head and not self.holds(slot, now_us)
        if stands and group.index(head) < group.index(self.head):
            state.calls.clear()
        elif state.until_us > now_us and state.promised != head:
            return False
        state.promised, state.until_us = head, now_us + self._lease_us
        return True

    def vote(self, now_us: int, head: int, slot: int, number: int) -> None:
        """A vote has come. A majority makes a lease, counted from when its votes were asked for."""
        state = self._slots.get(slot)
        if state is None or number not in state.calls or state.promised != self.head:
            return
        called_us, votes = state.calls[number]
        if head in self.group(slot):
            votes.add(head)
        end_us = called_us + int((1 - DRIFT) * self._lease_us)
        if len(votes) > self._size // 2 and end_us > max(now_us, state.end_us):
            if state.end_us <= now_us:
                state.since_us = now_us
            state.end_us = end_us

    def holds(self, slot: int, now_us: int) -> bool:
        """Whether this head keeps the slot now."""
        state = self._slots.get(slot)
        return state is not None and state.since_us > 0 and now_us < state.end_us

    def keeper(self, slot: int, now_us: int, misses: int) -> int:
        """Whom to ask: who has this head's promise, or else, from each miss to the next, all of the group."""
        state = self._slots.get(slot)
        if state is not None and state.promised >= 0 and state.until_us > now_us:
            return state.promised
        group = self.group(slot)
        return group[misses % len(group)]

    # --- what a keeper gives out -------------------------------------------------------------------

    def give(
        self, now_us: int, head: int, key: int, ask: tuple[int, int, int, int], rate: float, most: float
    ) -> int | None:
        """Units given to a head for a volume; None: no answer is due.

        ask: units wanted, units that the head has sent in all so far, its epoch, the ask's number. What it
        was given before and has not sent is void, as an ask gives that up, and goes back to the store.
        """
        slot = key % self.heads
        if not self.holds(slot, now_us):
            return None
        wanted, used, epoch, number = ask
        since_us = self._slots[slot].since_us
        fund = self._funds.pop(key, None)
        if fund is None or fund.since_us != since_us:
            # What another keeper gave just before is not known: until it is sent or void, nothing fills up.
            fund = Fund(since_us, 0.0, since_us + LIFE_US)
        self._funds[key] = fund
        fund.heard_us = now_us
        last = fund.asks.get(head)
        if last is not None and last[0] == epoch and now_us <= last[4] + BACK_US:
            if not 0 < (number - last[1]) % NUMBERS < NUMBERS // 2:
                return None  # it came twice, or late; after BACK_US any may be new, as many went elsewhere
            fund.units += max(0, last[2] - (used - last[3]) % COUNTS)
            del fund.asks[head]
        # Invariant: store and what may come back hold no more than a store that is filled up to its most and
        # takes each unit as it is sent. Guards against filling in place of what comes back later.
        out = sum(ask[2] for ask in fund.asks.values() if now_us <= ask[4] + BACK_US)
        fund.units = min(most - out, fund.units + rate * max(0, now_us - fund.at_us) / 1_000_000)
        fund.at_us = max(now_us, fund.at_us)
        given = max(0, min(wanted, int(fund.units)))
        fund.asks[head] = (epoch, number, given, used, now_us)
        fund.units -= given
        return given

    def forget(self, before_us: int) -> None:
        """Let go of stores that nobody asked of since then: they are full again."""
        while self._funds and next(iter(self._funds.values())).heard_us < before_us:
            del self._funds[next(iter(self._funds))]
