"""Interfaces of the reducer and the object front that maintenance uses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from harriertide.config.operator_file import State
from harriertide.decide import api


class NodeDirectory(Protocol):
    """The object front: holds the operator's state, and places requests on nodes."""

    state: State

    def close_nodes(self, closed: frozenset[str] | None, returned_us: dict[str, int]) -> None:
        """Stop sending new requests to these nodes.

        :param closed: names of the closed nodes; None closes all nodes
        :param returned_us: time at which each returning node came back
        """


class RequestCore(Protocol):
    """The reducer: its offered load, open attempts and requests, and learned node capacity."""

    settings: api.Settings
    offered_units: float
    consecutive_unresponsive: Counter[str]
    is_barred: Callable[[str], bool] | None

    def open_attempt_count_at(self, node: str) -> int:
        """Return the number of open attempts at a node."""

    def learned_capacity_by_node(self) -> dict[str, float]:
        """Return the units per second that overloaded nodes serve, by node."""

    def open_request_count(self) -> int:
        """Return the number of requests without a final answer."""
