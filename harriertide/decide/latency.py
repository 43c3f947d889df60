"""Baseline latency: how long an answer takes without waiting, by request class, and nodes' ratio to it."""

from __future__ import annotations

from harriertide.decide.capacity import LATENCY_SAMPLE_RATIO
from harriertide.decide.state import NodeState

# The baseline rests near the lower quartile of a class's answers, as one step down outweighs three up.
RISE_FACTOR = 1.02
FALL_FACTOR = 0.94


class BaselineLatency:
    """The baseline latency of each request class, in microseconds; 0: no answer has come yet."""

    def __init__(self) -> None:
        self.by_class_us: list[float] = []

    def extend_to(self, class_count: int) -> None:
        """Have a place for each class; new ones come after those that are known."""
        self.by_class_us += [0.0] * (class_count - len(self.by_class_us))

    def record(self, node: NodeState, request_class: int, latency_us: int) -> None:
        """A node has answered a request of a class after so long."""
        baseline_us = self.by_class_us[request_class] or float(max(1, latency_us))
        factor = RISE_FACTOR if latency_us > baseline_us else FALL_FACTOR
        self.by_class_us[request_class] = baseline_us * factor
        node.latency_ratio += LATENCY_SAMPLE_RATIO * (latency_us / baseline_us - node.latency_ratio)

    def expected_us(self, node: NodeState, request_class: int) -> float:
        """How long a request of a class may take at a node, by its latest answers."""
        return node.latency_ratio * self.by_class_us[request_class]
