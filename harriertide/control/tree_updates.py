"""Updates from a member to its children in the fan-out tree: lease grants, missing entries and snapshots."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

import xxhash

from harriertide.consensus.applied_state import AppliedState
from harriertide.consensus.fanout import UPDATE_BYTES, UPDATE_ENTRY_COUNT, FanoutTree
from harriertide.consensus.fanout_messages import TreeUpdate
from harriertide.consensus.messages import Entry


class UpdateSource(Protocol):
    """The source of the updates: the member's role."""

    @property
    def leader(self) -> str:
        """Name of the leader known to this member; "" if none is known."""

    @property
    def applied_state(self) -> AppliedState:
        """The state machine and the index of the last applied entry."""

    def entries_after(self, index: int) -> tuple[Entry, ...] | None:
        """Return applied entries after an index; None if they are no longer kept."""


class TreeUpdates:
    """Sends updates to the children of one member.

    :param send: sends an update to a broker by name, without a delivery guarantee
    :param counts: counters, among them the number of snapshots sent
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        tree: FanoutTree,
        send: Callable[[str, TreeUpdate], None],
        counts: Counter[str],
    ) -> None:
        self._name = name
        self._voters = voters
        self._tree = tree
        self._send = send
        self._counts = counts
        self._snapshot_index = 0  # index of the snapshot cached for children; 0 if there is none
        self._snapshot = b""
        self._snapshot_checksum = 0

    def send_all(self, now_us: int, source: UpdateSource, wait_reasons: dict[str, list[str]]) -> None:
        """Send new grants to all children, and missing entries or a snapshot to observer children.

        :param wait_reasons: what each step waits for, as determined by the leader
        """
        for name, number, index in self._tree.take_pending_grants(now_us):
            self._send(name, TreeUpdate(self._name, source.leader, number, index, wait_reasons=wait_reasons))
        applied = source.applied_state.last_applied
        for name, child in self._tree.children.items():
            if name in self._voters:
                continue
            child.sent_index = max(child.sent_index, child.report.last_applied)
            while child.sent_index < applied:
                entries = source.entries_after(child.sent_index)
                if entries is None:
                    self._send_snapshot(name, source)
                    child.sent_index = max(self._snapshot_index, child.sent_index + 1)
                elif entries:
                    grant = child.sent_granted_report, child.grant_index
                    update = TreeUpdate(self._name, source.leader, *grant, child.sent_index, entries)
                    self._send(name, update)
                    child.sent_index = entries[-1].index
                else:
                    break
                child.sent_us = now_us

    def _send_snapshot(self, name: str, source: UpdateSource) -> None:
        state = source.applied_state
        if self._snapshot_index < state.last_applied - UPDATE_ENTRY_COUNT or not self._snapshot_index:
            self._snapshot = state.dump()
            self._snapshot_index = state.last_applied
            self._snapshot_checksum = xxhash.xxh3_64_intdigest(self._snapshot)
        self._counts["snapshots_out"] += 1
        total = len(self._snapshot)
        for offset in range(0, max(1, total), UPDATE_BYTES):
            chunk = self._snapshot[offset : offset + UPDATE_BYTES]
            index, checksum = self._snapshot_index, self._snapshot_checksum
            update = TreeUpdate(self._name, source.leader, 0, 0, 0, (), index, total, checksum, offset, chunk)
            self._send(name, update)
