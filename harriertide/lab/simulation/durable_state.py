"""What a disk in memory holds of a Raft member after a write."""

from __future__ import annotations

from harriertide.consensus.events import Persist, RestoredState


def after_write(durable: RestoredState, write: Persist) -> RestoredState:
    """Return what a start finds once this write is durable too."""
    entries = durable.entries
    if write.truncate_from:
        entries = tuple(entry for entry in entries if entry.index < write.truncate_from)
    entries += write.entries
    snapshot = durable.snapshot
    if write.snapshot is not None:
        snapshot = write.snapshot
        entries = tuple(entry for entry in entries if entry.index > snapshot.index)
    return RestoredState(write.cluster, write.term, write.voted_for, snapshot, entries)
