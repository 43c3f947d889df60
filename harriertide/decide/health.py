"""Passive health checks: ejection of nodes, trials of ejected nodes, and cancellation of hung attempts.

A node is ejected when several consecutive attempts end without any response; a single answer reinstates it.
An attempt is cancelled when its node has answered requests that were sent later.
"""

from __future__ import annotations

from math import ceil

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.endpoints import Endpoints
from harriertide.decide.latency import BaselineLatency
from harriertide.decide.state import NodeState

# Consecutive attempts without a response until a node is ejected: one may be due to the connection, two to
# chance. A refused connection alone counts as this number, as no process is listening.
EJECT_FAILURE_COUNT = 3
# Time between trial requests, or probes, of an ejected node: short enough to detect recovery soon, and long
# enough to add almost no load.
TRIAL_INTERVAL_US = 250_000
# Number of brokers that probe an ejected node every TRIAL_INTERVAL_US. With more brokers, each of them probes
# less often, so that the total rate stays about the same.
PROBING_BROKER_COUNT = 4
# An attempt counts as hung when its node has answered this many attempts that were sent later, and the
# attempt has lasted longer than this factor times the latency expected of the node for the request's size.
HUNG_OVERTAKING_COUNT = 2
HUNG_LATENCY_FACTOR = 5.0

RESPONSIVE_OUTCOMES: frozenset[api.OutcomeKind] = frozenset({"ok", "error", "incomplete", "rejected"})


class HealthChecks:
    """Ejects and reinstates nodes, and cancels attempts that hang."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, latency: BaselineLatency) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency

    def accept_or_probe(self, node: NodeState) -> bool:
        """Whether requests may go to a node now; starts a probe of an ejected node if one is due.

        An ejected node is tried when requests for its shard arrive: by a probe if probes are allowed,
        otherwise by one of the requests. A node of a shard without requests stays ejected, which delays no
        request.
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
        interval_factor = ceil(context.settings.broker_count / PROBING_BROKER_COUNT)
        node.next_trial_at_us = context.now_us + TRIAL_INTERVAL_US * interval_factor
        context.emit(api.StartProbe(node.id))
        return False

    def on_attempt_sent(self, node: NodeState) -> None:
        """Count an attempt at an ejected node as its trial, and delay the next trial."""
        if node.is_ejected:
            node.next_trial_at_us = self._context.now_us + TRIAL_INTERVAL_US

    def on_outcome(self, node: NodeState, kind: api.OutcomeKind) -> None:
        """Record the outcome of an attempt, to detect failed machines, cut links and hung processes."""
        if kind in api.UNRESPONSIVE_OUTCOMES:
            self._count_failure(node, kind)
        elif kind in RESPONSIVE_OUTCOMES:
            self.reinstate(node, 0)

    def _count_failure(self, node: NodeState, kind: api.OutcomeKind) -> None:
        # A refused connection means that no process is listening, which is as certain as several timeouts.
        weight = EJECT_FAILURE_COUNT if kind == "connect_failed" else 1
        node.consecutive_failures += weight
        if node.consecutive_failures >= EJECT_FAILURE_COUNT and not node.is_ejected:
            node.is_ejected = True
            self._context.emit(api.LogLine(f"node {node.id} ejected, last attempt ended as {kind}"))
        retry_at_us = self._context.now_us + TRIAL_INTERVAL_US
        node.next_trial_at_us = max(node.next_trial_at_us, retry_at_us)

    def on_probe_finished(self, probe: api.ProbeFinished) -> None:
        """Reinstate a node that has answered a probe.

        The node may still fail on requests, so one more attempt without a response ejects it again.
        """
        node = self._endpoints.nodes.get(probe.node_id)
        if node is not None and probe.kind == "ok":
            self.reinstate(node, EJECT_FAILURE_COUNT - 1)

    def reinstate(self, node: NodeState, max_failures: int) -> None:
        """Reinstate a node if it is ejected, and lower its count of consecutive failures.

        :param max_failures: upper bound of the count from now on
        """
        if node.is_ejected:
            self._context.emit(api.LogLine(f"node {node.id} reinstated, it has answered"))
            self._context.mark_ready(self._endpoints.shards[node.shard])
        node.consecutive_failures = min(node.consecutive_failures, max_failures)
        node.is_ejected = False

    def cancel_hung_attempts(self, node: NodeState, answered_sent_at_us: int) -> None:
        """Cancel attempts that hang: those overtaken by answers to requests that the node was sent later.

        This detects connections that stall or deliver only part of an answer; a node that is merely slow
        answers in order. The expected latency scales with a request's size, so that large requests among many
        small ones are not cancelled. NodeState.overtaking_answers counts the answers that have overtaken each
        attempt.

        :param answered_sent_at_us: the time at which the attempt that has just been answered was sent
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
            relative_size = max(1.0, request.arrival.units / self._context.settings.mean_request_units)
            expected_us = self._latency.expected_us(node, request.arrival.request_class) * relative_size
            is_overdue = now_us > sent_at_us + HUNG_LATENCY_FACTOR * expected_us
            if count + 1 >= HUNG_OVERTAKING_COUNT and is_overdue:
                del node.overtaking_answers[request]
                self._context.emit(api.CancelAttempt(request.id, attempt))
