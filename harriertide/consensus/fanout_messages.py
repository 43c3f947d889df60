"""Messages of the tree of brokers, sets of brokers in them, and the totals of a subtree.

Tags and names of fields on the wire are fixed, as those of `messages` are.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from harriertide.consensus.messages import Entry

# Of an encoded set of brokers: one bit for each of 256, more than the largest fleet that is supported.
BROKER_SET_BYTES = 32


class SubtreeReport(Struct, frozen=True, tag="report"):
    """Up the tree: the totals of the sender's subtree.

    Sets of brokers are bits by their index in the deploy file.

    :param number: of the report; a grant names it
    :param applied: index up to which the sender has applied the log
    :param alive: brokers of the subtree that report
    :param incarnations: of brokers that have started lately, by name
    :param known: by fence of a machine's step: the brokers that know of the step
    :param clear: by fence: the brokers that have no attempt open at the machine, and begin none
    :param load: units a second that are offered to the brokers
    :param units: units a second that each machine is known to serve, by its name
    :param failed: by machine: how many brokers find it failed
    """

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
    """Down the tree: a lease grant, entries that the child lacks, or a chunk of a snapshot.

    :param granted: number of the report that is granted, 0 for none
    :param index: must be applied before that grant holds
    :param prev: index before the first of the entries
    :param snapshot_index: of the snapshot that data is a chunk of, 0 for none
    :param checksum: xxh3 of the snapshot's whole data
    :param waits: for people: what each machine waits for, as the leader sees it
    """

    sender: str
    leader: str
    granted: int
    index: int
    prev: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot_index: int = msgspec.field(name="snapshot", default=0)
    total_bytes: int = msgspec.field(name="total", default=0)
    checksum: int = msgspec.field(name="check", default=0)
    offset: int = 0
    data: bytes = b""
    waits: dict[str, list[str]] = {}


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

    alive: set[int] = field(default_factory=set)
    incarnations: dict[str, int] = field(default_factory=dict)
    known: dict[int, set[int]] = field(default_factory=dict)
    clear: dict[int, set[int]] = field(default_factory=dict)
    load: float = 0.0
    units: dict[str, float] = field(default_factory=dict)
    failed: dict[str, int] = field(default_factory=dict)

    def add(self, report: SubtreeReport) -> None:
        """Add what a child or this broker itself reports."""
        self.alive |= decode_broker_set(report.alive)
        self.incarnations.update(report.incarnations)
        _add_broker_sets(self.known, report.known)
        _add_broker_sets(self.clear, report.clear)
        self.load += report.load
        for name, units in report.units.items():
            self.units[name] = self.units.get(name, 0.0) + units
        for name, count in report.failed.items():
            self.failed[name] = self.failed.get(name, 0) + count


def _add_broker_sets(totals: dict[int, set[int]], added: dict[int, bytes]) -> None:
    for fence, data in added.items():
        totals.setdefault(fence, set()).update(decode_broker_set(data))
