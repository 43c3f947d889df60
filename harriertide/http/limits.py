"""How the file descriptors and the memory that the process may have are shared out."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from harriertide.decide.settings import SettingsSection

# Standard streams, the loop's own, listeners, peers, two watches on discovery, the catalogue, logs.
OWN_DESCRIPTOR_COUNT = 28
OPERATOR_DESCRIPTOR_COUNT = 32  # callers at the operators' address, where there is one, and its listener
# Of the descriptors: connections that were accepted and are not yet evicted, or whose close is not yet done.
SPARE_DESCRIPTOR_RATIO = 0.1
NODE_CONNECTION_RATIO = 0.35  # of what is left, for connections to nodes
MIN_CONNECTION_COUNT = 16  # of both sides together, however few descriptors are granted
MIN_SOCKETS = 64  # in the settings; with fewer there is no room for a connection beside the process's own
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 256
OWN_MEMORY_MB = 44  # the interpreter, the core and the connections themselves, with some margin
MIN_BUFFER_MEMORY_MB = 16
# One response that is buffered as a whole may have a 16th of the memory for buffers, within these bounds.
RESPONSE_MEMORY_DIVISOR = 16
MIN_RESPONSE_BYTES = 1 << 20
MAX_RESPONSE_BYTES = 8 << 20
# A third of the memory for buffers goes to responses, one to requests; the last is a margin.
BUFFER_MEMORY_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class Limits:
    """What one process may hold.

    :param max_client_connections: open at once, of all listeners
    :param max_node_connections: open at once, to all storage nodes
    :param max_response_bytes: of one response of a node that is buffered as a whole
    :param max_buffered_response_bytes: of all responses that are buffered, on either side
    :param max_buffered_request_bytes: of all request bodies that are buffered, for a first attempt or a retry
    """

    max_client_connections: int
    max_node_connections: int
    max_response_bytes: int
    max_buffered_response_bytes: int
    max_buffered_request_bytes: int

    def split(self, max_client_connections: int, max_node_connections: int) -> Limits:
        """For one of two processes that count as one broker: so many connections, and half of the memory."""
        return Limits(
            max_client_connections=max_client_connections,
            max_node_connections=max_node_connections,
            max_response_bytes=self.max_response_bytes,
            max_buffered_response_bytes=self.max_buffered_response_bytes // 2,
            max_buffered_request_bytes=self.max_buffered_request_bytes // 2,
        )

    def half(self) -> Limits:
        """For a process beside another one of which nothing is known."""
        return self.split(self.max_client_connections // 2, self.max_node_connections // 2)

    @classmethod
    def from_resources(cls, sockets: int, memory_mb: int, reserved: int = 0) -> Limits:
        """Share out what the process has.

        :param sockets: descriptors that it may open
        :param memory_mb: memory that it may use
        :param reserved: descriptors that are left out, beside the process's own
        """
        available = (sockets - OWN_DESCRIPTOR_COUNT - reserved) * (1 - SPARE_DESCRIPTOR_RATIO)
        connections = max(MIN_CONNECTION_COUNT, int(available))
        node_connections = int(connections * NODE_CONNECTION_RATIO)
        buffer_bytes = max(MIN_BUFFER_MEMORY_MB, memory_mb - OWN_MEMORY_MB) << 20
        response_bytes = buffer_bytes // RESPONSE_MEMORY_DIVISOR
        return cls(
            max_client_connections=connections - node_connections,
            max_node_connections=node_connections,
            max_response_bytes=min(MAX_RESPONSE_BYTES, max(MIN_RESPONSE_BYTES, response_bytes)),
            max_buffered_response_bytes=buffer_bytes // BUFFER_MEMORY_DIVISOR,
            max_buffered_request_bytes=buffer_bytes // BUFFER_MEMORY_DIVISOR,
        )


def read_limits(stated: SettingsSection | None = None, reserved: int = 0) -> Limits:
    """The limits that the configuration states, but never more than the system grants.

    :param stated: the part `limits` of the configuration; None or a missing key: the defaults
    :param reserved: descriptors that are left out, beside the process's own
    :raises ValueError: a figure can't be used
    """
    stated = stated or SettingsSection({}, "limits")
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = stated.integer("sockets", 0) or DEFAULT_SOCKETS
    memory_mb = int(stated.number("memory_mb", 0)) or DEFAULT_MEMORY_MB
    if sockets < MIN_SOCKETS:
        raise ValueError(f"limits.sockets: must be at least {MIN_SOCKETS}")
    if granted > 0:  # RLIM_INFINITY is negative
        sockets = min(sockets, granted)
    return Limits.from_resources(sockets, memory_mb, reserved)
