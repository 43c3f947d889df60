"""How the descriptors and the memory that the process may hold are shared out."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from harriertide.decide.settings import Part

OWN_DESCRIPTOR_COUNT = (
    28  # standard streams, the loop's own, listeners, peers, two watches on discovery, the catalogue, logs
)
OPERATOR_DESCRIPTOR_COUNT = 32  # callers at the operators' address, where there is one, and its listener
SPARE_PART = 0.1  # for connections that were accepted and are not yet shed, or are closed and not yet gone
OWN_MEMORY_MB, LEAST_MB = (
    44,
    16,
)  # the interpreter, the core and the connections themselves, with room to breathe
BOXES_PART = 0.35  # of what is left, for connections to boxes


@dataclass(frozen=True, slots=True)
class Limits:
    """Connections at most, by side; bytes of one answer held whole, of all answers, and of all requests."""

    max_client_connections: int
    max_node_connections: int
    max_response_bytes: int
    max_buffered_response_bytes: int
    max_buffered_request_bytes: int  # bytes of requests that are kept to be sent, again if need be

    def split(self, max_client_connections: int, max_node_connections: int) -> Limits:
        """For one of two processes that count as one broker: so many connections, and half of the memory."""
        return Limits(
            max_client_connections,
            max_node_connections,
            self.max_response_bytes,
            self.max_buffered_response_bytes // 2,
            self.max_buffered_request_bytes // 2,
        )

    def half(self) -> Limits:
        """For a process beside another of which nothing is known."""
        return self.split(self.max_client_connections // 2, self.max_node_connections // 2)

    @classmethod
    def from_resources(cls, sockets: int, memory_mb: int, reserved: int = 0) -> Limits:
        """Shares of so many descriptors, but for those reserved, and of so much memory."""
        left = max(16, int((sockets - OWN_DESCRIPTOR_COUNT - reserved) * (1 - SPARE_PART)))
        boxes = int(left * BOXES_PART)
        spare = max(LEAST_MB, memory_mb - OWN_MEMORY_MB) << 20
        answer = min(8 << 20, max(1 << 20, spare // 16))
        return cls(
            left - boxes,
            boxes,
            answer,
            max_buffered_response_bytes=spare // 3,
            max_buffered_request_bytes=spare // 3,
        )


def read_limits(stated: Part | None = None, reserved: int = 0) -> Limits:
    """As the configuration states them, but never more than the system grants. reserved: descriptors."""
    stated = stated or Part({}, "limits")
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets, memory_mb = stated.whole("sockets", 0) or 1024, int(stated.number("memory_mb", 0)) or 256
    if sockets < 64:
        raise ValueError("limits.sockets: must be at least 64")
    return Limits.from_resources(min(sockets, granted) if granted > 0 else sockets, memory_mb, reserved)
