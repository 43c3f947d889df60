"""Baseline latency: the latency of a request class without queueing, and each node's ratio to it."""

from __future__ import annotations

from harriertide.decide.capacity import LATENCY_SAMPLE_RATIO
from harriertide.decide.state import NodeState

# The baseline settles near the lower quartile of a class's latencies, as one step down outweighs three up.
BASELINE_RISE_FACTOR = 1.02
BASELINE_FALL_FACTOR = 0.94


class BaselineLatency:
    """The baseline latency of each request class, in microseconds; 0 before the first answer."""

    def __init__(self) -> None:
        self.by_class_us: list[float] = []

    def extend_to(self, class_count: int) -> None:
        """Add entries for new classes after those that are known."""
        self.by_class_us += [0.0] * (class_count - len(self.by_class_us))

    def record(self, node: NodeState, request_class: int, latency_us: int) -> None:
        """Record the latency of a node's answer to a request of a class."""
        baseline_us = self.by_class_us[request_class] or float(max(1, latency_us))
        factor = BASELINE_RISE_FACTOR if latency_us > baseline_us else BASELINE_FALL_FACTOR
        self.by_class_us[request_class] = baseline_us * factor
        node.latency_ratio += LATENCY_SAMPLE_RATIO * (latency_us / baseline_us - node.latency_ratio)

    def expected_us(self, node: NodeState, request_class: int) -> float:
        """The expected latency of a class at a node, by the node's latest answers."""
        return node.latency_ratio * self.by_class_us[request_class]
