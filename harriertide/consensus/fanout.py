"""Fan-out tree of all brokers of a fleet, with the few voters at its top.

Committed entries and lease grants go down the tree, and reports go up. Each broker reports to its parent
every REPORT_INTERVAL_US. A report holds the totals of the sender's subtree, so the number of messages that
the leader receives depends on the number of its children and not on the size of the fleet. A parent forwards
entries and grants. This module does no I/O: the caller sends the results of `build_report` and
`take_pending_grants` and the entries of the observer.

LEASE  A broker's lease starts when the broker sends a report and lasts lease_us by the broker's own clock. A
leader grants the lease only after a majority has confirmed its leadership since the report arrived
(ReadIndex). The lease becomes active once the broker has applied the log up to the read index, so a lease
holder has applied everything that was committed before it sent the report. The leader, and any later leader,
considers a lease expired only when lease_us plus the clock drift have passed since the last grant that it
gave or since its election, because earlier leaders confirmed their grants before that.
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
# Four consecutive reports without an answer: the broker then selects another parent.
PEER_TIMEOUT_US = 900_000
# Children of an observer, or observers that report to one voter: 200 brokers form three levels.
TREE_WIDTH = 4
# Relative drift of two monotonic clocks: 1% each. Leases depend on this bound; committed state does not.
CLOCK_DRIFT_RATIO = 0.02
# Limits of one update: a quarter of the transport's maximum frame size.
UPDATE_ENTRY_COUNT = 256
UPDATE_BYTES = 256 * 1024
# Limit of the broker's own reports that are kept until they are granted: 12 seconds of reports.
MAX_UNGRANTED_REPORTS = 64


@dataclass(frozen=True, slots=True)
class GrantRound:
    """Reports that the leader had when it requested a read index; they are granted once it is confirmed.

    :param report_numbers: number of the latest report of each child
    :param alive_brokers: brokers that may hold a lease from this round. The set is taken when the round
        starts: a broker that falls silent before the confirmation still gets its grant.
    """

    started_us: int
    report_numbers: dict[str, int]
    alive_brokers: set[int]


@dataclass(frozen=True, slots=True)
class SentReport:
    """A sent report that may still be granted, with the numbers of the child reports that it includes."""

    sent_us: int
    child_report_numbers: dict[str, int]


@dataclass(slots=True)
class Child:
    """A broker that reports to this broker.

    :param granted_report: number of the child's latest report that was granted
    :param grant_index: log index that the child must apply before that grant is active
    :param sent_granted_report: number of the latest report whose grant was forwarded to the child
    :param sent_index: index of the last log entry that was sent to the child
    :param sent_us: time at which that entry was sent
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
    """A grant to this broker: its lease lasts until end_us, once the log is applied up to `index`."""

    end_us: int
    index: int


class ChildGrant(NamedTuple):
    """A grant for a report of a child; active once the child has applied the log up to grant_index."""

    child: str
    report_number: int
    grant_index: int


