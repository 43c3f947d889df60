"""Messages between the brokers of a fleet, to bytes and back. Nothing here decides anything.

A datagram is a magic, one byte for the kind of its messages, and messages of that kind, at most 256 bytes. A
message is about one shard, volume or lease slot, its key. Rates of demand travel as one byte each on a log
scale, within 2.2%; counts as whole numbers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import log2
from struct import Struct
from typing import ClassVar, TypeAlias

from harriertide.decide.state import PRIORITY_BAND_COUNT

DATAGRAM_BYTES = 256  # the most that the wire carries
MAGIC = b"FT"
KIND_OFFSET = len(MAGIC)
HEADER_BYTES = KIND_OFFSET + 1
# The time that answers took travels in counts of this.
ANSWER_TIME_UNIT_US = 10_000
MAX_BYTE = 255
# Flags of a DemandReport, which travel as one figure on the scale of rates.
CAPACITY_KNOWN_FLAG = 1
OVERLOADED_FLAG = 2


@dataclass(frozen=True, slots=True)
class DemandBid:
    """To a shard's coordinator, each bid interval: what was offered and served here. Rates are units a
    second.

    demand: by priority band. latency_weighted_rate: of served units, each times its latency ratio.
    weight_sum: of the volumes seen here. capacity: of the shard, as known here.
    """

    KIND: ClassVar[int] = 2
    LAYOUT: ClassVar[Struct] = Struct("<I10B")

    shard: int
    demand: tuple[float, ...]
    served_rate: float
    latency_weighted_rate: float
    weight_sum: float
    capacity: float


@dataclass(frozen=True, slots=True)
class DemandReport:
    """From a shard's coordinator: the sums of all brokers' bids, and what follows from them.

    is_capacity_known: it was learned, and is not a guess. is_overloaded: the shard gets more than it can do.
    """

    KIND: ClassVar[int] = 3
    LAYOUT: ClassVar[Struct] = Struct("<I10B")

    shard: int
    demand: tuple[float, ...]
    capacity: float
    weight_sum: float
    latency_ratio: float
    is_capacity_known: bool
    is_overloaded: bool


@dataclass(frozen=True, slots=True)
class SlowStartRequest:
    """To a coordinator: units wanted for a warming node of its shard.

    started_ms: the node's start, modulo 2**32. answered_units, answered_time_units: what it answered to this
    broker since the last request, and how long that took in ANSWER_TIME_UNIT_US.
    """

    KIND: ClassVar[int] = 6
    LAYOUT: ClassVar[Struct] = Struct("<IIBBBB")

    shard: int
    started_ms: int
    units: int
    number: int
    answered_units: int
    answered_time_units: int


@dataclass(frozen=True, slots=True)
class SlowStartGrant:
    """The coordinator's yes to a SlowStartRequest, whose figures it repeats."""

    KIND: ClassVar[int] = 7
    LAYOUT: ClassVar[Struct] = Struct("<IIBBBB")

    shard: int
    started_ms: int
    units: int
    number: int
    answered_units: int
    answered_time_units: int


@dataclass(frozen=True, slots=True)
class LeaseVoteRequest:
    """To the brokers of a slot's group: a vote is asked for. number: of the ballot."""

    KIND: ClassVar[int] = 8
    LAYOUT: ClassVar[Struct] = Struct("<IB")

    slot: int
    number: int


@dataclass(frozen=True, slots=True)
class LeaseVote:
    """The vote for a LeaseVoteRequest."""

    KIND: ClassVar[int] = 9
    LAYOUT: ClassVar[Struct] = Struct("<IB")

    slot: int
    number: int


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """To the holder of a volume's limit: units wanted. The fields are those of quota_grants.QuotaDemand."""

    KIND: ClassVar[int] = 10
    LAYOUT: ClassVar[Struct] = Struct("<IBBHHB")

    volume_key: int
    plan: int
    wanted_units: int
    used_units: int
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """The holder's answer to the QuotaRequest of this number."""

    KIND: ClassVar[int] = 11
    LAYOUT: ClassVar[Struct] = Struct("<IBB")

    volume_key: int
    number: int
    units: int


