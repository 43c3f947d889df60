"""The division of the process's file descriptors and memory among its uses."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from harriertide.decide.settings import SettingsSection

# Standard streams, event loop, listeners, peers, two discovery watches, catalogue and log files.
OWN_DESCRIPTOR_COUNT = 28
OPERATOR_DESCRIPTOR_COUNT = 32  # connections and listener of the operators' address, if configured
# Fraction of the descriptors kept for accepted connections that still wait for an eviction, and for
# connections whose close is not complete.
SPARE_DESCRIPTOR_RATIO = 0.1
NODE_CONNECTION_RATIO = 0.35  # fraction of the remaining descriptors for connections to nodes
MIN_CONNECTION_COUNT = 16  # to clients and nodes together, however few descriptors are available
MIN_SOCKETS = 64  # lowest value of the `sockets` setting; fewer leave none for connections
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 256
OWN_MEMORY_MB = 44  # interpreter, core and connection objects, with a margin
MIN_BUFFER_MEMORY_MB = 16
# A fully buffered response may use a 16th of the buffer memory, within these bounds.
RESPONSE_MEMORY_DIVISOR = 16
MIN_RESPONSE_BYTES = 1 << 20
MAX_RESPONSE_BYTES = 8 << 20
# Responses and requests each get a third of the buffer memory; the last third is a margin.
BUFFER_MEMORY_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class Limits:
    """The connection and memory limits of one process.

    :param memory_bytes: all memory that the process may use
    :param max_client_connections: open at the same time on all listeners
    :param max_node_connections: open at the same time to all storage nodes
    :param max_response_bytes: maximum size of one fully buffered node response
    :param max_buffered_response_bytes: maximum total size of buffered responses, for nodes and clients each
    :param max_buffered_request_bytes: maximum total size of request bodies buffered for attempts and retries
    """

    memory_bytes: int
    max_client_connections: int
    max_node_connections: int
    max_response_bytes: int
    max_buffered_response_bytes: int
    max_buffered_request_bytes: int

    def split(self, max_client_connections: int, max_node_connections: int) -> Limits:
        """Return the limits for one of a broker's two processes: these connections, and half the memory."""
        return Limits(
            memory_bytes=self.memory_bytes,
            max_client_connections=max_client_connections,
            max_node_connections=max_node_connections,
            max_response_bytes=self.max_response_bytes,
            max_buffered_response_bytes=self.max_buffered_response_bytes // 2,
            max_buffered_request_bytes=self.max_buffered_request_bytes // 2,
        )

    def half(self) -> Limits:
        """Return half of all limits, for a process beside another one whose limits are unknown."""
        return self.split(self.max_client_connections // 2, self.max_node_connections // 2)

    @classmethod
    def from_resources(cls, sockets: int, memory_mb: int, reserved: int = 0) -> Limits:
        """Divide the available descriptors and memory.

        :param sockets: number of descriptors that the process may open
        :param memory_mb: memory that the process may use
        :param reserved: number of descriptors to keep free in addition to OWN_DESCRIPTOR_COUNT
        """
        available = (sockets - OWN_DESCRIPTOR_COUNT - reserved) * (1 - SPARE_DESCRIPTOR_RATIO)
        connections = max(MIN_CONNECTION_COUNT, int(available))
        node_connections = int(connections * NODE_CONNECTION_RATIO)
        buffer_bytes = max(MIN_BUFFER_MEMORY_MB, memory_mb - OWN_MEMORY_MB) << 20
        response_bytes = buffer_bytes // RESPONSE_MEMORY_DIVISOR
        return cls(
            memory_bytes=memory_mb << 20,
            max_client_connections=connections - node_connections,
            max_node_connections=node_connections,
            max_response_bytes=min(MAX_RESPONSE_BYTES, max(MIN_RESPONSE_BYTES, response_bytes)),
            max_buffered_response_bytes=buffer_bytes // BUFFER_MEMORY_DIVISOR,
            max_buffered_request_bytes=buffer_bytes // BUFFER_MEMORY_DIVISOR,
        )


def read_limits(section: SettingsSection | None = None, reserved: int = 0) -> Limits:
    """Return the configured limits, capped at the descriptor limit of the operating system.

    :param section: the section `limits` of the configuration; None or a missing key means the defaults
    :param reserved: number of descriptors to keep free in addition to OWN_DESCRIPTOR_COUNT
    :raises ValueError: a value is invalid
    """
    section = section or SettingsSection({}, "limits")
    descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = section.integer("sockets", 0) or DEFAULT_SOCKETS
    memory_mb = int(section.number("memory_mb", 0)) or DEFAULT_MEMORY_MB
    if sockets < MIN_SOCKETS:
        raise ValueError(f"limits.sockets: must be at least {MIN_SOCKETS}")
    if descriptor_limit > 0:  # RLIM_INFINITY is negative
        sockets = min(sockets, descriptor_limit)
    return Limits.from_resources(sockets, memory_mb, reserved)
