"""Listening sockets: opened here, or inherited from the platform."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

ACCEPTS = 4  # connections taken in one turn of the loop; more wait in the system's queue
ACCEPT_TURNS = 3  # from when a connection is accepted until its protocol hears of it
UNREPORTED_ACCEPT_COUNT = (
    ACCEPTS * ACCEPT_TURNS
)  # connections at most that were accepted and are not heard of
BACKLOG = 512


class InheritError(ValueError):
    """An inherited descriptor is not the socket that it should be."""


class _Listening(socket.socket):
    """A socket that listens already. The loop would make its queue as short as its accepts in a turn."""

    def listen(self, backlog: int = 0, /) -> None:
        """Leave the queue as long as it is: one that is cut short for a moment turns connections away."""


def _open(at: tuple[str, int]) -> socket.socket:
    door = socket.socket(socket.AF_INET6 if ":" in at[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        door.bind(at)
        door.listen(BACKLOG)
    except BaseException:
        door.close()
        raise
    return door


def inherit(descriptor: int, at: tuple[str, int]) -> socket.socket:
    """The listening socket that the platform holds, copied; InheritError where it is another."""
    try:
        door = socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM)
    except OSError as fault:
        raise InheritError(f"descriptor {descriptor} is not open: {fault.strerror}") from None
    try:
        kind = door.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
        family = door.getsockopt(socket.SOL_SOCKET, socket.SO_DOMAIN)
        listens = door.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if kind != socket.SOCK_STREAM or family != socket.AF_INET or not listens:
            raise InheritError(f"descriptor {descriptor} is no listening TCP socket")
        if door.getsockname() != at:
            host, port = door.getsockname()
            raise InheritError(f"descriptor {descriptor} listens on {host}:{port}, not on {at[0]}:{at[1]}")
    except OSError:
        door.close()
        raise InheritError(f"descriptor {descriptor} is no socket") from None
    except InheritError:
        door.close()
        raise
    return door


def stop_listening(server: asyncio.Server) -> None:
    """Accept nothing more, from this moment on; what was accepted before is served.

    Guards against a close in the turn of the loop in which a connection was accepted: the loop hands it to
    its server one turn later, and drops it where that is closed by then.
    """
    if not isinstance(server, asyncio.Server):  # on a network of the laboratory
        server.close()
        return
    loop = asyncio.get_running_loop()
    for door in server.sockets:
        loop.remove_reader(door.fileno())
    loop.call_soon(loop.call_soon, server.close)


async def listen(
    at: tuple[str, int] | socket.socket, protocol: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """A listener that takes a few connections in a turn of the loop, and leaves many in the queue.

    at: an address, or a socket that listens already; a copy of its descriptor is used. Guards against a crowd
    taking all descriptors before the first of them can be shed.
    """
    door = at.dup() if isinstance(at, socket.socket) else _open(at)
    listening = _Listening(fileno=door.detach())
    try:
        return await asyncio.get_running_loop().create_server(protocol, sock=listening, backlog=ACCEPTS)
    except BaseException:
        listening.close()
        raise
