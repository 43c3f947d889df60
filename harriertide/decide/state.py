"""What a head knows: records that harriertide/decide/scheduler.py keeps. They decide nothing."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from harriertide.decide import api
from harriertide.decide.leases import Credit

PLACEMENTS = 4096  # new objects of which it is known where they went: a minute's at some seventy a second


def drop_until(times: deque[int], until_us: int) -> None:
    """Let go of the times up to that one; the oldest are first."""
    while times and times[0] <= until_us:
        times.popleft()


@dataclass(slots=True, eq=False)
class Request:
    """A request from arrival to its last outcome."""

    id: str
    kind: api.RequestClass
    arrival: api.Arrival
    volume: Volume
    taken_us: int
    due_us: int
    load: float  # units, those with longer aims counting less
    store: Store | None = None  # of its volume's dues, that it was counted in
    band: int = 0
    cell: Cell | None = None
    over: bool = False
    held: bool = False
    begun: bool = False
    sent: int = 0
    out: dict[int, tuple[Node, int]] = field(default_factory=dict)
    maybe_us: int = 0  # send time of the earliest attempt that may have run; 0: none
    maybe_node: Node | None = None
    line: Line | None = None


@dataclass(slots=True, eq=False)
class Node:
    """One listed node: what is out there and what its answers were like."""

    id: str
    shard: int
    zone: int
    started_us: int = -1
    live: bool = True
    out: int = 0
    out_units: float = 0.0
    fast: float = 1.0  # latest latency over the class's usual
    streak: int = 0
    silent: bool = False
    trial_us: int = 0
    flying: dict[Request, int] = field(default_factory=dict)  # out there: answers to what was sent later
    given: deque[tuple[int, float]] = field(default_factory=deque)  # as keeper, to all heads
    answered: float = 0.0  # units, while cold and since the last ask for a gift, and how long they took
    answered_us: int = 0
    proof: float = 0.0  # as keeper: the same of all heads together
    proof_us: int = 0
    gift: Credit = field(default_factory=Credit)  # while cold, of its keepers

    def start(self, started_us: int) -> None:
        """It has started anew: nothing holds that was seen of it or given for it before."""
        self.started_us, self.fast, self.streak, self.silent = started_us, 1.0, 0, False
        self.gift.void()
        self.answered, self.answered_us, self.proof, self.proof_us = 0.0, 0, 0.0, 0

    def prove(self, units: float, took_us: int, most: float) -> None:
        """As keeper: answers of any head. Older ones count less, as it gets warmer."""
        self.proof, self.proof_us = self.proof + units, self.proof_us + took_us
        if self.proof > most:
            self.proof, self.proof_us = self.proof / 2, self.proof_us // 2

    def given_since(self, at_us: int) -> float:
        """As keeper: units given out after then; what is older is let go."""
        while self.given and self.given[0][0] <= at_us:
            self.given.popleft()
        return sum(units for _, units in self.given)

    @property
    def start_ms(self) -> int:
        """Its start as messages carry it."""
        return self.started_us // 1000 % 2**32


@dataclass(slots=True, eq=False)
class Cell:
    """One shard: its demand, learned capacity, tokens and queue."""

    shard: int
    bands: int
    heard_us: int
    nodes: dict[str, Node] = field(default_factory=dict)
    served: float = 0.0
    strained: float = 0.0  # units answered, each times the part of its aim that it took
    weights: dict[str, float] = field(default_factory=dict)
    weight_sum: float = 1.0
    capacity: float = 0.0
    learned: bool = False
    pressed: bool = False  # as seen by all heads together
    strain_all: float = 0.0
    bids: int = 0  # since the last answer of a keeper
    strain: float = 0.0  # as seen here
    rate: float = 0.0  # this head's slice, units a second
    look_us: int = 0
    queue: list[tuple[int, int, Request]] = field(default_factory=list)
    load: float = 0.0  # held units, those with longer aims counting less
    offer: list[float] = field(init=False)
    demand: list[float] = field(init=False)
    totals: list[float] = field(init=False)  # demand of all heads
    chance: list[float] = field(init=False)  # of all heads together to be let in
    by_band: list[deque[Request]] = field(init=False)

    def __post_init__(self) -> None:
        self.offer, self.demand, self.totals = ([0.0] * self.bands for _ in range(3))
        self.chance = [1.0] * self.bands
        self.by_band = [deque() for _ in range(self.bands)]

    @property
    def tight(self) -> bool:
        """Its rate is known and it is under pressure."""
        return self.learned and self.pressed


@dataclass(slots=True, eq=False)
class Line:
    """Requests of one key that must run in turn."""

    members: deque[Request] = field(default_factory=deque)
    rest_us: int = 0


@dataclass(slots=True, eq=False)
class Store:
    """Units that fill at a rate up to a most."""

    units: float
    at_us: int

    def fill(self, now_us: int, rate: float, most: float) -> float:
        """Units there now."""
        self.units = min(most, self.units + rate * (now_us - self.at_us) / 1_000_000)
        self.at_us = now_us
        return self.units


@dataclass(slots=True, eq=False)
class Placements:
    """The shards that took new objects through this broker, by key, the newest PLACEMENTS of them."""

    rows: dict[str, tuple[int, int]] = field(default_factory=dict)  # shard and when, the oldest first

    def put(self, key: str, shard: int, now_us: int) -> None:
        """A node of this shard has taken it."""
        self.rows.pop(key, None)
        self.rows[key] = shard, now_us
        if len(self.rows) > PLACEMENTS:
            del self.rows[next(iter(self.rows))]

    def forget(self, until_us: int) -> None:
        """Let go of those that were taken by then."""
        while self.rows and next(iter(self.rows.values()))[1] <= until_us:
            del self.rows[next(iter(self.rows))]

    def elsewhere(self, arrival: api.Arrival) -> api.Arrival | None:
        """The same request to the shard that took its object; None: the one named, none, or not known."""
        if arrival.shard < 0:  # a new object, whatever became of one that had its key
            return None
        shard, _ = self.rows.get(arrival.key, (arrival.shard, 0))
        return replace(arrival, shard=shard) if shard != arrival.shard else None


@dataclass(slots=True, eq=False)
class Volume:
    """What this head offers of a volume, and its part of the volume's dues."""

    key: int
    part: float
    reserve: Store
    limit: Store
    shares: dict[int, Store] = field(default_factory=dict)  # by shard
    credit: Credit = field(default_factory=Credit)  # where its heads share its limit
    waiting: list[Request] = field(default_factory=list)  # for credit


