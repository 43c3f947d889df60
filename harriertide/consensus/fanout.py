"""All brokers of a fleet behind a few voters: what is agreed on goes down a tree, leases and reports come
up it.

A report goes to the parent each REPORT_US; it carries the reports of the children since the last one,
summed up, so that the leader hears as many messages as it has children, whatever the fleet's size. A parent
passes on entries and grants. Pure: the caller sends what `tick`, `report` and `granted` return.

LEASE  A broker's lease runs from when it sent a report, by its own clock, until lease_us later. It is
granted only by a leader that a majority has confirmed after the report came (a read index), and holds only
once the index of that moment is applied here. So who holds a lease knows all that was agreed on before it
sent the report. The leader, and any later one, counts a broker's lease as over only lease_us and the drift
of clocks after the last grant that it gave, or after it was elected: older leaders confirmed theirs before
that.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from harriertide.consensus.messages import Entry

REPORT_INTERVAL_US = 200_000
PEER_LOST_AFTER_US = 900_000  # a parent that is silent so long is passed over for a while
TREE_WIDTH = 4  # children of a broker that is no voter, or of a voter beside the other voters
DRIFT = 0.02  # of two clocks against each other: 1% each
UPDATE_ENTRY_COUNT, UPDATE_BYTES = 256, 256 * 1024
BITS = 32  # bytes of a set of brokers


class SubtreeReport(Struct, frozen=True, tag="report"):
    """Up the tree. Sets of brokers are bits by their place in the file. units, failed: by machine, summed."""

    sender: str
    number: int
    applied: int
    alive: bytes
    incarnations: dict[str, int] = msgspec.field(name="lives", default_factory=dict)
    known: dict[int, bytes] = {}
    clear: dict[int, bytes] = {}
    load: float = 0.0
    units: dict[str, float] = {}
    failed: dict[str, int] = {}


class TreeUpdate(Struct, frozen=True, tag="feed"):
    """Down the tree: a grant for a report (index: what must be applied for it), and what comes behind
    prev."""

    sender: str
    leader: str
    granted: int
    index: int
    prev: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: int = 0  # the index of one, in pieces
    total: int = 0
    check: int = 0
    offset: int = 0
    data: bytes = b""
    waits: dict[str, list[str]] = {}  # for people: what each machine waits for, as the leader sees it


def encode_broker_set(places: set[int]) -> bytes:
    """A set of brokers as it is sent."""
    return sum(1 << place for place in places).to_bytes(BITS, "little")


def decode_broker_set(data: bytes) -> set[int]:
    """As it came."""
    number = int.from_bytes(data, "little")
    return {place for place in range(8 * BITS) if number >> place & 1}


@dataclass(slots=True)
class SubtreeTotals:
    """What is known of a subtree."""

    alive: set[int] = field(default_factory=set)
    incarnations: dict[str, int] = field(default_factory=dict)
    known: dict[int, set[int]] = field(default_factory=dict)
    clear: dict[int, set[int]] = field(default_factory=dict)
    load: float = 0.0
    units: dict[str, float] = field(default_factory=dict)
    failed: dict[str, int] = field(default_factory=dict)

    def add(self, report: SubtreeReport) -> None:
        """One child's."""
        self.alive |= decode_broker_set(report.alive)
        self.incarnations.update(report.incarnations)
        for mine, theirs in ((self.known, report.known), (self.clear, report.clear)):
            for fence, data in theirs.items():
                mine.setdefault(fence, set()).update(decode_broker_set(data))
        self.load += report.load
        for name, units in report.units.items():
            self.units[name] = self.units.get(name, 0.0) + units
        for name, number in report.failed.items():
            self.failed[name] = self.failed.get(name, 0) + number


@dataclass(frozen=True, slots=True)
class GrantRound:
    """What was there as the leader asked for a read index, and is granted when a majority has confirmed it.

    alive: who may hold a lease by it. Not as seen at the confirmation: one that fell silent in between has
    its grant all the same.
    """

    at_us: int
    numbers: dict[str, int]
    alive: set[int]


@dataclass(slots=True)
class _Child:
    report: SubtreeReport
    at_us: int
    granted: int = 0
    grant_index: int = 0
    sent_grant: int = 0  # the last grant that was passed on
    sent_index: int = 0  # the last index that went to it
    sent_us: int = 0


