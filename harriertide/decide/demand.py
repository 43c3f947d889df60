"""What is offered here, what is bid for it, who sums it up, and what the sums say.

Each bid interval a broker tells the coordinator of each shard that it has demand for the units that were
offered and served here (DemandBid) and hears the sums of all brokers (DemandReport). As a coordinator it sums
up the bids, learns the shard's capacity of them, and tells all bidders when an overload begins or ends.
"""

from __future__ import annotations

from harriertide.decide.admission import update_allotment
from harriertide.decide.capacity import CapacityEstimator
from harriertide.decide.context import DecisionContext
from harriertide.decide.demand_aggregate import DemandAggregate
from harriertide.decide.derived import IDLE_STATE_RETENTION_US
from harriertide.decide.endpoints import BID_LIFETIME_US, Endpoints
from harriertide.decide.peer_exchange import PeerExchange
from harriertide.decide.peer_messages import DemandBid, DemandReport
from harriertide.decide.state import PRIORITY_BAND_COUNT, ShardState
from harriertide.decide.units import SECOND_US

# Between bids: a tenth of the shortest surges, so that these are answered while they last.
BID_INTERVAL_US = 300_000
# Brokers that start together do not bid together: the first interval ends between half of it and one and a
# half.
FIRST_INTERVAL_MIN_RATIO = 0.5
# Weight of the newest interval in the demand and in the fleet's latency ratio: single intervals are noisy,
# but surges have to be noticed soon.
SMOOTHING_RATIO = 0.5
# Demand, in mean requests a second, below which a broker bids no more.
MIN_BID_REQUESTS_PER_S = 0.1
# Between reports of an overloaded shard to all brokers that use it, whether or not they have bid just now.
ANNOUNCE_INTERVAL_US = 1_000_000
# Bids without an answer go to coordinator and standby in turn.
COORDINATOR_COUNT = 2
# A shard's interval counts with at most so many latency objectives.
MAX_INTERVAL_LATENCY_RATIO = 2.0


