"""Listening sockets, opened by this process or inherited from the platform."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol

from harriertide.engine.log import log
from harriertide.http.accept_control import AcceptControl
from harriertide.http.socket_state import has_waiting_connection

ACCEPTS_PER_ITERATION = 4  # per iteration of the event loop; further connections wait in the kernel's queue
ACCEPT_RETRY_S = 0.1  # after an accept that failed for want of descriptors or memory
LISTEN_BACKLOG = 512  # connections waiting to be accepted; large enough for many clients connecting at once

Address = tuple[str, int]


class InheritError(ValueError):
    """The descriptor inherited from the platform is not the expected listening socket."""


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


class Listener:
    """Accepts the connections of a listening socket, as many as its accept control allows.

    :param listening_socket: listens already; the listener closes it
    :param protocol_factory: creates the protocol of each connection
    :param control: limits the number of connections; None: nothing does
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        control: AcceptControl | None,
    ) -> None:
        self.sockets = (listening_socket,)
        self._loop = asyncio.get_running_loop()
        self._socket = listening_socket
        self._protocol_factory = protocol_factory
        self._control = control
        self._setups: set[asyncio.Task[None]] = set()  # of transports of accepted connections
        self._retry_timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        listening_socket.setblocking(False)
        if control is not None:
            control.add(self)
        self.resume()

    def resume(self) -> None:
        """Accept connections again, unless the listener is closed."""
        if not self._is_closed:
            self._loop.add_reader(self._socket.fileno(), self._on_readable)

    def has_waiting_connection(self) -> bool:
        """Whether a connection waits in the kernel's queue."""
        return not self._is_closed and has_waiting_connection(self._socket)

    def close(self) -> None:
        """Accept no more connections; those that were accepted are served."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._control is not None:
            self._control.forget(self)

    def _on_readable(self) -> None:
        """Accept up to ACCEPTS_PER_ITERATION connections; the reader calls again where more wait.

        Otherwise many clients that connect at once could use up all descriptors before a connection is
        evicted, and would keep those that are connected waiting.
        """
        for _ in range(ACCEPTS_PER_ITERATION):
            if self._control is not None and not self._control.make_room():
                self._loop.remove_reader(self._socket.fileno())
                self._control.pause(self)
                return
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                break
            except OSError as error:
                self._retry_later(error)
                return
            self._set_up(connection)
        if self._control is not None:
            self._control.check_queue()

    def _set_up(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        if self._control is not None:
            self._control.begin_accept()
        task = self._loop.create_task(self._connect(connection))
        self._setups.add(task)
        task.add_done_callback(self._setups.discard)

    async def _connect(self, connection: socket.socket) -> None:
        """Create the transport and the protocol of an accepted connection."""
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, connection)
        except OSError as error:  # the client has closed the connection already
            connection.close()
            log("an accepted connection could not be used", reason=str(error))
        finally:
            if self._control is not None:
                self._control.end_accept()

    def _retry_later(self, error: OSError) -> None:
        """Wait where the system has no descriptor or memory for another connection."""
        log("cannot accept connections", reason=str(error), retry_s=ACCEPT_RETRY_S)
        self._loop.remove_reader(self._socket.fileno())
        self._retry_timer = self._loop.call_later(ACCEPT_RETRY_S, self.resume)


class AcceptingServer(Protocol):
    """A listener on sockets, or that of the test laboratory's simulated network."""

    @property
    def sockets(self) -> tuple[Any, ...]:
        """The listening sockets."""

    def close(self) -> None:
        """Accept no more connections; those that were accepted are served."""


async def listen(
    address: Address | socket.socket,
    protocol_factory: Callable[[], asyncio.BaseProtocol],
    control: AcceptControl | None = None,
) -> AcceptingServer:
    """Accept connections.

    :param address: an address, or a listening socket, whose descriptor is duplicated
    :param protocol_factory: creates the protocol of each connection
    :param control: limits the number of connections; None: nothing does
    :raises OSError: the address cannot be used
    """
    listening_socket = address.dup() if isinstance(address, socket.socket) else _open_socket(address)
    loop = asyncio.get_running_loop()
    if getattr(loop, "simulates_network", False):
        return await loop.create_server(protocol_factory, sock=listening_socket)
    listener = Listener(listening_socket, protocol_factory, control)
    await asyncio.sleep(0)  # as asyncio's create_server: what is due runs before the first connection
    return listener
