"""How the descriptors and the memory that the process may hold are shared out."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from harriertide.decide.settings import Part

OWN = 28  # standard streams, the loop's own, listeners, peers, two watches on discovery, the catalogue, logs
OPERATORS = 32  # callers at the operators' address, where there is one, and its listener
SPARE_PART = 0.1  # for connections that were accepted and are not yet shed, or are closed and not yet gone
OWN_MB, LEAST_MB = 44, 16  # the interpreter, the core and the connections themselves, with room to breathe
BOXES_PART = 0.35  # of what is left, for connections to boxes


@dataclass(frozen=True, slots=True)
class Limits:
    """Connections at most, by side; bytes of one answer held whole, of all answers, and of all requests."""

    clients: int
    boxes: int
    answer: int
    held: int
    bodies: int  # bytes of requests that are kept to be sent, again if need be

    def part(self, clients: int, boxes: int) -> Limits:
        """For one of two processes that count as one broker: so many connections, and half of the memory."""
        return Limits(clients, boxes, self.answer, self.held // 2, self.bodies // 2)

    def half(self) -> Limits:
        """For a process beside another of which nothing is known."""
        return self.part(self.clients // 2, self.boxes // 2)

    @classmethod
    def share(cls, sockets: int, memory_mb: int, reserved: int = 0) -> Limits:
        """Shares of so many descriptors, but for those reserved, and of so much memory."""
        left = max(16, int((sockets - OWN - reserved) * (1 - SPARE_PART)))
        boxes = int(left * BOXES_PART)
        spare = max(LEAST_MB, memory_mb - OWN_MB) << 20
        answer = min(8 << 20, max(1 << 20, spare // 16))
        return cls(left - boxes, boxes, answer, held=spare // 3, bodies=spare // 3)


def read_limits(stated: Part | None = None, reserved: int = 0) -> Limits:
    """As the configuration states them, but never more than the system grants. reserved: descriptors."""
    stated = stated or Part({}, "limits")
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets, memory_mb = stated.whole("sockets", 0) or 1024, int(stated.number("memory_mb", 0)) or 256
    if sockets < 64:
        raise ValueError("limits.sockets: must be at least 64")
    return Limits.share(min(sockets, granted) if granted > 0 else sockets, memory_mb, reserved)