class FanoutTree:
    """The position of one broker in the fan-out tree, with its parent, children and lease.

    :param brokers: names of all brokers in the order of the deploy file
    :param voters: names of the brokers that vote
    :param initial_report_number: number before the first report, chosen so that no other process of this
        broker is likely to use the same numbers. Otherwise a delayed grant for a report of the previous
        process could be taken for a grant of a report of this process.
    """

    def __init__(
        self,
        me: str,
        brokers: tuple[str, ...],
        voters: tuple[str, ...],
        lease_us: int,
        now_us: int,
        initial_report_number: int = 0,
    ) -> None:
        self.me = me
        self.brokers = brokers
        self.voters = voters
        self.lease_us = lease_us
        self.broker_indexes = {name: index for index, name in enumerate(brokers)}
        self.leader = ""
        self.children: dict[str, Child] = {}
        self.lease_end_us = 0  # 0: no lease was ever granted
        self._observers = [name for name in brokers if name not in voters]
        self._observer_indexes = {name: index for index, name in enumerate(self._observers)}
        self._grant = Grant(0, 0)
        self._report_number = initial_report_number
        self._sent_reports: dict[int, SentReport] = {}
        self._next_report_us = now_us
        self._parent_contact_us = now_us
        self._skipped_parent_count = 0  # each silent parent advances to the next candidate

    # --- the tree -------------------------------------------------------------------------------------

    def parent(self) -> str:
        """Return the name of the broker to report to; "" if there is none.

        A voter reports to the leader. The observers form a heap with TREE_WIDTH children per node: the first
        observers report to the voters, and each other observer reports to its parent in the heap.
        """
        if self.me in self.voters:
            return self.leader if self.leader != self.me else ""
        observer_index = self._observer_indexes[self.me]
        voter_child_count = len(self.voters) * TREE_WIDTH
        # Every third attempt selects a voter, in case a parent and its neighbour have both failed.
        if observer_index < voter_child_count or self._skipped_parent_count % 3 == 2:
            return self.voters[(observer_index + self._skipped_parent_count) % len(self.voters)]
        parent_index = (observer_index - voter_child_count) // TREE_WIDTH
        # Only earlier observers are candidates: in a cycle, reports would never reach the leader.
        candidate_count = max(1, min(observer_index, len(self._observers)))
        return self._observers[(parent_index + self._skipped_parent_count) % candidate_count]

    # --- reports --------------------------------------------------------------------------------------

    def on_report(self, now_us: int, report: SubtreeReport) -> None:
        """Record a report from a child."""
        if report.sender not in self.broker_indexes:
            return
        child = self.children.get(report.sender)
        if child is None:
            child = self.children[report.sender] = Child(report, now_us)
        elif report.number <= child.report.number and now_us - child.reported_us < PEER_TIMEOUT_US:
            return  # delayed or duplicate report
        elif report.number < child.report.number:  # the child process has restarted
            child.granted_report = 0
            child.sent_granted_report = 0
        informed, drained = report.informed_brokers, report.drained_brokers
        if informed != child.report.informed_brokers or drained != child.report.drained_brokers:
            self.report_soon()
        child.report = report
        child.reported_us = now_us
        if report.last_applied < child.sent_index and now_us - child.sent_us > 2 * REPORT_INTERVAL_US:
            child.sent_index = report.last_applied  # later entries were lost; send them again

    def _live_children(self, now_us: int) -> dict[str, Child]:
        """Remove children that have not reported within the timeout, and return the others."""
        for name, child in list(self.children.items()):
            if now_us - child.reported_us > PEER_TIMEOUT_US:
                del self.children[name]
        return self.children

    def totals(self, now_us: int, own_report: SubtreeReport) -> SubtreeTotals:
        """Return the current totals of this broker's subtree.

        :param own_report: report of this broker alone
        """
        totals = SubtreeTotals()
        totals.add(own_report)
        for child in self._live_children(now_us).values():
            totals.add(child.report)
        return totals

    def is_report_due(self, now_us: int) -> bool:
        """Whether a report, or a grant round of the leader, is due; if so, schedule the next one."""
        if now_us < self._next_report_us:
            return False
        self._next_report_us = now_us + REPORT_INTERVAL_US
        return True

    def report_soon(self) -> None:
        """Make the next report due at once, after a change that other brokers wait for."""
        self._next_report_us = 0

    def build_report(self, now_us: int, own_report: SubtreeReport) -> tuple[str, SubtreeReport] | None:
        """Build the report of this subtree and return it with its parent; None if there is no parent.

        :param own_report: report of this broker alone
        """
        if now_us - self._parent_contact_us > PEER_TIMEOUT_US and self.me not in self.voters:
            self._skipped_parent_count += 1
            self._parent_contact_us = now_us
        parent = self.parent()
        if not parent:
            return None
        totals = self.totals(now_us, own_report)
        self._report_number += 1
        self._sent_reports[self._report_number] = SentReport(now_us, self._child_report_numbers())
        self._sent_reports.pop(self._report_number - MAX_UNGRANTED_REPORTS, None)
        report = SubtreeReport(
            sender=self.me,
            number=self._report_number,
            last_applied=own_report.last_applied,
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
        """On the leader: capture the reports that the read index requested now will grant."""
        alive = {self.broker_indexes[self.me]}
        for child in self._live_children(now_us).values():
            alive |= decode_broker_set(child.report.alive_brokers)
        return GrantRound(now_us, self._child_report_numbers(), alive)

    def confirm_round(self, grant_round: GrantRound, index: int) -> None:
        """On the leader: grant a round after a majority has confirmed the leadership since its start.

        :param index: log index that the leader had applied at the confirmation
        """
        self._take_grant(grant_round.started_us, index)
        self._grant_children(grant_round.report_numbers, index)

    def on_update(self, now_us: int, update: TreeUpdate) -> None:
        """Apply the lease grant in an update from the parent."""
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

    def activate_lease(self, applied_index: int) -> None:
        """Activate the latest grant once its index is applied (LEASE)."""
        if self._grant.end_us and applied_index >= self._grant.index:
            self.lease_end_us = max(self.lease_end_us, self._grant.end_us)

    def take_pending_grants(self, now_us: int) -> list[ChildGrant]:
        """Return the grants that were not yet forwarded to children, and mark them as forwarded."""
        pending = []
        for name, child in self._live_children(now_us).items():
            if child.granted_report > child.sent_granted_report:
                child.sent_granted_report = child.granted_report
                pending.append(ChildGrant(name, child.granted_report, child.grant_index))
        return pending


def _encode_broker_sets(sets: dict[int, set[int]]) -> dict[int, bytes]:
    return {fence: encode_broker_set(indexes) for fence, indexes in sets.items()}


def lease_lapse_us(lease_us: int) -> int:
    """Return the time after a grant, by the leader's clock, at which the lease has expired by any clock."""
    return int(lease_us * (1 + CLOCK_DRIFT_RATIO)) + 1
