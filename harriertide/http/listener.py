"""Listening sockets, opened by this process or inherited from the platform."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

ACCEPTS_PER_ITERATION = 4  # per iteration of the event loop; further connections wait in the kernel's queue
ACCEPT_REPORT_ITERATION_COUNT = 3  # iterations between the accept of a connection and connection_made()
# Maximum number of accepted connections that the connection table does not know of yet.
UNREPORTED_ACCEPT_COUNT = ACCEPTS_PER_ITERATION * ACCEPT_REPORT_ITERATION_COUNT
LISTEN_BACKLOG = 512  # connections waiting to be accepted; large enough for many clients connecting at once

Address = tuple[str, int]


class InheritError(ValueError):
    """The descriptor inherited from the platform is not the expected listening socket."""


class _ListeningSocket(socket.socket):
    """A listening socket that ignores the smaller backlog (ACCEPTS_PER_ITERATION) of the event loop."""

    def listen(self, backlog: int = 0, /) -> None:
        """Keep the backlog: shortening it even briefly would refuse connections."""


def _open_socket(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock


def inherit(descriptor: int, address: Address) -> socket.socket:
    """Return a duplicate of the listening socket that the platform has opened.

    :param address: the address that the socket must listen on
    :raises InheritError: the descriptor is not a socket, or not the expected one
    """
    try:
        inherited = socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise InheritError(f"descriptor {descriptor} is not open: {error.strerror}") from None
    try:
        _check_inherited(inherited, descriptor, address)
    except OSError:
        inherited.close()
        raise InheritError(f"descriptor {descriptor} is not a socket") from None
    except InheritError:
        inherited.close()
        raise
    return inherited


def _check_inherited(inherited: socket.socket, descriptor: int, address: Address) -> None:
    socket_type = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
    family = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    is_listening = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if socket_type != socket.SOCK_STREAM or family != socket.AF_INET or not is_listening:
        raise InheritError(f"descriptor {descriptor} is not a listening IPv4 TCP socket")
    if inherited.getsockname() != address:
        host, port = inherited.getsockname()
        raise InheritError(
            f"descriptor {descriptor} listens on {host}:{port}, not on {address[0]}:{address[1]}"
        )


async def listen(
    address: Address | socket.socket, protocol_factory: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """Start a server that accepts at most ACCEPTS_PER_ITERATION connections per iteration of the event loop.

    Otherwise many clients that connect at once could use up all descriptors before a connection is evicted.

    :param address: an address, or a listening socket, whose descriptor is duplicated
    :param protocol_factory: creates the protocol of each connection
    """
    sock = address.dup() if isinstance(address, socket.socket) else _open_socket(address)
    listening_socket = _ListeningSocket(fileno=sock.detach())
    try:
        return await asyncio.get_running_loop().create_server(
            protocol_factory, sock=listening_socket, backlog=ACCEPTS_PER_ITERATION
        )
    except BaseException:
        listening_socket.close()
        raise


def stop_listening(server: asyncio.Server) -> None:
    """Stop accepting connections immediately; connections already accepted are served.

    The event loop passes an accepted connection to its server one iteration later, and drops the connection
    if the server is closed by then. The server is therefore closed two iterations after accepting stops.
    """
    if not isinstance(server, asyncio.Server):  # the simulated network of the test laboratory
        server.close()
        return
    loop = asyncio.get_running_loop()
    for listening_socket in server.sockets:
        loop.remove_reader(listening_socket.fileno())
    loop.call_soon(loop.call_soon, server.close)
