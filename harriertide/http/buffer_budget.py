"""The memory budget of what client connections hold beyond the allotment that each of them has."""

from __future__ import annotations

OPTIONAL_RATIO = 0.5  # of the budget, for what makes a request better and is not needed to serve it
MAX_OPTIONAL_DIVISOR = 8  # one connection may have so much of the budget for optional buffers


class BufferBudget:
    """Counts the bytes that all connections have reserved against one limit.

    :param limit_bytes: maximum total of all reservations
    :ivar is_short: the process itself is short of memory, whatever is reserved: one reservation at a time
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.is_short = False

    @property
    def max_optional_bytes(self) -> int:
        """The largest optional reservation of one connection."""
        return self.limit_bytes // MAX_OPTIONAL_DIVISOR

    def reserve(self, size: int, is_optional: bool = False) -> bool:
        """Reserve bytes; False if they do not fit.

        :param is_optional: the request can be served without them, so that the rest of the budget is left
            for requests that can't
        """
        limit_bytes = int(self.limit_bytes * OPTIONAL_RATIO) if is_optional else self.limit_bytes
        if self.reserved_bytes + size > limit_bytes or (self.is_short and self.reserved_bytes):
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self.reserved_bytes -= size
