"""Encoding and decoding of the messages between the brokers of a fleet.

A datagram has at most 256 bytes: a magic number, one byte for the kind of its messages, and messages of that
kind. Each message starts with its key: a shard, a volume or a lease slot. The rates in bids and reports are
encoded in one byte each on a logarithmic scale, with an error of at most 2.2%; counts are encoded as whole
numbers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import log2
from struct import Struct
from typing import ClassVar, TypeAlias

from harriertide.decide.state import PRIORITY_BAND_COUNT

DATAGRAM_BYTES = 256  # the largest datagram that is sent or accepted
MAGIC = b"FT"
KIND_OFFSET = len(MAGIC)
HEADER_BYTES = KIND_OFFSET + 1
# Unit of the answer time in messages.
ANSWER_TIME_UNIT_US = 10_000
MAX_BYTE = 255
# Flags of a DemandReport; their sum is encoded as one byte on the scale of rates.
CAPACITY_KNOWN_FLAG = 1
OVERLOADED_FLAG = 2


@dataclass(frozen=True, slots=True)
class DemandBid:
    """A broker's demand for a shard, sent to its coordinator each bid interval. Rates are units a second.

    demand: offered rate by priority band. latency_weighted_rate: rate of served units, each unit multiplied
    by its latency ratio. weight_sum: of the volumes seen by the broker. capacity: of the shard, as known to
    the broker.
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
    """The sums of all brokers' bids on a shard and the state that follows from them, sent by the coordinator.

    is_capacity_known: the capacity was learned from answers and is not an assumption. is_overloaded: the
    shard's load exceeds its capacity.
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
    """A request to a coordinator for units of a warming node of its shard.

    started_ms: the node's start, modulo 2**32. answered_units, answered_time_units: units that the node
    answered to the broker since the last request, and the time that the answers took, in ANSWER_TIME_UNIT_US.
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
    """A coordinator's grant of a SlowStartRequest, with the fields of that request."""

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
    """A candidate's request for a vote, sent to the brokers of a slot's group. number: of the ballot."""

    KIND: ClassVar[int] = 8
    LAYOUT: ClassVar[Struct] = Struct("<IB")

    slot: int
    number: int


@dataclass(frozen=True, slots=True)
class LeaseVote:
    """A vote for the sender of a LeaseVoteRequest, with the fields of that request."""

    KIND: ClassVar[int] = 9
    LAYOUT: ClassVar[Struct] = Struct("<IB")

    slot: int
    number: int


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A request to the lease holder for units of a volume's rate limit; see quota_grants.QuotaDemand."""

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
    """The lease holder's answer to the QuotaRequest of this number."""

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
# Kinds 1, 4 and 5 belonged to earlier releases and must not be reused.
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


def rate_to_byte(value: float) -> int:
    """Encode a rate as one byte on a logarithmic scale; rates beyond the scale become its last value."""
    return min(MAX_BYTE, round(16 * log2(1 + 4 * max(0.0, value))))


def byte_to_rate(byte: int) -> float:
    """Decode a rate from its byte."""
    return float((2 ** (byte / 16) - 1) / 4)


def _layout_fields(message: PeerMessage) -> list[int]:
    """Return the fields of a message as integers in the order of its layout."""
    if isinstance(message, DemandBid):
        rates = (*message.demand, message.served_rate, message.latency_weighted_rate)
        return [message.shard, *map(rate_to_byte, (*rates, message.weight_sum, message.capacity))]
    if isinstance(message, DemandReport):
        rates = (*message.demand, message.capacity, message.weight_sum, message.latency_ratio)
        flags = CAPACITY_KNOWN_FLAG * message.is_capacity_known + OVERLOADED_FLAG * message.is_overloaded
        return [message.shard, *map(rate_to_byte, (*rates, flags))]
    return [getattr(message, name) for name in message.__slots__]


def encode(messages: Sequence[PeerMessage]) -> list[bytes]:
    """Encode messages of one kind into as many datagrams as they need."""
    layout = messages[0].LAYOUT
    header = MAGIC + bytes([messages[0].KIND])
    packed = [layout.pack(*_layout_fields(message)) for message in messages]
    messages_per_datagram = (DATAGRAM_BYTES - HEADER_BYTES) // layout.size
    return [
        header + b"".join(packed[first : first + messages_per_datagram])
        for first in range(0, len(packed), messages_per_datagram)
    ]


def decode(datagram: bytes) -> list[PeerMessage]:
    """Decode the messages of a datagram.

    :returns: none if the datagram is malformed, of another version, or holds a rate off the scale
    """
    has_valid_header = datagram.startswith(MAGIC) and HEADER_BYTES <= len(datagram) <= DATAGRAM_BYTES
    message_type = _TYPE_BY_KIND.get(datagram[KIND_OFFSET]) if has_valid_header else None
    if message_type is None or (len(datagram) - HEADER_BYTES) % message_type.LAYOUT.size:
        return []
    rows = list(message_type.LAYOUT.iter_unpack(datagram[HEADER_BYTES:]))
    if message_type is DemandBid or message_type is DemandReport:
        if any(max(row[1:]) == MAX_BYTE for row in rows):
            return []
        return [_decode_rates(message_type, row) for row in rows]
    return [message_type(*row) for row in rows]


def _decode_rates(message_type: type[DemandBid] | type[DemandReport], row: tuple[int, ...]) -> PeerMessage:
    key, *rate_bytes = row
    rates = [byte_to_rate(byte) for byte in rate_bytes]
    demand = tuple(rates[:PRIORITY_BAND_COUNT])
    other_rates = rates[PRIORITY_BAND_COUNT:]
    if message_type is DemandBid:
        return DemandBid(key, demand, *other_rates)
    capacity, weight_sum, latency_ratio, decoded_flags = other_rates
    flags = round(decoded_flags)
    return DemandReport(
        key,
        demand,
        capacity,
        weight_sum,
        latency_ratio,
        is_capacity_known=bool(flags & CAPACITY_KNOWN_FLAG),
        is_overloaded=flags >= OVERLOADED_FLAG,
    )
