"""The nodes of the endpoint list, and the number of consecutive unresponsive attempts at each node."""

from __future__ import annotations

from collections import Counter

from harriertide.decide import api

# An unreachable node gets few further attempts, so maintenance counts one failure to connect as much as two
# attempts without a response.
_CONNECT_FAILURE_WEIGHT = 2


class EndpointTable:
    """The endpoint list as of the last update, including draining nodes."""

    def __init__(self) -> None:
        self._nodes: dict[str, api.NodeEntry] = {}
        # The number of consecutive attempts without a response, by node id.
        self.consecutive_unresponsive: Counter[str] = Counter()

    def __contains__(self, node_id: str) -> bool:
        return node_id in self._nodes

    def get(self, node_id: str) -> api.NodeEntry | None:
        """Return the entry of the node, or None if the node is not listed."""
        return self._nodes.get(node_id)

    def is_live(self, node_id: str) -> bool:
        """Whether the node is listed and accepts new requests."""
        node = self._nodes.get(node_id)
        return node is not None and node.state == "live"

    def entries(self) -> dict[str, api.NodeEntry]:
        """Return a copy of all listed nodes, by node id."""
        return dict(self._nodes)

    def update(self, update: api.EndpointUpdate) -> None:
        """Apply an update of the endpoint list: a full list or a set of changes."""
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
        """Count an attempt without a response; any response resets the count.

        An attempt that was never executed and did not fail to connect leaves the count unchanged.
        """
        if node_id not in self._nodes:
            return
        if kind in api.UNRESPONSIVE_OUTCOMES:
            weight = _CONNECT_FAILURE_WEIGHT if kind == "connect_failed" else 1
            self.consecutive_unresponsive[node_id] += weight
        elif kind not in api.NOT_EXECUTED_OUTCOMES:
            self.consecutive_unresponsive.pop(node_id, None)
