"""Listening sockets: opened here, or inherited from the platform."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

ACCEPTS_PER_TURN = 4  # connections accepted in one turn of the event loop; more wait in the system's queue
ACCEPT_TURN_COUNT = 3  # turns from when a connection is accepted until its protocol hears of it
# Connections that may have been accepted and be unknown to the connection table
UNREPORTED_ACCEPT_COUNT = ACCEPTS_PER_TURN * ACCEPT_TURN_COUNT
QUEUE_LENGTH = 512  # connections that wait for their accept: a crowd that comes at once finds room

Address = tuple[str, int]


class InheritError(ValueError):
    """The platform has handed over a descriptor that is not the socket it should be."""


class _ListeningSocket(socket.socket):
    """A socket that listens already. The loop would make its queue as short as its accepts in a turn."""

    def listen(self, backlog: int = 0, /) -> None:
        """Leave the queue as long as it is: one that is shortened for a moment turns connections away."""


def _open_socket(at: Address) -> socket.socket:
    opened = socket.socket(socket.AF_INET6 if ":" in at[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind(at)
        opened.listen(QUEUE_LENGTH)
    except BaseException:
        opened.close()
        raise
    return opened


def inherit(descriptor: int, at: Address) -> socket.socket:
    """A copy of the listening socket that the platform holds.

    :param at: the address on which it should listen
    :raises InheritError: the descriptor is no socket, or another one
    """
    try:
        inherited = socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM)
    except OSError as fault:
        raise InheritError(f"descriptor {descriptor} is not open: {fault.strerror}") from None
    try:
        _check_inherited(inherited, descriptor, at)
    except OSError:
        inherited.close()
        raise InheritError(f"descriptor {descriptor} is no socket") from None
    except InheritError:
        inherited.close()
        raise
    return inherited


def _check_inherited(inherited: socket.socket, descriptor: int, at: Address) -> None:
    kind = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
    family = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
    is_listening = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if kind != socket.SOCK_STREAM or family != socket.AF_INET or not is_listening:
        raise InheritError(f"descriptor {descriptor} is no listening TCP socket")
    if inherited.getsockname() != at:
        host, port = inherited.getsockname()
        raise InheritError(f"descriptor {descriptor} listens on {host}:{port}, not on {at[0]}:{at[1]}")


async def listen(at: Address | socket.socket, protocol: Callable[[], asyncio.BaseProtocol]) -> asyncio.Server:
    """A listener that accepts a few connections in a turn of the loop, and leaves many in the queue.

    Guards against a crowd that takes all descriptors before the first of its connections can be evicted.

    :param at: an address, or a socket that listens already, of whose descriptor a copy is used
    :param protocol: makes the protocol of each connection
    """
    opened = at.dup() if isinstance(at, socket.socket) else _open_socket(at)
    listening = _ListeningSocket(fileno=opened.detach())
    try:
        return await asyncio.get_running_loop().create_server(
            protocol, sock=listening, backlog=ACCEPTS_PER_TURN
        )
    except BaseException:
        listening.close()
        raise


def stop_listening(server: asyncio.Server) -> None:
    """Accept nothing more, from this moment on; what was accepted before is served.

    Guards against a close in the turn of the loop in which a connection was accepted: the loop hands it to
    its server one turn later, and drops it where the server is closed by then.
    """
    if not isinstance(server, asyncio.Server):  # on the laboratory's simulated network
        server.close()
        return
    loop = asyncio.get_running_loop()
    for listening in server.sockets:
        loop.remove_reader(listening.fileno())
    loop.call_soon(loop.call_soon, server.close)
