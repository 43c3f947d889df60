"""What a warming node may get, from all brokers together.

A node that has just started does little and collapses under a burst. Its budget for one collapse window is
dealt out by the coordinators of its shard, to all brokers that ask; a broker sends nothing there without a
grant.
"""

from __future__ import annotations

from math import ceil

from harriertide.decide.context import DecisionContext
from harriertide.decide.endpoints import Endpoints
from harriertide.decide.peer_exchange import PeerExchange
from harriertide.decide.peer_messages import (
    ANSWER_TIME_UNIT_US,
    MAX_BYTE,
    SlowStartGrant,
    SlowStartRequest,
)
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US
from harriertide.decide.state import GrantedUnits, NodeState, OpenAttempt
from harriertide.decide.warming import is_warming, slow_start_budget_units

# Answers to so many of the largest requests show what a warming node can do by now; older ones count half.
MEASUREMENT_REQUEST_COUNT = 16


class SlowStart:
    """Grants for warming nodes: asked for as a broker, given as a coordinator."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, exchange: PeerExchange) -> None:
        self._context = context
        self._endpoints = endpoints
        self._exchange = exchange
        exchange.register(SlowStartRequest, self._on_request)
        exchange.register(SlowStartGrant, self._on_grant)

    def request_grant(self, node: NodeState, units: float) -> bool:
        """Whether a request may go to a warming node now; asks its coordinator for a grant where it may not.

        A grant ends CREDIT_LIFETIME_US after it was asked for, by this broker's clock. So a collapse window
        holds only what was granted in it and in that time before, which is what the coordinator counts.
        """
        credit = node.slow_start_credit
        if not credit.covers(self._context.now_us, units) and self._context.now_us >= credit.retry_at_us:
            self._send_request(node, units)
        return credit.covers(self._context.now_us, units)  # a coordinator's own request is answered at once

    def _send_request(self, node: NodeState, units: float) -> None:
        now_us, derived, credit = self._context.now_us, self._context.derived, node.slow_start_credit
        credit.request(now_us, units, units, now_us + CREDIT_LIFETIME_US)
        request = SlowStartRequest(
            shard=node.shard,
            started_ms=node.started_ms,
            units=ceil(units),
            number=credit.request_number,
            answered_units=min(MAX_BYTE, int(node.answered_units)),
            answered_time_units=min(MAX_BYTE, ceil(node.answered_us / ANSWER_TIME_UNIT_US)),
        )
        node.answered_units = 0.0
        node.answered_us = 0
        coordinators = derived.coordinators(node.shard)
        # in turn, so that one that is unreachable holds up half of the requests only
        uses_standby = derived.slow_start_ratio < 1 and credit.request_number % 2 == 1
        self._exchange.send(coordinators.standby if uses_standby else coordinators.primary, request)

    def spend(self, node: NodeState, units: float) -> None:
        """A request is sent to a warming node."""
        node.slow_start_credit.spend(units)

    def record_answer(self, attempt: OpenAttempt, units: float, took_us: int) -> None:
        """A node has answered an attempt; while it warms up, that measures what it can do.

        Guards against an answer that is read after the news of a restart: it shows what the earlier process
        could do, and with it as a measure brokers would make the new one collapse.
        """
        node = attempt.node
        if is_warming(self._context, node) and attempt.sent_at_us >= node.started_us:
            node.answered_units += units
            node.answered_us += took_us

    def _warming_nodes(self, shard: int, started_ms: int) -> list[NodeState]:
        """The live nodes of a shard that warm up since that start."""
        known = self._endpoints.shards.get(shard)
        nodes = known.nodes.values() if known is not None else ()
        return [
            node
            for node in nodes
            if node.is_live and is_warming(self._context, node) and node.started_ms == started_ms
        ]

    def _on_request(self, broker: int, request: SlowStartRequest) -> None:
        """As coordinator, grant what this one's part of the budget still covers."""
        context = self._context
        settings, derived = context.settings, context.derived
        is_coordinator = settings.broker_index in derived.coordinators(request.shard)
        if request.shard >= settings.shard_count or not is_coordinator:
            return
        for node in self._warming_nodes(request.shard, request.started_ms):
            took_us = request.answered_time_units * ANSWER_TIME_UNIT_US
            node.add_measurement(
                request.answered_units, took_us, MEASUREMENT_REQUEST_COUNT * settings.max_request_units
            )
            span_us = settings.collapse_window_us + CREDIT_LIFETIME_US + settings.tick_us
            granted = node.units_granted_since(context.now_us - span_us)
            if granted + request.units <= slow_start_budget_units(context, node) * derived.slow_start_ratio:
                node.granted.append(GrantedUnits(context.now_us, request.units))
                grant = SlowStartGrant(
                    request.shard,
                    request.started_ms,
                    request.units,
                    request.number,
                    request.answered_units,
                    request.answered_time_units,
                )
                self._exchange.send(broker, grant)

    def _on_grant(self, broker: int, grant: SlowStartGrant) -> None:
        """As broker, take what is still awaited of a coordinator of the shard."""
        context = self._context
        is_coordinator = broker in context.derived.coordinators(grant.shard)
        if grant.shard >= context.settings.shard_count or not is_coordinator:
            return
        for node in self._warming_nodes(grant.shard, grant.started_ms):
            if node.slow_start_credit.accept(context.now_us, grant.number, grant.units):
                context.mark_ready(self._endpoints.shards[grant.shard])
