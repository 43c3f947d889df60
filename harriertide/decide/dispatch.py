"""When an admitted request leaves: the queue of each shard, and the checks right before an attempt."""

from __future__ import annotations

from heapq import heappop, heappush

from harriertide.decide import api
from harriertide.decide.context import DecisionContext, RequestTimer, ShardTimer
from harriertide.decide.health import HealthChecks
from harriertide.decide.key_queues import KeyQueues
from harriertide.decide.latency import BaselineLatency
from harriertide.decide.placement import FREE_IN_FLIGHT_COUNT, MAX_IN_FLIGHT_COUNT, Placement
from harriertide.decide.rate_limits import RateLimits
from harriertide.decide.responses import Responses
from harriertide.decide.retry import RetryBudget, is_deduplicated, may_attempt
from harriertide.decide.slow_start import SlowStart
from harriertide.decide.state import NodeState, OpenAttempt, RequestState, ShardState
from harriertide.decide.warming import is_warming

# Queued work may need this part of the shortest latency objective before the lowest priorities are given up.
QUEUE_OBJECTIVE_RATIO = 0.3
# How often a queue is checked again without news of its shard, and only while something is queued.
QUEUE_RECHECK_INTERVAL_US = 10_000


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
        self._queue_sequence = 0  # tells entries of one objective apart, in the order in which they came

    # --- the queue -----------------------------------------------------------------------------------

    def enqueue(self, request: RequestState) -> None:
        """Queue an admitted request; give up the lowest priorities of what could no longer be in time."""
        shard = request.shard
        assert shard is not None
        if not shard.nodes:  # they left while it waited for its turn
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
        shard.queued_units += request.weighted_units
        self._shed_excess(shard, self._queue_bound(shard, request))

    def _queue_bound(self, shard: ShardState, request: RequestState) -> float:
        """Units that may be queued: what gets through in a part of an objective, by Little's law."""
        free_units = FREE_IN_FLIGHT_COUNT * self._context.settings.mean_request_units
        best = min(shard.nodes.values(), key=lambda node: (not node.is_live, node.open_attempt_count))
        latency_us = max(1.0, self._latency.by_class_us[request.arrival.request_class] * best.latency_ratio)
        in_flight_units = max(free_units, best.open_units)
        objective_us = self._context.derived.shortest_objective_us
        return max(2 * free_units, in_flight_units * QUEUE_OBJECTIVE_RATIO * objective_us / latency_us)

    def _shed_excess(self, shard: ShardState, bound_units: float) -> None:
        for band in reversed(shard.queued_by_band):
            while band and shard.queued_units > bound_units:
                victim = band.popleft()
                if victim.is_queued and victim.shard is shard:
                    self._responses.give_up(victim, "queue_full")

    def dispatch(self, shard: ShardState) -> None:
        """Send queued requests, the earliest objective first, as far as nodes have room."""
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
            elif request.is_queued:
                self._schedule_recheck(shard)
                return

    def _is_too_late(self, request: RequestState, node: NodeState | None) -> bool:
        """Whether an answer could no more be in time, by the node's latest answers.

        With nothing in flight there the last measurement is stale: one request is let through to refresh it.
        """
        latency_ratio = 1.0
        if node is not None:
            latency_ratio = node.latency_ratio if node.open_attempt_count else min(1.0, node.latency_ratio)
        expected_us = latency_ratio * self._latency.by_class_us[request.arrival.request_class]
        return self._context.now_us + expected_us > request.objective_at_us

    def _schedule_recheck(self, shard: ShardState) -> None:
        """Check the queue again soon, also without news of the shard."""
        now_us = self._context.now_us
        if shard.next_recheck_at_us <= now_us:
            shard.next_recheck_at_us = now_us + max(QUEUE_RECHECK_INTERVAL_US, self._context.settings.tick_us)
            self._context.timers.schedule(shard.next_recheck_at_us, ShardTimer(shard))

    # --- the checks right before an attempt: the single place where attempts leave -------------------

    def _start_attempt(self, request: RequestState, node: NodeState) -> bool:
        """Send an attempt if every rule lets it.

        :returns: False if it was not sent; then the request is still queued, waits for its limit, or is over
        """
        if self._may_not_be_attempted(request):
            self._responses.give_up(request, "not_repeatable")
            return False
        if not self._is_right_node(request, node) or not self._key_queues.may_start(request):
            return False
        if self._is_repetition_unsafe(request, node):
            self._responses.give_up(request, "deduplication_over")
            return False
        units = request.arrival.units
        if is_warming(self._context, node) and not self._slow_start.request_grant(node, units):
            return False
        if request.attempt_count and not self._retry_budget.has_room():
            self._responses.give_up(request, "retry_budget")
            return False
        if self._waits_for_limit(request):
            return False
        self._charge(request, node)
        self._send(request, node)
        return True

    def _may_not_be_attempted(self, request: RequestState) -> bool:
        """Whether it is answered, has an attempt open, or may not be repeated."""
        is_done = request.is_answered or bool(request.open_attempts)
        return is_done or not may_attempt(request, self._context.settings)

    @staticmethod
    def _is_right_node(request: RequestState, node: NodeState) -> bool:
        """Whether the node is live and holds the shard that the request names; any does for a new object."""
        shard = request.arrival.shard
        return node.is_live and (shard < 0 or node.shard == shard)

    def _is_repetition_unsafe(self, request: RequestState, node: NodeState) -> bool:
        """Whether a keyed request that may have run would not be recognized by the node."""
        if not request.may_have_run or request.request_class.idempotency != "keyed":
            return False
        return not is_deduplicated(request, node, self._context.now_us)

    def _waits_for_limit(self, request: RequestState) -> bool:
        """Whether its plan's limit holds a request up; then it leaves the queue until there are units."""
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
        """Take an attempt from the budgets that it counts in."""
        self._rate_limits.charge(request)
        if request.attempt_count:
            self._retry_budget.record_retry()
        if is_warming(self._context, node):
            self._slow_start.spend(node, request.arrival.units)

    def _send(self, request: RequestState, node: NodeState) -> None:
        context = self._context
        request.open_attempts[request.attempt_count] = OpenAttempt(node, context.now_us)
        request.attempt_count += 1
        node.open_attempt_count += 1
        node.open_units += request.arrival.units
        node.overtaking_answers[request] = 0
        self._health.on_attempt_sent(node)
        # With more brokers than requests that a node may hold, the bounds of each broker no longer bound the
        # node's queue: attempts end at the objective there, not at the deadline.
        is_crowded = context.settings.broker_count > MAX_IN_FLIGHT_COUNT
        stop_at_us = request.objective_at_us if is_crowded else request.arrival.deadline_at_us
        context.emit(api.StartAttempt(request.id, node.id, stop_at_us))
