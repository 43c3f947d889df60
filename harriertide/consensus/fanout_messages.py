"""Messages of the fan-out tree, the encoding of broker sets, and the totals of a subtree.

Tags and field names on the wire must not change, as in `messages`; `rename` maps attributes to them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec import Struct

from harriertide.consensus.messages import Entry

# Size of an encoded broker set: 256 bits, more than the largest supported fleet has brokers.
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
    """Report with the totals of the sender's subtree, sent up the tree.

    A broker set is a bitmap over the indexes of the brokers in the deploy file.

    :param number: number of the report, to which a grant refers
    :param last_applied: index up to which the sender has applied the log
    :param alive_brokers: brokers of the subtree that report
    :param incarnations: incarnations of recently started brokers, by broker name
    :param informed_brokers: brokers that know of a maintenance step, by the step's fence
    :param drained_brokers: brokers that have no open attempt at the step's machine and start none, by fence
    :param load_units: units per second that are offered to the brokers
    :param learned_units: learned capacity of each machine in units per second, by machine name
    :param unreachable_counts: number of brokers that cannot reach a machine, by machine name
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
    """Lease grant, log entries that the child lacks, or a chunk of a snapshot, sent down the tree.

    :param granted_report: number of the report that is granted; 0 for none
    :param grant_index: log index that the child must apply before the grant is active
    :param prev_index: index of the log entry before the first of `entries`
    :param snapshot_index: index of the snapshot that `data` is a chunk of; 0 for none
    :param checksum: xxh3 checksum of the complete snapshot data
    :param wait_reasons: for operators: what each machine waits for, as seen by the leader
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
    """Encode a set of broker indexes of the deploy file as a bitmap."""
    return sum(1 << index for index in indexes).to_bytes(BROKER_SET_BYTES, "little")


def decode_broker_set(data: bytes) -> set[int]:
    """Decode a bitmap to a set of broker indexes."""
    bits = int.from_bytes(data, "little")
    return {index for index in range(8 * BROKER_SET_BYTES) if bits >> index & 1}


@dataclass(slots=True)
class SubtreeTotals:
    """Totals of a subtree; the fields have the same meaning as in SubtreeReport."""

    alive_brokers: set[int] = field(default_factory=set)
    incarnations: dict[str, int] = field(default_factory=dict)
    informed_brokers: dict[int, set[int]] = field(default_factory=dict)
    drained_brokers: dict[int, set[int]] = field(default_factory=dict)
    load_units: float = 0.0
    learned_units: dict[str, float] = field(default_factory=dict)
    unreachable_counts: dict[str, int] = field(default_factory=dict)

    def add(self, report: SubtreeReport) -> None:
        """Add the report of a child or of this broker itself."""
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
