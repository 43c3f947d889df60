"""Requests' bodies that are held, so that a further attempt can have them: bounded each and in all."""

from __future__ import annotations

HOLD_BYTES, HOLD_TOTAL_BYTES = 1 << 20, 16 << 20


class Holding:
    """Room for bodies. What does not fit passes through once, and its request has one attempt."""

    def __init__(self, each: int = HOLD_BYTES, total: int = HOLD_TOTAL_BYTES) -> None:
        self.each, self.total, self.held = each, total, 0

    def take(self, size: int | None) -> bool:
        """Whether there is room for a body of this size; None: it is not known."""
        if size is None or size > self.each or self.held + size > self.total:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """A body is held no more."""
        self.held -= size
