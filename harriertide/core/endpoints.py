"""The nodes of the endpoint list, and for how many attempts in a row each has been unresponsive."""

from __future__ import annotations

from collections import Counter

from harriertide.decide import api

# A node that cannot be reached is attempted seldom from then on, so that one failure to connect says as much
# to maintenance as two attempts that were not answered.
_CONNECT_FAILURE_WEIGHT = 2


class EndpointTable:
    """The endpoint list as last updated; nodes that drain are part of it."""

    def __init__(self) -> None:
        self._nodes: dict[str, api.NodeEntry] = {}
        # By node: how many attempts in a row had no response.
        self.consecutive_unresponsive: Counter[str] = Counter()

    def __contains__(self, node_id: str) -> bool:
        return node_id in self._nodes

    def get(self, node_id: str) -> api.NodeEntry | None:
        """The node as listed."""
        return self._nodes.get(node_id)

    def is_live(self, node_id: str) -> bool:
        """Whether the node is listed and takes new requests."""
        node = self._nodes.get(node_id)
        return node is not None and node.state == "live"

    def entries(self) -> dict[str, api.NodeEntry]:
        """All listed nodes, by id: a copy."""
        return dict(self._nodes)

    def update(self, update: api.EndpointUpdate) -> None:
        """Apply an update of the list: the whole list, or changes of it."""
        if update.kind in ("full", "cached"):
            self._nodes = {}
            self.consecutive_unresponsive.clear()
        for entry in update.entries:
            if entry.state == "gone":
                self._nodes.pop(entry.node_id, None)
                self.consecutive_unresponsive.pop(entry.node_id, None)
            else:
                self._nodes[entry.node_id] = entry

    def count_outcome(self, node_id: str, kind: api.OutcomeKind) -> None:
        """Count an attempt without a response; any response starts the count again.

        An attempt that never reached the node and was not refused by its connection says neither.
        """
        if node_id not in self._nodes:
            return
        if kind in api.UNRESPONSIVE_OUTCOMES:
            weight = _CONNECT_FAILURE_WEIGHT if kind == "connect_failed" else 1
            self.consecutive_unresponsive[node_id] += weight
        elif kind not in api.NOT_EXECUTED_OUTCOMES:
            self.consecutive_unresponsive.pop(node_id, None)
