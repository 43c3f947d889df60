"""Enforcement of the plans' rate limits, and how long a request waits for its plan's rate limit.

A rate limit covers a volume's requests at all brokers together. If only this broker serves the volume, or
brokers do not exchange messages, this broker keeps the volume's token bucket with an even part of the limit.
Otherwise the holder of the volume's slot (leases) keeps the bucket and grants units from it (quota_grants),
and this broker spends them as credit (quota_credit).
"""

from __future__ import annotations

from zlib import crc32

from harriertide.decide import api
from harriertide.decide.context import DecisionContext, LeaseTimer, RequestTimer
from harriertide.decide.expiry import expire_oldest
from harriertide.decide.leases import VOTE_INTERVAL_US, Leases
from harriertide.decide.peer_exchange import PeerExchange
from harriertide.decide.peer_messages import LeaseVote, LeaseVoteRequest, QuotaGrant, QuotaRequest
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US, UNIT_COUNTER_COUNT, QuotaCredit
from harriertide.decide.quota_grants import QuotaDemand, QuotaGrants
from harriertide.decide.state import RequestState, VolumeState
from harriertide.decide.token_bucket import TokenBucket
from harriertide.decide.units import SECOND_US

# Even parts of a volume's quota that each of its brokers may use: the busiest broker needs more than one.
LOCAL_QUOTA_FACTOR = 2.0
# Time until an unanswered request for units is repeated; usually enough for a message and its answer.
QUOTA_RETRY_US = 45_000
# A request waits for its plan's rate limit for at most this part of its latency objective. After a longer
# wait its answer would be late, and the request would delay the requests behind it.
MAX_WAIT_OBJECTIVE_RATIO = 0.5
# A wait longer than any latency objective. A client's retry does not wait for units that are short, because
# first requests have priority for them.
EXCESSIVE_WAIT_US = 60 * SECOND_US


