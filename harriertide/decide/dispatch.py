"""Dispatch of admitted requests: the queue of each shard, and the checks right before an attempt."""

from __future__ import annotations

from heapq import heappop, heappush

from harriertide.decide import api
from harriertide.decide.context import DecisionContext, RequestTimer, ShardTimer
from harriertide.decide.health import HealthChecks
from harriertide.decide.key_queues import KeyQueues
from harriertide.decide.latency import BaselineLatency
from harriertide.decide.placement import MAX_IN_FLIGHT_COUNT, MIN_IN_FLIGHT_COUNT, Placement
from harriertide.decide.rate_limits import RateLimits
from harriertide.decide.responses import Responses
from harriertide.decide.retry import RetryBudget, is_deduplicated, may_attempt, silence_limits
from harriertide.decide.slow_start import SlowStart
from harriertide.decide.state import NodeState, OpenAttempt, RequestState, ShardState
from harriertide.decide.warming import is_warming

# The queue is bounded to the work that a node completes in this part of the shortest latency objective; above
# that bound the lowest priorities are given up.
QUEUE_OBJECTIVE_RATIO = 0.3
# Interval at which a queue that is not empty is checked again when no event concerns its shard.
QUEUE_RECHECK_INTERVAL_US = 10_000
# The same for a request that streams its body: it does not hold up the queue while no node has room.
STREAM_RECHECK_INTERVAL_US = 50_000


