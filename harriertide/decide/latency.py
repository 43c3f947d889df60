"""How long answers usually take, by request class, and how a node compares with that."""

from __future__ import annotations

from harriertide.decide.capacity import LATENCY_SAMPLE_RATIO
from harriertide.decide.state import NodeState

# The usual latency of a class rests near the lower quarter of its answers, what they take without waiting:
# one step down outweighs three up.
RISE_FACTOR = 1.02
FALL_FACTOR = 0.94


class UsualLatency:
    """The usual latency of each request class, in microseconds; 0: no answer has come yet."""

    def __init__(self) -> None:
        self.by_class_us: list[float] = []

    def extend_to(self, class_count: int) -> None:
        """Have a place for each class; new ones come after those that are known."""
        self.by_class_us += [0.0] * (class_count - len(self.by_class_us))

    def record(self, node: NodeState, request_class: int, latency_us: int) -> None:
        """A node has answered a request of a class after so long."""
        usual_us = self.by_class_us[request_class] or float(max(1, latency_us))
        factor = RISE_FACTOR if latency_us > usual_us else FALL_FACTOR
        self.by_class_us[request_class] = usual_us * factor
        node.latency_ratio += LATENCY_SAMPLE_RATIO * (latency_us / usual_us - node.latency_ratio)

    def expected_us(self, node: NodeState, request_class: int) -> float:
        """How long a request of a class may take at a node, by its latest answers."""
        return node.latency_ratio * self.by_class_us[request_class]
