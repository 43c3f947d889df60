"""Buffers for the bodies of requests, so that a retry can have them: bounded each and in total."""

from __future__ import annotations

MAX_BODY_BYTES = 1 << 20  # of one body: a larger one is worth less than the memory it takes
MAX_TOTAL_BYTES = 16 << 20  # of all: a quarter of the memory that a broker shares out by default


class BodyBuffer:
    """Accounts for buffered bodies. One that does not fit is streamed once, and its request not retried."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES, max_total_bytes: int = MAX_TOTAL_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int | None) -> bool:
        """Reserve memory for a body.

        :param size: in bytes; None: not known
        :returns: whether it may be buffered; if so, `release` is to follow
        """
        if size is None or size > self.max_body_bytes:
            return False
        if self.reserved_bytes + size > self.max_total_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Free the memory of a body."""
        self.reserved_bytes -= size
