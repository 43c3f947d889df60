"""Passive health checks: which nodes are ejected, when one is tried again, which attempts hang.

A node is ejected when attempts in a row end without a sign of life; a single answer reinstates it. An attempt
is cancelled when its node has answered what it was sent later.
"""

from __future__ import annotations

from math import ceil

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.endpoints import Endpoints
from harriertide.decide.latency import BaselineLatency
from harriertide.decide.state import NodeState

# Attempts in a row without a sign of life until a node is ejected: one may be its connection's fault, two
# chance. A refused connection counts as so many at once, as nothing listens there.
EJECT_FAILURE_COUNT = 3
# Between trial requests, or probes, at an ejected node: soon enough for one that is back, and next to no
# load.
TRIAL_INTERVAL_US = 250_000
# Brokers that probe an ejected node that often; where there are more, each probes the less.
PROBING_BROKER_COUNT = 4
# An attempt counts as hung when its node has answered so many that were sent later, and when it has lasted so
# many times the node's latest latencies, by its size.
HUNG_OVERTAKING_COUNT = 2
HUNG_LATENCY_FACTOR = 5.0

SIGNS_OF_LIFE: frozenset[api.OutcomeKind] = frozenset({"ok", "error", "rejected"})


class HealthChecks:
    """Ejects and reinstates nodes, and cancels attempts that hang."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, latency: BaselineLatency) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency

    def accept_or_probe(self, node: NodeState) -> bool:
        """Whether requests may go to a node now; starts a probe of an ejected one where that is due.

        An ejected node is tried when requests for its shard come: by a probe, where probes are allowed, else
        by one of the requests. On a shard without requests it stays ejected, which costs nobody anything.
        """
        if not node.is_live:
            return False
        if not node.is_ejected:
            return True
        context = self._context
        if node.next_trial_at_us > context.now_us:
            return False
        if not context.settings.probes_allowed:
            return True
        turns = ceil(context.settings.broker_count / PROBING_BROKER_COUNT)
        node.next_trial_at_us = context.now_us + TRIAL_INTERVAL_US * turns
        context.emit(api.StartProbe(node.id))
        return False

    def on_attempt_sent(self, node: NodeState) -> None:
        """An attempt at an ejected node is its trial: no other for a while."""
        if node.is_ejected:
            node.next_trial_at_us = self._context.now_us + TRIAL_INTERVAL_US

    def on_outcome(self, node: NodeState, kind: api.OutcomeKind) -> None:
        """An attempt has ended. Guards against dead machines, cut links and hung processes."""
        if kind in api.UNRESPONSIVE_OUTCOMES:
            self._count_failure(node, kind)
        elif kind in SIGNS_OF_LIFE:
            self.reinstate(node, 0)

    def _count_failure(self, node: NodeState, kind: api.OutcomeKind) -> None:
        # nothing listens there: that says as much as several attempts that were not answered
        weight = EJECT_FAILURE_COUNT if kind == "connect_failed" else 1
        node.consecutive_failures += weight
        if node.consecutive_failures >= EJECT_FAILURE_COUNT and not node.is_ejected:
            node.is_ejected = True
            self._context.emit(api.LogLine(f"node {node.id} ejected, last attempt ended as {kind}"))
        retry_at_us = self._context.now_us + TRIAL_INTERVAL_US
        node.next_trial_at_us = max(node.next_trial_at_us, retry_at_us)

    def on_probe_finished(self, probe: api.ProbeFinished) -> None:
        """A probe was answered: the node lives.

        What it does with requests is another matter: one more without a sign of life ejects it again.
        """
        node = self._endpoints.nodes.get(probe.node_id)
        if node is not None and probe.kind == "ok":
            self.reinstate(node, EJECT_FAILURE_COUNT - 1)

    def reinstate(self, node: NodeState, failures_left: int) -> None:
        """A node has shown that it lives.

        :param failures_left: its count of failures in a row from now on, at most
        """
        if node.is_ejected:
            self._context.emit(api.LogLine(f"node {node.id} reinstated, it has answered"))
            self._context.mark_ready(self._endpoints.shards[node.shard])
        node.consecutive_failures = min(node.consecutive_failures, failures_left)
        node.is_ejected = False

    def cancel_hung_attempts(self, node: NodeState, answered_sent_at_us: int) -> None:
        """Cancel attempts that hang, because the node has already answered requests that were sent after
        them.

        Guards against connections that fall silent or bring half an answer: a node that is merely slow
        answers in turn. Large requests among many small ones are given time by their size. How many answers
        have overtaken an attempt is counted in NodeState.overtaking_answers.

        :param answered_sent_at_us: when the attempt was sent that has just been answered
        """
        if not self._context.settings.cancel_allowed:
            return
        now_us = self._context.now_us
        for request, count in list(node.overtaking_answers.items()):
            attempt = request.attempt_count - 1
            sent_at_us = request.open_attempts[attempt].sent_at_us
            if sent_at_us >= answered_sent_at_us:
                return
            node.overtaking_answers[request] = count + 1
            size = max(1.0, request.arrival.units / self._context.settings.mean_request_units)
            expected_us = self._latency.expected_us(node, request.arrival.request_class) * size
            has_lasted = now_us > sent_at_us + HUNG_LATENCY_FACTOR * expected_us
            if count + 1 >= HUNG_OVERTAKING_COUNT and has_lasted:
                del node.overtaking_answers[request]
                self._context.emit(api.CancelAttempt(request.id, attempt))
