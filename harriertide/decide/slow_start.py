"""Slow start: limits what all brokers together send to a warming node.

A node that has just started has little capacity and collapses under a burst. The coordinators of the node's
shard grant units of its budget for one collapse window to the brokers that request them; a broker sends
nothing to the node without a grant.
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

# The measurement of a warming node is halved when it exceeds the units of this number of the largest
# requests, so that recent answers count more.
MEASUREMENT_REQUEST_COUNT = 16


class SlowStart:
    """Grants for warming nodes: requested by this broker, and issued by it as a coordinator."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, exchange: PeerExchange) -> None:
        self._context = context
        self._endpoints = endpoints
        self._exchange = exchange
        exchange.register(SlowStartRequest, self._on_request)
        exchange.register(SlowStartGrant, self._on_grant)

    def request_grant(self, node: NodeState, units: float) -> bool:
        """Return whether a request may be sent to a warming node now; if not, request a grant for it.

        A grant expires CREDIT_LIFETIME_US after this broker requested it, by this broker's clock. So what is
        sent in one collapse window was granted in that window or in the CREDIT_LIFETIME_US before it, which
        is the span that the coordinator counts.
        """
        credit = node.slow_start_credit
        if not credit.covers(self._context.now_us, units) and self._context.now_us >= credit.retry_at_us:
            self._send_request(node, units)
        return credit.covers(self._context.now_us, units)  # a coordinator answers its own request immediately

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
        # alternate between the two, so that an unreachable one delays only half of the requests
        uses_standby = derived.slow_start_ratio < 1 and credit.request_number % 2 == 1
        self._exchange.send(coordinators.standby if uses_standby else coordinators.primary, request)

    def spend(self, node: NodeState, units: float) -> None:
        """Take the units of a request that is sent to a warming node."""
        node.slow_start_credit.spend(units)

    def record_answer(self, attempt: OpenAttempt, units: float, took_us: int) -> None:
        """Count a warming node's answer to an attempt as a measurement of the node's capacity.

        Answers to attempts sent before the node's restart are ignored: they show the capacity of the earlier
        process, and brokers that relied on them would make the new process collapse.
        """
        node = attempt.node
        if is_warming(self._context, node) and attempt.sent_at_us >= node.started_us:
            node.answered_units += units
            node.answered_us += took_us

    def _warming_nodes(self, shard: int, started_ms: int) -> list[NodeState]:
        """Return the live nodes of a shard that are warming up since the given start."""
        shard_state = self._endpoints.shards.get(shard)
        nodes = shard_state.nodes.values() if shard_state is not None else ()
        return [
            node
            for node in nodes
            if node.is_live and is_warming(self._context, node) and node.started_ms == started_ms
        ]

    def _on_request(self, broker: int, request: SlowStartRequest) -> None:
        """As a coordinator, grant the requested units if this broker's part of the budget covers them."""
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
            granted_units = node.units_granted_since(context.now_us - span_us)
            if (
                granted_units + request.units
                <= slow_start_budget_units(context, node) * derived.slow_start_ratio
            ):
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
        """Accept a grant from a coordinator of the shard if this broker still waits for it."""
        context = self._context
        is_coordinator = broker in context.derived.coordinators(grant.shard)
        if grant.shard >= context.settings.shard_count or not is_coordinator:
            return
        for node in self._warming_nodes(grant.shard, grant.started_ms):
            if node.slow_start_credit.accept(context.now_us, grant.number, grant.units):
                context.mark_ready(self._endpoints.shards[grant.shard])
