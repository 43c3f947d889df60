"""A coordinator's sums of all brokers' bids on one shard."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from harriertide.decide.expiry import expire_oldest
from harriertide.decide.peer_messages import DemandBid
from harriertide.decide.state import PRIORITY_BAND_COUNT

# Indexes of a bid's figures: demand by band, then these.
SERVED_RATE_INDEX = PRIORITY_BAND_COUNT
LATENCY_WEIGHTED_RATE_INDEX = PRIORITY_BAND_COUNT + 1
WEIGHT_SUM_INDEX = PRIORITY_BAND_COUNT + 2
FIGURE_COUNT = PRIORITY_BAND_COUNT + 3
MIN_SERVED_RATE = 0.01  # units a second; guards a division where nothing is served


class ReceivedBid(NamedTuple):
    """A broker's last bid: when it came, and its figures."""

    received_at_us: int
    figures: list[float]


@dataclass(slots=True, eq=False)
class DemandAggregate:
    """The sums of the bids on one shard; bids that are not renewed run out.

    bidders: brokers that have bid, and when, the longest ago first. is_overload_announced: they know of it.
    """

    sums: list[float] = field(default_factory=lambda: [0.0] * FIGURE_COUNT)
    updated_at_us: int = 0
    bids: dict[int, ReceivedBid] = field(default_factory=dict)  # by broker, the oldest first
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
        """Units a second that are offered, by priority band."""
        return tuple(self.sums[:PRIORITY_BAND_COUNT])

    @property
    def demand_rate(self) -> float:
        """Units a second that are offered, of all bands."""
        return sum(self.sums[:PRIORITY_BAND_COUNT])

    @property
    def served_rate(self) -> float:
        """Units a second that are served."""
        return self.sums[SERVED_RATE_INDEX]

    @property
    def weight_sum(self) -> float:
        """Of the volumes at all brokers."""
        return self.sums[WEIGHT_SUM_INDEX]

    @property
    def interval_latency_ratio(self) -> float:
        """Latency over latency objective of what was served in the last bid intervals."""
        return self.sums[LATENCY_WEIGHTED_RATE_INDEX] / max(MIN_SERVED_RATE, self.served_rate)

    def replace_bid(
        self, broker: int, now_us: int, bid: DemandBid, lifetime_us: int, retention_us: int
    ) -> None:
        """Put a bid in place of that broker's last one.

        :param lifetime_us: bids older than that are taken out of the sums
        :param retention_us: bidders that were not heard for so long are forgotten
        """
        figures = [*bid.demand, bid.served_rate, bid.latency_weighted_rate, bid.weight_sum]
        outdated = [self.bids.pop(broker)] if broker in self.bids else []
        expired = expire_oldest(self.bids, lambda old: now_us - old.received_at_us > lifetime_us)
        outdated += [old for _, old in expired]
        self.bids[broker] = ReceivedBid(now_us, figures)
        self.updated_at_us = now_us
        self._record_bidder(broker, now_us, retention_us)
        for index, figure in enumerate(figures):
            lost = sum(old.figures[index] for old in outdated)
            self.sums[index] = max(0.0, self.sums[index] + figure - lost)

    def _record_bidder(self, broker: int, now_us: int, retention_us: int) -> None:
        self.bidders.pop(broker, None)
        self.bidders[broker] = now_us
        expire_oldest(self.bidders, lambda bid_at_us: now_us - bid_at_us > retention_us)