class Dispatcher:
    """Queues admitted requests and sends their attempts."""

    def __init__(
        self,
        context: DecisionContext,
        placement: Placement,
        latency: BaselineLatency,
        health: HealthChecks,
        slow_start: SlowStart,
        rate_limits: RateLimits,
        retry_budget: RetryBudget,
        key_queues: KeyQueues,
        responses: Responses,
    ) -> None:
        self._context = context
        self._placement = placement
        self._latency = latency
        self._health = health
        self._slow_start = slow_start
        self._rate_limits = rate_limits
        self._retry_budget = retry_budget
        self._key_queues = key_queues
        self._responses = responses
        self._queue_sequence = 0  # orders queue entries with equal objectives by arrival

    # --- the queue -----------------------------------------------------------------------------------

    def enqueue(self, request: RequestState) -> None:
        """Queue an admitted request; if the queue is then too long, give up requests of lowest priority."""
        shard = request.shard
        assert shard is not None
        if not shard.nodes:  # the nodes were removed while the request waited for others of its key
            self._responses.give_up(request, "no_node")
            return
        self._queue_sequence += 1
        heappush(shard.queue, (request.objective_at_us, self._queue_sequence, request))
        self._context.mark_ready(shard)
        request.is_queued = True
        same_band = shard.queued_by_band[request.priority_band]
        while same_band and not same_band[0].is_queued:
            same_band.popleft()
        same_band.append(request)
        shard.queued_units += request.queued_units
        self._shed_excess(shard, self._queue_bound(shard, request))

    def _queue_bound(self, shard: ShardState, request: RequestState) -> float:
        """Units that may be queued: by Little's law, those served in a part of the latency objective."""
        min_units = MIN_IN_FLIGHT_COUNT * self._context.settings.mean_request_units
        least_loaded = min(shard.nodes.values(), key=lambda node: (not node.is_live, node.open_attempt_count))
        latency_us = max(
            1.0, self._latency.by_class_us[request.arrival.request_class] * least_loaded.latency_ratio
        )
        in_flight_units = max(min_units, least_loaded.open_units)
        objective_us = self._context.derived.shortest_objective_us
        return max(2 * min_units, in_flight_units * QUEUE_OBJECTIVE_RATIO * objective_us / latency_us)

    def _shed_excess(self, shard: ShardState, bound_units: float) -> None:
        for band in reversed(shard.queued_by_band):
            while band and shard.queued_units > bound_units:
                victim = band.popleft()
                if victim.is_queued and victim.shard is shard:
                    self._responses.give_up(victim, "queue_full")

    def dispatch(self, shard: ShardState) -> None:
        """Send queued requests, earliest objective first, while nodes have room."""
        while shard.queue:
            request = shard.queue[0][2]
            if not request.is_queued or request.shard is not shard:
                heappop(shard.queue)
                continue
            node = self._placement.pick_node(shard, request)
            if self._is_too_late(request, node) or not shard.has_live_node:
                heappop(shard.queue)
                self._responses.give_up(request, "too_late" if shard.has_live_node else "no_node")
            elif node is not None and self._start_attempt(request, node):
                heappop(shard.queue)
                request.leave_queue()
            elif request.is_queued and request.arrival.streams_body:
                heappop(shard.queue)
                self._postpone(request)
            elif request.is_queued:
                self._schedule_recheck(shard)
                return

    def _postpone(self, request: RequestState) -> None:
        """Queue a request again later, so that those behind it don't wait for it."""
        request.leave_queue()
        at_us = self._context.now_us + STREAM_RECHECK_INTERVAL_US
        self._context.timers.schedule(at_us, RequestTimer(request))

    def _is_too_late(self, request: RequestState, node: NodeState | None) -> bool:
        """Whether an answer would miss the request's objective, by the latency of the node's latest answers.

        With no attempt in flight at the node the last measurement is stale: the latency ratio then counts as
        1 at most, so that one request is sent and refreshes it.
        """
        latency_ratio = 1.0
        if node is not None:
            latency_ratio = node.latency_ratio if node.open_attempt_count else min(1.0, node.latency_ratio)
        expected_us = latency_ratio * self._latency.by_class_us[request.arrival.request_class]
        return self._context.now_us + expected_us > request.objective_at_us

    def _schedule_recheck(self, shard: ShardState) -> None:
        """Schedule another check of the queue in case no event concerns the shard until then."""
        now_us = self._context.now_us
        if shard.next_recheck_at_us <= now_us:
            shard.next_recheck_at_us = now_us + max(QUEUE_RECHECK_INTERVAL_US, self._context.settings.tick_us)
            self._context.timers.schedule(shard.next_recheck_at_us, ShardTimer(shard))

    # --- the checks right before an attempt; attempts are started nowhere else -----------------------

    def _start_attempt(self, request: RequestState, node: NodeState) -> bool:
        """Send an attempt if every rule allows it.

        :returns: False if the attempt was not sent: the request is still queued, waits for its plan's limit,
            or was given up
        """
        if self._is_attempt_forbidden(request):
            self._responses.give_up(request, "not_repeatable")
            return False
        if not self._is_valid_target(request, node) or not self._key_queues.may_start(request):
            return False
        if self._is_retry_unsafe(request, node):
            self._responses.give_up(request, "deduplication_over")
            return False
        units = request.arrival.units
        if is_warming(self._context, node) and not self._slow_start.request_grant(node, units):
            return False
        if request.attempt_count and not self._retry_budget.has_room():
            self._responses.give_up(request, "retry_budget")
            return False
        if self._wait_for_rate_limit(request):
            return False
        self._charge(request, node)
        self._send(request, node)
        return True

    def _is_attempt_forbidden(self, request: RequestState) -> bool:
        """Whether the request is answered, has an open attempt, or may not be retried."""
        is_unavailable = request.is_answered or bool(request.open_attempts)
        return is_unavailable or not may_attempt(request, self._context.settings)

    @staticmethod
    def _is_valid_target(request: RequestState, node: NodeState) -> bool:
        """Whether the node is live and serves the request's shard; a new object may go to any shard."""
        shard = request.arrival.shard
        return node.is_live and (shard < 0 or node.shard == shard)

    def _is_retry_unsafe(self, request: RequestState, node: NodeState) -> bool:
        """Whether a keyed request may have run and the node would not recognize it as a duplicate."""
        if not request.may_have_run or request.request_class.idempotency != "keyed":
            return False
        return not is_deduplicated(request, node, self._context.now_us)

    def _wait_for_rate_limit(self, request: RequestState) -> bool:
        """Whether a request has to wait for its plan's limit; if so, remove the request from the queue.

        The request is queued again when units are expected, or given up if that would be too late.
        """
        wait_us = self._rate_limits.request_wait_us(request)
        if not wait_us:
            return False
        request.leave_queue()
        if self._rate_limits.is_wait_too_long(request, wait_us):
            self._responses.give_up(request, "rate_limit")
        else:
            self._context.timers.schedule(self._context.now_us + wait_us, RequestTimer(request))
        return True

    def _charge(self, request: RequestState, node: NodeState) -> None:
        """Charge an attempt to the rate limit, the retry budget and the slow-start grant that apply to it."""
        self._rate_limits.charge(request)
        if request.attempt_count:
            self._retry_budget.record_retry()
        if is_warming(self._context, node):
            self._slow_start.spend(node, request.arrival.units)

    def _send(self, request: RequestState, node: NodeState) -> None:
        context = self._context
        expected_us = self._latency.expected_us(node, request.arrival.request_class)
        silence = silence_limits(request, context.settings, context.now_us, expected_us)
        request.open_attempts[request.attempt_count] = OpenAttempt(node, context.now_us)
        request.attempt_count += 1
        node.add_open_attempt(request)
        node.overtaking_answers[request] = 0
        self._health.on_attempt_sent(node)
        # With more brokers than requests that a node may hold in flight, the in-flight bound of each broker
        # no longer bounds the node's queue, so attempts end at the latency objective instead of the deadline.
        brokers_exceed_in_flight_limit = context.settings.broker_count > MAX_IN_FLIGHT_COUNT
        stop_at_us = (
            request.objective_at_us if brokers_exceed_in_flight_limit else request.arrival.deadline_at_us
        )
        context.emit(api.StartAttempt(request.id, node.id, stop_at_us, silence))
