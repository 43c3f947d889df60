"""A tree of all brokers of a fleet behind a few voters: committed entries and lease grants go down it,
reports come up it.

A report goes to the parent each REPORT_INTERVAL_US. It carries the totals of the sender's subtree, so the
leader receives as many messages as it has children, whatever the fleet's size. A parent passes on entries and
grants. Pure: the caller sends what `build_report`, `take_pending_grants` and the observer's entries give.

LEASE  A broker's lease runs from when it sent a report, by its own clock, until lease_us later. It is
granted only by a leader that a majority has confirmed after the report arrived (ReadIndex), and holds only
once the index of that moment is applied here. So who holds a lease knows all that was committed before it
sent the report. The leader, and any later one, counts a broker's lease as over only lease_us and the drift
of clocks after the last grant that it gave, or after it was elected: older leaders confirmed theirs before
that.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from harriertide.consensus.fanout_messages import (
    SubtreeReport,
    SubtreeTotals,
    TreeUpdate,
    decode_broker_set,
    encode_broker_set,
)

REPORT_INTERVAL_US = 200_000
# Four reports in a row without an answer: a parent that is silent so long is passed over for a while.
PEER_LOST_AFTER_US = 900_000
# Children of a broker that is no voter, or of a voter beside the other voters: 200 brokers are three levels.
TREE_WIDTH = 4
# Of two monotonic clocks against each other: 1% each. Leases rest on this, nothing that is committed does.
CLOCK_DRIFT_RATIO = 0.02
# Of one update: a quarter of what the transport takes as a frame.
UPDATE_ENTRY_COUNT = 256
UPDATE_BYTES = 256 * 1024
# Own reports that are kept until they are granted: twelve seconds of them.
UNGRANTED_REPORT_COUNT = 64


@dataclass(frozen=True, slots=True)
class GrantRound:
    """What the leader grants once a majority has confirmed it: the reports that it had as it asked.

    :param report_numbers: of the latest report of each child
    :param alive_brokers: those that may hold a lease by this round. Not as seen at the confirmation: a
        broker that fell silent in between has its grant all the same.
    """

    started_us: int
    report_numbers: dict[str, int]
    alive_brokers: set[int]


@dataclass(frozen=True, slots=True)
class SentReport:
    """A report of this broker that may still be granted, and the reports of its children that it covers."""

    sent_us: int
    child_report_numbers: dict[str, int]


@dataclass(slots=True)
class Child:
    """A broker that reports to this one.

    :param granted_report: number of its latest report that is granted
    :param grant_index: must be applied before that grant holds
    :param sent_granted_report: number of the latest report whose grant was passed on
    :param sent_index: of the last entry that was sent to it
    :param sent_us: when that was
    """

    report: SubtreeReport
    reported_us: int
    granted_report: int = 0
    grant_index: int = 0
    sent_granted_report: int = 0
    sent_index: int = 0
    sent_us: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """A grant to this broker: its lease runs until end_us, once the index is applied."""

    end_us: int
    index: int


class ChildGrant(NamedTuple):
    """A grant to pass on to a child, for one of its reports; grant_index: must be applied before it holds."""

    child: str
    report_number: int
    grant_index: int


class FanoutTree:
    """One broker's place in the tree.

    :param brokers: names of all brokers in the order of the deploy file
    :param voters: those of them that vote
    :param first_number: of the reports: one that no other process of this broker is likely to use. Guards
        against a grant for a report of the previous process, still on its way, being taken for a grant of a
        report of this process.
    """

    def __init__(
        self,
        me: str,
        brokers: tuple[str, ...],
        voters: tuple[str, ...],
        lease_us: int,
        now_us: int,
        first_number: int = 0,
    ) -> None:
        self.me = me
        self.brokers = brokers
        self.voters = voters
        self.lease_us = lease_us
        self.broker_indexes = {name: index for index, name in enumerate(brokers)}
        self.leader = ""
        self.children: dict[str, Child] = {}
        self.lease_end_us = 0  # 0: never had one
        self._observers = [name for name in brokers if name not in voters]
        self._observer_indexes = {name: index for index, name in enumerate(self._observers)}
        self._grant = Grant(0, 0)
        self._report_number = first_number
        self._sent_reports: dict[int, SentReport] = {}
        self._next_report_us = now_us
        self._parent_contact_us = now_us
        self._skipped_parent_count = 0  # silent parents: each moves this broker to the next possible parent

    # --- the tree -------------------------------------------------------------------------------------

    def parent(self) -> str:
        """Name of the broker to report to; "" where it is not known.

        A voter reports to the leader. The observers form a heap of TREE_WIDTH: the first of them report to
        the voters, each other one to its parent in the heap.
        """
        if self.me in self.voters:
            return self.leader if self.leader != self.me else ""
        position = self._observer_indexes[self.me]
        voters_children_count = len(self.voters) * TREE_WIDTH
        # Every third try goes to a voter: guards against a parent and its neighbour that are both gone.
        if position < voters_children_count or self._skipped_parent_count % 3 == 2:
            return self.voters[(position + self._skipped_parent_count) % len(self.voters)]
        parent_position = (position - voters_children_count) // TREE_WIDTH
        # Only observers before this one are candidates: reports in a cycle would never reach the leader.
        candidates_count = max(1, min(position, len(self._observers)))
        return self._observers[(parent_position + self._skipped_parent_count) % candidates_count]

    # --- reports --------------------------------------------------------------------------------------

    def on_report(self, now_us: int, report: SubtreeReport) -> None:
        """A child has reported."""
        if report.sender not in self.broker_indexes:
            return
        child = self.children.get(report.sender)
        if child is None:
            child = self.children[report.sender] = Child(report, now_us)
        elif report.number <= child.report.number and now_us - child.reported_us < PEER_LOST_AFTER_US:
            return  # late, or doubled
        elif report.number < child.report.number:  # its process has started anew
            child.granted_report = 0
            child.sent_granted_report = 0
        informed, drained = report.informed_brokers, report.drained_brokers
        if informed != child.report.informed_brokers or drained != child.report.drained_brokers:
            self.report_soon()
        child.report = report
        child.reported_us = now_us
        if report.last_applied < child.sent_index and now_us - child.sent_us > 2 * REPORT_INTERVAL_US:
            child.sent_index = report.last_applied  # what was sent since is lost

    def _live_children(self, now_us: int) -> dict[str, Child]:
        """The children, after those were dropped that have been silent for long."""
        for name, child in list(self.children.items()):
            if now_us - child.reported_us > PEER_LOST_AFTER_US:
                del self.children[name]
        return self.children

    def totals(self, now_us: int, own: SubtreeReport) -> SubtreeTotals:
        """Totals of this broker's subtree by now.

        :param own: what this broker reports of itself
        """
        totals = SubtreeTotals()
        totals.add(own)
        for child in self._live_children(now_us).values():
            totals.add(child.report)
        return totals

    def is_report_due(self, now_us: int) -> bool:
        """Whether it is time for a report, or for the leader's own round; the next one is due later."""
        if now_us < self._next_report_us:
            return False
        self._next_report_us = now_us + REPORT_INTERVAL_US
        return True

    def report_soon(self) -> None:
        """Have the next report due at once: something has changed that others wait for."""
        self._next_report_us = 0

    def build_report(self, now_us: int, own: SubtreeReport) -> tuple[str, SubtreeReport] | None:
        """The report of this subtree, and the parent to send it to; None where there is no parent.

        :param own: what this broker reports of itself
        """
        if now_us - self._parent_contact_us > PEER_LOST_AFTER_US and self.me not in self.voters:
            self._skipped_parent_count += 1
            self._parent_contact_us = now_us
        parent = self.parent()
        if not parent:
            return None
        totals = self.totals(now_us, own)
        self._report_number += 1
        self._sent_reports[self._report_number] = SentReport(now_us, self._child_report_numbers())
        self._sent_reports.pop(self._report_number - UNGRANTED_REPORT_COUNT, None)
        report = SubtreeReport(
            sender=self.me,
            number=self._report_number,
            last_applied=own.last_applied,
            alive_brokers=encode_broker_set(totals.alive_brokers),
            incarnations=totals.incarnations,
            informed_brokers=_encode_broker_sets(totals.informed_brokers),
            drained_brokers=_encode_broker_sets(totals.drained_brokers),
            load_units=totals.load_units,
            learned_units=totals.learned_units,
            unreachable_counts=totals.unreachable_counts,
        )
        return parent, report

    def _child_report_numbers(self) -> dict[str, int]:
        return {name: child.report.number for name, child in self.children.items()}

    # --- grants ---------------------------------------------------------------------------------------

    def start_grant_round(self, now_us: int) -> GrantRound:
        """As leader: what the read index that is asked for now will grant."""
        alive = {self.broker_indexes[self.me]}
        for child in self._live_children(now_us).values():
            alive |= decode_broker_set(child.report.alive_brokers)
        return GrantRound(now_us, self._child_report_numbers(), alive)

    def confirm_round(self, grant_round: GrantRound, index: int) -> None:
        """As leader: a majority has confirmed it after this round was started.

        :param index: applied by then
        """
        self._take_grant(grant_round.started_us, index)
        self._grant_children(grant_round.report_numbers, index)

    def on_update(self, now_us: int, update: TreeUpdate) -> None:
        """Take the grant of an update of the parent."""
        if update.sender != self.parent():
            return
        self._parent_contact_us = now_us
        if self.me not in self.voters:
            self.leader = update.leader
        sent = self._sent_reports.get(update.granted_report)
        if sent is not None:
            self._take_grant(sent.sent_us, update.grant_index)
            self._grant_children(sent.child_report_numbers, update.grant_index)

    def _take_grant(self, sent_us: int, index: int) -> None:
        end_us = sent_us + self.lease_us
        if end_us > self._grant.end_us:
            self._grant = Grant(end_us, index)

    def _grant_children(self, report_numbers: dict[str, int], index: int) -> None:
        for name, number in report_numbers.items():
            child = self.children.get(name)
            if child is not None and number > child.granted_report:
                child.granted_report = number
                child.grant_index = index

    def activate_lease(self, applied: int) -> None:
        """LEASE: the latest grant holds once its index is applied."""
        if self._grant.end_us and applied >= self._grant.index:
            self.lease_end_us = max(self.lease_end_us, self._grant.end_us)

    def take_pending_grants(self, now_us: int) -> list[ChildGrant]:
        """Grants that children do not know of yet; they count as passed on with this."""
        pending = []
        for name, child in self._live_children(now_us).items():
            if child.granted_report > child.sent_granted_report:
                child.sent_granted_report = child.granted_report
                pending.append(ChildGrant(name, child.granted_report, child.grant_index))
        return pending


def _encode_broker_sets(sets: dict[int, set[int]]) -> dict[int, bytes]:
    return {fence: encode_broker_set(indexes) for fence, indexes in sets.items()}


def lease_lapse_us(lease_us: int) -> int:
    """How long after its grant, by the leader's clock, a lease is over by any clock."""
    return int(lease_us * (1 + CLOCK_DRIFT_RATIO)) + 1
