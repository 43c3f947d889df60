"""The listening sockets of a broker's process: of its clients, its operators and the object front.

The peers' datagrams have a socket of their own, in `platform/peers`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from harriertide.engine.log import log
from harriertide.http.client_server import TrackedServer
from harriertide.http.listener import AcceptingServer, InheritError, inherit, listen
from harriertide.platform.configuration import BadConfigError, Config

Address = tuple[str, int]  # host and port


def find_client_address(config: Config) -> Address | socket.socket:
    """Return where clients of the platform connect: an address, or the inherited listening socket.

    :raises BadConfigError: the inherited descriptor is not that socket
    """
    if config.inherited_descriptor is None:
        return config.listen
    try:
        return inherit(config.inherited_descriptor, config.listen)
    except InheritError as error:
        raise BadConfigError(f"LB_INHERITED_FD: {error}") from None


class Listeners:
    """The open listeners of a process.

    :ivar client_address: where clients of the platform connect; None: the platform's front is not configured
    :ivar servers: listeners for clients and of the object front, in the order in which they were opened
    :ivar operator_server: listener for operators, closed after the others in a shutdown
    """

    def __init__(self) -> None:
        self.client_address: Address | socket.socket | None = None
        self.servers: list[AcceptingServer] = []
        self.operator_server: AcceptingServer | None = None
        self._client_server: AcceptingServer | None = None

    async def open(self, at: Address | socket.socket, protocol: TrackedServer) -> AcceptingServer:
        """Accept connections at an address, or on an open listening socket."""
        server = await listen(at, protocol, protocol.table.accept_control)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        log("serves", on=f"{host}:{port}")
        return server

    # --- clients of the platform ---------------------------------------------------------------

    @property
    def accepts_clients(self) -> bool:
        """Whether this process accepts connections of the platform's clients."""
        return self._client_server is not None

    async def open_for_clients(self, protocol: TrackedServer) -> None:
        """Accept connections of the platform's clients."""
        assert self.client_address is not None, "only with a platform"
        self._client_server = await self.open(self.client_address, protocol)

    def close_for_clients(self) -> None:
        """Stop accepting the platform's clients; open connections are kept."""
        if self._client_server is None:
            return
        self._client_server.close()
        self.servers.remove(self._client_server)
        self._client_server = None

    # --- operators -----------------------------------------------------------------------------

    async def open_for_operators(self, at: Address, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """Accept calls of operators.

        :raises BadConfigError: the address cannot be used
        """
        host, port = at
        try:
            self.operator_server = await listen(at, protocol)
        except OSError as error:
            raise BadConfigError(f"operator: cannot listen on {host}:{port}: {error.strerror}") from None
        log("serves operators", on=f"{host}:{port}")

    def close_for_operators(self) -> None:
        """Stop accepting calls of operators."""
        if self.operator_server is not None:
            self.operator_server.close()

    # --- all of them ---------------------------------------------------------------------------

    def stop_accepting(self) -> None:
        """Stop accepting all connections except those of operators; open connections are kept."""
        for server in self.servers:
            server.close()

    def port(self, index: int) -> int:
        """Return the port of a server, which the system may have chosen."""
        return int(self.servers[index].sockets[0].getsockname()[1])

    def operator_port(self) -> int:
        """Return the port of the operators' address, which the system may have chosen."""
        assert self.operator_server is not None
        return int(self.operator_server.sockets[0].getsockname()[1])