class RateLimits:
    """The volumes in use, their token buckets, and this broker's part in the leases of rate limits."""

    def __init__(self, context: DecisionContext, exchange: PeerExchange) -> None:
        self._context = context
        self._exchange = exchange
        self.volumes: dict[int, VolumeState] = {}  # by key, least recently used first
        # Keys of volumes without a state worth keeping when they were last used, least recently used first.
        self._discardable: dict[int, None] = {}
        self.leases: Leases | None = None
        self.grants: QuotaGrants | None = None
        exchange.register(LeaseVoteRequest, self._on_vote_request)
        exchange.register(LeaseVote, self._on_vote)
        exchange.register(QuotaRequest, self._on_quota_request)
        exchange.register(QuotaGrant, self._on_quota_grant)

    # --- settings and time ---------------------------------------------------------------------------

    def apply_settings(self) -> None:
        """Take part in leases once this broker has started, if the brokers share rate limits."""
        context = self._context
        has_limits = any(plan.rate_limit > 0 for plan in context.settings.plans)
        if context.derived.is_standalone or not has_limits:
            self.leases = self.grants = None
        elif self.leases is None and context.has_started:
            settings = context.settings
            self.leases = Leases(settings.broker_index, settings.broker_count, context.now_us)
            self.grants = QuotaGrants(self.leases)
            context.timers.schedule(context.now_us, LeaseTimer(self.leases))

    def reset(self) -> None:
        """Drop leases and credits and empty the rate limits' buckets.

        Called when the set of brokers has changed: what other brokers have sent before is unknown.
        """
        self.leases = self.grants = None
        for volume in self.volumes.values():
            volume.rate_limit_bucket = TokenBucket(0.0, self._context.now_us)
            volume.credit = QuotaCredit()

    def on_lease_timer(self, timer: LeaseTimer) -> None:
        """Request votes and schedule the next request for votes."""
        context = self._context
        if timer.leases is not self.leases:
            return  # a settings change has ended the leases of this timer
        for vote in timer.leases.request_votes(context.now_us):
            self._exchange.send(vote.broker, LeaseVoteRequest(vote.slot, vote.number))
        context.timers.schedule(context.now_us + VOTE_INTERVAL_US, timer)

    def forget_idle(self) -> None:
        """Remove volumes that have been idle for so long that all their buckets are full again."""
        now_us, retention_us = self._context.now_us, self._context.derived.volume_retention_us
        if self.grants is not None:
            self.grants.forget(now_us - retention_us)
        expired = expire_oldest(self.volumes, lambda volume: now_us - volume.used_at_us > retention_us)
        for key, _ in expired:
            self._discardable.pop(key, None)

    # --- volumes -------------------------------------------------------------------------------------

    def use_volume(self, arrival: api.Arrival) -> VolumeState:
        """Return the volume of an arriving request, and mark it as used now.

        A new volume is not retained where there is room for no further one.
        """
        context = self._context
        key = crc32(arrival.volume.encode())
        volume = self.volumes.get(key)
        if volume is None:
            reserved_bucket = TokenBucket(context.settings.max_request_units, context.now_us)
            # the rate limit's bucket starts empty, as this broker may have spent its units before a restart
            rate_limit_bucket = TokenBucket(0.0, context.started_at_us)
            local_ratio = min(1.0, LOCAL_QUOTA_FACTOR / max(1, arrival.sharing_broker_count))
            volume = VolumeState(key, local_ratio, reserved_bucket, rate_limit_bucket)
            if not self._make_room():
                return volume
        self.add_volume(volume)
        return volume

    def is_retained(self, volume: VolumeState) -> bool:
        """Whether what a volume spends is remembered, so that its rate limit can be kept."""
        return self.volumes.get(volume.key) is volume

    def add_volume(self, volume: VolumeState) -> None:
        """Add a volume as the most recently used one, or move a known volume to that place."""
        self.volumes.pop(volume.key, None)
        self.volumes[volume.key] = volume
        volume.used_at_us = self._context.now_us
        self._discardable.pop(volume.key, None)
        if self._is_like_new(volume):
            self._discardable[volume.key] = None

    def _make_room(self) -> bool:
        """Forget a volume if there are too many; False if that would let one exceed its rate limit."""
        if len(self.volumes) < self._context.settings.max_retained_volumes:
            return True
        while self._discardable:
            key = next(iter(self._discardable))
            del self._discardable[key]
            if self._is_like_new(self.volumes[key]):
                del self.volumes[key]
                return True
        oldest = next(iter(self.volumes.values()))
        if not self._has_refilled(oldest):
            return False
        del self.volumes[oldest.key]
        return True

    def _is_like_new(self, volume: VolumeState) -> bool:
        """Whether a volume has used nothing of a rate limit, so that nothing is lost if it is forgotten."""
        is_bucket_unused = volume.rate_limit_bucket.refilled_at_us == self._context.started_at_us
        return is_bucket_unused and not volume.waiting and self._has_unused_credit(volume)

    @staticmethod
    def _has_unused_credit(volume: VolumeState) -> bool:
        return not volume.credit.request_number and not volume.credit.used_units

    def _has_refilled(self, volume: VolumeState) -> bool:
        """Whether the bucket of a volume's rate limit is full again, and no other broker counts its units."""
        idle_us = self._context.now_us - volume.used_at_us
        return idle_us > self._context.derived.rate_limit_refill_us and self._has_unused_credit(volume)

    # --- requests ------------------------------------------------------------------------------------

    def request_wait_us(self, request: RequestState) -> int:
        """Return how long a request has to wait for its plan's rate limit; 0: it may be sent now.

        Asks the lease holder for units if needed. Only a request's first attempt counts against the rate
        limit; a client's retry is a separate request and counts like any other.
        """
        plan = self._context.settings.plans[request.arrival.plan]
        if plan.rate_limit <= 0 or request.attempt_count:
            return 0
        leases = self.leases
        if leases is None or request.arrival.sharing_broker_count <= 1:
            return self._local_wait_us(request, plan)
        return self._shared_wait_us(request, plan, leases)

    def is_wait_too_long(self, request: RequestState, wait_us: int) -> bool:
        """Whether the request would exceed its longest allowed wait if it waited for wait_us from now on."""
        max_wait_us = MAX_WAIT_OBJECTIVE_RATIO * request.request_class.latency_objective_us
        return self._context.now_us + wait_us > request.arrived_at_us + max_wait_us

    def _local_wait_us(self, request: RequestState, plan: api.Plan) -> int:
        """Return the wait for a bucket at this broker, which has an even part of the rate limit."""
        arrival = request.arrival
        rate = plan.rate_limit / arrival.sharing_broker_count
        capacity = plan.burst_limit_units / arrival.sharing_broker_count
        available_units = request.volume.rate_limit_bucket.refill(self._context.now_us, rate, capacity)
        missing_units = arrival.units - available_units
        if missing_units <= 0:
            return 0
        return EXCESSIVE_WAIT_US if arrival.is_retry else 1 + int(missing_units / rate * SECOND_US)

    def _shared_wait_us(self, request: RequestState, plan: api.Plan, leases: Leases) -> int:
        """Return the wait for the lease holder's bucket.

        It is 0 if this broker's credit covers the request, and otherwise lasts at least until the next
        request for units.
        """
        now_us, arrival, volume = self._context.now_us, request.arrival, request.volume
        credit = volume.credit
        if credit.covers(now_us, arrival.units):
            return 0
        waiting = dict.fromkeys([*volume.waiting, request])
        volume.waiting = [each for each in waiting if not (each.is_answered or each.attempt_count)]
        waiting_units = [each.arrival.units for each in volume.waiting]
        if now_us >= credit.retry_at_us:
            self._request_credit(request, plan, leases, waiting_units)
        if credit.covers(now_us, arrival.units):
            return 0  # this broker holds the lease, so its own request was answered immediately
        if not credit.is_short:
            return max(1, credit.retry_at_us - now_us)
        # while units are short, first requests have priority over clients' retries
        refill_us = (
            EXCESSIVE_WAIT_US if arrival.is_retry else int(sum(waiting_units) / plan.rate_limit * SECOND_US)
        )
        return max(1, credit.retry_at_us - now_us, refill_us)

    def _request_credit(
        self, request: RequestState, plan: api.Plan, leases: Leases, waiting_units: list[float]
    ) -> None:
        """Ask the lease holder for the units of the waiting requests.

        If the last grant was smaller than requested, the broker also asks for the units of requests that it
        expects to arrive in the meantime.
        """
        now_us, volume = self._context.now_us, request.volume
        credit = volume.credit
        expected_units = 2 * plan.rate_limit * CREDIT_LIFETIME_US / SECOND_US if credit.is_short else 0.0
        holder = leases.presumed_holder(leases.slot_of(volume.key), now_us, credit.unanswered)
        credit.request(
            now_us, sum(waiting_units) + expected_units, min(waiting_units), now_us + QUOTA_RETRY_US
        )
        message = QuotaRequest(
            volume_key=volume.key,
            plan=request.arrival.plan,
            wanted_units=credit.wanted,
            used_units=credit.used_units % UNIT_COUNTER_COUNT,
            epoch=leases.epoch,
            number=credit.request_number,
        )
        self._exchange.send(holder, message)

    def charge(self, request: RequestState) -> None:
        """Take the units of a request whose first attempt is sent."""
        arrival, volume = request.arrival, request.volume
        if request.attempt_count or self._context.settings.plans[arrival.plan].rate_limit <= 0:
            return
        if self.leases is not None and arrival.sharing_broker_count > 1:
            volume.credit.spend(arrival.units)
        else:
            volume.rate_limit_bucket.units -= arrival.units

    # --- messages ------------------------------------------------------------------------------------

    def _on_vote_request(self, broker: int, request: LeaseVoteRequest) -> None:
        if self.leases is not None and self.leases.grant_vote(self._context.now_us, broker, request.slot):
            self._exchange.send(broker, LeaseVote(request.slot, request.number))

    def _on_vote(self, broker: int, vote: LeaseVote) -> None:
        if self.leases is not None:
            self.leases.count_vote(self._context.now_us, broker, vote.slot, vote.number)

    def _on_quota_request(self, broker: int, request: QuotaRequest) -> None:
        """As the lease holder of a volume's slot, grant units of its rate limit."""
        plans = self._context.settings.plans
        if self.grants is None or request.plan >= len(plans) or plans[request.plan].rate_limit <= 0:
            return
        plan = plans[request.plan]
        demand = QuotaDemand(request.wanted_units, request.used_units, request.epoch, request.number)
        granted_units = self.grants.grant(
            self._context.now_us,
            broker,
            request.volume_key,
            demand,
            plan.rate_limit,
            plan.burst_limit_units,
        )
        if granted_units is not None:
            self._exchange.send(broker, QuotaGrant(request.volume_key, request.number, granted_units))

    def _on_quota_grant(self, broker: int, grant: QuotaGrant) -> None:
        """Credit the granted units, and check the requests that wait for them again."""
        context = self._context
        volume = self.volumes.get(grant.volume_key)
        if volume is None or not volume.waiting:
            return
        rate = context.settings.plans[volume.waiting[0].arrival.plan].rate_limit
        if volume.credit.accept(context.now_us, grant.number, grant.units, rate):
            for request in volume.waiting:
                context.timers.schedule(context.now_us, RequestTimer(request))