PeerMessage: TypeAlias = (
    DemandBid
    | DemandReport
    | SlowStartRequest
    | SlowStartGrant
    | LeaseVoteRequest
    | LeaseVote
    | QuotaRequest
    | QuotaGrant
)
# Kinds 1, 4 and 5 belonged to earlier releases and are not used again.
_TYPE_BY_KIND: dict[int, type[PeerMessage]] = {
    each.KIND: each
    for each in (
        DemandBid,
        DemandReport,
        SlowStartRequest,
        SlowStartGrant,
        LeaseVoteRequest,
        LeaseVote,
        QuotaRequest,
        QuotaGrant,
    )
}


def scale_to_byte(value: float) -> int:
    """A rate as one byte on a log scale; what is off the scale is its last value."""
    return min(MAX_BYTE, round(16 * log2(1 + 4 * max(0.0, value))))


def byte_to_scale(byte: int) -> float:
    """The rate that a byte stands for."""
    return float((2 ** (byte / 16) - 1) / 4)


def _figures(message: PeerMessage) -> list[int]:
    """The fields of a message as its layout has them."""
    if isinstance(message, DemandBid):
        rates = (*message.demand, message.served_rate, message.latency_weighted_rate)
        return [message.shard, *map(scale_to_byte, (*rates, message.weight_sum, message.capacity))]
    if isinstance(message, DemandReport):
        rates = (*message.demand, message.capacity, message.weight_sum, message.latency_ratio)
        flags = CAPACITY_KNOWN_FLAG * message.is_capacity_known + OVERLOADED_FLAG * message.is_overloaded
        return [message.shard, *map(scale_to_byte, (*rates, flags))]
    return [getattr(message, name) for name in message.__slots__]


def encode(messages: Sequence[PeerMessage]) -> list[bytes]:
    """As many datagrams as the messages need, which are all of one kind."""
    layout = messages[0].LAYOUT
    header = MAGIC + bytes([messages[0].KIND])
    packed = [layout.pack(*_figures(message)) for message in messages]
    fitting = (DATAGRAM_BYTES - HEADER_BYTES) // layout.size
    return [header + b"".join(packed[first : first + fitting]) for first in range(0, len(packed), fitting)]


def decode(datagram: bytes) -> list[PeerMessage]:
    """The messages of a datagram; none for junk, other versions and figures off the scale."""
    is_known = datagram.startswith(MAGIC) and HEADER_BYTES <= len(datagram) <= DATAGRAM_BYTES
    message_type = _TYPE_BY_KIND.get(datagram[KIND_OFFSET]) if is_known else None
    if message_type is None or (len(datagram) - HEADER_BYTES) % message_type.LAYOUT.size:
        return []
    rows = list(message_type.LAYOUT.iter_unpack(datagram[HEADER_BYTES:]))
    if message_type is DemandBid or message_type is DemandReport:
        if any(max(row[1:]) == MAX_BYTE for row in rows):
            return []
        return [_read_rates(message_type, row) for row in rows]
    return [message_type(*row) for row in rows]


def _read_rates(message_type: type[DemandBid] | type[DemandReport], row: tuple[int, ...]) -> PeerMessage:
    key, *scaled = row
    rates = [byte_to_scale(byte) for byte in scaled]
    demand = tuple(rates[:PRIORITY_BAND_COUNT])
    figures = rates[PRIORITY_BAND_COUNT:]
    if message_type is DemandBid:
        return DemandBid(key, demand, *figures)
    capacity, weight_sum, latency_ratio, scaled_flags = figures
    flags = round(scaled_flags)
    return DemandReport(
        key,
        demand,
        capacity,
        weight_sum,
        latency_ratio,
        is_capacity_known=bool(flags & CAPACITY_KNOWN_FLAG),
        is_overloaded=flags >= OVERLOADED_FLAG,
    )