@dataclass(slots=True, eq=False)
class Tally:
    """A keeper's sums of the bids on one shard or volume; bids that are not renewed run out."""

    sums: list[float]
    heard_us: int = 0
    rows: dict[int, tuple[int, list[float]]] = field(default_factory=dict)
    capacity: float = 0.0
    learned: bool = False
    pressed: bool = False
    learn_us: int = 0
    warned: bool = False  # its users were told that it is pressed
    warn_us: int = 0
    strain: float = 0.0
    users: dict[int, int] = field(default_factory=dict)  # heads that bid, and when: longest ago first

    def put(self, head: int, now_us: int, figures: list[float], life_us: int, use_us: int) -> None:
        """Take the place of this head's last row; drop those older than life_us, users than use_us."""
        old = [self.rows.pop(head)] if head in self.rows else []
        while self.rows and now_us - next(iter(self.rows.values()))[0] > life_us:
            old.append(self.rows.pop(next(iter(self.rows))))
        self.rows[head], self.heard_us = (now_us, figures), now_us
        self.users.pop(head, None)
        self.users[head] = now_us
        while now_us - next(iter(self.users.values())) > use_us:
            del self.users[next(iter(self.users))]
        for i, figure in enumerate(figures):
            self.sums[i] = max(0.0, self.sums[i] + figure - sum(row[i] for _, row in old))
