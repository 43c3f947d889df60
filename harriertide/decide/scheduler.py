"""The scheduler: handles each event by calling the mechanisms of this package in order.

Settings, events and actions are defined in `harriertide.decide.api`. Each mechanism makes one kind of
decision and owns the state for it:

- `demand`: the demand at this broker and at all brokers (bids to a coordinator, and its reports);
  `capacity`: the capacity of a shard, and whether the shard is overloaded
- `admission`: whether a request is admitted, and at which priority; `rate_limits`: what the limit of the
  request's plan allows, with `leases`, `quota_grants` and `quota_credit`
- `dispatch`: when an admitted request is sent; `placement`: the node that it is sent to; `key_queues`: the
  order of requests with the same key
- `health`: which nodes are ejected; `slow_start`: how many units a warming node may receive
- `retry`: whether a request may be attempted again; `responses`: the final answer
- `endpoints`, `endpoint_polling`: the nodes of the endpoint list, and when the list is polled
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from harriertide.decide import api
from harriertide.decide.admission import charge_quota_and_classify, should_shed
from harriertide.decide.capacity import CapacityEstimator
from harriertide.decide.context import (
    DecisionContext,
    KeyTimer,
    LeaseTimer,
    PollTimer,
    RequestTimer,
    ShardTimer,
    Timer,
)
from harriertide.decide.demand import Demand
from harriertide.decide.derived import IDLE_STATE_RETENTION_US, derive
from harriertide.decide.dispatch import Dispatcher
from harriertide.decide.endpoint_polling import EndpointPolling
from harriertide.decide.endpoints import Endpoints
from harriertide.decide.health import HealthChecks
from harriertide.decide.key_queues import KeyQueues
from harriertide.decide.latency import BaselineLatency
from harriertide.decide.peer_exchange import PeerExchange
from harriertide.decide.placement import Placement, PlacementHistory
from harriertide.decide.rate_limits import RateLimits
from harriertide.decide.responses import Responses
from harriertide.decide.retry import RetryBudget, may_attempt
from harriertide.decide.slow_start import SlowStart
from harriertide.decide.state import NodeState, OpenAttempt, RequestState, ShardState
from harriertide.decide.warming import assume_all_granted


class Scheduler:
    """Makes the decisions of one broker: takes events, returns actions, and does no I/O.

    The mechanisms are public so that tests and the hand-over to a newer process can read them. Their state is
    changed only by this class and by the mechanisms themselves.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.context = DecisionContext(settings, derive(settings), Random(seed))
        self.endpoints = Endpoints(self.context)
        self.endpoint_polling = EndpointPolling(self.context)
        self.exchange = PeerExchange(self.context)
        self.slow_start = SlowStart(self.context, self.endpoints, self.exchange)
        self.capacity = CapacityEstimator(self.context)
        self.demand = Demand(self.context, self.endpoints, self.exchange, self.capacity)
        self.rate_limits = RateLimits(self.context, self.exchange)
        self.latency = BaselineLatency()
        self.health = HealthChecks(self.context, self.endpoints, self.latency)
        self.placement = Placement(self.context, self.endpoints, self.health)
        self.placements = PlacementHistory()
        self.key_queues = KeyQueues(self.context)
        self.responses = Responses(self.context, self.demand, self.key_queues)
        self.retry_budget = RetryBudget(self.context)
        self.dispatcher = Dispatcher(
            self.context,
            self.placement,
            self.latency,
            self.health,
            self.slow_start,
            self.rate_limits,
            self.retry_budget,
            self.key_queues,
            self.responses,
        )
        self._timer_set_for_us = 0
        self._event_handlers: dict[type, Callable[[Any], None]] = {
            api.Arrival: self._on_arrival,
            api.AttemptFinished: self._on_attempt_finished,
            api.EndpointUpdate: self._on_endpoint_update,
            api.PeerMessageReceived: self.exchange.receive,
            api.ResponseStarted: self._on_response_started,
            api.ProbeFinished: self.health.on_probe_finished,
            api.ClientDisconnected: self._on_client_disconnected,
            api.KeysHeld: self.key_queues.hold,
            api.SettingsChanged: self._on_settings_changed,
            api.TimerFired: self._on_timer_fired,
        }
        self._apply_settings(settings)

    # --- the interface -------------------------------------------------------------------------------

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Handle events and due timers.

        :param now_us: microseconds of a clock that only advances
        :returns: the actions to carry out, in order
        """
        context = self.context
        context.now_us = max(now_us, context.now_us)
        context.actions = []
        if not context.has_started:
            self._start()
        for event in events:
            self._event_handlers[type(event)](event)
        if self.demand.is_interval_over():
            self.demand.close_interval()
            self._forget_idle_state()
        self._run_timers()
        while context.ready_shards:
            self.dispatcher.dispatch(context.ready_shards.pop(next(iter(context.ready_shards))))
        self.exchange.flush()
        self._set_timer()
        return context.actions

    def begin_without_state(self, now_us: int) -> None:
        """Start limits and budgets anew at `now_us`, without the state of the broker's earlier process.

        Otherwise limits and budgets would have filled up since the start of this process, although another
        process of the broker was still spending them.

        :param now_us: the time from which no other process of the broker spends limits or budgets
        """
        context = self.context
        if not context.has_started:
            return  # limits and budgets start with the first call of decide()
        context.now_us = max(now_us, context.now_us)
        context.started_at_us = context.now_us
        self._reset_fleet_state()
        self.rate_limits.apply_settings()

    def learned_capacity_by_node(self) -> dict[str, float]:
        """The learned capacity of each live node of an overloaded shard, in units a second."""
        return {
            node.id: shard.capacity / len(shard.nodes)
            for shard in self.endpoints.shards.values()
            if shard.is_limited
            for node in shard.nodes.values()
            if node.is_live
        }

    # --- start and settings --------------------------------------------------------------------------

    def _start(self) -> None:
        """Start all mechanisms that need the current time, which is first known here."""
        self.context.started_at_us = self.context.now_us
        self.rate_limits.apply_settings()  # leases start here, as they need the current time
        self.demand.start()
        self.endpoint_polling.start()

    def _apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings. Known classes and plans keep their numbers; new ones are appended."""
        context = self.context
        if not settings.same_brokers(context.settings):
            self._reset_fleet_state()
        context.settings = settings
        context.derived = derive(settings)
        self.rate_limits.apply_settings()
        self.latency.extend_to(len(settings.classes))
        self.endpoint_polling.reset_backoff()

    def _reset_fleet_state(self) -> None:
        """Reset what depends on the other brokers after the fleet, and so each coordinator, has changed.

        The budget of each warming node counts as fully granted, as earlier grants are unknown to a new
        coordinator.
        """
        self.rate_limits.reset()
        self.demand.reset_aggregates()
        for node in self.endpoints.nodes.values():
            assume_all_granted(self.context, node)
            node.slow_start_credit.void()

    # --- events --------------------------------------------------------------------------------------

    def _on_settings_changed(self, event: api.SettingsChanged) -> None:
        self._apply_settings(event.settings)

    def _on_timer_fired(self, event: api.TimerFired) -> None:
        """Do nothing more, as decide() runs due timers on each call."""

    def _on_arrival(self, arrival: api.Arrival) -> None:
        """Classify a new request, count it as demand, and queue it or give it up immediately."""
        context = self.context
        answer_deadline_us = context.answer_deadline_us(arrival)
        request = self._new_request(arrival, answer_deadline_us)
        self.responses.add(request)
        self.retry_budget.record_request()
        context.timers.schedule(answer_deadline_us, RequestTimer(request))
        self.key_queues.join(request)
        shard = self._shard_for(arrival)
        if shard is None or answer_deadline_us <= context.now_us:
            self.responses.give_up(request, "no_node" if shard is None else "deadline")
            return
        request.shard = shard
        self.demand.mark_active(shard)
        charge_quota_and_classify(context, request, shard)
        shard.offered_units[request.priority_band] += arrival.units
        reason = self._find_rejection(request, shard)
        if reason is not None:
            self.responses.give_up(request, reason)
        elif self.key_queues.may_start(request):
            self.dispatcher.enqueue(request)

    def _new_request(self, arrival: api.Arrival, answer_deadline_us: int) -> RequestState:
        context = self.context
        request_class = context.settings.classes[arrival.request_class]
        objective_us = request_class.latency_objective_us
        return RequestState(
            id=arrival.request_id,
            request_class=request_class,
            arrival=arrival,
            volume=self.rate_limits.use_volume(arrival),
            arrived_at_us=context.now_us,
            objective_at_us=min(context.now_us + objective_us, answer_deadline_us),
            weighted_units=arrival.units * context.derived.shortest_objective_us / objective_us,
        )

    def _shard_for(self, arrival: api.Arrival) -> ShardState | None:
        """The shard that a request names, or one chosen for its new object; None if there is none."""
        if arrival.shard < 0:
            return self.placement.place_new_object(arrival.units)
        return self.endpoints.shards.get(arrival.shard)

    def _find_rejection(self, request: RequestState, shard: ShardState) -> api.GiveUpReason | None:
        """The reason for which a request is not admitted; None if it is admitted.

        Checks every node of the shard, as this check starts the probes of ejected nodes. Draws a random
        number if the shard is overloaded, and may request units from the holder of the plan's limit.
        """
        if request.key_queue is not None and not self.context.settings.admits_ordered_requests:
            return "superseded"
        node_acceptance = [self.health.accept_or_probe(node) for node in shard.nodes.values()]
        is_shed = should_shed(self.context, request, shard)
        if not any(node_acceptance):
            return "no_node"
        if is_shed:
            return "overload"
        plan = self.context.settings.plans[request.arrival.plan]
        if plan.rate_limit > 0 and not self.rate_limits.is_retained(request.volume):
            return "rate_limit"
        wait_us = self.rate_limits.request_wait_us(request)
        return "rate_limit" if self.rate_limits.is_wait_too_long(request, wait_us) else None

    def _on_response_started(self, event: api.ResponseStarted) -> None:
        request = self.responses.requests.get(event.request_id)
        if request is not None:
            request.response_started = True

    def _on_client_disconnected(self, event: api.ClientDisconnected) -> None:
        request = self.responses.requests.get(event.request_id)
        if request is not None:
            self.responses.close(request)

    def _on_endpoint_update(self, update: api.EndpointUpdate) -> None:
        """Apply an update of the endpoint list; after a failed call, poll again with backoff."""
        if update.kind == "failed":
            self.endpoint_polling.on_failure()
        else:
            self.endpoint_polling.reset_backoff()
            self.endpoints.apply(update)

    # --- outcomes ------------------------------------------------------------------------------------

    def _on_attempt_finished(self, outcome: api.AttemptFinished) -> None:
        """Record an attempt's outcome and latency; retry if that is allowed and can be in time."""
        request = self.responses.requests.get(outcome.request_id)
        if request is None or outcome.attempt not in request.open_attempts:
            return
        attempt = request.open_attempts.pop(outcome.attempt)
        node, shard = attempt.node, request.shard
        assert shard is not None
        self._release_attempt(request, node)
        if outcome.kind not in api.NOT_EXECUTED_OUTCOMES:
            request.record_execution(node, attempt.sent_at_us)
        if outcome.kind in api.POSSIBLY_RUNNING_OUTCOMES:
            self.key_queues.start_quiet_period(request)
        self.health.on_outcome(node, outcome.kind)
        self.demand.mark_active(shard)
        self.context.mark_ready(shard)
        self.capacity.record_outcome(request, shard, outcome.kind)
        if outcome.kind == "ok":
            self.health.cancel_hung_attempts(node, attempt.sent_at_us)
            self._record_answer(request, shard, attempt, outcome.latency_us)
        if outcome.is_final or request.is_answered:
            self.responses.close(request)
        else:
            self._retry(request, shard, outcome.kind)

    @staticmethod
    def _release_attempt(request: RequestState, node: NodeState) -> None:
        node.remove_open_attempt(request)
        node.overtaking_answers.pop(request, None)

    def _record_answer(
        self, request: RequestState, shard: ShardState, attempt: OpenAttempt, latency_us: int
    ) -> None:
        """Record that a node has served a request."""
        arrival = request.arrival
        node = attempt.node
        shard.served_units += arrival.units
        # The placement is recorded only if no earlier attempt may have run at another node.
        if arrival.shard < 0 and request.executed_on is node:
            self.placements.put(arrival.key, node.shard, self.context.now_us)
        self.slow_start.record_answer(attempt, arrival.units, latency_us)
        self.latency.record(node, arrival.request_class, latency_us)

    def _retry(self, request: RequestState, shard: ShardState, kind: api.OutcomeKind) -> None:
        """Queue a request for another attempt after a failed one, or give the request up."""
        redirected: api.Arrival | None = None
        if kind == "not_sent":
            # Another attempt at the same node would not help (see api.OutcomeKind). If the node does not hold
            # the shard, the request goes to the shard that took its object through this broker, if known.
            redirected = self.placements.redirect(request)
            if redirected is None:
                self.responses.give_up(request, "wrong_shard")
                return
        reason = self._find_retry_rejection(request, shard)
        if reason is not None:
            self.responses.give_up(request, reason)
            return
        if redirected is not None:
            request.arrival = redirected
            request.shard = self.endpoints.shards[redirected.shard]
        elif request.arrival.shard < 0 and request.request_class.idempotency == "idempotent":
            # a new object may be placed at another shard
            request.shard = self.placement.place_new_object(request.arrival.units) or shard
        self.dispatcher.enqueue(request)

    def _find_retry_rejection(self, request: RequestState, shard: ShardState) -> api.GiveUpReason | None:
        """The reason for which a request is not retried; None if it is retried."""
        if not may_attempt(request, self.context.settings):
            return "not_repeatable"
        if not shard.nodes:
            return "no_node"
        return "too_late" if self.context.now_us >= request.objective_at_us else None

    # --- time ----------------------------------------------------------------------------------------

    def _forget_idle_state(self) -> None:
        """Discard placements, volumes and removed nodes whose retention time is over."""
        self.placements.forget(self.context.now_us - IDLE_STATE_RETENTION_US)
        self.rate_limits.forget_idle()
        self.endpoints.forget_removed()

    def _run_timers(self) -> None:
        """Run all timers that are due."""
        while (timer := self.context.timers.pop_due(self.context.now_us)) is not None:
            self._on_timer(timer)

    def _on_timer(self, timer: Timer) -> None:
        match timer:
            case RequestTimer(request):
                self._on_request_timer(request)
            case ShardTimer(shard):
                self.context.mark_ready(shard)
            case PollTimer():
                self.endpoint_polling.poll()
            case LeaseTimer():
                self.rate_limits.on_lease_timer(timer)
            case KeyTimer(key):
                self.key_queues.on_blocked_period_end(key)

    def _on_request_timer(self, request: RequestState) -> None:
        """Give up a request at its deadline; before that, queue it if it may be dispatched."""
        answer_deadline_us = self.context.answer_deadline_us(request.arrival)
        if self.context.now_us >= answer_deadline_us and not request.open_attempts:
            self.responses.give_up(request, "deadline")
        elif self._is_ready_to_queue(request):
            self.dispatcher.enqueue(request)

    def _is_ready_to_queue(self, request: RequestState) -> bool:
        """Whether a request is unanswered, not in flight, not queued, and may start by its key."""
        if request.is_answered or request.open_attempts or request.is_queued:
            return False
        return self.key_queues.may_start(request)

    def _set_timer(self) -> None:
        """Set one timer for the next due time, unless an earlier one is set already."""
        context = self.context
        next_us = context.timers.next_at_us()
        next_timer_at_us = (
            self.demand.interval_ends_us if next_us is None else min(self.demand.interval_ends_us, next_us)
        )
        next_timer_at_us = max(context.now_us + 1, next_timer_at_us)
        if not context.now_us < self._timer_set_for_us <= next_timer_at_us:
            self._timer_set_for_us = next_timer_at_us
            context.emit(api.SetTimer(next_timer_at_us - context.now_us, next_timer_at_us))
