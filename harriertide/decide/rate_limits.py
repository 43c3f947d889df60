"""Where a plan's limit is held, and how long a request waits for it.

A limit holds for all brokers together. Where a volume comes through this broker alone, or brokers cannot tell
each other anything, its bucket is here, with an even part of the limit; else the holder of the volume's slot
(leases) has the bucket and grants units of it (quota_grants), which are spent here (quota_credit).
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

# Even parts of a volume's quota that each of its brokers counts on: the busiest one uses more than one part.
LOCAL_QUOTA_FACTOR = 2.0
# Between requests for units that nobody answers: two trips of a message, mostly.
QUOTA_RETRY_US = 45_000
# A request waits for its plan's limit up to this part of its latency objective: what waits longer comes late,
# and holds up the next.
LIMIT_WAIT_OBJECTIVE_RATIO = 0.5
# A wait longer than any latency objective: a client's retry may not wait for a bucket that is short, as its
# units are left to requests that come for the first time.
NEVER_IN_TIME_US = 60 * SECOND_US


class RateLimits:
    """The volumes in use, their buckets, and this broker's part in the leases of plan limits."""

    def __init__(self, context: DecisionContext, exchange: PeerExchange) -> None:
        self._context = context
        self._exchange = exchange
        self.volumes: dict[int, VolumeState] = {}  # by key, the longest unused first
        self.leases: Leases | None = None
        self.grants: QuotaGrants | None = None
        exchange.register(LeaseVoteRequest, self._on_vote_request)
        exchange.register(LeaseVote, self._on_vote)
        exchange.register(QuotaRequest, self._on_quota_request)
        exchange.register(QuotaGrant, self._on_quota_grant)

    # --- settings and time ---------------------------------------------------------------------------

    def apply_settings(self) -> None:
        """Take part in leases, if brokers share limits, from this broker's start on."""
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
        """The fleet of brokers has changed: no lease holds, and what was sent of the limits is not known."""
        self.leases = self.grants = None
        for volume in self.volumes.values():
            volume.rate_limit_bucket = TokenBucket(0.0, self._context.now_us)
            volume.credit = QuotaCredit()

    def on_lease_timer(self, timer: LeaseTimer) -> None:
        """Ask for votes, and again after a while."""
        context = self._context
        if timer.leases is not self.leases:
            return  # of leases that the settings have ended
        for vote in timer.leases.request_votes(context.now_us):
            self._exchange.send(vote.broker, LeaseVoteRequest(vote.slot, vote.number))
        context.timers.schedule(context.now_us + VOTE_INTERVAL_US, timer)

    def forget_idle(self) -> None:
        """Forget volumes that were not used for so long that all their buckets are full again."""
        now_us, retention_us = self._context.now_us, self._context.derived.volume_retention_us
        if self.grants is not None:
            self.grants.forget(now_us - retention_us)
        expire_oldest(self.volumes, lambda volume: now_us - volume.used_at_us > retention_us)

    # --- volumes -------------------------------------------------------------------------------------

    def use_volume(self, arrival: api.Arrival) -> VolumeState:
        """The volume of a request that has come, which counts as used now."""
        context = self._context
        key = crc32(arrival.volume.encode())
        volume = self.volumes.get(key)
        if volume is None:
            reserved = TokenBucket(context.settings.max_request_units, context.now_us)
            # the limit's bucket starts as just spent: this broker may have restarted
            limit = TokenBucket(0.0, context.started_at_us)
            local_ratio = min(1.0, LOCAL_QUOTA_FACTOR / max(1, arrival.sharing_broker_count))
            volume = VolumeState(key, local_ratio, reserved, limit)
        self.add_volume(volume)
        return volume

    def add_volume(self, volume: VolumeState) -> None:
        """Keep a volume, as used now and therefore the last in order."""
        self.volumes.pop(volume.key, None)
        self.volumes[volume.key] = volume
        volume.used_at_us = self._context.now_us

    # --- requests ------------------------------------------------------------------------------------

    def request_wait_us(self, request: RequestState) -> int:
        """How long a request has to wait for its plan's limit; 0: not at all.

        Asks the holder of the limit for units where they are due. Only a request's first attempt counts in
        the limit; a client's retry is a request of its own and counts like any other.
        """
        plan = self._context.settings.plans[request.arrival.plan]
        if plan.rate_limit <= 0 or request.attempt_count:
            return 0
        leases = self.leases
        if leases is None or request.arrival.sharing_broker_count <= 1:
            return self._local_wait_us(request, plan)
        return self._shared_wait_us(request, plan, leases)

    def is_wait_too_long(self, request: RequestState, wait_us: int) -> bool:
        """Whether a request that waits so long from now on would come late."""
        longest_us = LIMIT_WAIT_OBJECTIVE_RATIO * request.request_class.latency_objective_us
        return self._context.now_us + wait_us > request.arrived_at_us + longest_us

    def _local_wait_us(self, request: RequestState, plan: api.Plan) -> int:
        """Of a bucket here, with an even part of the limit."""
        arrival = request.arrival
        rate = plan.rate_limit / arrival.sharing_broker_count
        capacity = plan.burst_limit_units / arrival.sharing_broker_count
        available = request.volume.rate_limit_bucket.refill(self._context.now_us, rate, capacity)
        lacking = arrival.units - available
        if lacking <= 0:
            return 0
        return NEVER_IN_TIME_US if arrival.is_retry else 1 + int(lacking / rate * SECOND_US)

    def _shared_wait_us(self, request: RequestState, plan: api.Plan, leases: Leases) -> int:
        """Of the holder's bucket: the credit that it granted, or the time until it is asked again."""
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
            return 0  # this broker is the holder itself
        if not credit.is_short:
            return max(1, credit.retry_at_us - now_us)
        # where the bucket is short, requests that come for the first time have priority
        refill_us = (
            NEVER_IN_TIME_US if arrival.is_retry else int(sum(waiting_units) / plan.rate_limit * SECOND_US)
        )
        return max(1, credit.retry_at_us - now_us, refill_us)

    def _request_credit(
        self, request: RequestState, plan: api.Plan, leases: Leases, waiting_units: list[float]
    ) -> None:
        """Ask the holder for what waits here; a busy volume's broker also for what comes meanwhile."""
        now_us, volume = self._context.now_us, request.volume
        credit = volume.credit
        expected = 2 * plan.rate_limit * CREDIT_LIFETIME_US / SECOND_US if credit.is_short else 0.0
        holder = leases.presumed_holder(leases.slot_of(volume.key), now_us, credit.unanswered)
        credit.request(now_us, sum(waiting_units) + expected, min(waiting_units), now_us + QUOTA_RETRY_US)
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
        """A request's first attempt is sent: take its units."""
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
        """As the holder of a volume's limit, grant units."""
        plans = self._context.settings.plans
        if self.grants is None or request.plan >= len(plans) or plans[request.plan].rate_limit <= 0:
            return
        plan = plans[request.plan]
        demand = QuotaDemand(request.wanted_units, request.used_units, request.epoch, request.number)
        granted = self.grants.grant(
            self._context.now_us,
            broker,
            request.volume_key,
            demand,
            plan.rate_limit,
            plan.burst_limit_units,
        )
        if granted is not None:
            self._exchange.send(broker, QuotaGrant(request.volume_key, request.number, granted))

    def _on_quota_grant(self, broker: int, grant: QuotaGrant) -> None:
        """Units have come: the requests that wait for them may be able to leave."""
        context = self._context
        volume = self.volumes.get(grant.volume_key)
        if volume is None or not volume.waiting:
            return
        rate = context.settings.plans[volume.waiting[0].arrival.plan].rate_limit
        if volume.credit.accept(context.now_us, grant.number, grant.units, rate):
            for request in volume.waiting:
                context.timers.schedule(context.now_us, RequestTimer(request))
