"""Demand at this broker, bids to coordinators, and the coordinators' reports of all brokers' demand.

In each bid interval a broker sends a DemandBid for every shard for which it has demand to that shard's
coordinator, with the rates offered and served at this broker. The coordinator replies with a DemandReport,
the sums of all brokers' bids. The coordinator also learns the shard's capacity from the bids, and notifies
all bidders when an overload begins or ends.
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

# Time between bids: a tenth of the shortest surges, so that the response arrives while a surge lasts.
BID_INTERVAL_US = 300_000
# The first interval lasts 0.5 to 1.5 times BID_INTERVAL_US, so that brokers that start together do not bid at
# the same time.
FIRST_INTERVAL_MIN_RATIO = 0.5
# Weight of the newest interval in the smoothed demand and in the fleet's latency ratio: single intervals are
# noisy, but surges have to be detected quickly.
SMOOTHING_RATIO = 0.5
# Demand, in mean requests a second, below which a broker stops bidding.
MIN_BID_REQUESTS_PER_S = 0.1
# Time between reports on an overloaded shard to all recent bidders, including those without a new bid.
ANNOUNCE_INTERVAL_US = 1_000_000
# Unanswered bids alternate between the coordinator and its standby.
COORDINATOR_COUNT = 2
# Upper bound of one interval's latency ratio in the smoothed ratio.
MAX_INTERVAL_LATENCY_RATIO = 2.0


class Demand:
    """Sends this broker's bids and, for the shards that it coordinates, sums the bids of all brokers."""

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
        self.active_shards: dict[int, ShardState] = {}  # shards with demand at this broker
        self.aggregates: dict[int, DemandAggregate] = {}  # by shard, where this broker is the coordinator
        self.interval_started_us = 0
        self.interval_ends_us = 0
        exchange.register(DemandBid, self._on_bid)
        exchange.register(DemandReport, self._on_report)

    def start(self) -> None:
        """Start the first bid interval."""
        now_us = self._context.now_us
        self.interval_started_us = now_us
        ratio = FIRST_INTERVAL_MIN_RATIO + self._context.random.random()
        self.interval_ends_us = now_us + int(BID_INTERVAL_US * ratio)

    def shift(self, by_us: int) -> None:
        """Move all times by `by_us`, as a newer process takes over the clock of the previous process."""
        self.interval_started_us += by_us
        self.interval_ends_us += by_us

    def mark_active(self, shard: ShardState) -> None:
        """Record that a shard has demand at this broker, which bids for the shard from now on."""
        self.active_shards[shard.shard] = shard

    def is_interval_over(self) -> bool:
        """Whether the bid interval is over."""
        return self._context.now_us >= self.interval_ends_us

    def close_interval(self) -> None:
        """Bid for each active shard, and start the next interval."""
        now_us = self._context.now_us
        interval_s = (now_us - self.interval_started_us) / SECOND_US
        self.interval_started_us = now_us
        self.interval_ends_us = now_us + BID_INTERVAL_US
        for shard in list(self.active_shards.values()):
            self._close_shard_interval(shard, interval_s)

    def _close_shard_interval(self, shard: ShardState, interval_s: float) -> None:
        bid = self._collect_bid(shard, interval_s)
        self._context.mark_ready(shard)
        min_rate = MIN_BID_REQUESTS_PER_S * self._context.settings.mean_request_units
        if sum(shard.demand) < min_rate and not shard.queue and not shard.is_limited:
            del self.active_shards[shard.shard]
            shard.demand = [0.0] * PRIORITY_BAND_COUNT
            return
        update_allotment(self._context, shard)
        coordinators = self._context.derived.coordinators(shard.shard)
        coordinator = coordinators[shard.unanswered_bids % COORDINATOR_COUNT]
        shard.unanswered_bids += 1
        self._exchange.send(coordinator, bid)

    def _collect_bid(self, shard: ShardState, interval_s: float) -> DemandBid:
        """Build the bid of the interval that ends, and reset the shard's counters for the next one."""
        for band in range(PRIORITY_BAND_COUNT):
            offered_rate = shard.offered_units[band] / interval_s
            shard.demand[band] += SMOOTHING_RATIO * (offered_rate - shard.demand[band])
            shard.offered_units[band] = 0.0
        bid = DemandBid(
            shard=shard.shard,
            demand=tuple(shard.demand),
            served_rate=shard.served_units / interval_s,
            latency_weighted_rate=shard.latency_weighted_units / interval_s,
            weight_sum=sum(shard.volume_weights.values()),
            capacity=shard.capacity,
        )
        shard.served_units = 0.0
        shard.latency_weighted_units = 0.0
        shard.volume_weights.clear()
        return bid

    def reset_aggregates(self) -> None:
        """Discard all sums of bids, as a change of the fleet of brokers changes the coordinators."""
        self.aggregates.clear()

    # --- as coordinator ------------------------------------------------------------------------------

    def _on_bid(self, broker: int, bid: DemandBid) -> None:
        """Add a bid to the sums, reply with a report, and notify all bidders of a change of overload."""
        settings, derived = self._context.settings, self._context.derived
        is_coordinator = settings.broker_index in derived.coordinators(bid.shard)
        if bid.shard >= settings.shard_count or not is_coordinator:
            return
        now_us = self._context.now_us
        aggregate = self.aggregates.setdefault(bid.shard, DemandAggregate())
        aggregate.replace_bid(broker, now_us, bid, BID_LIFETIME_US, IDLE_STATE_RETENTION_US)
        if not aggregate.is_capacity_known:
            # A coordinator that has restarted, or a standby, starts from the capacity that bidders report.
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
        """Update the latency ratio and the capacity estimate, once in an interval."""
        aggregate.next_estimate_at_us = self._context.now_us + BID_INTERVAL_US
        ratio = min(MAX_INTERVAL_LATENCY_RATIO, aggregate.interval_latency_ratio)
        aggregate.latency_ratio += SMOOTHING_RATIO * (ratio - aggregate.latency_ratio)
        self._capacity.update_capacity_estimate(aggregate, self._endpoints.shards.get(shard))

    def _announce_overload(
        self, aggregate: DemandAggregate, report: DemandReport, answered_broker: int
    ) -> None:
        """Report to all recent bidders when an overload begins or ends, and once a second while it lasts.

        Brokers that use the shard only occasionally would otherwise learn of the overload from failed
        requests.

        :param answered_broker: the broker that has just received the report as the reply to its bid
        """
        now_us = self._context.now_us
        has_changed = aggregate.is_overloaded != aggregate.is_overload_announced
        is_due = aggregate.is_overloaded and now_us >= aggregate.next_announcement_at_us
        if not has_changed and not is_due:
            return
        aggregate.is_overload_announced = aggregate.is_overloaded
        aggregate.next_announcement_at_us = now_us + ANNOUNCE_INTERVAL_US
        own_index = self._context.settings.broker_index
        for broker in aggregate.bidders.keys() - {answered_broker, own_index}:
            self._exchange.send(broker, report)

    # --- as broker -----------------------------------------------------------------------------------

    def _on_report(self, broker: int, report: DemandReport) -> None:
        """Apply a coordinator's report; reports of other brokers are ignored."""
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
