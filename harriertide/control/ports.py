"""What maintenance asks of the rest of a broker: of the reducer, and of the object front."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from harriertide.config.operator_file import State
from harriertide.decide import api


class NodeDirectory(Protocol):
    """The object front: the operator's state, and which nodes may get requests."""

    state: State

    def close_nodes(self, closed: frozenset[str] | None, returned_us: dict[str, int]) -> None:
        """Send nothing new to these nodes; None: to none at all. returned_us: when others came back."""


class RequestCore(Protocol):
    """The reducer: what it is offered, what it has open, and what it learns of nodes."""

    settings: api.Settings
    offered_units: float
    consecutive_unresponsive: Counter[str]
    is_barred: Callable[[str], bool] | None

    def open_attempt_count_at(self, node: str) -> int:
        """Return how many attempts are open at a node."""

    def learned_capacity_by_node(self) -> dict[str, float]:
        """Return what overloaded nodes serve a second, by node."""

    def open_request_count(self) -> int:
        """Return how many requests have no final answer yet."""