class FanoutTree:
    """One broker's place in the tree."""

    def __init__(
        self,
        me: str,
        brokers: tuple[str, ...],
        voters: tuple[str, ...],
        lease_us: int,
        now_us: int,
        first: int = 0,
    ) -> None:
        self.me, self.brokers, self.voters, self.lease_us = me, brokers, voters, lease_us
        self.broker_indexes = {name: place for place, name in enumerate(brokers)}
        others = [name for name in brokers if name not in voters]
        self._row = {name: place for place, name in enumerate(others)}
        self._others = others
        self.leader = ""
        self.children: dict[str, _Child] = {}
        self.lease_end_us = 0  # 0: never had one
        self._grant: tuple[int, int] = (0, 0)  # the end that a grant gives, once this index is applied
        # Numbers begin anywhere: guards against a grant for a report of this broker's last process, still on
        # its way, that is taken for one of a report of this process.
        self._number = first
        self._sent: dict[int, tuple[int, dict[str, int]]] = {}  # own reports: when, with which of children
        self._next_us = now_us
        self._heard_us = now_us
        self._passed_over = 0

    # --- the tree -------------------------------------------------------------------------------------

    def parent(self) -> str:
        """Whom to report to; "" where it is not known. Voters report to the leader, others to a heap's
        parent."""
        if self.me in self.voters:
            return self.leader if self.leader != self.me else ""
        row = self._row[self.me]
        first = len(self.voters) * TREE_WIDTH
        if row < first:
            return self.voters[(row + self._passed_over) % len(self.voters)]
        if self._passed_over % 3 == 2:  # guards against a parent and its neighbour that are both gone
            return self.voters[(row + self._passed_over) % len(self.voters)]
        above = (row - first) // TREE_WIDTH
        return self._others[(above + self._passed_over) % max(1, min(row, len(self._others)))]

    # --- reports --------------------------------------------------------------------------------------

    def on_report(self, now_us: int, report: SubtreeReport) -> None:
        """From a child."""
        if report.sender not in self.broker_indexes:
            return
        child = self.children.get(report.sender)
        if child is None:
            child = self.children[report.sender] = _Child(report, now_us)
        elif report.number <= child.report.number and now_us - child.at_us < PEER_LOST_AFTER_US:
            return  # late, or doubled
        elif report.number < child.report.number:  # it has started anew
            child.granted = child.sent_grant = 0
        if report.known != child.report.known or report.clear != child.report.clear:
            self.report_soon()
        child.report, child.at_us = report, now_us
        if report.applied < child.sent_index and now_us - child.sent_us > 2 * REPORT_INTERVAL_US:
            child.sent_index = report.applied  # what went there is lost

    def _fresh(self, now_us: int) -> dict[str, _Child]:
        for name in [n for n, c in self.children.items() if now_us - c.at_us > PEER_LOST_AFTER_US]:
            del self.children[name]
        return self.children

    def totals(self, now_us: int, own: SubtreeReport) -> SubtreeTotals:
        """Of this subtree by now."""
        found = SubtreeTotals()
        found.add(own)
        for child in self._fresh(now_us).values():
            found.add(child.report)
        return found

    def is_report_due(self, now_us: int) -> bool:
        """Whether it is time for a report, or for the leader's own round."""
        if now_us < self._next_us:
            return False
        self._next_us = now_us + REPORT_INTERVAL_US
        return True

    def report_soon(self) -> None:
        """Something has come that others wait for."""
        self._next_us = 0

    def build_report(self, now_us: int, own: SubtreeReport) -> tuple[str, SubtreeReport] | None:
        """To the parent, with what the children said; or None where there is no parent."""
        if now_us - self._heard_us > PEER_LOST_AFTER_US and self.me not in self.voters:
            self._passed_over += 1
            self._heard_us = now_us
        to = self.parent()
        if not to:
            return None
        found = self.totals(now_us, own)
        self._number += 1
        numbers = {name: child.report.number for name, child in self.children.items()}
        self._sent[self._number] = (now_us, numbers)
        self._sent.pop(self._number - 64, None)
        said = SubtreeReport(
            self.me, self._number, own.applied, encode_broker_set(found.alive), found.incarnations,
            {fence: encode_broker_set(who) for fence, who in found.known.items()},
            {fence: encode_broker_set(who) for fence, who in found.clear.items()},
            found.load, found.units, found.failed,
        )  # fmt: skip
        return to, said

    def start_grant_round(self, now_us: int) -> GrantRound:
        """As leader: what a read index that is asked for now will grant."""
        children = self._fresh(now_us)
        alive = {self.broker_indexes[self.me]}.union(
            *(decode_broker_set(child.report.alive) for child in children.values())
        )
        return GrantRound(now_us, {name: child.report.number for name, child in children.items()}, alive)

    # --- grants ---------------------------------------------------------------------------------------

    def confirm_round(self, asked: GrantRound, index: int) -> None:
        """As leader: a majority has confirmed it after this round was taken."""
        self._take(asked.at_us, index)
        self._grant_children(asked.numbers, index)

    def on_update(self, now_us: int, feed: TreeUpdate) -> None:
        """From the parent."""
        if feed.sender != self.parent():
            return
        self._heard_us = now_us
        if self.me not in self.voters:
            self.leader = feed.leader
        sent = self._sent.get(feed.granted)
        if sent is not None:
            self._take(sent[0], feed.index)
            self._grant_children(sent[1], feed.index)

    def _grant_children(self, numbers: dict[str, int], index: int) -> None:
        for name, number in numbers.items():
            child = self.children.get(name)
            if child is not None and number > child.granted:
                child.granted, child.grant_index = number, index

    def _take(self, sent_us: int, index: int) -> None:
        end_us = sent_us + self.lease_us
        if end_us > self._grant[0]:
            self._grant = (end_us, index)

    def activate_lease(self, applied: int) -> None:
        """LEASE: a grant holds once its index is applied."""
        end_us, index = self._grant
        if end_us and applied >= index:
            self.lease_end_us = max(self.lease_end_us, end_us)

    def take_pending_grants(self, now_us: int) -> list[tuple[str, int, int]]:
        """Children that have to hear of a grant: name, number, index."""
        found = []
        for name, child in self._fresh(now_us).items():
            if child.granted > child.sent_grant:
                child.sent_grant = child.granted
                found.append((name, child.granted, child.grant_index))
        return found


def lease_lapse_us(lease_us: int) -> int:
    """How long after a grant, by the leader's clock, a lease is over by any clock."""
    return int(lease_us * (1 + DRIFT)) + 1
