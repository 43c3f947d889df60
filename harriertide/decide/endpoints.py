"""The nodes and shards of the endpoint list, as of the last update that this broker received."""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.expiry import expire_oldest
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US
from harriertide.decide.state import NodeState, ShardState
from harriertide.decide.units import SECOND_US
from harriertide.decide.warming import assume_all_granted

# Lifetime of a bid and of a report, about ten bid intervals: the last one that arrived counts until then,
# even if later ones are lost.
BID_LIFETIME_US = 3_200_000
# Margin on the time for which a removed node is kept. Its grants count until its slow start and one collapse
# window are over.
REMOVAL_MARGIN_US = SECOND_US


class Endpoints:
    """Nodes by id and shards by number; removed nodes are kept until their grants no longer count."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.nodes: dict[str, NodeState] = {}
        self.shards: dict[int, ShardState] = {}
        self._removed_at_us: dict[str, int] = {}  # oldest removal first

    def apply(self, update: api.EndpointUpdate) -> None:
        """Apply an update of the endpoint list; its kind must not be "failed"."""
        if update.kind != "delta":
            self._remove_missing({entry.node_id for entry in update.entries})
        for entry in update.entries:
            self._apply_entry(entry)

    def _remove_missing(self, listed_ids: set[str]) -> None:
        """Mark the nodes that a complete list does not name as removed."""
        for node in self.nodes.values():
            if node.id not in listed_ids:
                node.is_live = False
                self._removed_at_us.setdefault(node.id, self._context.now_us)
                self._context.mark_ready(self.shards[node.shard])

    def _apply_entry(self, entry: api.NodeEntry) -> None:
        node = self.nodes.setdefault(entry.node_id, NodeState(entry.node_id, entry.shard, entry.zone))
        if node.started_us != entry.started_us or node.shard != entry.shard:
            self._restart(node, entry)
        shard = self._shard(entry.shard)
        shard.nodes[entry.node_id] = node
        node.is_live = entry.state == "live"
        if entry.state == "gone":
            self._removed_at_us.setdefault(node.id, self._context.now_us)
        else:
            self._removed_at_us.pop(node.id, None)
        self._context.mark_ready(shard)

    def _restart(self, node: NodeState, entry: api.NodeEntry) -> None:
        """Reset the state of a node that is new to this broker, has restarted, or serves another shard."""
        if node.shard in self.shards:
            self.shards[node.shard].nodes.pop(node.id, None)
        node.shard = entry.shard
        node.zone = entry.zone
        node.restart(entry.started_us)
        context = self._context
        uncertain_us = context.settings.collapse_window_us + CREDIT_LIFETIME_US
        if context.now_us - context.started_at_us <= uncertain_us:
            # This broker may have granted its part of the budget just before it restarted itself.
            assume_all_granted(context, node)

    def _shard(self, number: int) -> ShardState:
        """The shard of a number, created if needed; the last report on a new shard counts as expired."""
        outdated_us = self._context.now_us - BID_LIFETIME_US
        return self.shards.setdefault(number, ShardState(number, outdated_us))

    def forget_removed(self) -> None:
        """Forget nodes that were removed so long ago that their grants no longer count."""
        settings = self._context.settings
        retention_us = settings.slow_start_us + settings.collapse_window_us + REMOVAL_MARGIN_US
        cutoff_us = self._context.now_us - retention_us
        for node_id, _ in expire_oldest(self._removed_at_us, lambda at_us: at_us < cutoff_us):
            node = self.nodes.pop(node_id)
            del self.shards[node.shard].nodes[node.id]
