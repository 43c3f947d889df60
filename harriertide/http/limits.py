"""The division of the process's file descriptors and memory among its uses."""

from __future__ import annotations

import resource
from dataclasses import dataclass, replace

from harriertide.decide.settings import SettingsSection

# Standard streams, event loop, listeners, peers, two discovery watches, catalogue and log files.
OWN_DESCRIPTOR_COUNT = 28
OPERATOR_DESCRIPTOR_COUNT = 32  # connections and listener of the operators' address, if configured
# Fraction of the descriptors kept for accepted connections that still wait for an eviction, and for
# connections whose close is not complete.
SPARE_DESCRIPTOR_RATIO = 0.1
NODE_CONNECTION_RATIO = 0.35  # fraction of the remaining descriptors for connections to nodes
MIN_CONNECTION_COUNT = 16  # to clients and nodes together, however few descriptors are available
MIN_CLIENT_CONNECTIONS = 11  # however little memory or few descriptors are available
MIN_NODE_CONNECTIONS = 5
MIN_SOCKETS = 64  # lowest value of the `sockets` setting; fewer leave none for connections
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 256
OWN_MEMORY_MB = 27  # interpreter, modules and core, before the first connection
# Memory of one connection: its objects, and those of an ordinary request and its attempt.
CLIENT_CONNECTION_BYTES = 16 * 1024
NODE_CONNECTION_BYTES = 12 * 1024
CONNECTION_MEMORY_RATIO = 0.5  # of the memory beside OWN_MEMORY_MB: where it is little, it limits connections
# Of the memory beside the process itself and its connections; the rest is a margin for what is not counted.
BUFFER_MEMORY_RATIO = 0.75
# Of the same memory, for the state of volumes, which clients name; part of the margin.
VOLUME_MEMORY_RATIO = 0.125
VOLUME_BYTES = 900
MIN_VOLUMES = 500
BUFFER_KIND_COUNT = 3  # requests, responses of nodes, and output that clients have not read get equal parts
MIN_BUFFER_BYTES = 128 * 1024  # of each kind, however little memory there is
# A fully buffered response may use a 16th of the buffer memory, within these bounds.
RESPONSE_MEMORY_DIVISOR = 16
MIN_RESPONSE_BYTES = 1 << 20
MAX_RESPONSE_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class Limits:
    """The connection and memory limits of one process. Together they stay within its memory.

    :param memory_bytes: all memory that the broker may use
    :param own_memory_bytes: what the process needs before its first connection
    :param process_count: of the broker's processes that share the memory: two while one upgrades the other
    :param max_client_connections: open at the same time on all listeners
    :param max_node_connections: open at the same time to all storage nodes
    :param connection_bytes: memory of all connections of the broker, in all its processes
    """

    memory_bytes: int
    own_memory_bytes: int
    process_count: int
    max_client_connections: int
    max_node_connections: int
    connection_bytes: int = 0

    @property
    def _rest_bytes(self) -> int:
        """Memory beside the broker's processes and their connections, for one process."""
        rest_bytes = self.memory_bytes - self.process_count * self.own_memory_bytes - self.connection_bytes
        return rest_bytes // self.process_count

    @property
    def max_buffer_bytes(self) -> int:
        """Maximum memory of each kind of buffers in this process."""
        return max(MIN_BUFFER_BYTES, int(BUFFER_MEMORY_RATIO * self._rest_bytes / BUFFER_KIND_COUNT))

    @property
    def max_volumes(self) -> int:
        """Maximum number of volumes whose state is kept."""
        return max(MIN_VOLUMES, int(VOLUME_MEMORY_RATIO * self._rest_bytes / VOLUME_BYTES))

    @property
    def max_buffered_request_bytes(self) -> int:
        """Maximum memory for requests beyond what is counted for each connection."""
        return self.max_buffer_bytes

    @property
    def max_buffered_response_bytes(self) -> int:
        """Maximum total size of buffered responses of nodes."""
        return self.max_buffer_bytes

    @property
    def max_unsent_bytes(self) -> int:
        """Maximum total size of responses that clients have not read."""
        return self.max_buffer_bytes

    @property
    def max_response_bytes(self) -> int:
        """Maximum size of one fully buffered response of a node."""
        share_bytes = BUFFER_KIND_COUNT * self.max_buffer_bytes // RESPONSE_MEMORY_DIVISOR
        return min(MAX_RESPONSE_BYTES, max(MIN_RESPONSE_BYTES, share_bytes))

    def split(self, max_client_connections: int, max_node_connections: int) -> Limits:
        """Return the limits for one of a broker's two processes: these connections, and half the memory."""
        return replace(
            self,
            process_count=2,
            max_client_connections=max_client_connections,
            max_node_connections=max_node_connections,
        )

    def half(self) -> Limits:
        """Return half of all limits, for a process beside another one whose limits are unknown."""
        return self.split(self.max_client_connections // 2, self.max_node_connections // 2)

    def with_own_memory(self, own_memory_bytes: int) -> Limits:
        """Return the limits for a process that was measured to need so much for itself."""
        return self.for_memory(max(self.own_memory_bytes, own_memory_bytes))

    def for_memory(self, own_memory_bytes: int) -> Limits:
        """Return the limits with fewer connections where the memory has no room for all of them."""
        available_bytes = CONNECTION_MEMORY_RATIO * (self.memory_bytes - own_memory_bytes)
        wanted_bytes = _connection_bytes(self.max_client_connections, self.max_node_connections)
        ratio = max(0.0, min(1.0, available_bytes / wanted_bytes))
        clients = max(MIN_CLIENT_CONNECTIONS, int(ratio * self.max_client_connections))
        nodes = max(MIN_NODE_CONNECTIONS, int(ratio * self.max_node_connections))
        return replace(
            self,
            own_memory_bytes=own_memory_bytes,
            max_client_connections=clients,
            max_node_connections=nodes,
            connection_bytes=_connection_bytes(clients, nodes),
        )

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
        limits = cls(
            memory_bytes=memory_mb << 20,
            own_memory_bytes=OWN_MEMORY_MB << 20,
            process_count=1,
            max_client_connections=connections - node_connections,
            max_node_connections=node_connections,
        )
        return limits.for_memory(limits.own_memory_bytes)


def _connection_bytes(client_count: int, node_count: int) -> int:
    return client_count * CLIENT_CONNECTION_BYTES + node_count * NODE_CONNECTION_BYTES


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
