"""The sums of all brokers' bids on one shard, as its coordinator keeps them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from harriertide.decide.expiry import expire_oldest
from harriertide.decide.peer_messages import DemandBid
from harriertide.decide.state import PRIORITY_BAND_COUNT

# Indexes into the values of a bid; the demand of each band comes first.
SERVED_RATE_INDEX = PRIORITY_BAND_COUNT
LATENCY_WEIGHTED_RATE_INDEX = PRIORITY_BAND_COUNT + 1
WEIGHT_SUM_INDEX = PRIORITY_BAND_COUNT + 2
BID_VALUE_COUNT = PRIORITY_BAND_COUNT + 3
MIN_SERVED_RATE = 0.01  # units a second; avoids a division by zero where nothing is served


class ReceivedBid(NamedTuple):
    """The last bid of a broker: the time of receipt, and its values."""

    received_at_us: int
    values: list[float]


@dataclass(slots=True, eq=False)
class DemandAggregate:
    """The sums of the bids on one shard; bids that are not renewed expire.

    bidders: the time of each broker's last bid, the oldest first. is_overload_announced: whether the last
    announcement to the bidders was that the shard is overloaded.
    """

    sums: list[float] = field(default_factory=lambda: [0.0] * BID_VALUE_COUNT)
    updated_at_us: int = 0
    bids: dict[int, ReceivedBid] = field(default_factory=dict)  # by broker, oldest first
    capacity: float = 0.0  # units a second
    is_capacity_known: bool = False
    is_overloaded: bool = False
    next_estimate_at_us: int = 0
    is_overload_announced: bool = False
    next_announcement_at_us: int = 0
    latency_ratio: float = 0.0
    bidders: dict[int, int] = field(default_factory=dict)

    @property
    def demand(self) -> tuple[float, ...]:
        """The offered rate of each priority band, in units a second."""
        return tuple(self.sums[:PRIORITY_BAND_COUNT])

    @property
    def demand_rate(self) -> float:
        """The offered rate of all bands, in units a second."""
        return sum(self.sums[:PRIORITY_BAND_COUNT])

    @property
    def served_rate(self) -> float:
        """The served rate, in units a second."""
        return self.sums[SERVED_RATE_INDEX]

    @property
    def weight_sum(self) -> float:
        """The sum of the weights of the volumes at all brokers."""
        return self.sums[WEIGHT_SUM_INDEX]

    @property
    def interval_latency_ratio(self) -> float:
        """Latency relative to the latency objective, weighted by units, in the bids that have not expired."""
        return self.sums[LATENCY_WEIGHTED_RATE_INDEX] / max(MIN_SERVED_RATE, self.served_rate)

    def replace_bid(
        self, broker: int, now_us: int, bid: DemandBid, lifetime_us: int, retention_us: int
    ) -> None:
        """Replace a broker's last bid, and remove expired bids from the sums.

        :param lifetime_us: age after which a bid expires
        :param retention_us: time without a bid after which a bidder is forgotten
        """
        values = [*bid.demand, bid.served_rate, bid.latency_weighted_rate, bid.weight_sum]
        outdated = [self.bids.pop(broker)] if broker in self.bids else []
        expired = expire_oldest(self.bids, lambda old: now_us - old.received_at_us > lifetime_us)
        outdated += [old for _, old in expired]
        self.bids[broker] = ReceivedBid(now_us, values)
        self.updated_at_us = now_us
        self._record_bidder(broker, now_us, retention_us)
        for index, value in enumerate(values):
            removed = sum(old.values[index] for old in outdated)
            self.sums[index] = max(0.0, self.sums[index] + value - removed)

    def _record_bidder(self, broker: int, now_us: int, retention_us: int) -> None:
        self.bidders.pop(broker, None)
        self.bidders[broker] = now_us
        expire_oldest(self.bidders, lambda bid_at_us: now_us - bid_at_us > retention_us)
