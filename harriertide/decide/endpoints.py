"""The nodes and shards of the endpoint list, as this broker was last notified of them."""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.expiry import expire_oldest
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US
from harriertide.decide.state import NodeState, ShardState
from harriertide.decide.units import SECOND_US
from harriertide.decide.warming import assume_all_granted

# Bids and reports that are lost are bridged by the last ones for so long, some ten intervals.
BID_LIFETIME_US = 3_200_000
# What a node that left was granted matters until its warming and one collapse window are over, and a little
# more.
REMOVAL_MARGIN_US = SECOND_US


class Endpoints:
    """Nodes by id and shards by number; nodes that have left are kept until nothing of them matters."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.nodes: dict[str, NodeState] = {}
        self.shards: dict[int, ShardState] = {}
        self._removed_at_us: dict[str, int] = {}  # the longest gone first

    def apply(self, update: api.EndpointUpdate) -> None:
        """Follow an update of the endpoint list that is not a failed call."""
        if update.kind != "delta":
            self._remove_missing({entry.node_id for entry in update.entries})
        for entry in update.entries:
            self._apply_entry(entry)

    def _remove_missing(self, named: set[str]) -> None:
        """The list is complete: nodes that it does not name have left."""
        for node in self.nodes.values():
            if node.id not in named:
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
        """A node that is new here, has started anew, or serves another shard."""
        if node.shard in self.shards:
            self.shards[node.shard].nodes.pop(node.id, None)
        node.shard = entry.shard
        node.zone = entry.zone
        node.restart(entry.started_us)
        context = self._context
        window_us = context.settings.collapse_window_us + CREDIT_LIFETIME_US
        if context.now_us - context.started_at_us <= window_us:
            # this broker may have restarted, and have granted its part just before
            assume_all_granted(context, node)

    def _shard(self, number: int) -> ShardState:
        """A shard; one that is new counts as not heard of for the lifetime of a bid."""
        outdated_us = self._context.now_us - BID_LIFETIME_US
        return self.shards.setdefault(number, ShardState(number, outdated_us))

    def forget_removed(self) -> None:
        """Forget nodes that left so long ago that nothing granted for them matters."""
        settings = self._context.settings
        kept_us = settings.slow_start_us + settings.collapse_window_us + REMOVAL_MARGIN_US
        before_us = self._context.now_us - kept_us
        for node_id, _ in expire_oldest(self._removed_at_us, lambda at_us: at_us < before_us):
            node = self.nodes.pop(node_id)
            del self.shards[node.shard].nodes[node.id]
