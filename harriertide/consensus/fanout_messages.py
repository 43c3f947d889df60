"""Messages of the tree of brokers, sets of brokers in them, and the totals of a subtree.

Tags and names of fields on the wire are fixed, as those of `messages` are: see `rename`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec import Struct

from harriertide.consensus.messages import Entry

# Of an encoded set of brokers: one bit for each of 256, more than the largest fleet that is supported.
BROKER_SET_BYTES = 32


class SubtreeReport(
    Struct,
    frozen=True,
    tag="report",
    rename={
        "last_applied": "applied",
        "alive_brokers": "alive",
        "incarnations": "lives",
        "informed_brokers": "known",
        "drained_brokers": "clear",
        "load_units": "load",
        "learned_units": "units",
        "unreachable_counts": "failed",
    },
):
    """Up the tree: the totals of the sender's subtree.

    Sets of brokers are bits by their index in the deploy file.

    :param number: of the report; a grant names it
    :param last_applied: index up to which the sender has applied the log
    :param alive_brokers: of the subtree: those that report
    :param incarnations: of brokers that have started lately, by name
    :param informed_brokers: by fence of a machine's step: those that know of the step
    :param drained_brokers: by fence: those that have no attempt open at the machine, and begin none
    :param load_units: units a second that are offered to the brokers
    :param learned_units: units a second that each machine is known to serve, by its name
    :param unreachable_counts: by machine: how many brokers can't reach it
    """

    sender: str
    number: int
    last_applied: int
    alive_brokers: bytes
    incarnations: dict[str, int] = {}
    informed_brokers: dict[int, bytes] = {}
    drained_brokers: dict[int, bytes] = {}
    load_units: float = 0.0
    learned_units: dict[str, float] = {}
    unreachable_counts: dict[str, int] = {}


class TreeUpdate(
    Struct,
    frozen=True,
    tag="feed",
    rename={
        "granted_report": "granted",
        "grant_index": "index",
        "prev_index": "prev",
        "snapshot_index": "snapshot",
        "total_bytes": "total",
        "checksum": "check",
        "wait_reasons": "waits",
    },
):
    """Down the tree: a lease grant, entries that the child lacks, or a chunk of a snapshot.

    :param granted_report: number of the report that is granted, 0 for none
    :param grant_index: must be applied before that grant holds
    :param prev_index: index before the first of the entries
    :param snapshot_index: of the snapshot that data is a chunk of, 0 for none
    :param checksum: xxh3 of the snapshot's whole data
    :param wait_reasons: for people: what each machine waits for, as the leader sees it
    """

    sender: str
    leader: str
    granted_report: int
    grant_index: int
    prev_index: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot_index: int = 0
    total_bytes: int = 0
    checksum: int = 0
    offset: int = 0
    data: bytes = b""
    wait_reasons: dict[str, list[str]] = {}


def encode_broker_set(indexes: set[int]) -> bytes:
    """Encode a set of brokers, given by their indexes in the deploy file, as it is sent."""
    return sum(1 << index for index in indexes).to_bytes(BROKER_SET_BYTES, "little")


def decode_broker_set(data: bytes) -> set[int]:
    """Decode a set of brokers."""
    bits = int.from_bytes(data, "little")
    return {index for index in range(8 * BROKER_SET_BYTES) if bits >> index & 1}


@dataclass(slots=True)
class SubtreeTotals:
    """Totals of a subtree; the fields mean what those of a SubtreeReport do."""

    alive_brokers: set[int] = field(default_factory=set)
    incarnations: dict[str, int] = field(default_factory=dict)
    informed_brokers: dict[int, set[int]] = field(default_factory=dict)
    drained_brokers: dict[int, set[int]] = field(default_factory=dict)
    load_units: float = 0.0
    learned_units: dict[str, float] = field(default_factory=dict)
    unreachable_counts: dict[str, int] = field(default_factory=dict)

    def add(self, report: SubtreeReport) -> None:
        """Add what a child or this broker itself reports."""
        self.alive_brokers |= decode_broker_set(report.alive_brokers)
        self.incarnations.update(report.incarnations)
        _add_broker_sets(self.informed_brokers, report.informed_brokers)
        _add_broker_sets(self.drained_brokers, report.drained_brokers)
        self.load_units += report.load_units
        for name, units in report.learned_units.items():
            self.learned_units[name] = self.learned_units.get(name, 0.0) + units
        for name, count in report.unreachable_counts.items():
            self.unreachable_counts[name] = self.unreachable_counts.get(name, 0) + count


def _add_broker_sets(totals: dict[int, set[int]], added: dict[int, bytes]) -> None:
    for fence, data in added.items():
        totals.setdefault(fence, set()).update(decode_broker_set(data))