class Demand:
    """Bids of this broker and, for the shards that it coordinates, the sums of all brokers' bids."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        exchange: PeerExchange,
        capacity: CapacityEstimator,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._exchange = exchange
        self._capacity = capacity
        self.active_shards: dict[int, ShardState] = {}  # with demand here
        self.aggregates: dict[int, DemandAggregate] = {}  # by shard, as its coordinator
        self.interval_started_us = 0
        self.interval_ends_us = 0
        exchange.register(DemandBid, self._on_bid)
        exchange.register(DemandReport, self._on_report)

    def start(self) -> None:
        """Begin the first interval."""
        now_us = self._context.now_us
        self.interval_started_us = now_us
        ratio = FIRST_INTERVAL_MIN_RATIO + self._context.random.random()
        self.interval_ends_us = now_us + int(BID_INTERVAL_US * ratio)

    def shift(self, by_us: int) -> None:
        """Follow a clock that was set by so much, as a newer process goes by the clock of the one before."""
        self.interval_started_us += by_us
        self.interval_ends_us += by_us

    def mark_active(self, shard: ShardState) -> None:
        """A shard has demand here: it is bid for from now on."""
        self.active_shards[shard.shard] = shard

    def is_interval_over(self) -> bool:
        """Whether it is time to bid."""
        return self._context.now_us >= self.interval_ends_us

    def close_interval(self) -> None:
        """Bid for what has demand here, and for nothing else."""
        now_us = self._context.now_us
        span_s = (now_us - self.interval_started_us) / SECOND_US
        self.interval_started_us = now_us
        self.interval_ends_us = now_us + BID_INTERVAL_US
        for shard in list(self.active_shards.values()):
            self._close_shard_interval(shard, span_s)

    def _close_shard_interval(self, shard: ShardState, span_s: float) -> None:
        bid = self._take_interval_figures(shard, span_s)
        self._context.mark_ready(shard)
        least = MIN_BID_REQUESTS_PER_S * self._context.settings.mean_request_units
        if sum(shard.demand) < least and not shard.queue and not shard.is_limited:
            del self.active_shards[shard.shard]
            shard.demand = [0.0] * PRIORITY_BAND_COUNT
            return
        update_allotment(self._context, shard)
        coordinators = self._context.derived.coordinators(shard.shard)
        coordinator = coordinators[shard.unanswered_bids % COORDINATOR_COUNT]
        shard.unanswered_bids += 1
        self._exchange.send(coordinator, bid)

    def _take_interval_figures(self, shard: ShardState, span_s: float) -> DemandBid:
        """The figures of the interval that ends, which begin anew."""
        for band in range(PRIORITY_BAND_COUNT):
            offered_rate = shard.offered_units[band] / span_s
            shard.demand[band] += SMOOTHING_RATIO * (offered_rate - shard.demand[band])
            shard.offered_units[band] = 0.0
        bid = DemandBid(
            shard=shard.shard,
            demand=tuple(shard.demand),
            served_rate=shard.served_units / span_s,
            latency_weighted_rate=shard.latency_weighted_units / span_s,
            weight_sum=sum(shard.volume_weights.values()),
            capacity=shard.capacity,
        )
        shard.served_units = 0.0
        shard.latency_weighted_units = 0.0
        shard.volume_weights.clear()
        return bid

    def reset_aggregates(self) -> None:
        """The fleet of brokers has changed, and with it coordinators: forget what was summed up."""
        self.aggregates.clear()

    # --- as coordinator ------------------------------------------------------------------------------

    def _on_bid(self, broker: int, bid: DemandBid) -> None:
        """Sum up a bid, answer it, and tell all bidders when an overload begins or ends."""
        settings, derived = self._context.settings, self._context.derived
        is_coordinator = settings.broker_index in derived.coordinators(bid.shard)
        if bid.shard >= settings.shard_count or not is_coordinator:
            return
        now_us = self._context.now_us
        aggregate = self.aggregates.setdefault(bid.shard, DemandAggregate())
        aggregate.replace_bid(broker, now_us, bid, BID_LIFETIME_US, IDLE_STATE_RETENTION_US)
        if not aggregate.is_capacity_known:
            # a coordinator that has restarted, or a standby: it goes on from what the bidders know
            aggregate.capacity = max(aggregate.capacity, bid.capacity)
        if now_us >= aggregate.next_estimate_at_us:
            self._update_estimate(aggregate, bid.shard)
        report = DemandReport(
            shard=bid.shard,
            demand=aggregate.demand,
            capacity=aggregate.capacity,
            weight_sum=aggregate.weight_sum,
            latency_ratio=aggregate.latency_ratio,
            is_capacity_known=aggregate.is_capacity_known,
            is_overloaded=aggregate.is_overloaded,
        )
        self._exchange.send(broker, report)
        self._announce_overload(aggregate, report, broker)

    def _update_estimate(self, aggregate: DemandAggregate, shard: int) -> None:
        """Once an interval, learn of the sums."""
        aggregate.next_estimate_at_us = self._context.now_us + BID_INTERVAL_US
        ratio = min(MAX_INTERVAL_LATENCY_RATIO, aggregate.interval_latency_ratio)
        aggregate.latency_ratio += SMOOTHING_RATIO * (ratio - aggregate.latency_ratio)
        self._capacity.update_capacity_estimate(aggregate, self._endpoints.shards.get(shard))

    def _announce_overload(self, aggregate: DemandAggregate, report: DemandReport, answered: int) -> None:
        """Tell all brokers that use the shard, when an overload begins or ends and once a second between.

        Guards against brokers that meet the shard now and then: each would find out by what it loses there.
        """
        now_us = self._context.now_us
        has_changed = aggregate.is_overloaded != aggregate.is_overload_announced
        is_due = aggregate.is_overloaded and now_us >= aggregate.next_announcement_at_us
        if not has_changed and not is_due:
            return
        aggregate.is_overload_announced = aggregate.is_overloaded
        aggregate.next_announcement_at_us = now_us + ANNOUNCE_INTERVAL_US
        own_index = self._context.settings.broker_index
        for broker in aggregate.bidders.keys() - {answered, own_index}:
            self._exchange.send(broker, report)

    # --- as broker -----------------------------------------------------------------------------------

    def _on_report(self, broker: int, report: DemandReport) -> None:
        """Take a coordinator's sums; those of others count for nothing."""
        is_coordinator = broker in self._context.derived.coordinators(report.shard)
        shard = self._endpoints.shards.get(report.shard)
        is_listed = report.shard < self._context.settings.shard_count
        if shard is None or not is_coordinator or not is_listed:
            return
        shard.unanswered_bids = 0
        shard.updated_at_us = self._context.now_us
        shard.fleet_demand = list(report.demand)
        shard.capacity = report.capacity
        shard.weight_sum = report.weight_sum
        shard.fleet_latency_ratio = report.latency_ratio
        shard.is_capacity_known = report.is_capacity_known
        shard.is_overloaded = report.is_overloaded
        update_allotment(self._context, shard)
        self._context.mark_ready(shard)
